package answer

import (
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// Errors of the writing side of a Store.
var (
	// ErrExists means that an answer of that id is kept already.
	ErrExists = errors.New("answer exists")
	// ErrNone means that no running answer has that id.
	ErrNotRunning = errors.New("no such running answer")
	// ErrFull means that running answers fill the store. After Open the request is refused as not run.
	// After Append the agent ends the answer as not whole: the missing part cannot be kept, and waiting
	// would not free room while all answers run.
	ErrFull = errors.New("answers fill the store")
)

// Open starts an answer, before the dispatch of its request is recorded. Errors: ErrExists, ErrFull.
func (s *Store) Open(id ident.RequestID, a ident.AccountID) error {
	if s.answers[id] != nil {
		return ErrExists
	}
	if s.runningBytes+answerOverhead > s.bytesMax {
		return ErrFull
	}
	s.answers[id] = &storedAnswer{id: id, account: a}
	s.runningCount++
	s.pendingWake = s.allocate(s.answers[id], answerOverhead, s.pendingWake)
	return nil
}

// Discard removes an answer that was opened for a request that was then not dispatched.
func (s *Store) Discard(id ident.RequestID) {
	k := s.answers[id]
	if k == nil || k.final != nil || len(k.chunks) > 0 {
		return
	}
	delete(s.answers, id)
	s.runningCount--
	s.bytes -= k.bytes
	s.runningBytes -= k.bytes
}

// grow charges n bytes to a running answer and drops ended ones, the oldest first, to make room.
func (s *Store) allocate(k *storedAnswer, n ident.Bytes, wake []Peer) []Peer {
	for s.bytes+n > s.bytesMax && len(s.ended) > 0 {
		wake = s.dropEnded(s.ended[0], wake)
	}
	k.bytes += n
	s.bytes += n
	s.runningBytes += n
	return wake
}

// Append adds a part to a running answer, in chunks of at most ChunkMax bytes, and returns the peers
// that now have something to read. Ended answers are dropped for it, the oldest first. The data is kept
// and must not be changed afterwards. Errors: ErrNone, ErrFull; nothing was added then.
func (s *Store) Append(id ident.RequestID, p Fragment) (wake []Peer, err error) {
	k := s.answers[id]
	if k == nil || k.final != nil {
		return nil, ErrNotRunning
	}
	n := (len(p.Data) + ChunkBytesMax - 1) / ChunkBytesMax
	need := ident.Bytes(len(p.Data)) + ident.Bytes(max(n, 1))*chunkOverhead
	if s.runningBytes+need > s.bytesMax {
		return nil, ErrFull
	}
	wake = s.allocate(k, need, s.takePendingWake())
	k.appendChunks(s.boot, p)
	return s.markAllReady(k, wake), nil
}

// append splits p into chunks. All tokens are counted in the last of them.
func (k *storedAnswer) appendChunks(boot ident.Boot, p Fragment) {
	for first := true; first || len(p.Data) > 0; first = false {
		n := min(len(p.Data), ChunkBytesMax)
		c := wire.Chunk{ID: k.id, Boot: boot, Seq: ident.Seq(len(k.chunks) + 1), Data: p.Data[:n:n]}
		if c.Seq == 1 {
			c.Status, c.ContentType = p.Status, p.Type
		}
		p.Data = p.Data[n:]
		if len(p.Data) == 0 {
			c.Tokens = p.Tokens
		}
		k.chunks = append(k.chunks, c)
	}
}

// End closes a running answer; id, boot and last sequence number of e are set here. It returns the
// peers that now have something to read. Errors: ErrNone.
func (s *Store) Finish(now time.Time, id ident.RequestID, e wire.End) (wake []Peer, err error) {
	k := s.answers[id]
	if k == nil || k.final != nil {
		return nil, ErrNotRunning
	}
	e.ID, e.Boot, e.LastSeq = id, s.boot, ident.Seq(len(k.chunks))
	k.final, k.endedAt = &e, now
	s.ended = append(s.ended, k)
	s.runningBytes -= k.bytes
	s.runningCount--
	return s.markAllReady(k, nil), nil
}
