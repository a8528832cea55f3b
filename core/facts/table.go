package facts

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// slot names the place of a fact. Origin is empty for ranked sorts.
type slot struct {
	sort, key string
	origin    ident.ProcessID
}

// entry is a held fact.
type entry struct {
	fact wire.GossipEntry
	// at is the time of writing by the local clock, from the age of the fact on arrival.
	at time.Time
	// hot counts the rounds for which the fact is still pushed.
	hot int
	// far is the number of times that the fact is still sent over the region link.
	far int
	// known holds peers that have this version or a later one; at most knownMax.
	known []ident.ProcessID
}

func (e *entry) large() bool { return ident.Bytes(len(e.fact.Value)) >= largeMin }

func (e *entry) knows(p ident.ProcessID) bool { return slices.Contains(e.known, p) }

func (e *entry) know(p ident.ProcessID) {
	if len(e.known) < knownMax && !e.knows(p) {
		e.known = append(e.known, p)
	}
}

// size is the approximate number of bytes of f on the wire.
func size(f wire.GossipEntry) ident.Bytes {
	return ident.Bytes(len(f.Kind) + len(f.Key) + len(f.Origin) + len(f.Value) + 28)
}

// markSize is the approximate number of bytes of k on the wire.
func markSize(k wire.DigestEntry) ident.Bytes {
	return ident.Bytes(len(k.Kind) + len(k.Key) + len(k.Origin) + 22)
}

func (m *Machine) rule(sort string) Rule {
	if r, ok := m.rules[sort]; ok {
		return r
	}
	return Rule{Life: defaultLife}
}

func (m *Machine) slotOf(sort, key string, origin ident.ProcessID) slot {
	if m.rule(sort).Rank != nil {
		origin = ""
	}
	return slot{sort: sort, key: key, origin: origin}
}

// compare orders two versions of one slot. A ranked sort is ordered by rank (in Count), then by
// the hash of the value (in Boot); any other sort by boot, then count.
func compare(ranked bool, aBoot ident.Boot, aCount uint64, bBoot ident.Boot, bCount uint64) int {
	if ranked {
		return cmp.Or(cmp.Compare(aCount, bCount), cmp.Compare(aBoot, bBoot))
	}
	return cmp.Or(cmp.Compare(aBoot, bBoot), cmp.Compare(aCount, bCount))
}

// newer reports whether f replaces g. The value breaks ties, so that the order is total and merge
// stays commutative even when an origin wrote two values under one version.
func newer(ranked bool, f, g wire.GossipEntry) bool {
	c := compare(ranked, f.Boot, f.Seq, g.Boot, g.Seq)
	return c > 0 || c == 0 && bytes.Compare(f.Value, g.Value) > 0
}

// valid reports whether f may be held: within size, not expired, and with a true rank.
func (m *Machine) valid(f wire.GossipEntry, r Rule) bool {
	if ident.Bytes(len(f.Value)) > ValueMax || f.Kind == "" {
		return false
	}
	if r.Life > 0 && time.Duration(f.AgeMillis)*time.Millisecond >= r.Life {
		return false
	}
	if r.Rank == nil {
		return true
	}
	rank, ok := r.Rank(f.Value)
	return ok && rank == f.Seq && f.Boot == ident.Boot(xxhash.Sum64(f.Value))
}

// put merges one fact and reports whether it replaced what was held. from is empty for own facts.
func (m *Machine) put(now time.Time, f wire.GossipEntry, from ident.ProcessID) bool {
	r := m.rule(f.Kind)
	f.AgeMillis = max(f.AgeMillis, 0)
	s := m.slotOf(f.Kind, f.Key, f.Origin)
	old := m.held[s]
	if old != nil && !newer(r.Rank != nil, f, old.fact) {
		m.same(now, old, f, from)
		return false
	}
	if !m.valid(f, r) || !m.room(f, old) {
		return false
	}
	e := &entry{fact: f, at: now.Add(-time.Duration(f.AgeMillis) * time.Millisecond), hot: hotRounds, far: 1}
	if r.Urgent {
		e.far = urgentFar
	}
	if r.Rank != nil {
		m.beats[s] = true
	}
	if from != "" {
		e.know(from)
	}
	m.remove(s)
	m.insert(s, e)
	return true
}

// same notes that from has the held version, and keeps the earliest time of writing.
func (m *Machine) same(now time.Time, old *entry, f wire.GossipEntry, from ident.ProcessID) {
	if old.fact.Boot != f.Boot || old.fact.Seq != f.Seq {
		return
	}
	if from != "" {
		old.know(from)
	}
	if at := now.Add(-time.Duration(f.AgeMillis) * time.Millisecond); at.Before(old.at) {
		old.at = at
	}
}

func (m *Machine) insert(s slot, e *entry) {
	m.held[s] = e
	m.size += size(e.fact)
	m.flip(s, e)
	m.hot = append(m.hot, s)
	m.changed = append(m.changed, s)
	if len(m.changed) > m.countMax {
		m.changed = m.changed[len(m.changed)-m.countMax:]
	}
}

func (m *Machine) remove(s slot) {
	if e := m.held[s]; e != nil {
		m.size -= size(e.fact)
		m.flip(s, e)
		delete(m.held, s)
	}
}

// flip adds the version of e to the digest, or removes it.
func (m *Machine) flip(s slot, e *entry) {
	if m.rule(s.sort).repairs() {
		m.digest[bucketOf(s)] ^= versionHash(s, e.fact)
	}
}

// room evicts unpinned facts, the oldest first, until f fits. It reports false when f does not fit.
func (m *Machine) room(f wire.GossipEntry, old *entry) bool {
	extra, n := size(f), 1
	if old != nil {
		extra, n = extra-size(old.fact), 0
	}
	for len(m.held)+n > m.countMax || m.size+extra > m.sizeMax {
		s, ok := m.oldest(m.slotOf(f.Kind, f.Key, f.Origin))
		if !ok {
			return false
		}
		m.remove(s)
	}
	return true
}

// oldest returns the unpinned fact that was written first, other than keep.
func (m *Machine) oldest(keep slot) (found slot, ok bool) {
	var at time.Time
	for s, e := range m.held {
		if s == keep || m.rule(s.sort).Pinned {
			continue
		}
		if !ok || e.at.Before(at) || e.at.Equal(at) && compareSlots(s, found) < 0 {
			found, at, ok = s, e.at, true
		}
	}
	return found, ok
}

// expire drops the facts whose life has ended.
func (m *Machine) expire(now time.Time) {
	for s, e := range m.held {
		if life := m.rule(s.sort).Life; life > 0 && now.Sub(e.at) >= life {
			m.remove(s)
		}
	}
}

func compareSlots(a, b slot) int {
	return cmp.Or(cmp.Compare(a.sort, b.sort), cmp.Compare(a.key, b.key), cmp.Compare(a.origin, b.origin))
}

// aged returns the fact of e with its age at now.
func (e *entry) aged(now time.Time) wire.GossipEntry {
	f := e.fact
	f.AgeMillis = max(now.Sub(e.at).Milliseconds(), 0)
	return f
}

func (e *entry) mark() wire.DigestEntry {
	f := e.fact
	return wire.DigestEntry{Kind: f.Kind, Key: f.Key, Origin: f.Origin, Boot: f.Boot, Seq: f.Seq}
}
