package pick_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/pick"
	"hickoryvane.example/core/wire"
)

var t0 = time.Unix(1_800_000_000, 0)

func id(i int) ident.TargetID { return ident.TargetID("t" + strconv.Itoa(i)) }

// picker returns a picker in region "west" with n idle targets there, each with a report.
func picker(n int, opts ...pick.Option) *pick.Picker {
	p := pick.New(rand.New(rand.NewPCG(1, 2)), "west", opts...)
	for i := range n {
		p.Put(t0, pick.Target{ID: id(i), Agent: "vm", Region: "west", Service: "s", Version: "v"})
		load(p, i, 1, func(*wire.Load) {})
	}
	return p
}

func load(p *pick.Picker, i int, seq ident.Seq, change func(*wire.Load)) {
	l := &wire.Load{
		Target: id(i), Service: "s", Version: "v", Seq: seq, Window: 8, PrefillRate: 10_000, DrainRate: 1000, LowestWaitingTier: 255,
	}
	change(l)
	p.Load(t0, l)
}

func request() pick.Request {
	return pick.Request{ID: "r", Service: "s", Version: "v", Tier: 1, Prompt: 1000, Output: 100}
}

// shares returns how often each target is the first choice in n decisions at the given time.
func shares(p *pick.Picker, now time.Time, r pick.Request, n int) map[ident.TargetID]int {
	out := map[ident.TargetID]int{}
	for range n {
		if got := p.Pick(now, r, nil); len(got) > 0 {
			out[got[0].Target]++
		}
	}
	return out
}

func waiting(l *wire.Load) {
	l.Running, l.HeldTokens, l.WaitingByTier, l.LowestWaitingTier = 8, 8000, []ident.Tokens{0, 0, 50_000}, 2
}

// Guards against offers to targets that are draining, refusing, suspected or were tried, and against a
// target that stays excluded afterwards.
func TestExcludedTargetsAreNotPicked(t *testing.T) {
	g := NewWithT(t)
	p := picker(6)
	load(p, 1, 2, func(l *wire.Load) { l.Draining = true })
	load(p, 2, 2, func(l *wire.Load) { l.Refusing = true })
	p.Suspect(t0, id(3), true)
	p.Refused(t0, id(4), time.Second)
	r := request()
	r.Tried = []ident.TargetID{id(5)}
	g.Expect(shares(p, t0, r, 100)).To(HaveLen(1))
	g.Expect(p.Pick(t0, r, nil)).To(ConsistOf(HaveField("Target", id(0))))

	load(p, 1, 3, func(*wire.Load) {})
	p.Suspect(t0, id(3), false)
	p.Drop(id(0))
	got := shares(p, t0.Add(time.Second), r, 400)
	g.Expect(got).To(And(HaveLen(3), HaveKey(id(1)), HaveKey(id(3)), HaveKey(id(4))))
	g.Expect(got[id(1)]).To(BeNumerically("<", got[id(4)]), "an excluded target comes back gently")
}

// Guards against routers that follow a stale report: own offers since the report count until a newer
// report covers them.
func TestOwnOffersCorrectTheReport(t *testing.T) {
	g := NewWithT(t)
	p := picker(2)
	r := request()
	for i := range 20 {
		r.ID = ident.RequestID(strconv.Itoa(i))
		p.Sent(t0, id(0), &r)
	}
	g.Expect(shares(p, t0, r, 20)).To(Equal(map[ident.TargetID]int{id(1): 20}))
	load(p, 0, 2, func(*wire.Load) {}) // received too early to count them
	g.Expect(shares(p, t0, r, 20)).To(Equal(map[ident.TargetID]int{id(1): 20}))
	p.Load(t0.Add(time.Second), &wire.Load{Target: id(0), Version: "v", Seq: 3, Window: 8, LowestWaitingTier: 255})
	g.Expect(shares(p, t0, r, 100)).To(HaveLen(2))
}

// Guards against a low tier's line that keeps a higher tier away, and against an old report that
// replaces a newer one.
func TestWaitCountsTheTierAndAbove(t *testing.T) {
	g := NewWithT(t)
	p := picker(2)
	load(p, 0, 5, waiting)
	load(p, 0, 4, func(*wire.Load) {})
	low := request()
	low.Tier = 2
	g.Expect(shares(p, t0, low, 20)).To(Equal(map[ident.TargetID]int{id(1): 20}))
	est := func(tier ident.Tier) time.Duration {
		r := request()
		r.Tier, r.Tried = tier, []ident.TargetID{id(1)}
		return p.Pick(t0, r, nil)[0].Estimate
	}
	g.Expect(est(2)).To(BeNumerically(">", 50*time.Second))
	g.Expect(est(1)).To(BeNumerically("<", 2*time.Second))
}

// Guards against wasted prefill while a target holds the prefix, and against trust in a cache state
// after events were lost.
func TestPrefixAffinityUntilAGap(t *testing.T) {
	g := NewWithT(t)
	p := picker(64)
	r := request()
	r.Blocks = []ident.Block{1, 2, 3, 4}
	p.Cache(&wire.Cache{Target: id(7), Seq: 1, Added: []ident.Block{1, 2, 3}})
	got := p.Pick(t0, r, nil)
	g.Expect(got[0]).To(And(HaveField("Target", id(7)), HaveField("Cached", ident.Tokens(192))))

	p.Cache(&wire.Cache{Target: id(7), Seq: 3, Added: []ident.Block{4}})
	g.Expect(shares(p, t0, r, 200)[id(7)]).To(BeNumerically("<", 20))
	p.Cache(&wire.Cache{Target: id(7), Seq: 4, Added: []ident.Block{1, 2, 3}})
	g.Expect(shares(p, t0, r, 200)[id(7)]).To(BeNumerically("<", 20))
	p.Cache(&wire.Cache{Target: id(7), Seq: 9, Reset: true, Added: []ident.Block{1}})
	g.Expect(p.Pick(t0, r, nil)[0]).To(HaveField("Cached", ident.Tokens(64)))
	p.Cache(&wire.Cache{Target: id(7), Seq: 10, Removed: []ident.Block{1}})
	g.Expect(p.Pick(t0, r, nil)[0]).To(HaveField("Cached", ident.Tokens(0)))
}

// Guards against memory that grows with the number of cache events.
func TestCachedBlocksAreBounded(t *testing.T) {
	g := NewWithT(t)
	p := picker(1, pick.WithBlocks(2))
	p.Cache(&wire.Cache{Target: id(0), Seq: 1, Added: []ident.Block{1, 2, 3}})
	for b, want := range map[ident.Block]ident.Tokens{1: 0, 2: 64, 3: 64} {
		r := request()
		r.Blocks = []ident.Block{b}
		g.Expect(p.Pick(t0, r, nil)[0].Cached).To(Equal(want), "block %d", b)
	}
}

// Guards against traffic on the paid link without enough gain or beyond the budget.
func TestOtherRegionNeedsGainAndBudget(t *testing.T) {
	g := NewWithT(t)
	p := picker(2, pick.WithLink(1000, 100_000))
	p.Put(t0, pick.Target{ID: id(9), Agent: "vm", Region: "east", Service: "s", Version: "v"})
	load(p, 9, 1, func(*wire.Load) {})
	r := request()
	g.Expect(shares(p, t0, r, 100)).NotTo(HaveKey(id(9)))
	load(p, 0, 2, waiting)
	load(p, 1, 2, waiting)
	r.Tier = 2
	g.Expect(p.Pick(t0, r, nil)[0]).To(And(HaveField("Target", id(9)), HaveField("Remote", true)))
	p.Crossed(t0, 90_000)
	g.Expect(shares(p, t0, r, 100)).NotTo(HaveKey(id(9)))
	g.Expect(p.Pick(t0.Add(time.Minute), r, nil)[0]).To(HaveField("Target", id(9)))
}

// Guards against a slow target that keeps its share, and against one that gets it back at once.
func TestSlowTargetIsAdmittedGently(t *testing.T) {
	g := NewWithT(t)
	p := picker(2)
	r := request()
	for range 6 { // prompts too short to learn a speed from, so that trust alone differs
		p.Done(t0, id(0), pick.Outcome{First: 5 * time.Second, Prompt: 10, Output: 10})
	}
	share := func() int { return shares(p, t0, r, 400)[id(0)] }
	g.Expect(share()).To(BeNumerically("<", 40))
	good := pick.Outcome{First: 100 * time.Millisecond, Prompt: 10, Output: 10}
	p.Done(t0, id(0), good)
	g.Expect(share()).To(BeNumerically("<", 80))
	for range 40 {
		p.Done(t0, id(0), good)
	}
	g.Expect(share()).To(BeNumerically("~", 200, 60))
}

// Guards against a tier that is shed while a lower one waits at a target that sampling did not find.
func TestLowerFindsAllTargetsWithALowerFloor(t *testing.T) {
	g := NewWithT(t)
	p := picker(40)
	for i := range 40 {
		load(p, i, 2, func(l *wire.Load) {
			waiting(l)
			l.LowestWaitingTier, l.HeldTokens = ident.Tier(i%4), ident.Tokens(100*(i*17%40))
		})
	}
	got := p.Lower(t0, request(), nil)
	g.Expect(got).To(HaveLen(20))
	g.Expect(got).To(HaveEach(HaveField("Floor", BeNumerically(">", 1))))
	for i := range 19 {
		g.Expect(got[i].Estimate).To(BeNumerically("<", got[i+1].Estimate))
	}
}

// busy returns a picker in which all targets differ in load and hold 500 blocks, and a request.
func busy(n int) (*pick.Picker, pick.Request) {
	p := picker(n)
	for i := range n {
		load(p, i, 2, func(l *wire.Load) {
			waiting(l)
			l.WaitingByTier[2] = ident.Tokens(i * 100)
		})
		c := &wire.Cache{Target: id(i), Seq: 1}
		for b := range 500 {
			c.Added = append(c.Added, ident.Block(i*250+b))
		}
		p.Cache(c)
	}
	r := request()
	for b := range ident.BlocksMax {
		r.Blocks = append(r.Blocks, ident.Block(b+250))
	}
	for i := range n {
		p.Sent(t0, id(i), &r)
	}
	return p, r
}

// Guards against garbage on the path of every request.
func TestPickDoesNotAllocate(t *testing.T) {
	g := NewWithT(t)
	p, r := busy(64)
	dst := make([]pick.Choice, 0, pick.OffersMax)
	g.Expect(testing.AllocsPerRun(1000, func() { dst = p.Pick(t0, r, dst[:0]) })).To(BeZero())
}

// BenchmarkPick measures one decision among pools of different size.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 64, 640} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, r := busy(n)
			dst := make([]pick.Choice, 0, pick.OffersMax)
			b.ReportAllocs()
			for b.Loop() {
				dst = p.Pick(t0, r, dst[:0])
			}
		})
	}
}
