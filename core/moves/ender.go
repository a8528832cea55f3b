package moves

import (
	"strconv"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/store"
)

// retryWait is the time between two tries while the store is out.
const retryInterval = 500 * time.Millisecond

// Call is the action to make one store call: a create of Object, or a read when Read is true. Its
// result goes to Ender.Result with the same number; a call without an answer is store.ErrUnsure.
type Call struct {
	Seq    ident.Seq
	Read   bool
	Object store.Object
}

// Ender records the end of one move exactly once, at the process that holds the lease. The record is
// created, never updated, so that the first of several writers wins. It is not safe for concurrent use.
type ConclusionWriter struct {
	self       ident.ProcessID
	boot       ident.Boot
	conclusion Conclusion
	// readBack is true after a write whose outcome is unknown or that found a record.
	readBack    bool
	outstanding ident.Seq
	seq         ident.Seq
	nextCall    time.Time
	recorded    *Conclusion
}

// NewEnder returns a machine that records e.
func NewConclusionWriter(self ident.ProcessID, boot ident.Boot, e Conclusion) *ConclusionWriter {
	return &ConclusionWriter{self: self, boot: boot, conclusion: e}
}

// Change replaces the decision, for example when a version turns out bad after the move was decided
// as done. It has no effect on a record.
func (n *ConclusionWriter) Supersede(e Conclusion) {
	if e.supersedes(n.conclusion) {
		n.conclusion = e
	}
}

// Recorded returns the end that the object API holds, or nil while it is not known.
func (n *ConclusionWriter) Recorded() *Conclusion { return n.recorded }

// Tick returns the store call that is due. fence and held come from the lease at this moment;
// nothing is written unless it is held.
func (n *ConclusionWriter) Tick(now time.Time, fence ident.Fence, held bool) []Call {
	if n.recorded != nil || n.outstanding != 0 || now.Before(n.nextCall) || !held {
		return nil
	}
	n.seq++
	n.outstanding = n.seq
	o := store.Object{Kind: ObjectKind, Name: string(n.conclusion.Rollout)}
	if n.readBack {
		return []Call{{Seq: n.seq, Read: true, Object: o}}
	}
	e := n.conclusion
	e.FencingToken = fence
	e.Attempt = string(n.self) + "/" + strconv.FormatUint(uint64(n.boot), 16) + "/" + strconv.FormatUint(uint64(n.seq), 10)
	o.Value = e.Encode()
	return []Call{{Seq: n.seq, Object: o}}
}

// Result takes the result of a call. done is true once the record is known.
func (n *ConclusionWriter) HandleResult(now time.Time, seq ident.Seq, o store.Object, err error) (done bool) {
	if n.recorded != nil || seq == 0 || seq != n.outstanding {
		return n.recorded != nil
	}
	n.outstanding = 0
	switch {
	case err == nil:
		return n.adoptRecord(now, o)
	case errors.Is(err, store.ErrOutcomeUnknown), errors.Is(err, store.ErrExists):
		n.readBack = true // also in a lost answer to a read, which changes nothing
	case errors.Is(err, store.ErrNotFound):
		n.readBack = false // the write had no effect so far; if it still takes effect, the next create fails
		n.nextCall = now.Add(retryInterval)
	default:
		n.nextCall = now.Add(retryInterval)
	}
	return false
}

// adopt takes the record that was written or read, whoever wrote it.
func (n *ConclusionWriter) adoptRecord(now time.Time, o store.Object) bool {
	e, err := DecodeConclusion(o.Value)
	if err != nil { // a malformed record is left for the operators; it is read again
		n.readBack, n.nextCall = true, now.Add(retryInterval)
		return false
	}
	n.recorded = &e
	return true
}
