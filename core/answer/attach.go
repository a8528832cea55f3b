package answer

import (
	"slices"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// reader is one attached reader. It holds no data, so a slow reader costs nothing but its position.
type reader struct {
	id   ident.RequestID
	peer Peer
	// kept is nil after the answer was dropped.
	kept *kept
	// next is the index of the next chunk to send.
	next   int
	credit ident.Bytes
	// queued is true while the reader is in its peer's list of those that may have something to send.
	queued bool
}

// peer holds the readers of one connection.
type peer struct {
	readers map[ident.RequestID]*reader
	// ready is served in turn, so that a long answer does not hold up the others.
	ready []*reader
}

// Attach starts or moves the reader of an answer at a peer: the next chunk is the one after m.Seq, and
// the credit is set anew. It returns an error with reason fault.Gone when the answer is not kept, is
// of another run of the agent, or belongs to another account; the caller cannot tell which.
func (s *Store) Attach(p Peer, m *wire.Attach) *fault.Error {
	k := s.answers[m.ID]
	if k == nil || k.account != m.Account || m.Boot != 0 && m.Boot != s.boot {
		return gone("answer is not kept here")
	}
	if m.AfterSeq > ident.Seq(len(k.chunks)) {
		return gone("answer has no such position")
	}
	r := s.reader(p, k)
	r.next, r.credit = int(m.AfterSeq), m.Credit
	s.wake(r, nil)
	return nil
}

func (s *Store) reader(p Peer, k *kept) *reader {
	pe := s.peers[p]
	if pe == nil {
		pe = &peer{readers: map[ident.RequestID]*reader{}}
		s.peers[p] = pe
	}
	if r := pe.readers[k.id]; r != nil && r.kept == k {
		return r
	}
	r := &reader{id: k.id, peer: p, kept: k}
	pe.readers[k.id] = r
	k.readers = append(k.readers, r)
	return r
}

// Credit lets a reader send n more bytes. An unknown reader is ignored.
func (s *Store) Credit(p Peer, id ident.RequestID, n ident.Bytes) {
	if pe := s.peers[p]; pe != nil && pe.readers[id] != nil && n > 0 {
		r := pe.readers[id]
		r.credit += n
		s.wake(r, nil)
	}
}

// Detach removes one reader of a peer.
func (s *Store) Detach(p Peer, id ident.RequestID) {
	if pe := s.peers[p]; pe != nil && pe.readers[id] != nil {
		s.remove(pe, pe.readers[id])
	}
}

// Close removes all readers of a peer after its connection was lost.
func (s *Store) Close(p Peer) {
	if pe := s.peers[p]; pe != nil {
		for _, r := range pe.readers {
			s.remove(pe, r)
		}
		delete(s.peers, p)
	}
}

// Next returns the next frame for a peer: a Chunk, an End, or a Refuse when the answer was dropped
// before it was read to its end. It is called until ok is false, and again after Attach,
// Credit, or when the peer was returned to be woken.
func (s *Store) Next(p Peer) (m wire.Message, ok bool) {
	pe := s.peers[p]
	if pe == nil {
		return nil, false
	}
	for len(pe.ready) > 0 {
		r := pe.ready[0]
		pe.ready = pe.ready[1:]
		r.queued = false
		if m = s.step(pe, r); m != nil {
			return m, true
		}
	}
	return nil, false
}

// step returns the next frame of a reader, or nil when it waits for data or credit.
func (s *Store) step(pe *peer, r *reader) wire.Message {
	k := r.kept
	switch {
	case pe.readers[r.id] != r:
		return nil
	case k == nil:
		s.remove(pe, r)
		return &wire.Refuse{ID: r.id, Run: fault.Ran, Reason: fault.Gone, Detail: "answer is no longer kept"}
	case r.next < len(k.chunks):
		return s.chunk(r)
	case k.end != nil:
		s.remove(pe, r)
		return k.end
	}
	return nil
}

func (s *Store) chunk(r *reader) wire.Message {
	c := &r.kept.chunks[r.next]
	n := ident.Bytes(len(c.Data))
	if n > r.credit {
		return nil
	}
	r.credit -= n
	r.next++
	s.wake(r, nil)
	return c
}

func (s *Store) remove(pe *peer, r *reader) {
	delete(pe.readers, r.id)
	if r.kept != nil {
		r.kept.readers = slices.DeleteFunc(r.kept.readers, func(o *reader) bool { return o == r })
	}
}

// wakeAll marks all readers of an answer and appends their peers to wake.
func (s *Store) wakeAll(k *kept, wake []Peer) []Peer {
	for _, r := range k.readers {
		wake = s.wake(r, wake)
	}
	return wake
}

// wake marks a reader as one that may have something to send and appends its peer to wake.
func (s *Store) wake(r *reader, wake []Peer) []Peer {
	pe := s.peers[r.peer]
	if pe == nil || r.queued {
		return wake
	}
	r.queued = true
	pe.ready = append(pe.ready, r)
	return append(wake, r.peer)
}
