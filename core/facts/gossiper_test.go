package facts_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hickoryvane.example/core/facts"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/prop"
	"hickoryvane.example/core/wire"
)

func newGossiper(opts ...facts.Option) *facts.Gossiper {
	opts = append([]facts.Option{facts.WithRank(facts.KindConfig, rank)}, opts...)
	return facts.New("vm-1000", 1, rand.New(rand.NewPCG(1, 1)), opts...)
}

func drawEntries(t *rapid.T) []wire.GossipEntry {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) wire.GossipEntry {
		if rapid.Bool().Draw(t, "config") {
			node := newGossiper()
			node.Set(start, facts.KindConfig, "", config(rapid.Uint64Range(1, 5).Draw(t, "gen"), rapid.IntRange(8, 10).Draw(t, "size")))
			return node.All(facts.KindConfig)[0]
		}
		return wire.GossipEntry{
			Kind: "evidence", Key: strconv.Itoa(rapid.IntRange(0, 2).Draw(t, "key")), Origin: name(rapid.IntRange(0, 2).Draw(t, "origin")),
			Boot: ident.Boot(rapid.IntRange(1, 3).Draw(t, "boot")), Seq: uint64(rapid.IntRange(1, 3).Draw(t, "count")),
			AgeMillis: int64(rapid.IntRange(0, 1000).Draw(t, "age")), Value: rapid.SliceOfN(rapid.Byte(), 0, 2).Draw(t, "value"),
		}
	}), 0, 12).Draw(t, "facts")
}

func allEntries(node *facts.Gossiper) []wire.GossipEntry {
	out := append(node.All("evidence"), node.All(facts.KindConfig)...)
	for i := range out {
		out[i].AgeMillis = 0
	}
	return out
}

// mergeLaws checks that the order, grouping and repetition of merges do not matter.
func mergeLaws(merge func(*facts.Gossiper, []wire.GossipEntry)) func(*rapid.T) {
	return func(t *rapid.T) {
		entries := drawEntries(t)
		a, b := newGossiper(), newGossiper()
		merge(a, entries)
		perm := rapid.Permutation(entries).Draw(t, "order")
		split := rapid.IntRange(0, len(perm)).Draw(t, "cut")
		for _, part := range [][]wire.GossipEntry{perm[split:], perm[:split], perm} {
			merge(b, part)
		}
		NewWithT(t).Expect(allEntries(b)).To(Equal(allEntries(a)))
	}
}

// Guards against a merge that depends on the order or number of deliveries.
func TestMergeIsIndependentOfOrderAndRepetition(t *testing.T) {
	rapid.Check(t, mergeLaws(func(node *facts.Gossiper, entries []wire.GossipEntry) { node.Merge(start, entries) }))
	last := uint64(10)
	g := NewWithT(t)
	g.Expect(prop.Fails(t, mergeLaws(func(node *facts.Gossiper, entries []wire.GossipEntry) {
		for _, entry := range entries { // planted fault: the last delivery wins
			if entry.Kind != facts.KindConfig {
				last++
				entry.Seq = last
			}
			node.Merge(start, []wire.GossipEntry{entry})
		}
	}))).To(BeTrue())
}

// checkConvergence runs random faults, then a period without faults. It checks that no process returned to an
// older configuration, and that in the end all processes hold the same entries. plant, if not nil, adds a fault to
// the network that the checks have to detect.
func checkConvergence(plant func(*network)) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newNetwork(6, rapid.Uint64Range(1, 1<<30).Draw(t, "seed"))
		w.loss, w.duplicate = 0.2, 0.2
		if plant != nil {
			plant(w)
		}
		seen := make([]uint64, len(w.gossipers))
		gen, writes := uint64(0), 0
		process := rapid.IntRange(0, len(w.gossipers)-1)
		t.Repeat(map[string]func(*rapid.T){
			"config": func(t *rapid.T) {
				gen++
				w.gossipers[process.Draw(t, "at")].Set(w.now, facts.KindConfig, "", config(gen, rapid.SampledFrom([]int{8, 5000}).Draw(t, "size")))
			},
			"set": func(t *rapid.T) {
				writes++
				w.gossipers[process.Draw(t, "at")].Set(w.now, "evidence", "k", []byte(strconv.Itoa(writes)))
			},
			"miss": func(t *rapid.T) { // a process is down for longer than an entry is pushed
				i := process.Draw(t, "vm")
				w.down[i] = true
				writes++
				w.gossipers[(i+2)%len(w.gossipers)].Set(w.now, "evidence", "k", []byte(strconv.Itoa(writes)))
				w.run(5*time.Second, nil)
				w.down[i] = false
			},
			"pause":  func(t *rapid.T) { w.down[process.Draw(t, "vm")] = true },
			"resume": func(t *rapid.T) { w.down[process.Draw(t, "vm")] = false },
			"restart": func(t *rapid.T) {
				i := process.Draw(t, "vm")
				seen[i] = 0
				w.restart(i)
			},
			"run": func(t *rapid.T) {
				w.run(time.Duration(rapid.IntRange(100, 2000).Draw(t, "ms"))*time.Millisecond, nil)
			},
			"": func(t *rapid.T) {
				for i, node := range w.gossipers {
					entry, _ := node.Get(facts.KindConfig, "")
					if entry.Seq < seen[i] {
						t.Fatalf("%s went back from %d to %d", name(i), seen[i], entry.Seq)
					}
					seen[i] = entry.Seq
				}
			},
		})
		w.loss, w.down = 0, make([]bool, len(w.gossipers))
		w.run(60*time.Second, nil)
		for _, node := range w.gossipers {
			NewWithT(t).Expect(allEntries(node)).To(Equal(allEntries(w.gossipers[0])))
		}
	}
}

// Guards against entries that never reach some process, and against a configuration that reverts, after loss,
// duplication, pauses and restarts.
func TestGossipConverges(t *testing.T) {
	rapid.Check(t, checkConvergence(nil))
}

// Guards against a convergence check that cannot fail.
func TestConvergenceCheckFailsOnPlantedFaults(t *testing.T) {
	g := NewWithT(t)
	g.Expect(prop.Fails(t, checkConvergence(func(w *network) { // planted fault: no digests
		w.drop = func(msg *wire.Gossip) bool { return msg.Digest }
	}))).To(BeTrue())
	g.Expect(prop.Fails(t, checkConvergence(func(w *network) { // planted fault: the configuration is ordered per origin
		w.opts = []facts.Option{facts.WithRule(facts.KindConfig, facts.Rule{})}
		for i := range w.gossipers {
			w.restart(i)
		}
	}))).To(BeTrue())
}

// Guards against entries of dead processes that never expire, and against an expired entry that a slower peer
// brings back.
func TestEntryExpiresAndDoesNotReturn(t *testing.T) {
	g := NewWithT(t)
	node := newGossiper(facts.WithRule("short", facts.Rule{TTL: 2 * time.Second}))
	node.Set(start, "short", "k", []byte("v"))
	old := node.All("short")[0]
	for i := range 21 {
		node.Tick(start.Add(time.Duration(i)*facts.RoundInterval), facts.Peers{})
	}
	g.Expect(node.All("short")).To(BeEmpty())
	old.AgeMillis = 2000
	g.Expect(node.Merge(start, []wire.GossipEntry{old})).To(BeEmpty())
}

// Guards against memory that grows with the entries received, and against the eviction of a pinned entry.
func TestTableStaysWithinLimits(t *testing.T) {
	g := NewWithT(t)
	node := newGossiper(facts.WithLimit(10, 4096))
	node.Set(start, facts.KindConfig, "", config(1, 1000))
	for i := range 100 {
		node.Set(start.Add(time.Duration(i)), "evidence", strconv.Itoa(i), make([]byte, 100))
		n, size := node.Size()
		g.Expect(n).To(BeNumerically("<=", 10))
		g.Expect(size).To(BeNumerically("<=", 4096))
	}
	_, ok := node.Get(facts.KindConfig, "")
	g.Expect(ok).To(BeTrue())
	g.Expect(node.Set(start, "evidence", "large", make([]byte, facts.ValueBytesMax+1))).To(BeFalse())
}

// Guards against a configuration that a peer sends under a generation that differs from the one in its value.
func TestForgedRankIsRefused(t *testing.T) {
	g := NewWithT(t)
	node := newGossiper()
	node.Set(start, facts.KindConfig, "", config(3, 8))
	entry := node.All(facts.KindConfig)[0]
	entry.Seq, entry.Origin = 9, "vm-1001"
	g.Expect(node.Merge(start, []wire.GossipEntry{entry})).To(BeEmpty())
	g.Expect(node.Set(start, facts.KindConfig, "", config(2, 8))).To(BeFalse())
}

// Guards against entries of this process that peers ignore because its clock was set back before a restart.
func TestOwnEntryWinsAfterClockSetBack(t *testing.T) {
	g := NewWithT(t)
	node := newGossiper()
	node.Merge(start, []wire.GossipEntry{{Kind: "evidence", Key: "k", Origin: "vm-1000", Boot: 7, Seq: 9}})
	node.Set(start, "evidence", "k", []byte("new"))
	entry, _ := node.Get("evidence", "k")
	g.Expect(string(entry.Value)).To(Equal("new"))
}

// Guards against a round that exceeds its limit of peers or bytes, and against a large value that is pushed
// instead of announced.
func TestRoundIsBounded(t *testing.T) {
	g := NewWithT(t)
	node := newGossiper(facts.WithBudget(2000, facts.DefaultServeBudget))
	for i := range 100 {
		node.Set(start, "evidence", strconv.Itoa(i), make([]byte, 100))
	}
	node.Set(start, facts.KindConfig, "", config(1, 100_000))
	var peers []ident.ProcessID
	for i := range 50 {
		peers = append(peers, name(i))
	}
	for i := range 9 {
		to, total := map[ident.ProcessID]bool{}, 0
		for _, s := range node.Tick(start.Add(time.Duration(i)*facts.RoundInterval), facts.Peers{SameRegion: peers}) {
			b, err := wire.Encode(s.Message)
			g.Expect(err).NotTo(HaveOccurred())
			total += len(b)
			to[s.To] = true
		}
		g.Expect(len(to)).To(BeNumerically("<=", facts.Fanout))
		g.Expect(total).To(BeNumerically("<=", 2000))
	}
}
