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
	ErrNone = errors.New("no such running answer")
	// ErrFull means that running answers fill the store. The agent ends the answer as not whole: the
	// missing part cannot be kept, and waiting would not free room while all answers run.
	ErrFull = errors.New("answers fill the store")
)

// Open starts an answer, at the latest when its request is dispatched. Errors: ErrExists.
func (s *Store) Open(id ident.RequestID, a ident.AccountID) error {
	if s.answers[id] != nil {
		return ErrExists
	}
	s.answers[id] = &kept{id: id, account: a}
	s.open++
	return nil
}

// Append adds a part to a running answer, in chunks of at most ChunkMax bytes, and returns the peers
// that now have something to read. Ended answers are dropped for it, the oldest first. The data is kept
// and must not be changed afterwards. Errors: ErrNone, ErrFull; nothing was added then.
func (s *Store) Append(id ident.RequestID, p Part) (wake []Peer, err error) {
	k := s.answers[id]
	if k == nil || k.end != nil {
		return nil, ErrNone
	}
	n := (len(p.Data) + ChunkMax - 1) / ChunkMax
	need := ident.Bytes(len(p.Data)) + ident.Bytes(max(n, 1))*overhead
	if s.running+need > s.limit {
		return nil, ErrFull
	}
	for s.bytes+need > s.limit && len(s.ended) > 0 {
		wake = s.drop(s.ended[0], wake)
	}
	k.append(s.boot, p)
	k.bytes += need
	s.bytes += need
	s.running += need
	return s.wakeAll(k, wake), nil
}

// append splits p into chunks. All tokens are counted in the last of them.
func (k *kept) append(boot ident.Boot, p Part) {
	for first := true; first || len(p.Data) > 0; first = false {
		n := min(len(p.Data), ChunkMax)
		c := wire.Chunk{ID: k.id, Boot: boot, Seq: ident.Seq(len(k.chunks) + 1), Data: p.Data[:n:n]}
		if c.Seq == 1 {
			c.Status, c.Type = p.Status, p.Type
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
func (s *Store) End(now time.Time, id ident.RequestID, e wire.End) (wake []Peer, err error) {
	k := s.answers[id]
	if k == nil || k.end != nil {
		return nil, ErrNone
	}
	e.ID, e.Boot, e.Last = id, s.boot, ident.Seq(len(k.chunks))
	k.end, k.endAt = &e, now
	s.ended = append(s.ended, k)
	s.running -= k.bytes
	s.open--
	return s.wakeAll(k, nil), nil
}
