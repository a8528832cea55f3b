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
	kind, key string
	origin    ident.ProcessID
}

// entry is a held fact.
type heldEntry struct {
	entry wire.GossipEntry
	// at is the time of writing by the local clock, from the age of the fact on arrival.
	writtenAt time.Time
	// hot counts the rounds for which the fact is still pushed.
	pushRoundsLeft int
	// far is the number of times that the fact is still sent over the region link.
	linkSendsLeft int
	// known holds peers that have this version or a later one; at most knownMax.
	knownPeers []ident.ProcessID
}

func (e *heldEntry) large() bool { return ident.Bytes(len(e.entry.Value)) >= announceBytesMin }

func (e *heldEntry) knownTo(p ident.ProcessID) bool { return slices.Contains(e.knownPeers, p) }

func (e *heldEntry) addKnownPeer(p ident.ProcessID) {
	if len(e.knownPeers) < knownPeersMax && !e.knownTo(p) {
		e.knownPeers = append(e.knownPeers, p)
	}
}

// size is the approximate number of bytes of f on the wire.
func entryBytes(f wire.GossipEntry) ident.Bytes {
	return ident.Bytes(len(f.Kind) + len(f.Key) + len(f.Origin) + len(f.Value) + 28)
}

// markSize is the approximate number of bytes of k on the wire.
func digestEntryBytes(k wire.DigestEntry) ident.Bytes {
	return ident.Bytes(len(k.Kind) + len(k.Key) + len(k.Origin) + 22)
}

func (m *Gossiper) rule(sort string) Rule {
	if r, ok := m.rules[sort]; ok {
		return r
	}
	return Rule{TTL: defaultTTL}
}

func (m *Gossiper) slotOf(sort, key string, origin ident.ProcessID) slot {
	if m.rule(sort).Rank != nil {
		origin = ""
	}
	return slot{kind: sort, key: key, origin: origin}
}

// compare orders two versions of one slot. A ranked sort is ordered by rank (in Count), then by
// the hash of the value (in Boot); any other sort by boot, then count.
func compareVersions(ranked bool, aBoot ident.Boot, aCount uint64, bBoot ident.Boot, bCount uint64) int {
	if ranked {
		return cmp.Or(cmp.Compare(aCount, bCount), cmp.Compare(aBoot, bBoot))
	}
	return cmp.Or(cmp.Compare(aBoot, bBoot), cmp.Compare(aCount, bCount))
}

// newer reports whether f replaces g. The value breaks ties, so that the order is total and merge
// stays commutative even when an origin wrote two values under one version.
func newer(ranked bool, f, g wire.GossipEntry) bool {
	c := compareVersions(ranked, f.Boot, f.Seq, g.Boot, g.Seq)
	return c > 0 || c == 0 && bytes.Compare(f.Value, g.Value) > 0
}

// valid reports whether f may be held: within size, not expired, and with a true rank.
func (m *Gossiper) valid(f wire.GossipEntry, r Rule) bool {
	if ident.Bytes(len(f.Value)) > ValueBytesMax || f.Kind == "" {
		return false
	}
	if r.TTL > 0 && time.Duration(f.AgeMillis)*time.Millisecond >= r.TTL {
		return false
	}
	if r.Rank == nil {
		return true
	}
	rank, ok := r.Rank(f.Value)
	return ok && rank == f.Seq && f.Boot == ident.Boot(xxhash.Sum64(f.Value))
}

// put merges one fact and reports whether it replaced what was held. from is empty for own facts.
func (m *Gossiper) put(now time.Time, f wire.GossipEntry, from ident.ProcessID) bool {
	r := m.rule(f.Kind)
	f.AgeMillis = max(f.AgeMillis, 0)
	s := m.slotOf(f.Kind, f.Key, f.Origin)
	old := m.held[s]
	if old != nil && !newer(r.Rank != nil, f, old.entry) {
		m.recordSameVersion(now, old, f, from)
		return false
	}
	if !m.valid(f, r) || !m.makeRoom(f, old) {
		return false
	}
	e := &heldEntry{entry: f, writtenAt: now.Add(-time.Duration(f.AgeMillis) * time.Millisecond), pushRoundsLeft: pushRounds, linkSendsLeft: 1}
	if r.Urgent {
		e.linkSendsLeft = urgentLinkSends
	}
	if r.Rank != nil {
		m.ranked[s] = true
	}
	if from != "" {
		e.addKnownPeer(from)
	}
	m.remove(s)
	m.insert(s, e)
	return true
}

// same notes that from has the held version, and keeps the earliest time of writing.
func (m *Gossiper) recordSameVersion(now time.Time, old *heldEntry, f wire.GossipEntry, from ident.ProcessID) {
	if old.entry.Boot != f.Boot || old.entry.Seq != f.Seq {
		return
	}
	if from != "" {
		old.addKnownPeer(from)
	}
	if at := now.Add(-time.Duration(f.AgeMillis) * time.Millisecond); at.Before(old.writtenAt) {
		old.writtenAt = at
	}
}

func (m *Gossiper) insert(s slot, e *heldEntry) {
	m.held[s] = e
	m.bytes += entryBytes(e.entry)
	m.toggleDigest(s, e)
	m.toPush = append(m.toPush, s)
	m.changed = append(m.changed, s)
	if len(m.changed) > m.entriesMax {
		m.changed = m.changed[len(m.changed)-m.entriesMax:]
	}
}

func (m *Gossiper) remove(s slot) {
	if e := m.held[s]; e != nil {
		m.bytes -= entryBytes(e.entry)
		m.toggleDigest(s, e)
		delete(m.held, s)
	}
}

// flip adds the version of e to the digest, or removes it.
func (m *Gossiper) toggleDigest(s slot, e *heldEntry) {
	if m.rule(s.kind).inDigest() {
		m.digest[bucketOf(s)] ^= versionHash(s, e.entry)
	}
}

// room evicts unpinned facts, the oldest first, until f fits. It reports false when f does not fit.
func (m *Gossiper) makeRoom(f wire.GossipEntry, old *heldEntry) bool {
	extra, n := entryBytes(f), 1
	if old != nil {
		extra, n = extra-entryBytes(old.entry), 0
	}
	for len(m.held)+n > m.entriesMax || m.bytes+extra > m.bytesMax {
		s, ok := m.oldestUnpinned(m.slotOf(f.Kind, f.Key, f.Origin))
		if !ok {
			return false
		}
		m.remove(s)
	}
	return true
}

// oldest returns the unpinned fact that was written first, other than keep.
func (m *Gossiper) oldestUnpinned(keep slot) (found slot, ok bool) {
	var at time.Time
	for s, e := range m.held {
		if s == keep || m.rule(s.kind).Pinned {
			continue
		}
		if !ok || e.writtenAt.Before(at) || e.writtenAt.Equal(at) && compareSlots(s, found) < 0 {
			found, at, ok = s, e.writtenAt, true
		}
	}
	return found, ok
}

// expire drops the facts whose life has ended.
func (m *Gossiper) expire(now time.Time) {
	for s, e := range m.held {
		if life := m.rule(s.kind).TTL; life > 0 && now.Sub(e.writtenAt) >= life {
			m.remove(s)
		}
	}
}

func compareSlots(a, b slot) int {
	return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.key, b.key), cmp.Compare(a.origin, b.origin))
}

// aged returns the fact of e with its age at now.
func (e *heldEntry) withAge(now time.Time) wire.GossipEntry {
	f := e.entry
	f.AgeMillis = max(now.Sub(e.writtenAt).Milliseconds(), 0)
	return f
}

func (e *heldEntry) digestEntry() wire.DigestEntry {
	f := e.entry
	return wire.DigestEntry{Kind: f.Kind, Key: f.Key, Origin: f.Origin, Boot: f.Boot, Seq: f.Seq}
}
