// Package lease implements a lease with a fencing token as state machines without I/O: the holder and the
// candidates of the lease (Machine), and the gate that checks the tokens of commands at each target (CommandGate).
// The lease elects the router that records the conclusions of rollouts and sends commands to targets. Routers run a
// Machine and make its store calls, agents run a CommandGate.
package lease

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/store"
)

const (
	// ObjectKind is the kind of lease objects in the object API.
	ObjectKind = "lease"
	// DefaultTerm is the term of a lease. The holder gives up after two thirds of it without a renewal; candidates
	// wait for the whole term before they take the lease over.
	DefaultTerm = 15 * time.Second
)

// Record is the value of a lease object.
type Record struct {
	// Holder is the process that holds the lease; it is empty after a release.
	Holder ident.ProcessID `json:"holder"`
	// Boot is the boot of the holder; a process that was restarted does not take the lease for its own.
	Boot         ident.Boot  `json:"boot"`
	FencingToken ident.Fence `json:"fence"`
	// WriteCount grows by one with each write, so that candidates notice renewals.
	WriteCount uint64 `json:"count"`
	// TermMillis is the term of the process that wrote the record; candidates with a shorter term wait for this one.
	TermMillis int64 `json:"term"`
}

// Encode returns the value of r for the object API.
func (r Record) Encode() []byte {
	b, _ := json.Marshal(r) // never fails for strings and integers
	return b
}

// Decode returns the record in the value of an object.
func Decode(value []byte) (r Record, err error) {
	if err = json.Unmarshal(value, &r); err != nil {
		return Record{}, errors.WithMessage(err, "decode lease record")
	}
	return r, nil
}

// Verb is the kind of a store call.
type Verb string

// Verbs of store calls.
const (
	Read   Verb = "read"
	Create Verb = "create"
	Update Verb = "update"
)

// Call is the action to make one store call. Its result is passed to Machine.HandleResult with the same sequence
// number. A call without an answer within a third of the term is reported as store.ErrOutcomeUnknown.
type Call struct {
	Seq    ident.Seq
	Verb   Verb
	Object store.Object
}
