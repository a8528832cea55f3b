package avail

import (
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"

	"hickoryvane.example/core/ident"
)

// Entry is a target with its state, in a list for operators.
type Entry struct {
	Target  ident.TargetID   `json:"target"`
	Service ident.Service    `json:"service"`
	Centre  ident.DataCentre `json:"centre"`
	Version ident.Version    `json:"version,omitempty"`
	State   string           `json:"state"`
	// Source tells where the state is known from, End what ends it, and Left the time until then in ms if that is known.
	Source Source `json:"source,omitempty"`
	End    string `json:"end,omitempty"`
	Left   int64  `json:"left,omitempty"`
}

// List lists the targets of a router.
type List struct {
	Router    ident.ProcessID    `json:"router"`
	Evacuated []ident.DataCentre `json:"evacuated"`
	Targets   []Entry            `json:"targets"`
}

// Add adds a target, of which e states all but the state.
func (l *List) Add(now time.Time, e Entry, s Status) {
	e.State, e.Source, e.End = s.State.String(), s.Source, s.State.End()
	if !s.Until.IsZero() {
		e.Left = s.Until.Sub(now).Milliseconds()
	}
	l.Targets = append(l.Targets, e)
}

// Encode writes the list as JSON, in the order of the ids.
func (l *List) Encode(w io.Writer) error {
	slices.SortFunc(l.Targets, func(a, b Entry) int { return cmp.Compare(a.Target, b.Target) })
	return json.NewEncoder(w).Encode(l)
}
