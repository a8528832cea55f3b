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
func (m *Machine) Tick(now time.Time, peers Peers) []Send {
	m.round++
	m.left, m.served, m.near = m.push, m.serve, peers.Near
	m.kept = m.push / urgentPart
	m.left -= m.kept
	if m.round%repairRounds == 0 {
		m.expire(now)
	}
	m.chosen = m.choose(Fan)
	out := m.askAgain(nil, now)
	if m.round%repairRounds == m.phase {
		out = m.repair(out, peers)
	}
	m.cool()
	sent := len(m.hot)
	spare := m.left
	for i, p := range m.chosen {
		// Each peer has an equal part of the budget, as the first would otherwise use all of it.
		m.left = spare / ident.Bytes(len(m.chosen)-i)
		spare -= m.left
		var n int
		out, n = m.pushTo(out, now, p)
		sent, spare = min(sent, n), spare+m.left
	}
	m.left = spare + m.kept
	if !peers.Backup {
		out = m.pushFar(out, now, peers)
	}
	for _, s := range m.hot[:sent] {
		m.held[s].hot--
	}
	return m.beat(out, peers)
}

// beat announces the permanent values to one peer, and every beatFar rounds over the link. It finds
// processes that all pushes missed sooner than the digest does.
func (m *Machine) beat(out []Send, peers Peers) []Send {
	msg := &wire.Gossip{}
	for _, s := range slices.SortedFunc(maps.Keys(m.beats), compareSlots) {
		if e := m.held[s]; e != nil && markSize(e.mark()) <= m.left {
			m.left -= markSize(e.mark())
			msg.DigestEntries = append(msg.DigestEntries, e.mark())
		}
	}
	for _, p := range m.chosen[:min(1, len(m.chosen))] {
		out = send(out, p, msg)
	}
	if m.round%beatFar == 0 {
		for _, p := range peers.Far {
			out = send(out, p, msg)
		}
	}
	return out
}

// cool drops slots that need no more pushes from the list of hot ones, and puts urgent ones first.
func (m *Machine) cool() {
	seen := make(map[slot]bool, len(m.hot))
	m.hot = slices.DeleteFunc(m.hot, func(s slot) bool {
		e := m.held[s]
		gone := e == nil || e.hot <= 0 || seen[s]
		seen[s] = true
		return gone
	})
	slices.SortStableFunc(m.hot, func(a, b slot) int {
		switch x, y := m.rule(a.sort).Urgent, m.rule(b.sort).Urgent; {
		case x == y:
			return 0
		case x:
			return -1
		}
		return 1
	})
}

// choose returns up to n random peers of the region.
func (m *Machine) choose(n int) []ident.ProcessID {
	var out []ident.ProcessID
	for try := 0; len(out) < n && try < 4*n && len(m.near) > 0; try++ {
		p := m.near[m.rnd.IntN(len(m.near))]
		if p != m.self && !slices.Contains(out, p) {
			out = append(out, p)
		}
	}
	return out
}

// pushTo sends the hot facts that p is not known to have. It returns how many of them the budget
// reached; the others stay hot for a later round.
func (m *Machine) pushTo(out []Send, now time.Time, p ident.ProcessID) ([]Send, int) {
	msg := &wire.Gossip{}
	for i, s := range m.hot {
		if e := m.held[s]; !e.knows(p) && !m.add(msg, e, now) {
			return send(out, p, msg), i
		}
	}
	return send(out, p, msg), len(m.hot)
}

// pushFar sends facts of the own region over the link: once, with a loss left to the digest, or
// urgentFar times while no counterpart is known to have it.
func (m *Machine) pushFar(out []Send, now time.Time, peers Peers) []Send {
	if len(peers.Far) == 0 {
		return out
	}
	msg := &wire.Gossip{}
	for _, s := range m.hot {
		e := m.held[s]
		if e == nil || e.far <= 0 {
			continue
		}
		if o := e.fact.Origin; o != m.self && !slices.Contains(peers.Near, o) {
			e.far = 0
			continue
		}
		if !m.add(msg, e, now) {
			break
		}
		e.far--
		if slices.ContainsFunc(peers.Far, e.knows) {
			e.far = 0
		}
	}
	for _, p := range peers.Far {
		out = send(out, p, msg)
	}
	return out
}

// add puts a small fact, or the mark of a large one, into msg. It reports false when the budget of
// the round is used up.
func (m *Machine) add(msg *wire.Gossip, e *entry, now time.Time) bool {
	if e.large() {
		k := e.mark()
		if markSize(k) > m.left {
			return false
		}
		m.left -= markSize(k)
		msg.DigestEntries = append(msg.DigestEntries, k)
		return true
	}
	if size(e.fact) > m.left {
		return false
	}
	m.left -= size(e.fact)
	msg.Entries = append(msg.Entries, e.aged(now))
	return true
}

func send(out []Send, to ident.ProcessID, msg *wire.Gossip) []Send {
	if len(msg.Entries) == 0 && len(msg.DigestEntries) == 0 && !msg.Digest {
		return out
	}
	return append(out, Send{To: to, Facts: msg})
}

// Handle merges a message from a peer and returns the answers. Changed returns what was new.
func (m *Machine) Handle(now time.Time, from ident.ProcessID, f *wire.Gossip) []Send {
	changed := m.merge(now, from, f.Entries)
	for _, c := range changed {
		delete(m.asked, m.slotOf(c.Kind, c.Key, c.Origin))
	}
	out := m.urgent(now, changed)
	if f.Digest {
		return m.handleDigest(out, now, from, f.DigestEntries)
	}
	msg := &wire.Gossip{}
	for _, k := range f.DigestEntries {
		m.handleMark(msg, now, from, k)
	}
	return send(out, from, msg)
}

// handleMark answers one mark. A peer that holds less is sent the fact; a peer that holds more is
// told what is held here, to which it answers with the fact. Equal marks need no answer.
func (m *Machine) handleMark(msg *wire.Gossip, now time.Time, from ident.ProcessID, k wire.DigestEntry) {
	r := m.rule(k.Kind)
	s := m.slotOf(k.Kind, k.Key, k.Origin)
	e := m.held[s]
	held := wire.DigestEntry{Kind: k.Kind, Key: k.Key, Origin: k.Origin}
	if e != nil {
		held.Boot, held.Seq = e.fact.Boot, e.fact.Seq
	}
	switch c := compare(r.Rank != nil, held.Boot, held.Seq, k.Boot, k.Seq); {
	case c < 0:
		m.ask(msg, now, from, s, held)
	case c > 0:
		m.give(msg, now, from, e)
	case e != nil:
		e.know(from)
	}
}

// request is a value that was asked for.
type request struct {
	at   time.Time
	held wire.DigestEntry
	// from is the peer that announced the value last.
	from  ident.ProcessID
	tries int
}

// ask requests a newer version, unless a request for it is pending.
func (m *Machine) ask(msg *wire.Gossip, now time.Time, from ident.ProcessID, s slot, held wire.DigestEntry) {
	if q, ok := m.asked[s]; ok && now.Sub(q.at) < askWait {
		q.from = from
		return
	}
	if markSize(held) > m.left || len(m.asked) >= m.countMax {
		return
	}
	m.left -= markSize(held)
	m.asked[s] = &request{at: now, held: held, from: from, tries: 1}
	msg.DigestEntries = append(msg.DigestEntries, held)
}

// askAgain repeats requests that had no answer, at the peer that announced the value last.
func (m *Machine) askAgain(out []Send, now time.Time) []Send {
	for _, s := range slices.SortedFunc(maps.Keys(m.asked), compareSlots) {
		q := m.asked[s]
		if now.Sub(q.at) < askWait {
			continue
		}
		if q.tries >= askTries || markSize(q.held) > m.left {
			delete(m.asked, s)
			continue
		}
		q.at, q.tries = now, q.tries+1
		m.left -= markSize(q.held)
		out = append(out, Send{To: q.from, Facts: &wire.Gossip{DigestEntries: []wire.DigestEntry{q.held}}})
	}
	return out
}

// give sends a fact that the peer asked for, within the serve budget.
func (m *Machine) give(msg *wire.Gossip, now time.Time, from ident.ProcessID, e *entry) {
	if size(e.fact) > m.served {
		return
	}
	m.served -= size(e.fact)
	e.know(from)
	msg.Entries = append(msg.Entries, e.aged(now))
}

// urgent pushes the urgent ones among new facts on at once, to the peers of the running round.
func (m *Machine) urgent(now time.Time, changed []wire.GossipEntry) (out []Send) {
	msg := &wire.Gossip{}
	for _, f := range changed {
		e := m.held[m.slotOf(f.Kind, f.Key, f.Origin)]
		if e != nil && m.rule(f.Kind).Urgent && !m.add(msg, e, now) {
			break
		}
	}
	if len(msg.Entries)+len(msg.DigestEntries) == 0 {
		return nil
	}
	for _, p := range m.chosen {
		out = append(out, Send{To: p, Facts: msg})
	}
	return out
}

// Push returns the sends for own urgent facts set since the last round; the others wait for Tick.
func (m *Machine) Push(now time.Time) []Send {
	var fs []wire.GossipEntry
	for _, s := range m.hot {
		if e := m.held[s]; e != nil && e.fact.Origin == m.self && e.hot >= hotRounds {
			fs = append(fs, e.fact)
		}
	}
	return m.urgent(now, fs)
}
