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
	Again = 60 * time.Second
	// ValidLeast is the least validity of the lease with which an order is given.
	ValidLeast = 2 * time.Second
	// Load is the verb of an order to load a version.
	Load = "load"
)

// Target is a declared target.
type Target struct {
	ID      ident.TargetID
	Agent   ident.ProcessID
	Version ident.Version
}

// Order is the action to send an order to the agent beside a target.
type Order struct {
	Agent ident.ProcessID
	Order wire.Command
}

// Machine holds what one candidate knows of the versions that targets run. It is not safe for concurrent use.
type Machine struct {
	lease   string
	limit   *rate.Limiter
	targets map[ident.TargetID]*target
	// loaded holds the reported versions, also of targets that are not declared yet.
	loaded map[ident.TargetID]ident.Version
}

// target is a declared target with the last order given to it.
type target struct {
	Target
	id    ident.RequestID
	asked time.Time
}

// New returns a machine that gives orders under the named lease.
func New(lease string) *Machine {
	return &Machine{
		lease: lease, limit: rate.NewLimiter(0, 1),
		targets: make(map[ident.TargetID]*target), loaded: make(map[ident.TargetID]ident.Version),
	}
}

// Declare takes the declared targets and the number of loads allowed per minute.
func (m *Machine) Declare(now time.Time, loads int, ts []Target) {
	m.limit.SetLimitAt(now, rate.Limit(float64(loads)/60))
	old := m.targets
	m.targets = make(map[ident.TargetID]*target, len(ts))
	for _, t := range ts {
		n := &target{Target: t}
		if o := old[t.ID]; o != nil && o.Target == t {
			n.id, n.asked = o.id, o.asked
		}
		m.targets[t.ID] = n
	}
}

// Reported takes the version that a target says it runs.
func (m *Machine) Reported(id ident.TargetID, v ident.Version) { m.loaded[id] = v }

// Due returns the orders to give now, in the order of the targets' names. fence and valid are those of the
// lease at this moment; without a lease nothing is ordered.
func (m *Machine) Due(now time.Time, fence ident.Fence, valid time.Duration, held bool) (out []Order) {
	if !held || valid < ValidLeast {
		return nil
	}
	for _, t := range m.wrong() {
		if !t.asked.IsZero() && now.Sub(t.asked) < Again {
			continue
		}
		if !m.limit.AllowN(now, 1) {
			return out
		}
		t.asked, t.id = now, ident.NewRequestID()
		out = append(out, Order{Agent: t.Agent, Order: wire.Command{
			ID: t.id, Lease: m.lease, Fence: fence, ValidMillis: valid.Milliseconds(), Verb: Load, Version: t.Version,
		}})
	}
	return out
}

// wrong returns the targets that report another version than the declared one.
func (m *Machine) wrong() (out []*target) {
	for id, t := range m.targets {
		if v := m.loaded[id]; v != "" && v != t.Version {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Unsent takes in that an order could not be sent; it is given again at once.
func (m *Machine) Unsent(id ident.RequestID) {
	for _, t := range m.targets {
		if t.id == id {
			t.asked = time.Time{}
		}
	}
}
