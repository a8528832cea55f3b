// Package orders decides which orders the holder of a lease gives to targets, so that each runs the version
// that is declared for it, within the rate of the weight store.
package orders

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

const (
	// Again is the time after which an order without effect is given once more.
	RetryInterval = 60 * time.Second
	// ValidLeast is the least validity of the lease with which an order is given.
	MinLeaseValidity = 2 * time.Second
	// Load is the verb of an order to load a version.
	VerbLoad = "load"
)

// Target is a declared target.
type Target struct {
	ID      ident.TargetID
	Agent   ident.ProcessID
	Version ident.Version
}

// Order is the action to send an order to the agent beside a target.
type Command struct {
	Agent   ident.ProcessID
	Command wire.Command
}

// Machine holds what one candidate knows of the versions that targets run. It is not safe for concurrent use.
type Planner struct {
	lease       string
	loadLimiter *rate.Limiter
	targets     map[ident.TargetID]*target
	// loaded holds the reported versions, also of targets that are not declared yet.
	loaded map[ident.TargetID]ident.Version
}

// target is a declared target with the last order given to it.
type target struct {
	Target
	commandID ident.RequestID
	issuedAt  time.Time
}

// New returns a machine that gives orders under the named lease.
func New(lease string) *Planner {
	return &Planner{
		lease: lease, loadLimiter: rate.NewLimiter(0, 1),
		targets: make(map[ident.TargetID]*target), loaded: make(map[ident.TargetID]ident.Version),
	}
}

// Declare takes the declared targets and the number of loads allowed per minute.
func (m *Planner) SetTargets(now time.Time, loads int, ts []Target) {
	m.loadLimiter.SetLimitAt(now, rate.Limit(float64(loads)/60))
	old := m.targets
	m.targets = make(map[ident.TargetID]*target, len(ts))
	for _, t := range ts {
		n := &target{Target: t}
		if o := old[t.ID]; o != nil && o.Target == t {
			n.commandID, n.issuedAt = o.commandID, o.issuedAt
		}
		m.targets[t.ID] = n
	}
}

// Reported takes the version that a target says it runs.
func (m *Planner) SetLoaded(id ident.TargetID, v ident.Version) { m.loaded[id] = v }

// Due returns the orders to give now, in the order of the targets' names. fence and valid are those of the
// lease at this moment; without a lease nothing is ordered.
func (m *Planner) IssueDue(now time.Time, fence ident.Fence, valid time.Duration, held bool) (out []Command) {
	if !held || valid < MinLeaseValidity {
		return nil
	}
	for _, t := range m.mismatched() {
		if !t.issuedAt.IsZero() && now.Sub(t.issuedAt) < RetryInterval {
			continue
		}
		if !m.loadLimiter.AllowN(now, 1) {
			return out
		}
		t.issuedAt, t.commandID = now, ident.NewRequestID()
		out = append(out, Command{Agent: t.Agent, Command: wire.Command{
			ID: t.commandID, Lease: m.lease, Fence: fence, ValidMillis: valid.Milliseconds(), Verb: VerbLoad, Version: t.Version,
		}})
	}
	return out
}

// wrong returns the targets that report another version than the declared one.
func (m *Planner) mismatched() (out []*target) {
	for id, t := range m.targets {
		if v := m.loaded[id]; v != "" && v != t.Version {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Unsent takes in that an order could not be sent; it is given again at once.
func (m *Planner) MarkUnsent(id ident.RequestID) {
	for _, t := range m.targets {
		if t.commandID == id {
			t.issuedAt = time.Time{}
		}
	}
}
