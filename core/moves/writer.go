package moves

import (
	"strconv"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/store"
)

// retryInterval is the time between two attempts while the store is unavailable.
const retryInterval = 500 * time.Millisecond

// Call is the action to make one store call: a create of Object, or a read of it when Read is true. Its result is
// passed to ConclusionWriter.HandleResult with the same sequence number; a call without an answer is reported as
// store.ErrOutcomeUnknown.
type Call struct {
	Seq    ident.Seq
	Read   bool
	Object store.Object
}

// ConclusionWriter records the conclusion of one rollout exactly once, at the process that holds the lease. The
// record is created and never updated, so that the first of several writers wins. It is not safe for concurrent
// use.
type ConclusionWriter struct {
	self       ident.ProcessID
	boot       ident.Boot
	conclusion Conclusion
	// readBack is true after a write whose outcome is unknown or that found an existing record.
	readBack    bool
	outstanding ident.Seq
	seq         ident.Seq
	nextCall    time.Time
	recorded    *Conclusion
}

// NewConclusionWriter returns a writer that records c.
func NewConclusionWriter(self ident.ProcessID, boot ident.Boot, c Conclusion) *ConclusionWriter {
	return &ConclusionWriter{self: self, boot: boot, conclusion: c}
}

// Supersede replaces the decision if c takes precedence over it, for example when a version turns out bad after the
// rollout was decided as done. It has no effect on a record that was written already.
func (w *ConclusionWriter) Supersede(c Conclusion) {
	if c.supersedes(w.conclusion) {
		w.conclusion = c
	}
}

// Recorded returns the conclusion that the object API holds, or nil while it is not known.
func (w *ConclusionWriter) Recorded() *Conclusion { return w.recorded }

// Tick returns the store call that is due, if any. token and held are the current state of the lease; nothing is
// written unless it is held.
func (w *ConclusionWriter) Tick(now time.Time, token ident.Fence, held bool) []Call {
	if w.recorded != nil || w.outstanding != 0 || now.Before(w.nextCall) || !held {
		return nil
	}
	w.seq++
	w.outstanding = w.seq
	o := store.Object{Kind: ObjectKind, Name: string(w.conclusion.Rollout)}
	if w.readBack {
		return []Call{{Seq: w.seq, Read: true, Object: o}}
	}
	c := w.conclusion
	c.FencingToken = token
	c.Attempt = string(w.self) + "/" + strconv.FormatUint(uint64(w.boot), 16) + "/" + strconv.FormatUint(uint64(w.seq), 10)
	o.Value = c.Encode()
	return []Call{{Seq: w.seq, Object: o}}
}

// HandleResult applies the result of a call. done is true once the record is known.
func (w *ConclusionWriter) HandleResult(now time.Time, seq ident.Seq, o store.Object, err error) (done bool) {
	if w.recorded != nil || seq == 0 || seq != w.outstanding {
		return w.recorded != nil
	}
	w.outstanding = 0
	switch {
	case err == nil:
		return w.adoptRecord(now, o)
	case errors.Is(err, store.ErrOutcomeUnknown), errors.Is(err, store.ErrExists):
		w.readBack = true // already true if the lost answer was that to a read
	case errors.Is(err, store.ErrNotFound):
		w.readBack = false // the write has had no effect so far; if it still takes effect, the next create fails
		w.nextCall = now.Add(retryInterval)
	default:
		w.nextCall = now.Add(retryInterval)
	}
	return false
}

// adoptRecord adopts the record that was written or read, whichever process wrote it.
func (w *ConclusionWriter) adoptRecord(now time.Time, o store.Object) bool {
	c, err := DecodeConclusion(o.Value)
	if err != nil { // a malformed record is left for operators to mend, and read again
		w.readBack, w.nextCall = true, now.Add(retryInterval)
		return false
	}
	w.recorded = &c
	return true
}
