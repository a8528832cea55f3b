package facts

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// A digest is a message with Digest set whose digest entries have an empty kind: one entry per bucket, with the
// number of the bucket in Boot and the hash of the bucket in Seq. The reply lists each differing bucket in
// full: an entry with an empty kind and the key bucketListKey, followed by the digest entries of the gossip
// entries in that bucket. A digest that named every entry would take 600 KB for 980 processes with ten entries
// each.
const bucketListKey = "list"

func bucketOf(s slot) int {
	d := xxhash.New()
	_, _ = d.WriteString(s.kind + "\x00" + s.key + "\x00" + string(s.origin))
	return int(d.Sum64() % bucketCount)
}

func versionHash(s slot, entry wire.GossipEntry) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(s.kind + "\x00" + s.key + "\x00" + string(s.origin))
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], uint64(entry.Boot))
	binary.BigEndian.PutUint64(b[8:], entry.Seq)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// sendDigest sends the digest to one peer of the region and to the counterparts over the region link.
func (g *Gossiper) sendDigest(out []Envelope, peers Peers) []Envelope {
	msg := &wire.Gossip{Digest: true}
	for i, h := range g.digest {
		msg.DigestEntries = append(msg.DigestEntries, wire.DigestEntry{Boot: ident.Boot(i), Seq: h})
	}
	var size ident.Bytes
	for _, d := range msg.DigestEntries {
		size += digestEntryBytes(d)
	}
	for _, p := range slices.Concat(g.roundPeers[:min(1, len(g.roundPeers))], peers.OtherRegions) {
		g.pushRemaining -= size
		out = append(out, Envelope{To: p, Message: msg})
	}
	return out
}

// handleDigest answers a digest with lists of the buckets that differ, and answers such lists with gossip
// entries.
func (g *Gossiper) handleDigest(out []Envelope, now time.Time, from ident.ProcessID, digestEntries []wire.DigestEntry) []Envelope {
	listed := map[int]map[slot]bool{}
	var differing []int
	for _, d := range digestEntries {
		if d.Kind != "" || d.Boot >= bucketCount {
			continue
		}
		i := int(d.Boot)
		if d.Key == bucketListKey {
			listed[i] = map[slot]bool{}
		} else if g.digest[i] != d.Seq {
			differing = append(differing, i)
		}
	}
	if len(listed) > 0 {
		return g.handleBucketLists(out, now, from, digestEntries, listed)
	}
	return g.sendBucketLists(out, from, differing)
}

// sendBucketLists sends the digest entries of differing buckets, starting at a random one, for as many buckets
// as the push budget allows.
func (g *Gossiper) sendBucketLists(out []Envelope, from ident.ProcessID, differing []int) []Envelope {
	if len(differing) == 0 {
		return out
	}
	msg := &wire.Gossip{Digest: true}
	byBucket := g.slotsByBucket()
	start := g.rnd.IntN(len(differing))
	for j := range differing {
		i := differing[(start+j)%len(differing)]
		list := []wire.DigestEntry{{Key: bucketListKey, Boot: ident.Boot(i)}}
		total := digestEntryBytes(list[0])
		for _, s := range byBucket[i] {
			d := g.held[s].digestEntry()
			list, total = append(list, d), total+digestEntryBytes(d)
		}
		if total > g.pushRemaining {
			break
		}
		g.pushRemaining -= total
		msg.DigestEntries = append(msg.DigestEntries, list...)
	}
	if len(msg.DigestEntries) == 0 {
		return out
	}
	return appendEnvelope(out, from, msg)
}

func (g *Gossiper) slotsByBucket() (byBucket [bucketCount][]slot) {
	for s := range g.held {
		if g.rule(s.kind).inDigest() {
			byBucket[bucketOf(s)] = append(byBucket[bucketOf(s)], s)
		}
	}
	for i := range byBucket {
		slices.SortFunc(byBucket[i], compareSlots)
	}
	return byBucket
}

// handleBucketLists answers the digest entries of listed buckets, and sends the gossip entries that the lists
// do not name.
func (g *Gossiper) handleBucketLists(out []Envelope, now time.Time, from ident.ProcessID, digestEntries []wire.DigestEntry, listed map[int]map[slot]bool) []Envelope {
	msg := &wire.Gossip{}
	for _, d := range digestEntries {
		if d.Kind == "" {
			continue
		}
		s := g.slotOf(d.Kind, d.Key, d.Origin)
		if seen := listed[bucketOf(s)]; seen != nil {
			seen[s] = true
		}
		g.handleDigestEntry(msg, now, from, d)
	}
	byBucket := g.slotsByBucket()
	for i := range byBucket {
		if listed[i] == nil {
			continue
		}
		for _, s := range byBucket[i] {
			if !listed[i][s] {
				g.addWithinBudget(msg, g.held[s], now)
			}
		}
	}
	return appendEnvelope(out, from, msg)
}
