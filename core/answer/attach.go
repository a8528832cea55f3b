package answer

import (
	"slices"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// attachedReader is the position of one peer in an answer. It buffers no data, so a slow reader costs only its
// position.
type attachedReader struct {
	id   ident.RequestID
	peer Peer
	// answer is nil after the answer was dropped.
	answer *storedAnswer
	// next is the index of the next chunk to send.
	next   int
	credit ident.Bytes
	// queued is true while the reader is in its peer's ready list.
	queued bool
}

// peerReaders holds the readers of one connection.
type peerReaders struct {
	readers map[ident.RequestID]*attachedReader
	// ready lists the readers that may have frames to send; they are served round robin, so that a long answer does
	// not delay the others.
	ready []*attachedReader
}

// Attach adds or repositions the reader of an answer at a peer: the next chunk is the one after m.AfterSeq, and
// the credit is replaced. It returns an error with reason fault.Gone when the answer is not stored, is of another
// boot of the agent, or belongs to another account, without telling which, or when m.AfterSeq is past its chunks.
func (s *Store) Attach(p Peer, m *wire.Attach) *fault.Error {
	ans := s.answers[m.ID]
	if ans == nil || ans.account != m.Account || m.Boot != 0 && m.Boot != s.boot {
		return goneError("answer is not kept here")
	}
	if m.AfterSeq > ident.Seq(len(ans.chunks)) {
		return goneError("answer has no such position")
	}
	r := s.readerFor(p, ans)
	r.next, r.credit = int(m.AfterSeq), m.Credit
	s.markReady(r, nil)
	return nil
}

func (s *Store) readerFor(p Peer, ans *storedAnswer) *attachedReader {
	pe := s.peers[p]
	if pe == nil {
		pe = &peerReaders{readers: map[ident.RequestID]*attachedReader{}}
		s.peers[p] = pe
	}
	if r := pe.readers[ans.id]; r != nil && r.answer == ans {
		return r
	}
	r := &attachedReader{id: ans.id, peer: p, answer: ans}
	pe.readers[ans.id] = r
	ans.readers = append(ans.readers, r)
	return r
}

// AddCredit allows n more bytes to be sent to a reader. An unknown reader is ignored.
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

// ClosePeer removes all readers of a peer after its connection was lost.
func (s *Store) ClosePeer(p Peer) {
	if pe := s.peers[p]; pe != nil {
		for _, r := range pe.readers {
			s.removeReader(pe, r)
		}
		delete(s.peers, p)
	}
}

// NextFrame returns the next frame for a peer: a Chunk, an End, or a Refuse when the answer was dropped before it
// was read to its end. It is called until ok is false, and again after Attach, AddCredit, or when another method
// returned the peer as one to wake.
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

// frameFor returns the next frame of a reader, or nil when it waits for data or credit.
func (s *Store) frameFor(pe *peerReaders, r *attachedReader) wire.Message {
	ans := r.answer
	switch {
	case pe.readers[r.id] != r:
		return nil
	case ans == nil:
		s.removeReader(pe, r)
		return &wire.Refuse{ID: r.id, Run: fault.Ran, Reason: fault.Gone, Detail: "answer is no longer kept"}
	case r.next < len(ans.chunks):
		return s.nextChunk(r)
	case ans.final != nil:
		s.removeReader(pe, r)
		return ans.final
	}
	return nil
}

func (s *Store) nextChunk(r *attachedReader) wire.Message {
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

func (s *Store) removeReader(pe *peerReaders, r *attachedReader) {
	delete(pe.readers, r.id)
	if r.answer != nil {
		r.answer.readers = slices.DeleteFunc(r.answer.readers, func(o *attachedReader) bool { return o == r })
	}
}

// markAllReady marks all readers of an answer as ready and appends their peers to wake.
func (s *Store) markAllReady(ans *storedAnswer, wake []Peer) []Peer {
	for _, r := range ans.readers {
		wake = s.markReady(r, wake)
	}
	return wake
}

// markReady marks a reader as one that may have frames to send and appends its peer to wake.
func (s *Store) markReady(r *attachedReader, wake []Peer) []Peer {
	pe := s.peers[r.peer]
	if pe == nil || r.queued {
		return wake
	}
	r.queued = true
	pe.ready = append(pe.ready, r)
	return append(wake, r.peer)
}
