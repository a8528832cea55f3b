package facts

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// Envelope is a message for the caller to send to a peer. The message may be lost; later rounds repeat what it
// carried.
type Envelope struct {
	To      ident.ProcessID
	Message *wire.Gossip
}

// Peers are the processes that a round may reach.
type Peers struct {
	// SameRegion are the live processes of this process's region; the process itself is ignored.
	SameRegion []ident.ProcessID
	// OtherRegions are the counterparts: one process in each other region, reached over the region link. Only the
	// processes chosen for the region link have any.
	OtherRegions []ident.ProcessID
	// Backup is true on the second process chosen for the region link: it sends only digests and the
	// announcements of ranked entries over the link.
	Backup bool
}

// Gossiper holds the gossip entries known to one process and exchanges them with peers. It is not safe for
// concurrent use.
type Gossiper struct {
	self  ident.ProcessID
	boot  ident.Boot
	rnd   *rand.Rand
	rules map[string]Rule

	pushBudget, serveBudget ident.Bytes
	entriesMax              int
	bytesMax                ident.Bytes

	held map[slot]*heldEntry
	// bytes is the sum of the sizes of the held entries.
	bytes ident.Bytes
	// digest holds the exclusive or of the version hashes per bucket.
	digest [bucketCount]uint64
	// toPush lists slots that may still be pushed, and changed those not yet returned by TakeChanged.
	toPush, changed []slot
	// pending holds requests for values that have not arrived yet.
	pending map[slot]*valueRequest
	// ranked holds the slots of ranked kinds.
	ranked map[slot]bool
	// round counts calls of Tick; repairPhase spreads the digests of different processes over the rounds.
	round, repairPhase int
	// pushRemaining and serveRemaining are the bytes that remain of the push and serve budgets in this round.
	pushRemaining, serveRemaining ident.Bytes
	// urgentReserve is the part of the push budget that ordinary pushes must not use.
	urgentReserve ident.Bytes
	// sameRegion are the peers of this process's region, and roundPeers those chosen for the current round.
	sameRegion, roundPeers []ident.ProcessID
	// seq is the last sequence number given to an entry of this process.
	seq uint64
}

// New returns a Gossiper without entries for the process self in the incarnation boot.
func New(self ident.ProcessID, boot ident.Boot, rnd *rand.Rand, opts ...Option) *Gossiper {
	g := &Gossiper{
		self: self, boot: boot, rnd: rnd, rules: defaultRules(),
		pushBudget: DefaultPushBudget, serveBudget: DefaultServeBudget, entriesMax: DefaultEntriesMax, bytesMax: DefaultBytesMax,
		held: map[slot]*heldEntry{}, pending: map[slot]*valueRequest{}, ranked: map[slot]bool{}, repairPhase: rnd.IntN(repairRounds),
	}
	for _, o := range opts {
		o(g)
	}
	g.pushRemaining, g.serveRemaining = g.pushBudget, g.serveBudget
	return g
}

// Set writes an entry of this process. It reports false when the value is too large, when there is no room, or
// when the kind is ranked and the value is malformed or an entry that ranks as high or higher is held.
func (g *Gossiper) Set(now time.Time, kind, key string, value []byte) bool {
	entry := wire.GossipEntry{Kind: kind, Key: key, Origin: g.self, Value: slices.Clone(value)}
	if rank := g.rule(kind).Rank; rank != nil {
		n, ok := rank(value)
		if !ok {
			return false
		}
		entry.Boot, entry.Seq = ident.Boot(xxhash.Sum64(value)), n
	} else {
		g.seq++
		entry.Boot, entry.Seq = g.boot, g.seq
	}
	return g.put(now, entry, "")
}

// Get returns the entry of a ranked kind, or this process's own entry of any other kind.
func (g *Gossiper) Get(kind, key string) (wire.GossipEntry, bool) {
	return g.FromOrigin(kind, key, g.self)
}

// FromOrigin returns the entry of one origin.
func (g *Gossiper) FromOrigin(kind, key string, origin ident.ProcessID) (wire.GossipEntry, bool) {
	e, ok := g.held[g.slotOf(kind, key, origin)]
	if !ok {
		return wire.GossipEntry{}, false
	}
	return e.entry, true
}

// All returns the entries of a kind ordered by key, then origin.
func (g *Gossiper) All(kind string) []wire.GossipEntry {
	var slots []slot
	for s := range g.held {
		if s.kind == kind {
			slots = append(slots, s)
		}
	}
	slices.SortFunc(slots, compareSlots)
	out := make([]wire.GossipEntry, len(slots))
	for i, s := range slots {
		out[i] = g.held[s].entry
	}
	return out
}

// Merge adds entries that were not received through Handle, for example read from the store, and returns those
// that were new. The result does not depend on the order or repetition of merges as long as the limits of the
// table are not reached.
func (g *Gossiper) Merge(now time.Time, entries []wire.GossipEntry) (changed []wire.GossipEntry) {
	return g.merge(now, "", entries)
}

func (g *Gossiper) merge(now time.Time, from ident.ProcessID, entries []wire.GossipEntry) (changed []wire.GossipEntry) {
	for _, entry := range entries {
		g.raiseBoot(entry)
		if g.put(now, entry, from) {
			changed = append(changed, entry)
		}
	}
	return changed
}

// raiseBoot raises this process's boot above the boot of one of its entries from an earlier run. That boot is
// larger when the clock was set back between the runs.
func (g *Gossiper) raiseBoot(entry wire.GossipEntry) {
	if entry.Origin == g.self && g.rule(entry.Kind).Rank == nil && entry.Boot > g.boot {
		g.boot = entry.Boot + 1
	}
}

// TakeChanged returns the entries that were set or merged since the last call, each in its newest version.
func (g *Gossiper) TakeChanged() []wire.GossipEntry {
	var out []wire.GossipEntry
	seen := map[slot]bool{}
	for _, s := range g.changed {
		if e := g.held[s]; e != nil && !seen[s] {
			seen[s] = true
			out = append(out, e.entry)
		}
	}
	g.changed = g.changed[:0]
	return out
}

// Size returns the number and the total size of the entries held.
func (g *Gossiper) Size() (int, ident.Bytes) { return len(g.held), g.bytes }
