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
type Envelope struct {
	To      ident.ProcessID
	Message *wire.Gossip
}

// Peers are the processes that a round may reach.
type Peers struct {
	// Near are the live processes of the own region; the own id is ignored.
	SameRegion []ident.ProcessID
	// Far is set on the processes chosen for the region link: the counterparts in other regions.
	OtherRegions []ident.ProcessID
	// Backup is true on the second process of the pair: it only repairs over the link.
	Backup bool
}

// Machine is the table of facts of one process and its gossip. It is not safe for concurrent use.
type Gossiper struct {
	self  ident.ProcessID
	boot  ident.Boot
	rnd   *rand.Rand
	rules map[string]Rule

	pushBudget, serveBudget ident.Bytes
	entriesMax              int
	bytesMax                ident.Bytes

	held map[slot]*heldEntry
	// size is the sum of the sizes of the held facts.
	bytes ident.Bytes
	// digest holds the exclusive or of the version hashes per bucket.
	digest [bucketCount]uint64
	// hot lists slots that may still be pushed, and changed those not yet returned by Changed.
	toPush, changed []slot
	// asked holds the values that were asked for and did not arrive yet.
	pending map[slot]*valueRequest
	// beats holds the slots of ranked sorts.
	ranked map[slot]bool
	// round counts calls of Tick; phase spreads the digests of different processes.
	round, repairPhase int
	// left and served are the bytes left of the push and serve budgets in this round.
	pushRemaining, serveRemaining ident.Bytes
	// kept is the part of left that ordinary pushes must not use.
	urgentReserve ident.Bytes
	// near are the peers of the own region, and chosen those of the running round.
	sameRegion, roundPeers []ident.ProcessID
	// count is the last version number given to an own fact.
	seq uint64
}

// New returns an empty table for the process self, started as boot.
func New(self ident.ProcessID, boot ident.Boot, rnd *rand.Rand, opts ...Option) *Gossiper {
	m := &Gossiper{
		self: self, boot: boot, rnd: rnd, rules: defaultRules(),
		pushBudget: DefaultPushBudget, serveBudget: DefaultServeBudget, entriesMax: DefaultEntriesMax, bytesMax: DefaultBytesMax,
		held: map[slot]*heldEntry{}, pending: map[slot]*valueRequest{}, ranked: map[slot]bool{}, repairPhase: rnd.IntN(repairRounds),
	}
	for _, o := range opts {
		o(m)
	}
	m.pushRemaining, m.serveRemaining = m.pushBudget, m.serveBudget
	return m
}

// Set writes a fact of this process. It reports false when the value is too large, when there is no
// room, or when a ranked sort holds the same or a higher rank.
func (m *Gossiper) Set(now time.Time, sort, key string, value []byte) bool {
	f := wire.GossipEntry{Kind: sort, Key: key, Origin: m.self, Value: slices.Clone(value)}
	if rank := m.rule(sort).Rank; rank != nil {
		n, ok := rank(value)
		if !ok {
			return false
		}
		f.Boot, f.Seq = ident.Boot(xxhash.Sum64(value)), n
	} else {
		m.seq++
		f.Boot, f.Seq = m.boot, m.seq
	}
	return m.put(now, f, "")
}

// Get returns the value of a ranked sort, or the own fact of any other sort.
func (m *Gossiper) Get(sort, key string) (wire.GossipEntry, bool) {
	return m.FromOrigin(sort, key, m.self)
}

// From returns the fact of one origin.
func (m *Gossiper) FromOrigin(sort, key string, origin ident.ProcessID) (wire.GossipEntry, bool) {
	e, ok := m.held[m.slotOf(sort, key, origin)]
	if !ok {
		return wire.GossipEntry{}, false
	}
	return e.entry, true
}

// All returns the facts of a sort ordered by key, then origin.
func (m *Gossiper) All(sort string) []wire.GossipEntry {
	var slots []slot
	for s := range m.held {
		if s.kind == sort {
			slots = append(slots, s)
		}
	}
	slices.SortFunc(slots, compareSlots)
	out := make([]wire.GossipEntry, len(slots))
	for i, s := range slots {
		out[i] = m.held[s].entry
	}
	return out
}

// Merge adds facts that were received other than by Handle, for example read from the store. It
// returns those that were new. The result does not depend on order or repetition of merges, as long
// as the bounds of the table are not reached.
func (m *Gossiper) Merge(now time.Time, fs []wire.GossipEntry) (changed []wire.GossipEntry) {
	return m.merge(now, "", fs)
}

func (m *Gossiper) merge(now time.Time, from ident.ProcessID, fs []wire.GossipEntry) (changed []wire.GossipEntry) {
	for _, f := range fs {
		m.raiseBoot(f)
		if m.put(now, f, from) {
			changed = append(changed, f)
		}
	}
	return changed
}

// outlive raises the own boot above that of an own fact from an earlier run, which is larger when
// the clock was set back between the runs.
func (m *Gossiper) raiseBoot(f wire.GossipEntry) {
	if f.Origin == m.self && m.rule(f.Kind).Rank == nil && f.Boot > m.boot {
		m.boot = f.Boot + 1
	}
}

// Changed returns the facts that were set or merged since the last call, each in its newest version.
func (m *Gossiper) TakeChanged() []wire.GossipEntry {
	var out []wire.GossipEntry
	seen := map[slot]bool{}
	for _, s := range m.changed {
		if e := m.held[s]; e != nil && !seen[s] {
			seen[s] = true
			out = append(out, e.entry)
		}
	}
	m.changed = m.changed[:0]
	return out
}

// Len returns the number and the bytes of the facts held.
func (m *Gossiper) Size() (int, ident.Bytes) { return len(m.held), m.bytes }
