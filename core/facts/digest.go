package facts

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// A digest is a message with Digest set. Its marks have an empty sort: one per bucket, with the
// number of the bucket as boot and the hash of the bucket as count. The answer lists differing
// buckets in full: for each a mark with an empty sort and the key listed, then the marks of the
// facts in it. A digest of all marks would take 600 KB at 980 processes with ten facts each.
const bucketListKey = "list"

func bucketOf(s slot) int {
	d := xxhash.New()
	_, _ = d.WriteString(s.kind + "\x00" + s.key + "\x00" + string(s.origin))
	return int(d.Sum64() % bucketCount)
}

func versionHash(s slot, f wire.GossipEntry) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(s.kind + "\x00" + s.key + "\x00" + string(s.origin))
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], uint64(f.Boot))
	binary.BigEndian.PutUint64(b[8:], f.Seq)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// repair sends the digest to one peer of the region and to the counterparts over the link.
func (m *Gossiper) sendDigest(out []Envelope, peers Peers) []Envelope {
	msg := &wire.Gossip{Digest: true}
	for i, h := range m.digest {
		msg.DigestEntries = append(msg.DigestEntries, wire.DigestEntry{Boot: ident.Boot(i), Seq: h})
	}
	var size ident.Bytes
	for _, k := range msg.DigestEntries {
		size += digestEntryBytes(k)
	}
	for _, p := range slices.Concat(m.roundPeers[:min(1, len(m.roundPeers))], peers.OtherRegions) {
		m.pushRemaining -= size
		out = append(out, Envelope{To: p, Message: msg})
	}
	return out
}

// handleDigest answers a digest with the lists of differing buckets, or such lists with facts.
func (m *Gossiper) handleDigest(out []Envelope, now time.Time, from ident.ProcessID, marks []wire.DigestEntry) []Envelope {
	lists := map[int]map[slot]bool{}
	var differ []int
	for _, k := range marks {
		if k.Kind != "" || k.Boot >= bucketCount {
			continue
		}
		i := int(k.Boot)
		if k.Key == bucketListKey {
			lists[i] = map[slot]bool{}
		} else if m.digest[i] != k.Seq {
			differ = append(differ, i)
		}
	}
	if len(lists) > 0 {
		return m.handleBucketLists(out, now, from, marks, lists)
	}
	return m.sendBucketLists(out, from, differ)
}

// list sends the marks of differing buckets, as many buckets as the budget allows, from a random one on.
func (m *Gossiper) sendBucketLists(out []Envelope, from ident.ProcessID, differ []int) []Envelope {
	if len(differ) == 0 {
		return out
	}
	msg := &wire.Gossip{Digest: true}
	by := m.slotsByBucket()
	start := m.rnd.IntN(len(differ))
	for j := range differ {
		i := differ[(start+j)%len(differ)]
		ks := []wire.DigestEntry{{Key: bucketListKey, Boot: ident.Boot(i)}}
		total := digestEntryBytes(ks[0])
		for _, s := range by[i] {
			k := m.held[s].digestEntry()
			ks, total = append(ks, k), total+digestEntryBytes(k)
		}
		if total > m.pushRemaining {
			break
		}
		m.pushRemaining -= total
		msg.DigestEntries = append(msg.DigestEntries, ks...)
	}
	if len(msg.DigestEntries) == 0 {
		return out
	}
	return appendEnvelope(out, from, msg)
}

func (m *Gossiper) slotsByBucket() (by [bucketCount][]slot) {
	for s := range m.held {
		if m.rule(s.kind).inDigest() {
			by[bucketOf(s)] = append(by[bucketOf(s)], s)
		}
	}
	for i := range by {
		slices.SortFunc(by[i], compareSlots)
	}
	return by
}

// handleLists answers the marks of listed buckets, and sends what the lists do not name.
func (m *Gossiper) handleBucketLists(out []Envelope, now time.Time, from ident.ProcessID, marks []wire.DigestEntry, lists map[int]map[slot]bool) []Envelope {
	msg := &wire.Gossip{}
	for _, k := range marks {
		if k.Kind == "" {
			continue
		}
		s := m.slotOf(k.Kind, k.Key, k.Origin)
		if seen := lists[bucketOf(s)]; seen != nil {
			seen[s] = true
		}
		m.handleDigestEntry(msg, now, from, k)
	}
	by := m.slotsByBucket()
	for i := range by {
		if lists[i] == nil {
			continue
		}
		for _, s := range by[i] {
			if !lists[i][s] {
				m.addWithinBudget(msg, m.held[s], now)
			}
		}
	}
	return appendEnvelope(out, from, msg)
}
