// Package orders decides which load commands the holder of a lease sends for targets, so that each target runs
// its declared version, within the rate of loads that the store of the model weights allows. The routers are the
// candidates for the lease; each holds a Planner.
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
	// RetryInterval is the time after which a command without effect is issued again.
	RetryInterval = 60 * time.Second
	// MinLeaseValidity is the least remaining validity of the lease with which a command is issued.
	MinLeaseValidity = 2 * time.Second
	// VerbLoad is the verb of a command to load a version.
	VerbLoad = "load"
)

// Target is a declared target.
type Target struct {
	ID      ident.TargetID
	Agent   ident.ProcessID
	Version ident.Version
}

// Command is a command for the caller to send to the agent of a target.
type Command struct {
	Agent   ident.ProcessID
	Command wire.Command
}

// Planner holds the declared and reported versions of targets at one candidate for the lease. It is not safe for
// concurrent use.
type Planner struct {
	lease       string
	loadLimiter *rate.Limiter
	targets     map[ident.TargetID]*target
	// loaded holds the reported versions, including those of targets that are not declared yet.
	loaded map[ident.TargetID]ident.Version
}

// target is a declared target with the last command issued for it.
type target struct {
	Target
	commandID ident.RequestID
	issuedAt  time.Time
}

// New returns a planner that issues commands under the named lease.
func New(lease string) *Planner {
	return &Planner{
		lease: lease, loadLimiter: rate.NewLimiter(0, 1),
		targets: make(map[ident.TargetID]*target), loaded: make(map[ident.TargetID]ident.Version),
	}
}

// SetTargets replaces the declared targets and sets the number of loads allowed per minute.
func (p *Planner) SetTargets(now time.Time, loadsPerMinute int, targets []Target) {
	p.loadLimiter.SetLimitAt(now, rate.Limit(float64(loadsPerMinute)/60))
	old := p.targets
	p.targets = make(map[ident.TargetID]*target, len(targets))
	for _, t := range targets {
		next := &target{Target: t}
		if previous := old[t.ID]; previous != nil && previous.Target == t {
			next.commandID, next.issuedAt = previous.commandID, previous.issuedAt
		}
		p.targets[t.ID] = next
	}
}

// SetLoaded records the version that a target reports to run.
func (p *Planner) SetLoaded(id ident.TargetID, v ident.Version) { p.loaded[id] = v }

// IssueDue returns the commands that are due, in the order of the targets' ids, and records them as issued. fence and
// valid are the fencing token and remaining validity of the lease; while it is not held, no command is issued.
func (p *Planner) IssueDue(now time.Time, fence ident.Fence, valid time.Duration, leaseHeld bool) (out []Command) {
	if !leaseHeld || valid < MinLeaseValidity {
		return nil
	}
	for _, t := range p.mismatched() {
		if !t.issuedAt.IsZero() && now.Sub(t.issuedAt) < RetryInterval {
			continue
		}
		if !p.loadLimiter.AllowN(now, 1) {
			return out
		}
		t.issuedAt, t.commandID = now, ident.NewRequestID()
		out = append(out, Command{Agent: t.Agent, Command: wire.Command{
			ID: t.commandID, Lease: p.lease, Fence: fence, ValidMillis: valid.Milliseconds(), Verb: VerbLoad, Version: t.Version,
		}})
	}
	return out
}

// mismatched returns the targets that report a version other than the declared one.
func (p *Planner) mismatched() (out []*target) {
	for id, t := range p.targets {
		if v := p.loaded[id]; v != "" && v != t.Version {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// MarkUnsent records that a command could not be sent, so that it is issued again without delay.
func (p *Planner) MarkUnsent(id ident.RequestID) {
	for _, t := range p.targets {
		if t.commandID == id {
			t.issuedAt = time.Time{}
		}
	}
}
