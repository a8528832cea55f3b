// Package lease holds the machines of a lease with a fencing number: its holder and candidates, and
// the check beside each target.
package lease

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/store"
)

const (
	// Sort is the kind of lease objects in the object API.
	ObjectKind = "lease"
	// DefaultTerm is the term of a lease. The holder stops after two thirds of it; others wait for all of it.
	DefaultTerm = 15 * time.Second
)

// Record is the value of a lease object.
type Record struct {
	// Holder is empty after a release.
	Holder       ident.ProcessID `json:"holder"`
	Boot         ident.Boot      `json:"boot"`
	FencingToken ident.Fence     `json:"fence"`
	// Count grows by one with each write by a holder, so that others see renewals.
	WriteCount uint64 `json:"count"`
	// Term is the term in milliseconds.
	TermMillis int64 `json:"term"`
}

// Encode returns the value of r for the object API.
func (r Record) Encode() []byte {
	b, _ := json.Marshal(r) // a struct of strings and integers always encodes
	return b
}

// Decode returns the record in an object's value.
func Decode(value []byte) (r Record, err error) {
	if err = json.Unmarshal(value, &r); err != nil {
		return Record{}, errors.WithMessage(err, "decode lease")
	}
	return r, nil
}

// Verb is the kind of a store call.
type Verb string

// Verbs.
const (
	Read   Verb = "read"
	Create Verb = "create"
	Update Verb = "update"
)

// Call is the action to make one store call. Its result goes to Machine.Result with the same number.
// A call that has no answer within a third of the term is reported as store.ErrUnsure.
type Call struct {
	Seq    ident.Seq
	Verb   Verb
	Object store.Object
}
