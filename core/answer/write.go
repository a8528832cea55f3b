package answer

import (
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// Errors of the methods of a Store that write answers.
var (
	// ErrExists means that an answer with that id is already stored.
	ErrExists = errors.New("an answer with this id is already stored")
	// ErrNotRunning means that no running answer has that id.
	ErrNotRunning = errors.New("no running answer has this id")
	// ErrFull means that running answers fill the store. After Open the request is refused as not run. After
	// Append the agent ends the answer as truncated: the fragment cannot be stored, and waiting would not free
	// space while all answers run.
	ErrFull = errors.New("running answers fill the answer store")
)

// Open starts an answer. It is called before the dispatch of the request is recorded. Errors: ErrExists, ErrFull.
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

// Discard removes an answer that was opened for a request that was not dispatched in the end.
func (s *Store) Discard(id ident.RequestID) {
	ans := s.answers[id]
	if ans == nil || ans.final != nil || len(ans.chunks) > 0 {
		return
	}
	delete(s.answers, id)
	s.runningCount--
	s.bytes -= ans.bytes
	s.runningBytes -= ans.bytes
}

// allocate counts n bytes for a running answer and drops ended ones, the oldest first, to make space.
func (s *Store) allocate(ans *storedAnswer, n ident.Bytes, wake []Peer) []Peer {
	for s.bytes+n > s.bytesMax && len(s.ended) > 0 {
		wake = s.dropEnded(s.ended[0], wake)
	}
	ans.bytes += n
	s.bytes += n
	s.runningBytes += n
	return wake
}

// Append adds a fragment to a running answer, in chunks of at most ChunkBytesMax bytes, and returns the peers that
// now have frames to read. Ended answers are dropped to make space, the oldest first. The data is retained and
// must not be modified afterwards. Errors: ErrNotRunning, ErrFull; nothing is added in these cases.
func (s *Store) Append(id ident.RequestID, f Fragment) (wake []Peer, err error) {
	ans := s.answers[id]
	if ans == nil || ans.final != nil {
		return nil, ErrNotRunning
	}
	n := (len(f.Data) + ChunkBytesMax - 1) / ChunkBytesMax
	need := ident.Bytes(len(f.Data)) + ident.Bytes(max(n, 1))*chunkOverhead
	if s.runningBytes+need > s.bytesMax {
		return nil, ErrFull
	}
	wake = s.allocate(ans, need, s.takePendingWake())
	ans.appendChunks(s.boot, f)
	return s.markAllReady(ans, wake), nil
}

// appendChunks splits a fragment into chunks. All its tokens are counted in the last of them.
func (ans *storedAnswer) appendChunks(boot ident.Boot, f Fragment) {
	for first := true; first || len(f.Data) > 0; first = false {
		n := min(len(f.Data), ChunkBytesMax)
		c := wire.Chunk{ID: ans.id, Boot: boot, Seq: ident.Seq(len(ans.chunks) + 1), Data: f.Data[:n:n]}
		if c.Seq == 1 {
			c.Status, c.ContentType = f.Status, f.ContentType
		}
		f.Data = f.Data[n:]
		if len(f.Data) == 0 {
			c.Tokens = f.Tokens
		}
		ans.chunks = append(ans.chunks, c)
	}
}

// Finish ends a running answer; it sets the id, boot and last sequence number of e. It returns the peers that now
// have frames to read. Errors: ErrNotRunning.
func (s *Store) Finish(now time.Time, id ident.RequestID, e wire.End) (wake []Peer, err error) {
	ans := s.answers[id]
	if ans == nil || ans.final != nil {
		return nil, ErrNotRunning
	}
	e.ID, e.Boot, e.LastSeq = id, s.boot, ident.Seq(len(ans.chunks))
	ans.final, ans.endedAt = &e, now
	s.ended = append(s.ended, ans)
	s.runningBytes -= ans.bytes
	s.runningCount--
	return s.markAllReady(ans, nil), nil
}
