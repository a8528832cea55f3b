package facts

import (
	"maps"
	"slices"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// Tick starts a round; it is called once per RoundInterval. It pushes new entries to at most Fanout peers of
// the region and, on the processes chosen for the region link, to the other regions. Every repairRounds rounds
// it sends a digest to one peer.
func (g *Gossiper) Tick(now time.Time, peers Peers) []Envelope {
	g.round++
	g.pushRemaining, g.serveRemaining, g.sameRegion = g.pushBudget, g.serveBudget, peers.SameRegion
	g.urgentReserve = g.pushBudget / urgentReserveDivisor
	g.pushRemaining -= g.urgentReserve
	if g.round%repairRounds == 0 {
		g.expire(now)
	}
	g.roundPeers = g.choosePeers(Fanout)
	out := g.repeatRequests(nil, now)
	if g.round%repairRounds == g.repairPhase {
		out = g.sendDigest(out, peers)
	}
	g.prunePushes()
	covered := len(g.toPush)
	unassigned := g.pushRemaining
	for i, p := range g.roundPeers {
		// The budget is split equally among the peers; otherwise the first peer would use all of it.
		g.pushRemaining = unassigned / ident.Bytes(len(g.roundPeers)-i)
		unassigned -= g.pushRemaining
		var n int
		out, n = g.pushTo(out, now, p)
		covered, unassigned = min(covered, n), unassigned+g.pushRemaining
	}
	g.pushRemaining = unassigned + g.urgentReserve
	if !peers.Backup {
		out = g.pushOverLink(out, now, peers)
	}
	for _, s := range g.toPush[:covered] {
		g.held[s].pushRoundsLeft--
	}
	return g.announceRanked(out, peers)
}

// announceRanked announces the ranked entries to one peer, and every linkAnnounceRounds rounds over the region
// link. It reaches processes that all pushes missed sooner than the digest does.
func (g *Gossiper) announceRanked(out []Envelope, peers Peers) []Envelope {
	msg := &wire.Gossip{}
	for _, s := range slices.SortedFunc(maps.Keys(g.ranked), compareSlots) {
		if e := g.held[s]; e != nil && digestEntryBytes(e.digestEntry()) <= g.pushRemaining {
			g.pushRemaining -= digestEntryBytes(e.digestEntry())
			msg.DigestEntries = append(msg.DigestEntries, e.digestEntry())
		}
	}
	for _, p := range g.roundPeers[:min(1, len(g.roundPeers))] {
		out = appendEnvelope(out, p, msg)
	}
	if g.round%linkAnnounceRounds == 0 {
		for _, p := range peers.OtherRegions {
			out = appendEnvelope(out, p, msg)
		}
	}
	return out
}

// prunePushes removes the slots that need no more pushes from toPush, and moves urgent ones to the front.
func (g *Gossiper) prunePushes() {
	seen := make(map[slot]bool, len(g.toPush))
	g.toPush = slices.DeleteFunc(g.toPush, func(s slot) bool {
		e := g.held[s]
		done := e == nil || e.pushRoundsLeft <= 0 || seen[s]
		seen[s] = true
		return done
	})
	slices.SortStableFunc(g.toPush, func(a, b slot) int {
		switch x, y := g.rule(a.kind).Urgent, g.rule(b.kind).Urgent; {
		case x == y:
			return 0
		case x:
			return -1
		}
		return 1
	})
}

// choosePeers returns up to n random peers of the region.
func (g *Gossiper) choosePeers(n int) []ident.ProcessID {
	var out []ident.ProcessID
	for try := 0; len(out) < n && try < 4*n && len(g.sameRegion) > 0; try++ {
		p := g.sameRegion[g.rnd.IntN(len(g.sameRegion))]
		if p != g.self && !slices.Contains(out, p) {
			out = append(out, p)
		}
	}
	return out
}

// pushTo sends the entries to push that p is not known to have. It returns how many slots of toPush were
// covered within the budget; the others are pushed in a later round.
func (g *Gossiper) pushTo(out []Envelope, now time.Time, p ident.ProcessID) ([]Envelope, int) {
	msg := &wire.Gossip{}
	for i, s := range g.toPush {
		if e := g.held[s]; !e.knownTo(p) && !g.addWithinBudget(msg, e, now) {
			return appendEnvelope(out, p, msg), i
		}
	}
	return appendEnvelope(out, p, msg), len(g.toPush)
}

// pushOverLink sends entries of this region over the region link. An ordinary entry is sent once, because the
// digest makes up for a loss; an urgent one is sent up to urgentLinkSends times, until a counterpart is known to
// have it.
func (g *Gossiper) pushOverLink(out []Envelope, now time.Time, peers Peers) []Envelope {
	if len(peers.OtherRegions) == 0 {
		return out
	}
	msg := &wire.Gossip{}
	for _, s := range g.toPush {
		e := g.held[s]
		if e == nil || e.linkSendsLeft <= 0 {
			continue
		}
		if origin := e.entry.Origin; origin != g.self && !slices.Contains(peers.SameRegion, origin) {
			e.linkSendsLeft = 0
			continue
		}
		if !g.addWithinBudget(msg, e, now) {
			break
		}
		e.linkSendsLeft--
		if slices.ContainsFunc(peers.OtherRegions, e.knownTo) {
			e.linkSendsLeft = 0
		}
	}
	for _, p := range peers.OtherRegions {
		out = appendEnvelope(out, p, msg)
	}
	return out
}

// addWithinBudget puts a small entry, or the digest entry of a large one, into msg. It reports false when the
// push budget of the round is used up.
func (g *Gossiper) addWithinBudget(msg *wire.Gossip, e *heldEntry, now time.Time) bool {
	if e.large() {
		d := e.digestEntry()
		if digestEntryBytes(d) > g.pushRemaining {
			return false
		}
		g.pushRemaining -= digestEntryBytes(d)
		msg.DigestEntries = append(msg.DigestEntries, d)
		return true
	}
	if entryBytes(e.entry) > g.pushRemaining {
		return false
	}
	g.pushRemaining -= entryBytes(e.entry)
	msg.Entries = append(msg.Entries, e.withAge(now))
	return true
}

func appendEnvelope(out []Envelope, to ident.ProcessID, msg *wire.Gossip) []Envelope {
	if len(msg.Entries) == 0 && len(msg.DigestEntries) == 0 && !msg.Digest {
		return out
	}
	return append(out, Envelope{To: to, Message: msg})
}

// Handle merges a message from a peer and returns the replies. TakeChanged returns what was new.
func (g *Gossiper) Handle(now time.Time, from ident.ProcessID, in *wire.Gossip) []Envelope {
	changed := g.merge(now, from, in.Entries)
	for _, c := range changed {
		delete(g.pending, g.slotOf(c.Kind, c.Key, c.Origin))
	}
	out := g.forwardUrgent(now, changed)
	if in.Digest {
		return g.handleDigest(out, now, from, in.DigestEntries)
	}
	msg := &wire.Gossip{}
	for _, d := range in.DigestEntries {
		g.handleDigestEntry(msg, now, from, d)
	}
	return appendEnvelope(out, from, msg)
}

// handleDigestEntry answers one digest entry. If the peer's version is older, it is sent the gossip entry. If
// it is newer, the peer is sent the digest entry of the version held here, and replies with the gossip entry.
// Equal versions need no reply.
func (g *Gossiper) handleDigestEntry(msg *wire.Gossip, now time.Time, from ident.ProcessID, d wire.DigestEntry) {
	r := g.rule(d.Kind)
	s := g.slotOf(d.Kind, d.Key, d.Origin)
	e := g.held[s]
	held := wire.DigestEntry{Kind: d.Kind, Key: d.Key, Origin: d.Origin}
	if e != nil {
		held.Boot, held.Seq = e.entry.Boot, e.entry.Seq
	}
	switch c := compareVersions(r.Rank != nil, held.Boot, held.Seq, d.Boot, d.Seq); {
	case c < 0:
		g.requestNewer(msg, now, from, s, held)
	case c > 0:
		g.serveEntry(msg, now, from, e)
	case e != nil:
		e.addKnownPeer(from)
	}
}

// valueRequest is a pending request for a value.
type valueRequest struct {
	sentAt time.Time
	// held is the request: it names the older version held here, to which the peer replies with its own.
	held wire.DigestEntry
	// announcer is the peer that announced the value last.
	announcer ident.ProcessID
	tries     int
}

// requestNewer requests a newer version unless a request for it is pending.
func (g *Gossiper) requestNewer(msg *wire.Gossip, now time.Time, from ident.ProcessID, s slot, held wire.DigestEntry) {
	if req, ok := g.pending[s]; ok && now.Sub(req.sentAt) < requestTimeout {
		req.announcer = from
		return
	}
	if digestEntryBytes(held) > g.pushRemaining || len(g.pending) >= g.entriesMax {
		return
	}
	g.pushRemaining -= digestEntryBytes(held)
	g.pending[s] = &valueRequest{sentAt: now, held: held, announcer: from, tries: 1}
	msg.DigestEntries = append(msg.DigestEntries, held)
}

// repeatRequests repeats requests that were not answered in time, at the peer that announced the value last.
func (g *Gossiper) repeatRequests(out []Envelope, now time.Time) []Envelope {
	for _, s := range slices.SortedFunc(maps.Keys(g.pending), compareSlots) {
		req := g.pending[s]
		if now.Sub(req.sentAt) < requestTimeout {
			continue
		}
		if req.tries >= requestTriesMax || digestEntryBytes(req.held) > g.pushRemaining {
			delete(g.pending, s)
			continue
		}
		req.sentAt, req.tries = now, req.tries+1
		g.pushRemaining -= digestEntryBytes(req.held)
		out = append(out, Envelope{To: req.announcer, Message: &wire.Gossip{DigestEntries: []wire.DigestEntry{req.held}}})
	}
	return out
}

// serveEntry sends an entry that the peer requested, within the serve budget.
func (g *Gossiper) serveEntry(msg *wire.Gossip, now time.Time, from ident.ProcessID, e *heldEntry) {
	if entryBytes(e.entry) > g.serveRemaining {
		return
	}
	g.serveRemaining -= entryBytes(e.entry)
	e.addKnownPeer(from)
	msg.Entries = append(msg.Entries, e.withAge(now))
}

// forwardUrgent pushes the urgent entries among changed at once, to the peers of the current round.
func (g *Gossiper) forwardUrgent(now time.Time, changed []wire.GossipEntry) (out []Envelope) {
	msg := &wire.Gossip{}
	for _, entry := range changed {
		e := g.held[g.slotOf(entry.Kind, entry.Key, entry.Origin)]
		if e != nil && g.rule(entry.Kind).Urgent && !g.addWithinBudget(msg, e, now) {
			break
		}
	}
	if len(msg.Entries)+len(msg.DigestEntries) == 0 {
		return nil
	}
	for _, p := range g.roundPeers {
		out = append(out, Envelope{To: p, Message: msg})
	}
	return out
}

// PushUrgent returns the messages for urgent entries that this process set since the last round; other entries
// wait for Tick.
func (g *Gossiper) PushUrgent(now time.Time) []Envelope {
	var entries []wire.GossipEntry
	for _, s := range g.toPush {
		if e := g.held[s]; e != nil && e.entry.Origin == g.self && e.pushRoundsLeft >= pushRounds {
			entries = append(entries, e.entry)
		}
	}
	return g.forwardUrgent(now, entries)
}
