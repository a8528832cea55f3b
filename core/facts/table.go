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

// slot identifies the place of an entry in the table. Origin is empty for ranked kinds.
type slot struct {
	kind, key string
	origin    ident.ProcessID
}

// heldEntry is a gossip entry in the table, with the state of its distribution.
type heldEntry struct {
	entry wire.GossipEntry
	// writtenAt is the time of writing by the local clock, derived from the entry's age on arrival.
	writtenAt time.Time
	// pushRoundsLeft is the number of rounds for which the entry is still pushed.
	pushRoundsLeft int
	// linkSendsLeft is the number of times that the entry is still sent over the region link.
	linkSendsLeft int
	// knownPeers holds peers that have this version or a later one; at most knownPeersMax.
	knownPeers []ident.ProcessID
}

func (e *heldEntry) large() bool { return ident.Bytes(len(e.entry.Value)) >= announceBytesMin }

func (e *heldEntry) knownTo(p ident.ProcessID) bool { return slices.Contains(e.knownPeers, p) }

func (e *heldEntry) addKnownPeer(p ident.ProcessID) {
	if len(e.knownPeers) < knownPeersMax && !e.knownTo(p) {
		e.knownPeers = append(e.knownPeers, p)
	}
}

// entryBytes returns the approximate encoded size of entry.
func entryBytes(entry wire.GossipEntry) ident.Bytes {
	return ident.Bytes(len(entry.Kind) + len(entry.Key) + len(entry.Origin) + len(entry.Value) + 28)
}

// digestEntryBytes returns the approximate encoded size of d.
func digestEntryBytes(d wire.DigestEntry) ident.Bytes {
	return ident.Bytes(len(d.Kind) + len(d.Key) + len(d.Origin) + 22)
}

func (g *Gossiper) rule(kind string) Rule {
	if r, ok := g.rules[kind]; ok {
		return r
	}
	return Rule{TTL: defaultTTL}
}

func (g *Gossiper) slotOf(kind, key string, origin ident.ProcessID) slot {
	if g.rule(kind).Rank != nil {
		origin = ""
	}
	return slot{kind: kind, key: key, origin: origin}
}

// compareVersions orders two versions of one slot. A ranked kind is ordered by rank (in Seq), then by the hash
// of the value (in Boot); any other kind by boot, then sequence number.
func compareVersions(ranked bool, aBoot ident.Boot, aSeq uint64, bBoot ident.Boot, bSeq uint64) int {
	if ranked {
		return cmp.Or(cmp.Compare(aSeq, bSeq), cmp.Compare(aBoot, bBoot))
	}
	return cmp.Or(cmp.Compare(aBoot, bBoot), cmp.Compare(aSeq, bSeq))
}

// newer reports whether a replaces b. The value breaks ties, so that the order is total and merge stays
// commutative even when an origin wrote two values under one version.
func newer(ranked bool, a, b wire.GossipEntry) bool {
	c := compareVersions(ranked, a.Boot, a.Seq, b.Boot, b.Seq)
	return c > 0 || c == 0 && bytes.Compare(a.Value, b.Value) > 0
}

// valid reports whether entry may be held: its value is within the size limit, it has not expired, and its rank
// matches its value.
func (g *Gossiper) valid(entry wire.GossipEntry, r Rule) bool {
	if ident.Bytes(len(entry.Value)) > ValueBytesMax || entry.Kind == "" {
		return false
	}
	if r.TTL > 0 && time.Duration(entry.AgeMillis)*time.Millisecond >= r.TTL {
		return false
	}
	if r.Rank == nil {
		return true
	}
	rank, ok := r.Rank(entry.Value)
	return ok && rank == entry.Seq && entry.Boot == ident.Boot(xxhash.Sum64(entry.Value))
}

// put merges one entry and reports whether it replaced the held version. from is empty for entries of this
// process.
func (g *Gossiper) put(now time.Time, entry wire.GossipEntry, from ident.ProcessID) bool {
	r := g.rule(entry.Kind)
	entry.AgeMillis = max(entry.AgeMillis, 0)
	s := g.slotOf(entry.Kind, entry.Key, entry.Origin)
	old := g.held[s]
	if old != nil && !newer(r.Rank != nil, entry, old.entry) {
		g.recordSameVersion(now, old, entry, from)
		return false
	}
	if !g.valid(entry, r) || !g.makeRoom(entry, old) {
		return false
	}
	e := &heldEntry{entry: entry, writtenAt: now.Add(-time.Duration(entry.AgeMillis) * time.Millisecond), pushRoundsLeft: pushRounds, linkSendsLeft: 1}
	if r.Urgent {
		e.linkSendsLeft = urgentLinkSends
	}
	if r.Rank != nil {
		g.ranked[s] = true
	}
	if from != "" {
		e.addKnownPeer(from)
	}
	g.remove(s)
	g.insert(s, e)
	return true
}

// recordSameVersion records that from has the held version, and keeps the earliest time of writing.
func (g *Gossiper) recordSameVersion(now time.Time, old *heldEntry, entry wire.GossipEntry, from ident.ProcessID) {
	if old.entry.Boot != entry.Boot || old.entry.Seq != entry.Seq {
		return
	}
	if from != "" {
		old.addKnownPeer(from)
	}
	if writtenAt := now.Add(-time.Duration(entry.AgeMillis) * time.Millisecond); writtenAt.Before(old.writtenAt) {
		old.writtenAt = writtenAt
	}
}

func (g *Gossiper) insert(s slot, e *heldEntry) {
	g.held[s] = e
	g.bytes += entryBytes(e.entry)
	g.toggleDigest(s, e)
	g.toPush = append(g.toPush, s)
	g.changed = append(g.changed, s)
	if len(g.changed) > g.entriesMax {
		g.changed = g.changed[len(g.changed)-g.entriesMax:]
	}
}

func (g *Gossiper) remove(s slot) {
	if e := g.held[s]; e != nil {
		g.bytes -= entryBytes(e.entry)
		g.toggleDigest(s, e)
		delete(g.held, s)
	}
}

// toggleDigest adds the version of e to the digest, or removes it if it is included.
func (g *Gossiper) toggleDigest(s slot, e *heldEntry) {
	if g.rule(s.kind).inDigest() {
		g.digest[bucketOf(s)] ^= versionHash(s, e.entry)
	}
}

// makeRoom evicts unpinned entries, oldest first, until entry fits. It reports false when entry cannot fit.
func (g *Gossiper) makeRoom(entry wire.GossipEntry, old *heldEntry) bool {
	extraBytes, extraEntries := entryBytes(entry), 1
	if old != nil {
		extraBytes, extraEntries = extraBytes-entryBytes(old.entry), 0
	}
	for len(g.held)+extraEntries > g.entriesMax || g.bytes+extraBytes > g.bytesMax {
		s, ok := g.oldestUnpinned(g.slotOf(entry.Kind, entry.Key, entry.Origin))
		if !ok {
			return false
		}
		g.remove(s)
	}
	return true
}

// oldestUnpinned returns the unpinned entry that was written first, ignoring the slot except.
func (g *Gossiper) oldestUnpinned(except slot) (found slot, ok bool) {
	var earliest time.Time
	for s, e := range g.held {
		if s == except || g.rule(s.kind).Pinned {
			continue
		}
		if !ok || e.writtenAt.Before(earliest) || e.writtenAt.Equal(earliest) && compareSlots(s, found) < 0 {
			found, earliest, ok = s, e.writtenAt, true
		}
	}
	return found, ok
}

// expire removes the entries whose TTL has passed.
func (g *Gossiper) expire(now time.Time) {
	for s, e := range g.held {
		if ttl := g.rule(s.kind).TTL; ttl > 0 && now.Sub(e.writtenAt) >= ttl {
			g.remove(s)
		}
	}
}

func compareSlots(a, b slot) int {
	return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.key, b.key), cmp.Compare(a.origin, b.origin))
}

// withAge returns the entry of e with its age at now.
func (e *heldEntry) withAge(now time.Time) wire.GossipEntry {
	entry := e.entry
	entry.AgeMillis = max(now.Sub(e.writtenAt).Milliseconds(), 0)
	return entry
}

func (e *heldEntry) digestEntry() wire.DigestEntry {
	entry := e.entry
	return wire.DigestEntry{Kind: entry.Kind, Key: entry.Key, Origin: entry.Origin, Boot: entry.Boot, Seq: entry.Seq}
}
