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
	answer *storedAnswer
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
		return goneError("answer is not kept here")
	}
	if m.AfterSeq > ident.Seq(len(k.chunks)) {
		return goneError("answer has no such position")
	}
	r := s.readerFor(p, k)
	r.next, r.credit = int(m.AfterSeq), m.Credit
	s.markReady(r, nil)
	return nil
}

func (s *Store) readerFor(p Peer, k *storedAnswer) *reader {
	pe := s.peers[p]
	if pe == nil {
		pe = &peer{readers: map[ident.RequestID]*reader{}}
		s.peers[p] = pe
	}
	if r := pe.readers[k.id]; r != nil && r.answer == k {
		return r
	}
	r := &reader{id: k.id, peer: p, answer: k}
	pe.readers[k.id] = r
	k.readers = append(k.readers, r)
	return r
}

// Credit lets a reader send n more bytes. An unknown reader is ignored.
func (s *Store) AddCredit(p Peer, id ident.RequestID, n ident.Bytes) {
	if pe := s.peers[p]; pe != nil && pe.readers[id] != nil && n > 0 {
		r := pe.readers[id]
		r.credit += n
		s.markReady(r, nil)
	}
}

// Detach removes one reader of a peer.
func (s *Store) Detach(p Peer, id ident.RequestID) {
	if pe := s.peers[p]; pe != nil && pe.readers[id] != nil {
		s.removeReader(pe, pe.readers[id])
	}
}

// Close removes all readers of a peer after its connection was lost.
func (s *Store) ClosePeer(p Peer) {
	if pe := s.peers[p]; pe != nil {
		for _, r := range pe.readers {
			s.removeReader(pe, r)
		}
		delete(s.peers, p)
	}
}

// Next returns the next frame for a peer: a Chunk, an End, or a Refuse when the answer was dropped
// before it was read to its end. It is called until ok is false, and again after Attach,
// Credit, or when the peer was returned to be woken.
func (s *Store) NextFrame(p Peer) (m wire.Message, ok bool) {
	pe := s.peers[p]
	if pe == nil {
		return nil, false
	}
	for len(pe.ready) > 0 {
		r := pe.ready[0]
		pe.ready = pe.ready[1:]
		r.queued = false
		if m = s.frameFor(pe, r); m != nil {
			return m, true
		}
	}
	return nil, false
}

// step returns the next frame of a reader, or nil when it waits for data or credit.
func (s *Store) frameFor(pe *peer, r *reader) wire.Message {
	k := r.answer
	switch {
	case pe.readers[r.id] != r:
		return nil
	case k == nil:
		s.removeReader(pe, r)
		return &wire.Refuse{ID: r.id, Run: fault.Ran, Reason: fault.Gone, Detail: "answer is no longer kept"}
	case r.next < len(k.chunks):
		return s.nextChunk(r)
	case k.final != nil:
		s.removeReader(pe, r)
		return k.final
	}
	return nil
}

func (s *Store) nextChunk(r *reader) wire.Message {
	c := &r.answer.chunks[r.next]
	n := ident.Bytes(len(c.Data))
	if n > r.credit {
		return nil
	}
	r.credit -= n
	r.next++
	s.markReady(r, nil)
	return c
}

func (s *Store) removeReader(pe *peer, r *reader) {
	delete(pe.readers, r.id)
	if r.answer != nil {
		r.answer.readers = slices.DeleteFunc(r.answer.readers, func(o *reader) bool { return o == r })
	}
}

// wakeAll marks all readers of an answer and appends their peers to wake.
func (s *Store) markAllReady(k *storedAnswer, wake []Peer) []Peer {
	for _, r := range k.readers {
		wake = s.markReady(r, wake)
	}
	return wake
}

// wake marks a reader as one that may have something to send and appends its peer to wake.
func (s *Store) markReady(r *reader, wake []Peer) []Peer {
	pe := s.peers[r.peer]
	if pe == nil || r.queued {
		return wake
	}
	r.queued = true
	pe.ready = append(pe.ready, r)
	return append(wake, r.peer)
}
