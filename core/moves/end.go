package moves

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/ident"
)

// State is the state of a move.
type State string

// States. Done and Back are final once they are recorded.
const (
	Waiting    State = "waiting"
	Running    State = "running"
	Done       State = "done"
	RolledBack State = "taken back"
)

// Reason tells why a move was taken back; it is empty for a move that was done.
type Reason string

// Reasons.
const (
	ReasonFailures            Reason = "failures"
	ReasonSlow                Reason = "slow"
	ReasonConsecutiveFailures Reason = "consecutive failures"
	ReasonDeadline            Reason = "deadline"
	ReasonCancelled           Reason = "cancelled"
)

// Sort is the kind of the objects that record the ends of moves; their name is that of the move.
const ObjectKind = "move"

// End is the decided end of a move, and the value of its record.
type Conclusion struct {
	Rollout ident.Rollout `json:"move"`
	Service ident.Service `json:"service"`
	State   State         `json:"state"`
	Reason  Reason        `json:"reason,omitempty"`
	Route   ident.Route   `json:"route,omitempty"`
	Class   ident.Class   `json:"class,omitempty"`
	// At is the time of the decision, which is earlier than that of the record when the store was out.
	DecidedAt time.Time `json:"at"`
	// Attempt identifies the process and try that wrote the record, so that a lost answer can be resolved.
	Attempt string `json:"attempt,omitempty"`
	// Fence is the fencing number of the lease under which it was written.
	FencingToken ident.Fence `json:"fence,omitempty"`
}

// Encode returns the value of e for the object API and for facts.
func (e Conclusion) Encode() []byte {
	b, _ := json.Marshal(e) // a struct of strings, numbers and a time always encodes
	return b
}

// DecodeEnd returns the end in a value.
func DecodeConclusion(value []byte) (e Conclusion, err error) {
	if err = json.Unmarshal(value, &e); err != nil {
		return Conclusion{}, errors.WithMessage(err, "decode end of move")
	}
	if e.State != Done && e.State != RolledBack {
		return Conclusion{}, errors.Errorf("decode end of move: state %q", e.State)
	}
	return e, nil
}

// wins reports whether decision e replaces f while none is recorded: a move is rather taken back
// than done, and the earlier decision stands.
func (e Conclusion) supersedes(f Conclusion) bool {
	if e.State != f.State {
		return e.State == RolledBack
	}
	return e.DecidedAt.Before(f.DecidedAt)
}

// Verdict is the value of a fact of sort facts.SortBad.
type Verdict struct {
	Reason   Reason      `json:"reason"`
	Route    ident.Route `json:"route,omitempty"`
	Class    ident.Class `json:"class,omitempty"`
	JudgedAt time.Time   `json:"at"`
}

// Encode returns the value of v.
func (v Verdict) Encode() []byte {
	b, _ := json.Marshal(v) // a struct of strings and a time always encodes
	return b
}

// DecodeVerdict returns the verdict in a value. The presence of the fact counts, whatever its value.
func DecodeVerdict(value []byte) (v Verdict) {
	_ = json.Unmarshal(value, &v)
	return v
}

// BadKey is the key of the fact that a version of a service is bad.
func BadVersionKey(s ident.Service, v ident.Version) string { return string(s) + "/" + string(v) }
