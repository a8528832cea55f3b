package moves

import (
	"strconv"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/store"
)

// retryWait is the time between two tries while the store is out.
const retryWait = 500 * time.Millisecond

// Call is the action to make one store call: a create of Object, or a read when Read is true. Its
// result goes to Ender.Result with the same number; a call without an answer is store.ErrUnsure.
type Call struct {
	Seq    ident.Seq
	Read   bool
	Object store.Object
}

// Ender records the end of one move exactly once, at the process that holds the lease. The record is
// created, never updated, so that the first of several writers wins. It is not safe for concurrent use.
type Ender struct {
	self ident.ProcessID
	boot ident.Boot
	end  End
	// readBack is true after a write whose outcome is unknown or that found a record.
	readBack bool
	out      ident.Seq
	seq      ident.Seq
	next     time.Time
	recorded *End
}

// NewEnder returns a machine that records e.
func NewEnder(self ident.ProcessID, boot ident.Boot, e End) *Ender {
	return &Ender{self: self, boot: boot, end: e}
}

// Change replaces the decision, for example when a version turns out bad after the move was decided
// as done. It has no effect on a record.
func (n *Ender) Change(e End) {
	if e.wins(n.end) {
		n.end = e
	}
}

// Recorded returns the end that the object API holds, or nil while it is not known.
func (n *Ender) Recorded() *End { return n.recorded }

// Tick returns the store call that is due. fence and held come from the lease at this moment;
// nothing is written unless it is held.
func (n *Ender) Tick(now time.Time, fence ident.Fence, held bool) []Call {
	if n.recorded != nil || n.out != 0 || now.Before(n.next) || !held {
		return nil
	}
	n.seq++
	n.out = n.seq
	o := store.Object{Kind: Sort, Name: string(n.end.Move)}
	if n.readBack {
		return []Call{{Seq: n.seq, Read: true, Object: o}}
	}
	e := n.end
	e.Fence = fence
	e.Attempt = string(n.self) + "/" + strconv.FormatUint(uint64(n.boot), 16) + "/" + strconv.FormatUint(uint64(n.seq), 10)
	o.Value = e.Encode()
	return []Call{{Seq: n.seq, Object: o}}
}

// Result takes the result of a call. done is true once the record is known.
func (n *Ender) Result(now time.Time, seq ident.Seq, o store.Object, err error) (done bool) {
	if n.recorded != nil || seq == 0 || seq != n.out {
		return n.recorded != nil
	}
	n.out = 0
	switch {
	case err == nil:
		return n.adopt(now, o)
	case errors.Is(err, store.ErrOutcomeUnknown), errors.Is(err, store.ErrExists):
		n.readBack = true // also in a lost answer to a read, which changes nothing
	case errors.Is(err, store.ErrNotFound):
		n.readBack = false // the write had no effect so far; if it still takes effect, the next create fails
		n.next = now.Add(retryWait)
	default:
		n.next = now.Add(retryWait)
	}
	return false
}

// adopt takes the record that was written or read, whoever wrote it.
func (n *Ender) adopt(now time.Time, o store.Object) bool {
	e, err := DecodeEnd(o.Value)
	if err != nil { // a malformed record is left for the operators; it is read again
		n.readBack, n.next = true, now.Add(retryWait)
		return false
	}
	n.recorded = &e
	return true
}
