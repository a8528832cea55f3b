package moves

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/ident"
)

// State is the state of a rollout.
type State string

// States of a rollout. Done and RolledBack are final once they are recorded.
const (
	Waiting    State = "waiting"
	Running    State = "running"
	Done       State = "done"
	RolledBack State = "taken back"
)

// Reason tells why a rollout was rolled back; it is empty for a completed rollout.
type Reason string

// Reasons for a rollback.
const (
	ReasonFailures            Reason = "failures"
	ReasonSlow                Reason = "slow"
	ReasonConsecutiveFailures Reason = "consecutive failures"
	ReasonDeadline            Reason = "deadline"
	ReasonCancelled           Reason = "cancelled"
	// ReasonUnknown means that another process recorded the rollback and its verdict is not known here.
	ReasonUnknown Reason = "unknown"
)

// ObjectKind is the kind of the objects that record the conclusions of rollouts, under the name of the rollout.
const ObjectKind = "move"

// Conclusion is how a rollout ended: the decision, and the value of the object that records it.
type Conclusion struct {
	Rollout ident.Rollout `json:"move"`
	Service ident.Service `json:"service"`
	State   State         `json:"state"`
	Reason  Reason        `json:"reason,omitempty"`
	Route   ident.Route   `json:"route,omitempty"`
	Class   ident.Class   `json:"class,omitempty"`
	// DecidedAt is the time of the decision. The record is written later than that when the store was unavailable.
	DecidedAt time.Time `json:"at"`
	// Attempt identifies the boot of the process and the store call that wrote the record, so that a write whose
	// answer was lost can be recognised.
	Attempt string `json:"attempt,omitempty"`
	// FencingToken is the fencing token of the lease under which the record was written.
	FencingToken ident.Fence `json:"fence,omitempty"`
}

// Encode returns the value of c for the object API and for gossip entries.
func (c Conclusion) Encode() []byte {
	b, _ := json.Marshal(c) // never fails for strings, numbers and a time
	return b
}

// DecodeConclusion returns the conclusion in a value.
func DecodeConclusion(value []byte) (c Conclusion, err error) {
	if err = json.Unmarshal(value, &c); err != nil {
		return Conclusion{}, errors.WithMessage(err, "decode conclusion of rollout")
	}
	if c.State != Done && c.State != RolledBack {
		return Conclusion{}, errors.Errorf("decode conclusion of rollout: state %q is not final", c.State)
	}
	return c, nil
}

// supersedes reports whether decision c replaces d while none is recorded: a rollback takes precedence over a
// completion, and otherwise the earlier decision does.
func (c Conclusion) supersedes(d Conclusion) bool {
	if c.State != d.State {
		return c.State == RolledBack
	}
	return c.DecidedAt.Before(d.DecidedAt)
}

// Verdict is the value of the gossip entry which says that a version is bad.
type Verdict struct {
	Reason   Reason      `json:"reason"`
	Route    ident.Route `json:"route,omitempty"`
	Class    ident.Class `json:"class,omitempty"`
	JudgedAt time.Time   `json:"at"`
	// Score and Counts are those of the judgement; empty when an agent judged by its own outcomes.
	Score  float64 `json:"score,omitempty"`
	Counts string  `json:"counts,omitempty"`
}

// Encode returns the value of v.
func (v Verdict) Encode() []byte {
	b, _ := json.Marshal(v) // never fails for strings and a time
	return b
}

// DecodeVerdict returns the verdict in a value. It ignores errors, as the presence of the entry alone makes the
// version bad, whatever its value.
func DecodeVerdict(value []byte) (v Verdict) {
	_ = json.Unmarshal(value, &v)
	return v
}

// BadVersionKey is the key of the gossip entry which says that a version of a service is bad.
func BadVersionKey(s ident.Service, v ident.Version) string { return string(s) + "/" + string(v) }
