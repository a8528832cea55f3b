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
			m := newGossiper()
			m.Set(start, facts.KindConfig, "", config(rapid.Uint64Range(1, 5).Draw(t, "gen"), rapid.IntRange(8, 10).Draw(t, "size")))
			return m.All(facts.KindConfig)[0]
		}
		return wire.GossipEntry{
			Kind: "evidence", Key: strconv.Itoa(rapid.IntRange(0, 2).Draw(t, "key")), Origin: name(rapid.IntRange(0, 2).Draw(t, "origin")),
			Boot: ident.Boot(rapid.IntRange(1, 3).Draw(t, "boot")), Seq: uint64(rapid.IntRange(1, 3).Draw(t, "count")),
			AgeMillis: int64(rapid.IntRange(0, 1000).Draw(t, "age")), Value: rapid.SliceOfN(rapid.Byte(), 0, 2).Draw(t, "value"),
		}
	}), 0, 12).Draw(t, "facts")
}

func allEntries(m *facts.Gossiper) []wire.GossipEntry {
	out := append(m.All("evidence"), m.All(facts.KindConfig)...)
	for i := range out {
		out[i].AgeMillis = 0
	}
	return out
}

// mergeLaws checks that order, grouping and repetition of merges do not matter.
func mergeLaws(merge func(*facts.Gossiper, []wire.GossipEntry)) func(*rapid.T) {
	return func(t *rapid.T) {
		fs := drawEntries(t)
		a, b := newGossiper(), newGossiper()
		merge(a, fs)
		perm := rapid.Permutation(fs).Draw(t, "order")
		cut := rapid.IntRange(0, len(perm)).Draw(t, "cut")
		for _, part := range [][]wire.GossipEntry{perm[cut:], perm[:cut], perm} {
			merge(b, part)
		}
		NewWithT(t).Expect(allEntries(b)).To(Equal(allEntries(a)))
	}
}

// Guards against a merge that depends on the order or number of deliveries.
func TestMergeIsIndependentOfOrderAndRepetition(t *testing.T) {
	rapid.Check(t, mergeLaws(func(m *facts.Gossiper, fs []wire.GossipEntry) { m.Merge(start, fs) }))
	last := uint64(10)
	g := NewWithT(t)
	g.Expect(prop.Fails(t, mergeLaws(func(m *facts.Gossiper, fs []wire.GossipEntry) {
		for _, f := range fs { // planted fault: what arrives last wins
			if f.Kind != facts.KindConfig {
				last++
				f.Seq = last
			}
			m.Merge(start, []wire.GossipEntry{f})
		}
	}))).To(BeTrue())
}

// converges runs random faults, then a quiet time, and checks that no process went back to an older
// configuration and that all hold the newest facts in the end.
func checkConvergence(plant func(*network)) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newNetwork(6, rapid.Uint64Range(1, 1<<30).Draw(t, "seed"))
		w.loss, w.duplicate = 0.2, 0.2
		if plant != nil {
			plant(w)
		}
		seen := make([]uint64, len(w.gossipers))
		gen, wrote := uint64(0), 0
		one := rapid.IntRange(0, len(w.gossipers)-1)
		t.Repeat(map[string]func(*rapid.T){
			"config": func(t *rapid.T) {
				gen++
				w.gossipers[one.Draw(t, "at")].Set(w.now, facts.KindConfig, "", config(gen, rapid.SampledFrom([]int{8, 5000}).Draw(t, "size")))
			},
			"set": func(t *rapid.T) {
				wrote++
				w.gossipers[one.Draw(t, "at")].Set(w.now, "evidence", "k", []byte(strconv.Itoa(wrote)))
			},
			"miss": func(t *rapid.T) { // a process is away for longer than a fact is pushed
				i := one.Draw(t, "vm")
				w.down[i] = true
				wrote++
				w.gossipers[(i+2)%len(w.gossipers)].Set(w.now, "evidence", "k", []byte(strconv.Itoa(wrote)))
				w.run(5*time.Second, nil)
				w.down[i] = false
			},
			"pause":  func(t *rapid.T) { w.down[one.Draw(t, "vm")] = true },
			"resume": func(t *rapid.T) { w.down[one.Draw(t, "vm")] = false },
			"restart": func(t *rapid.T) {
				i := one.Draw(t, "vm")
				seen[i] = 0
				w.restart(i)
			},
			"run": func(t *rapid.T) {
				w.run(time.Duration(rapid.IntRange(100, 2000).Draw(t, "ms"))*time.Millisecond, nil)
			},
			"": func(t *rapid.T) {
				for i, m := range w.gossipers {
					f, _ := m.Get(facts.KindConfig, "")
					if f.Seq < seen[i] {
						t.Fatalf("%s went back from %d to %d", name(i), seen[i], f.Seq)
					}
					seen[i] = f.Seq
				}
			},
		})
		w.loss, w.down = 0, make([]bool, len(w.gossipers))
		w.run(60*time.Second, nil)
		for _, m := range w.gossipers {
			NewWithT(t).Expect(allEntries(m)).To(Equal(allEntries(w.gossipers[0])))
		}
	}
}

// Guards against facts that some process never gets, and against a configuration that reverts,
// after loss, duplication, pauses and restarts.
func TestGossipConverges(t *testing.T) {
	rapid.Check(t, checkConvergence(nil))
}

// Guards against a test of convergence that cannot fail.
func TestConvergenceCheckFailsOnPlantedFaults(t *testing.T) {
	g := NewWithT(t)
	g.Expect(prop.Fails(t, checkConvergence(func(w *network) { // planted fault: no repair
		w.drop = func(m *wire.Gossip) bool { return m.Digest }
	}))).To(BeTrue())
	g.Expect(prop.Fails(t, checkConvergence(func(w *network) { // planted fault: the configuration is ordered per origin
		w.opts = []facts.Option{facts.WithRule(facts.KindConfig, facts.Rule{})}
		for i := range w.gossipers {
			w.restart(i)
		}
	}))).To(BeTrue())
}

// Guards against facts of dead processes that stay, and against their return from a slower peer.
func TestEntryExpiresAndDoesNotReturn(t *testing.T) {
	g := NewWithT(t)
	m := newGossiper(facts.WithRule("short", facts.Rule{TTL: 2 * time.Second}))
	m.Set(start, "short", "k", []byte("v"))
	old := m.All("short")[0]
	for i := range 21 {
		m.Tick(start.Add(time.Duration(i)*facts.RoundInterval), facts.Peers{})
	}
	g.Expect(m.All("short")).To(BeEmpty())
	old.AgeMillis = 2000
	g.Expect(m.Merge(start, []wire.GossipEntry{old})).To(BeEmpty())
}

// Guards against memory that grows with the facts received, and against the loss of a pinned fact.
func TestTableStaysWithinLimits(t *testing.T) {
	g := NewWithT(t)
	m := newGossiper(facts.WithLimit(10, 4096))
	m.Set(start, facts.KindConfig, "", config(1, 1000))
	for i := range 100 {
		m.Set(start.Add(time.Duration(i)), "evidence", strconv.Itoa(i), make([]byte, 100))
		n, size := m.Size()
		g.Expect(n).To(BeNumerically("<=", 10))
		g.Expect(size).To(BeNumerically("<=", 4096))
	}
	_, ok := m.Get(facts.KindConfig, "")
	g.Expect(ok).To(BeTrue())
	g.Expect(m.Set(start, "evidence", "large", make([]byte, facts.ValueBytesMax+1))).To(BeFalse())
}

// Guards against a configuration that a peer offers under a generation that is not its own.
func TestForgedRankIsRefused(t *testing.T) {
	g := NewWithT(t)
	m := newGossiper()
	m.Set(start, facts.KindConfig, "", config(3, 8))
	f := m.All(facts.KindConfig)[0]
	f.Seq, f.Origin = 9, "vm-1001"
	g.Expect(m.Merge(start, []wire.GossipEntry{f})).To(BeEmpty())
	g.Expect(m.Set(start, facts.KindConfig, "", config(2, 8))).To(BeFalse())
}

// Guards against own facts that peers ignore because the clock was set back before a restart.
func TestOwnEntryWinsAfterClockSetBack(t *testing.T) {
	g := NewWithT(t)
	m := newGossiper()
	m.Merge(start, []wire.GossipEntry{{Kind: "evidence", Key: "k", Origin: "vm-1000", Boot: 7, Seq: 9}})
	m.Set(start, "evidence", "k", []byte("new"))
	f, _ := m.Get("evidence", "k")
	g.Expect(string(f.Value)).To(Equal("new"))
}

// Guards against a round that exceeds its peers or its bytes, and against a large value that is
// pushed instead of announced.
func TestRoundIsBounded(t *testing.T) {
	g := NewWithT(t)
	m := newGossiper(facts.WithBudget(2000, facts.DefaultServeBudget))
	for i := range 100 {
		m.Set(start, "evidence", strconv.Itoa(i), make([]byte, 100))
	}
	m.Set(start, facts.KindConfig, "", config(1, 100_000))
	var near []ident.ProcessID
	for i := range 50 {
		near = append(near, name(i))
	}
	for i := range 9 {
		to, total := map[ident.ProcessID]bool{}, 0
		for _, s := range m.Tick(start.Add(time.Duration(i)*facts.RoundInterval), facts.Peers{SameRegion: near}) {
			b, err := wire.Encode(s.Message)
			g.Expect(err).NotTo(HaveOccurred())
			total += len(b)
			to[s.To] = true
		}
		g.Expect(len(to)).To(BeNumerically("<=", facts.Fanout))
		g.Expect(total).To(BeNumerically("<=", 2000))
	}
}
