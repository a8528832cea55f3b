package facts

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// Send is the action to send a message to a peer. A message may be lost; gossip repeats it.
type Send struct {
	To    ident.ProcessID
	Facts *wire.Gossip
}

// Peers are the processes that a round may reach.
type Peers struct {
	// Near are the live processes of the own region; the own id is ignored.
	Near []ident.ProcessID
	// Far is set on the processes chosen for the region link: the counterparts in other regions.
	Far []ident.ProcessID
	// Backup is true on the second process of the pair: it only repairs over the link.
	Backup bool
}

// Machine is the table of facts of one process and its gossip. It is not safe for concurrent use.
type Machine struct {
	self  ident.ProcessID
	boot  ident.Boot
	rnd   *rand.Rand
	rules map[string]Rule

	push, serve ident.Bytes
	countMax    int
	sizeMax     ident.Bytes

	held map[slot]*entry
	// size is the sum of the sizes of the held facts.
	size ident.Bytes
	// digest holds the exclusive or of the version hashes per bucket.
	digest [buckets]uint64
	// hot lists slots that may still be pushed, and changed those not yet returned by Changed.
	hot, changed []slot
	// asked holds the values that were asked for and did not arrive yet.
	asked map[slot]*request
	// beats holds the slots of ranked sorts.
	beats map[slot]bool
	// round counts calls of Tick; phase spreads the digests of different processes.
	round, phase int
	// left and served are the bytes left of the push and serve budgets in this round.
	left, served ident.Bytes
	// kept is the part of left that ordinary pushes must not use.
	kept ident.Bytes
	// near are the peers of the own region, and chosen those of the running round.
	near, chosen []ident.ProcessID
	// count is the last version number given to an own fact.
	count uint64
}

// New returns an empty table for the process self, started as boot.
func New(self ident.ProcessID, boot ident.Boot, rnd *rand.Rand, opts ...Option) *Machine {
	m := &Machine{
		self: self, boot: boot, rnd: rnd, rules: defaultRules(),
		push: DefaultPush, serve: DefaultServe, countMax: DefaultFacts, sizeMax: DefaultBytes,
		held: map[slot]*entry{}, asked: map[slot]*request{}, beats: map[slot]bool{}, phase: rnd.IntN(repairRounds),
	}
	for _, o := range opts {
		o(m)
	}
	m.left, m.served = m.push, m.serve
	return m
}

// Set writes a fact of this process. It reports false when the value is too large, when there is no
// room, or when a ranked sort holds the same or a higher rank.
func (m *Machine) Set(now time.Time, sort, key string, value []byte) bool {
	f := wire.GossipEntry{Kind: sort, Key: key, Origin: m.self, Value: slices.Clone(value)}
	if rank := m.rule(sort).Rank; rank != nil {
		n, ok := rank(value)
		if !ok {
			return false
		}
		f.Boot, f.Seq = ident.Boot(xxhash.Sum64(value)), n
	} else {
		m.count++
		f.Boot, f.Seq = m.boot, m.count
	}
	return m.put(now, f, "")
}

// Get returns the value of a ranked sort, or the own fact of any other sort.
func (m *Machine) Get(sort, key string) (wire.GossipEntry, bool) { return m.From(sort, key, m.self) }

// From returns the fact of one origin.
func (m *Machine) From(sort, key string, origin ident.ProcessID) (wire.GossipEntry, bool) {
	e, ok := m.held[m.slotOf(sort, key, origin)]
	if !ok {
		return wire.GossipEntry{}, false
	}
	return e.fact, true
}

// All returns the facts of a sort ordered by key, then origin.
func (m *Machine) All(sort string) []wire.GossipEntry {
	var slots []slot
	for s := range m.held {
		if s.sort == sort {
			slots = append(slots, s)
		}
	}
	slices.SortFunc(slots, compareSlots)
	out := make([]wire.GossipEntry, len(slots))
	for i, s := range slots {
		out[i] = m.held[s].fact
	}
	return out
}

// Merge adds facts that were received other than by Handle, for example read from the store. It
// returns those that were new. The result does not depend on order or repetition of merges, as long
// as the bounds of the table are not reached.
func (m *Machine) Merge(now time.Time, fs []wire.GossipEntry) (changed []wire.GossipEntry) {
	return m.merge(now, "", fs)
}

func (m *Machine) merge(now time.Time, from ident.ProcessID, fs []wire.GossipEntry) (changed []wire.GossipEntry) {
	for _, f := range fs {
		m.outlive(f)
		if m.put(now, f, from) {
			changed = append(changed, f)
		}
	}
	return changed
}

// outlive raises the own boot above that of an own fact from an earlier run, which is larger when
// the clock was set back between the runs.
func (m *Machine) outlive(f wire.GossipEntry) {
	if f.Origin == m.self && m.rule(f.Kind).Rank == nil && f.Boot > m.boot {
		m.boot = f.Boot + 1
	}
}

// Changed returns the facts that were set or merged since the last call, each in its newest version.
func (m *Machine) Changed() []wire.GossipEntry {
	var out []wire.GossipEntry
	seen := map[slot]bool{}
	for _, s := range m.changed {
		if e := m.held[s]; e != nil && !seen[s] {
			seen[s] = true
			out = append(out, e.fact)
		}
	}
	m.changed = m.changed[:0]
	return out
}

// Len returns the number and the bytes of the facts held.
func (m *Machine) Len() (int, ident.Bytes) { return len(m.held), m.size }
