package facts

import (
	"maps"
	"slices"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// Tick starts a round; it is called once per Round. It pushes new facts to at most Fan peers of the
// region and, on the pair for the region link, to the other region. Every repairRounds rounds it
// sends a digest to one peer.
func (m *Gossiper) Tick(now time.Time, peers Peers) []Envelope {
	m.round++
	m.pushRemaining, m.serveRemaining, m.sameRegion = m.pushBudget, m.serveBudget, peers.SameRegion
	m.urgentReserve = m.pushBudget / urgentReserveDivisor
	m.pushRemaining -= m.urgentReserve
	if m.round%repairRounds == 0 {
		m.expire(now)
	}
	m.roundPeers = m.choosePeers(Fanout)
	out := m.repeatRequests(nil, now)
	if m.round%repairRounds == m.repairPhase {
		out = m.sendDigest(out, peers)
	}
	m.prunePushes()
	sent := len(m.toPush)
	spare := m.pushRemaining
	for i, p := range m.roundPeers {
		// Each peer has an equal part of the budget, as the first would otherwise use all of it.
		m.pushRemaining = spare / ident.Bytes(len(m.roundPeers)-i)
		spare -= m.pushRemaining
		var n int
		out, n = m.pushTo(out, now, p)
		sent, spare = min(sent, n), spare+m.pushRemaining
	}
	m.pushRemaining = spare + m.urgentReserve
	if !peers.Backup {
		out = m.pushOverLink(out, now, peers)
	}
	for _, s := range m.toPush[:sent] {
		m.held[s].pushRoundsLeft--
	}
	return m.announceRanked(out, peers)
}

// beat announces the permanent values to one peer, and every beatFar rounds over the link. It finds
// processes that all pushes missed sooner than the digest does.
func (m *Gossiper) announceRanked(out []Envelope, peers Peers) []Envelope {
	msg := &wire.Gossip{}
	for _, s := range slices.SortedFunc(maps.Keys(m.ranked), compareSlots) {
		if e := m.held[s]; e != nil && digestEntryBytes(e.digestEntry()) <= m.pushRemaining {
			m.pushRemaining -= digestEntryBytes(e.digestEntry())
			msg.DigestEntries = append(msg.DigestEntries, e.digestEntry())
		}
	}
	for _, p := range m.roundPeers[:min(1, len(m.roundPeers))] {
		out = appendEnvelope(out, p, msg)
	}
	if m.round%linkAnnounceRounds == 0 {
		for _, p := range peers.OtherRegions {
			out = appendEnvelope(out, p, msg)
		}
	}
	return out
}

// cool drops slots that need no more pushes from the list of hot ones, and puts urgent ones first.
func (m *Gossiper) prunePushes() {
	seen := make(map[slot]bool, len(m.toPush))
	m.toPush = slices.DeleteFunc(m.toPush, func(s slot) bool {
		e := m.held[s]
		gone := e == nil || e.pushRoundsLeft <= 0 || seen[s]
		seen[s] = true
		return gone
	})
	slices.SortStableFunc(m.toPush, func(a, b slot) int {
		switch x, y := m.rule(a.kind).Urgent, m.rule(b.kind).Urgent; {
		case x == y:
			return 0
		case x:
			return -1
		}
		return 1
	})
}

// choose returns up to n random peers of the region.
func (m *Gossiper) choosePeers(n int) []ident.ProcessID {
	var out []ident.ProcessID
	for try := 0; len(out) < n && try < 4*n && len(m.sameRegion) > 0; try++ {
		p := m.sameRegion[m.rnd.IntN(len(m.sameRegion))]
		if p != m.self && !slices.Contains(out, p) {
			out = append(out, p)
		}
	}
	return out
}

// pushTo sends the hot facts that p is not known to have. It returns how many of them the budget
// reached; the others stay hot for a later round.
func (m *Gossiper) pushTo(out []Envelope, now time.Time, p ident.ProcessID) ([]Envelope, int) {
	msg := &wire.Gossip{}
	for i, s := range m.toPush {
		if e := m.held[s]; !e.knownTo(p) && !m.addWithinBudget(msg, e, now) {
			return appendEnvelope(out, p, msg), i
		}
	}
	return appendEnvelope(out, p, msg), len(m.toPush)
}

// pushFar sends facts of the own region over the link: once, with a loss left to the digest, or
// urgentFar times while no counterpart is known to have it.
func (m *Gossiper) pushOverLink(out []Envelope, now time.Time, peers Peers) []Envelope {
	if len(peers.OtherRegions) == 0 {
		return out
	}
	msg := &wire.Gossip{}
	for _, s := range m.toPush {
		e := m.held[s]
		if e == nil || e.linkSendsLeft <= 0 {
			continue
		}
		if o := e.entry.Origin; o != m.self && !slices.Contains(peers.SameRegion, o) {
			e.linkSendsLeft = 0
			continue
		}
		if !m.addWithinBudget(msg, e, now) {
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

// add puts a small fact, or the mark of a large one, into msg. It reports false when the budget of
// the round is used up.
func (m *Gossiper) addWithinBudget(msg *wire.Gossip, e *heldEntry, now time.Time) bool {
	if e.large() {
		k := e.digestEntry()
		if digestEntryBytes(k) > m.pushRemaining {
			return false
		}
		m.pushRemaining -= digestEntryBytes(k)
		msg.DigestEntries = append(msg.DigestEntries, k)
		return true
	}
	if entryBytes(e.entry) > m.pushRemaining {
		return false
	}
	m.pushRemaining -= entryBytes(e.entry)
	msg.Entries = append(msg.Entries, e.withAge(now))
	return true
}

func appendEnvelope(out []Envelope, to ident.ProcessID, msg *wire.Gossip) []Envelope {
	if len(msg.Entries) == 0 && len(msg.DigestEntries) == 0 && !msg.Digest {
		return out
	}
	return append(out, Envelope{To: to, Message: msg})
}

// Handle merges a message from a peer and returns the answers. Changed returns what was new.
func (m *Gossiper) Handle(now time.Time, from ident.ProcessID, f *wire.Gossip) []Envelope {
	changed := m.merge(now, from, f.Entries)
	for _, c := range changed {
		delete(m.pending, m.slotOf(c.Kind, c.Key, c.Origin))
	}
	out := m.forwardUrgent(now, changed)
	if f.Digest {
		return m.handleDigest(out, now, from, f.DigestEntries)
	}
	msg := &wire.Gossip{}
	for _, k := range f.DigestEntries {
		m.handleDigestEntry(msg, now, from, k)
	}
	return appendEnvelope(out, from, msg)
}

// handleMark answers one mark. A peer that holds less is sent the fact; a peer that holds more is
// told what is held here, to which it answers with the fact. Equal marks need no answer.
func (m *Gossiper) handleDigestEntry(msg *wire.Gossip, now time.Time, from ident.ProcessID, k wire.DigestEntry) {
	r := m.rule(k.Kind)
	s := m.slotOf(k.Kind, k.Key, k.Origin)
	e := m.held[s]
	held := wire.DigestEntry{Kind: k.Kind, Key: k.Key, Origin: k.Origin}
	if e != nil {
		held.Boot, held.Seq = e.entry.Boot, e.entry.Seq
	}
	switch c := compareVersions(r.Rank != nil, held.Boot, held.Seq, k.Boot, k.Seq); {
	case c < 0:
		m.requestNewer(msg, now, from, s, held)
	case c > 0:
		m.serveEntry(msg, now, from, e)
	case e != nil:
		e.addKnownPeer(from)
	}
}

// request is a value that was asked for.
type valueRequest struct {
	sentAt time.Time
	held   wire.DigestEntry
	// from is the peer that announced the value last.
	announcer ident.ProcessID
	tries     int
}

// ask requests a newer version, unless a request for it is pending.
func (m *Gossiper) requestNewer(msg *wire.Gossip, now time.Time, from ident.ProcessID, s slot, held wire.DigestEntry) {
	if q, ok := m.pending[s]; ok && now.Sub(q.sentAt) < requestTimeout {
		q.announcer = from
		return
	}
	if digestEntryBytes(held) > m.pushRemaining || len(m.pending) >= m.entriesMax {
		return
	}
	m.pushRemaining -= digestEntryBytes(held)
	m.pending[s] = &valueRequest{sentAt: now, held: held, announcer: from, tries: 1}
	msg.DigestEntries = append(msg.DigestEntries, held)
}

// askAgain repeats requests that had no answer, at the peer that announced the value last.
func (m *Gossiper) repeatRequests(out []Envelope, now time.Time) []Envelope {
	for _, s := range slices.SortedFunc(maps.Keys(m.pending), compareSlots) {
		q := m.pending[s]
		if now.Sub(q.sentAt) < requestTimeout {
			continue
		}
		if q.tries >= requestTriesMax || digestEntryBytes(q.held) > m.pushRemaining {
			delete(m.pending, s)
			continue
		}
		q.sentAt, q.tries = now, q.tries+1
		m.pushRemaining -= digestEntryBytes(q.held)
		out = append(out, Envelope{To: q.announcer, Message: &wire.Gossip{DigestEntries: []wire.DigestEntry{q.held}}})
	}
	return out
}

// give sends a fact that the peer asked for, within the serve budget.
func (m *Gossiper) serveEntry(msg *wire.Gossip, now time.Time, from ident.ProcessID, e *heldEntry) {
	if entryBytes(e.entry) > m.serveRemaining {
		return
	}
	m.serveRemaining -= entryBytes(e.entry)
	e.addKnownPeer(from)
	msg.Entries = append(msg.Entries, e.withAge(now))
}

// urgent pushes the urgent ones among new facts on at once, to the peers of the running round.
func (m *Gossiper) forwardUrgent(now time.Time, changed []wire.GossipEntry) (out []Envelope) {
	msg := &wire.Gossip{}
	for _, f := range changed {
		e := m.held[m.slotOf(f.Kind, f.Key, f.Origin)]
		if e != nil && m.rule(f.Kind).Urgent && !m.addWithinBudget(msg, e, now) {
			break
		}
	}
	if len(msg.Entries)+len(msg.DigestEntries) == 0 {
		return nil
	}
	for _, p := range m.roundPeers {
		out = append(out, Envelope{To: p, Message: msg})
	}
	return out
}

// Push returns the sends for own urgent facts set since the last round; the others wait for Tick.
func (m *Gossiper) PushUrgent(now time.Time) []Envelope {
	var fs []wire.GossipEntry
	for _, s := range m.toPush {
		if e := m.held[s]; e != nil && e.entry.Origin == m.self && e.pushRoundsLeft >= pushRounds {
			fs = append(fs, e.entry)
		}
	}
	return m.forwardUrgent(now, fs)
}
