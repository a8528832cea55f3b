// Package member decides which processes are alive, from the platform's lagging list and from
// messages received, and derives deterministic choices from that.
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

// Roles.
const (
	Router Role = "router"
	Agent  Role = "agent"
)

// State is the state of a member.
type State string

// States. Only Live members get new work; Suspected ones may still hold old work.
const (
	Live      State = "live"
	Suspected State = "suspected"
	Leaving   State = "leaving"
	Gone      State = "gone"
)

const (
	// SuspectAfter is the silence after which a watched member is suspected.
	SuspectAfter = 3 * time.Second
	// GoneAfter is the silence after which a watched or unlisted member is gone.
	GoneAfter = 10 * time.Second
	// LeaveWithin is the time within which a leaving member gets no new work. The states change in
	// the call that reports it; the platform's list has to be read more often than this.
	LeaveWithin = 3 * time.Second
)

// Entry is a VM as the platform's list names it.
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
	// Boot is the newest boot heard; zero if none was heard.
	Boot ident.Boot
	// Listed is true when the last list named the VM.
	Listed bool
}

// Change is the action to react to a new state of a member.
type Change struct {
	Member   Member
	Previous State
}

// Regions maps each data centre to its region.
type Regions map[ident.DataCentre]ident.Region

// record is what is known of a member.
type record struct {
	entry  Entry
	state  State
	boot   ident.Boot
	listed bool
	// said is true when the member itself announced that it leaves, in its current boot, and was heard since
	// within GoneAfter.
	leaveAnnounced bool
	// watched is true while messages are expected from the member at least once a second.
	monitored bool
	// heard is the last sign of life, or the time when watching began.
	lastSeen time.Time
}

// Machine is the membership as one process sees it.
type Membership struct {
	self    Entry
	regions Regions
	records map[ident.ProcessID]*record
	// order holds the ids of all in order; nil after one came or went.
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

// List takes a new version of the platform's list.
func (m *Membership) ApplyList(now time.Time, list []Entry) []Change {
	named := make(map[ident.ProcessID]bool, len(list))
	for _, e := range list {
		named[e.VM] = true
		r := m.getOrAdd(e.VM, e, now)
		r.entry, r.listed = e, true
	}
	for id, r := range m.records {
		if !named[id] && id != m.self.VM {
			r.listed, r.entry.Leaving = false, false
		}
	}
	return m.update(now)
}

// Heard notes a message from a process, with what its handshake said. leaving is true when the
// message says that it takes no new work; only a later boot takes that back. Messages of an earlier
// boot are ignored.
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

// Watch tells that messages are expected from id from now on, because a connection to it is wanted.
func (m *Membership) StartMonitoring(now time.Time, id ident.ProcessID) {
	if r := m.records[id]; r != nil && !r.monitored {
		r.monitored, r.lastSeen = true, now
	}
}

// Unwatch tells that silence of id means nothing any more, because no connection is wanted.
func (m *Membership) StopMonitoring(now time.Time, id ident.ProcessID) {
	if r := m.records[id]; r != nil {
		r.monitored, r.lastSeen = false, now
	}
}

// Tick applies the passing of time; it is called at least once a second.
func (m *Membership) Tick(now time.Time) []Change { return m.update(now) }

func (m *Membership) getOrAdd(id ident.ProcessID, e Entry, now time.Time) *record {
	r := m.records[id]
	if r == nil {
		r = &record{entry: e, state: Gone, lastSeen: now}
		m.records[id], m.sortedIDs = r, nil
	}
	return r
}

// update computes all states and returns the changes, ordered by VM. Members that are gone and not
// listed are forgotten.
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

// refresh computes the state of one record.
func (m *Membership) refreshState(id ident.ProcessID, r *record, now time.Time) (c Change, changed bool) {
	was := r.state
	// The process of a VM that is still listed is started again; only a connection shows its later boot.
	r.leaveAnnounced = r.leaveAnnounced && now.Sub(r.lastSeen) < GoneAfter
	r.state = m.stateAt(id, r, now)
	return Change{Member: m.member(r), Previous: was}, r.state != was
}

// stateAt derives the state of one record. Silence counts for watched members, and for those that
// only messages vouch for.
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

// sorted returns the ids of all members in order. They are sorted only after one came or went.
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
