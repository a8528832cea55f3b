// Package member determines which processes are alive, from the platform's VM list, which lags behind, and from
// messages received. It also makes choices of processes that are the same on every process with the same
// members. Each router that works with agents holds one Membership.
package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hickoryvane.example/core/ident"
)

// Role is the role of a process.
type Role string

// Roles of processes.
const (
	Router Role = "router"
	Agent  Role = "agent"
)

// State is the state of a member.
type State string

// States of members. Only Live members get new work; Suspected ones may still run earlier work.
const (
	Live      State = "live"
	Suspected State = "suspected"
	Leaving   State = "leaving"
	Gone      State = "gone"
)

const (
	// SuspectAfter is the silence after which a monitored member is suspected.
	SuspectAfter = 3 * time.Second
	// GoneAfter is the silence after which a monitored member is gone; a member that is not listed is gone
	// after SuspectAfter.
	GoneAfter = 10 * time.Second
	// LeaveWithin is the time within which no more new work is sent to a leaving member. The state changes in the
	// call of ApplyList or RecordMessage that reports the leave, so the platform's list has to be read more often
	// than this.
	LeaveWithin = 3 * time.Second
)

// Entry is a VM as listed by the platform.
type Entry struct {
	VM      ident.ProcessID
	Address string
	Role    Role
	Centre  ident.DataCentre
	Leaving bool
}

// Member is a process with its state.
type Member struct {
	Entry
	Region ident.Region
	State  State
	// Boot is the latest boot seen in a message; zero if none was received.
	Boot ident.Boot
	// Listed is true when the last list contained the VM.
	Listed bool
}

// Change reports that the state of a member changed from Previous to Member.State.
type Change struct {
	Member   Member
	Previous State
}

// Regions maps each data centre to its region.
type Regions map[ident.DataCentre]ident.Region

// record is the information held about a member.
type record struct {
	entry  Entry
	state  State
	boot   ident.Boot
	listed bool
	// leaveAnnounced is true when the member itself announced in its current boot that it leaves, and a message
	// from it was received within GoneAfter.
	leaveAnnounced bool
	// monitored is true while messages are expected from the member at least once a second.
	monitored bool
	// lastSeen is the time of the last message, of the first appearance in a list, or of the last start or end
	// of monitoring.
	lastSeen time.Time
}

// Membership is the set of members as one process sees it.
type Membership struct {
	self    Entry
	regions Regions
	records map[ident.ProcessID]*record
	// sortedIDs holds the ids of all records in order; nil after a record was added or removed.
	sortedIDs []ident.ProcessID
}

// New returns a membership that holds only the process itself.
func New(self Entry, regions Regions) *Membership {
	m := &Membership{self: self, regions: regions, records: map[ident.ProcessID]*record{}}
	m.records[self.VM] = &record{entry: self, state: Live, listed: true}
	return m
}

// SetRegions replaces the map of regions after a change of the configuration.
func (m *Membership) SetRegions(r Regions) { m.regions = r }

// ApplyList applies a new version of the platform's list.
func (m *Membership) ApplyList(now time.Time, list []Entry) []Change {
	listed := make(map[ident.ProcessID]bool, len(list))
	for _, e := range list {
		listed[e.VM] = true
		r := m.getOrAdd(e.VM, e, now)
		r.entry, r.listed = e, true
	}
	for id, r := range m.records {
		if !listed[id] && id != m.self.VM {
			r.listed, r.entry.Leaving = false, false
		}
	}
	return m.update(now)
}

// RecordMessage records a message from a process, with the data of its handshake. leaving is true when the
// message says that the process takes no new work; this holds until a later boot. Messages of an earlier boot
// are ignored.
func (m *Membership) RecordMessage(now time.Time, from Entry, boot ident.Boot, leaving bool) []Change {
	r := m.getOrAdd(from.VM, from, now)
	if boot < r.boot {
		return nil
	}
	if boot > r.boot {
		r.boot, r.leaveAnnounced = boot, false
	}
	r.lastSeen = now
	r.leaveAnnounced = r.leaveAnnounced || leaving
	if c, changed := m.refreshState(from.VM, r, now); changed {
		return []Change{c}
	}
	return nil
}

// StartMonitoring is called when a connection to id is wanted; from then on messages are expected from it.
func (m *Membership) StartMonitoring(now time.Time, id ident.ProcessID) {
	if r := m.records[id]; r != nil && !r.monitored {
		r.monitored, r.lastSeen = true, now
	}
}

// StopMonitoring is called when no connection to id is wanted; silence of id is then ignored.
func (m *Membership) StopMonitoring(now time.Time, id ident.ProcessID) {
	if r := m.records[id]; r != nil {
		r.monitored, r.lastSeen = false, now
	}
}

// Tick updates the states for the time now; it is called at least once a second.
func (m *Membership) Tick(now time.Time) []Change { return m.update(now) }

func (m *Membership) getOrAdd(id ident.ProcessID, e Entry, now time.Time) *record {
	r := m.records[id]
	if r == nil {
		r = &record{entry: e, state: Gone, lastSeen: now}
		m.records[id], m.sortedIDs = r, nil
	}
	return r
}

// update computes all states and returns the changes, ordered by VM. Records of members that are gone and not
// listed are removed.
func (m *Membership) update(now time.Time) (out []Change) {
	for id, r := range m.records {
		if c, changed := m.refreshState(id, r, now); changed {
			out = append(out, c)
		}
		if r.state == Gone && !r.listed {
			delete(m.records, id)
			m.sortedIDs = nil
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.Member.VM, b.Member.VM) })
	return out
}

// refreshState computes the state of one record.
func (m *Membership) refreshState(id ident.ProcessID, r *record, now time.Time) (c Change, changed bool) {
	previous := r.state
	// The process of a VM that is still listed is expected to start again; only a connection shows its later
	// boot.
	r.leaveAnnounced = r.leaveAnnounced && now.Sub(r.lastSeen) < GoneAfter
	r.state = m.stateAt(id, r, now)
	return Change{Member: m.member(r), Previous: previous}, r.state != previous
}

// stateAt returns the state of one record. Silence counts for monitored members and for members that are not
// listed.
func (m *Membership) stateAt(id ident.ProcessID, r *record, now time.Time) State {
	silence := now.Sub(r.lastSeen)
	if id == m.self.VM || r.listed && !r.monitored {
		silence = 0
	}
	switch {
	case silence >= GoneAfter, silence >= SuspectAfter && !r.listed:
		return Gone
	case r.entry.Leaving, r.leaveAnnounced:
		return Leaving
	case silence >= SuspectAfter:
		return Suspected
	}
	return Live
}

func (m *Membership) member(r *record) Member {
	return Member{Entry: r.entry, Region: m.regions[r.entry.Centre], State: r.state, Boot: r.boot, Listed: r.listed}
}

// State returns the state of a process; an unknown one is Gone.
func (m *Membership) State(id ident.ProcessID) State {
	if r := m.records[id]; r != nil {
		return r.state
	}
	return Gone
}

// Members returns all known members ordered by VM.
func (m *Membership) Members() []Member {
	out := make([]Member, 0, len(m.records))
	for _, id := range m.idsInOrder() {
		out = append(out, m.member(m.records[id]))
	}
	return out
}

// idsInOrder returns the ids of all records in order. They are sorted only after a record was added or removed.
func (m *Membership) idsInOrder() []ident.ProcessID {
	if m.sortedIDs == nil {
		m.sortedIDs = slices.Sorted(maps.Keys(m.records))
	}
	return m.sortedIDs
}

// Live returns the live members of a role and region ordered by VM; an empty role or region means all.
func (m *Membership) Live(role Role, region ident.Region) []Member {
	var out []Member
	for _, id := range m.idsInOrder() {
		r := m.records[id]
		if r.state != Live || role != "" && r.entry.Role != role {
			continue
		}
		if p := m.member(r); region == "" || p.Region == region {
			out = append(out, p)
		}
	}
	return out
}
