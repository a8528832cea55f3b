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

func targetID(i int) ident.TargetID { return ident.TargetID("t" + strconv.Itoa(i)) }

// picker returns a picker in region "west" with n idle targets there, each with a report.
func newPicker(n int, opts ...pick.Option) *pick.Picker {
	p := pick.New(rand.New(rand.NewPCG(1, 2)), "west", opts...)
	for i := range n {
		p.Put(t0, pick.Target{ID: targetID(i), Agent: "vm", Region: "west", Service: "s", Version: "v"})
		reportLoad(p, i, 1, func(*wire.Load) {})
	}
	return p
}

func reportLoad(p *pick.Picker, i int, seq ident.Seq, change func(*wire.Load)) {
	l := &wire.Load{
		Target: targetID(i), Service: "s", Version: "v", Seq: seq, Window: 8, PrefillRate: 10_000, DrainRate: 1000, LowestWaitingTier: 255,
	}
	change(l)
	p.ApplyLoad(t0, l)
}

func newRequest() pick.Request {
	return pick.Request{ID: "r", Service: "s", Version: "v", Tier: 1, Prompt: 1000, Output: 100}
}

// shares returns how often each target is the first choice in n decisions at the given time.
func firstChoices(p *pick.Picker, now time.Time, r pick.Request, n int) map[ident.TargetID]int {
	out := map[ident.TargetID]int{}
	for range n {
		if got := p.Pick(now, r, nil); len(got) > 0 {
			out[got[0].Target]++
		}
	}
	return out
}

func withQueue(l *wire.Load) {
	l.Running, l.HeldTokens, l.WaitingByTier, l.LowestWaitingTier = 8, 8000, []ident.Tokens{0, 0, 50_000}, 2
}

// Guards against offers to targets that are draining, refusing, suspected or were tried, and against a
// target that stays excluded afterwards.
func TestExcludedTargetsAreNotPicked(t *testing.T) {
	g := NewWithT(t)
	p := newPicker(6)
	reportLoad(p, 1, 2, func(l *wire.Load) { l.Draining = true })
	reportLoad(p, 2, 2, func(l *wire.Load) { l.Refusing = true })
	p.SetSuspected(t0, targetID(3), true)
	p.RecordRefusal(t0, targetID(4), time.Second)
	r := newRequest()
	r.Tried = []ident.TargetID{targetID(5)}
	g.Expect(firstChoices(p, t0, r, 100)).To(HaveLen(1))
	g.Expect(p.Pick(t0, r, nil)).To(ConsistOf(HaveField("Target", targetID(0))))

	reportLoad(p, 1, 3, func(*wire.Load) {})
	p.SetSuspected(t0, targetID(3), false)
	p.Drop(targetID(0))
	got := firstChoices(p, t0.Add(time.Second), r, 400)
	g.Expect(got).To(And(HaveLen(3), HaveKey(targetID(1)), HaveKey(targetID(3)), HaveKey(targetID(4))))
	g.Expect(got[targetID(1)]).To(BeNumerically("<", got[targetID(4)]), "an excluded target comes back gently")
}

// Guards against routers that follow a stale report: own offers since the report count until a newer
// report covers them.
func TestOffersSinceTheReportCount(t *testing.T) {
	g := NewWithT(t)
	p := newPicker(2)
	r := newRequest()
	for i := range 20 {
		r.ID = ident.RequestID(strconv.Itoa(i))
		p.RecordOffer(t0, targetID(0), &r)
	}
	g.Expect(firstChoices(p, t0, r, 20)).To(Equal(map[ident.TargetID]int{targetID(1): 20}))
	reportLoad(p, 0, 2, func(*wire.Load) {}) // received too early to count them
	g.Expect(firstChoices(p, t0, r, 20)).To(Equal(map[ident.TargetID]int{targetID(1): 20}))
	p.ApplyLoad(t0.Add(time.Second), &wire.Load{Target: targetID(0), Version: "v", Seq: 3, Window: 8, LowestWaitingTier: 255})
	g.Expect(firstChoices(p, t0, r, 100)).To(HaveLen(2))
}

// Guards against a low tier's line that keeps a higher tier away, and against an old report that
// replaces a newer one.
func TestEstimateCountsQueueOfTierAndAbove(t *testing.T) {
	g := NewWithT(t)
	p := newPicker(2)
	reportLoad(p, 0, 5, withQueue)
	reportLoad(p, 0, 4, func(*wire.Load) {})
	low := newRequest()
	low.Tier = 2
	g.Expect(firstChoices(p, t0, low, 20)).To(Equal(map[ident.TargetID]int{targetID(1): 20}))
	est := func(tier ident.Tier) time.Duration {
		r := newRequest()
		r.Tier, r.Tried = tier, []ident.TargetID{targetID(1)}
		return p.Pick(t0, r, nil)[0].Estimate
	}
	g.Expect(est(2)).To(BeNumerically(">", 50*time.Second))
	g.Expect(est(1)).To(BeNumerically("<", 2*time.Second))
}

// Guards against wasted prefill while a target holds the prefix, and against trust in a cache state
// after events were lost.
func TestPrefixAffinityEndsAtASequenceGap(t *testing.T) {
	g := NewWithT(t)
	p := newPicker(64)
	r := newRequest()
	r.Blocks = []ident.Block{1, 2, 3, 4}
	p.ApplyCache(&wire.Cache{Target: targetID(7), Seq: 1, Added: []ident.Block{1, 2, 3}})
	got := p.Pick(t0, r, nil)
	g.Expect(got[0]).To(And(HaveField("Target", targetID(7)), HaveField("Cached", ident.Tokens(192))))

	p.ApplyCache(&wire.Cache{Target: targetID(7), Seq: 3, Added: []ident.Block{4}})
	g.Expect(firstChoices(p, t0, r, 200)[targetID(7)]).To(BeNumerically("<", 20))
	p.ApplyCache(&wire.Cache{Target: targetID(7), Seq: 4, Added: []ident.Block{1, 2, 3}})
	g.Expect(firstChoices(p, t0, r, 200)[targetID(7)]).To(BeNumerically("<", 20))
	p.ApplyCache(&wire.Cache{Target: targetID(7), Seq: 9, Reset: true, Added: []ident.Block{1}})
	g.Expect(p.Pick(t0, r, nil)[0]).To(HaveField("Cached", ident.Tokens(64)))
	p.ApplyCache(&wire.Cache{Target: targetID(7), Seq: 10, Removed: []ident.Block{1}})
	g.Expect(p.Pick(t0, r, nil)[0]).To(HaveField("Cached", ident.Tokens(0)))
}

// Guards against memory that grows with the number of cache events.
func TestCachedBlocksAreBounded(t *testing.T) {
	g := NewWithT(t)
	p := newPicker(1, pick.WithBlocksMax(2))
	p.ApplyCache(&wire.Cache{Target: targetID(0), Seq: 1, Added: []ident.Block{1, 2, 3}})
	for b, want := range map[ident.Block]ident.Tokens{1: 0, 2: 64, 3: 64} {
		r := newRequest()
		r.Blocks = []ident.Block{b}
		g.Expect(p.Pick(t0, r, nil)[0].Cached).To(Equal(want), "block %d", b)
	}
}

// Guards against traffic on the paid link without enough gain or beyond the budget.
func TestOtherRegionNeedsGainAndBudget(t *testing.T) {
	g := NewWithT(t)
	p := newPicker(2, pick.WithLink(1000, 100_000))
	p.Put(t0, pick.Target{ID: targetID(9), Agent: "vm", Region: "east", Service: "s", Version: "v"})
	reportLoad(p, 9, 1, func(*wire.Load) {})
	r := newRequest()
	g.Expect(firstChoices(p, t0, r, 100)).NotTo(HaveKey(targetID(9)))
	reportLoad(p, 0, 2, withQueue)
	reportLoad(p, 1, 2, withQueue)
	r.Tier = 2
	g.Expect(p.Pick(t0, r, nil)[0]).To(And(HaveField("Target", targetID(9)), HaveField("Remote", true)))
	p.ChargeLink(t0, 90_000)
	g.Expect(firstChoices(p, t0, r, 100)).NotTo(HaveKey(targetID(9)))
	g.Expect(p.Pick(t0.Add(time.Minute), r, nil)[0]).To(HaveField("Target", targetID(9)))
}

// Guards against a slow target that keeps its share, and against one that gets it back at once.
func TestSlowTargetRegainsItsShareGradually(t *testing.T) {
	g := NewWithT(t)
	p := newPicker(2)
	r := newRequest()
	for range 6 { // prompts too short to learn a speed from, so that trust alone differs
		p.RecordOutcome(t0, targetID(0), pick.Outcome{TimeToFirstByte: 5 * time.Second, Prompt: 10, Output: 10})
	}
	share := func() int { return firstChoices(p, t0, r, 400)[targetID(0)] }
	g.Expect(share()).To(BeNumerically("<", 40))
	good := pick.Outcome{TimeToFirstByte: 100 * time.Millisecond, Prompt: 10, Output: 10}
	p.RecordOutcome(t0, targetID(0), good)
	g.Expect(share()).To(BeNumerically("<", 80))
	for range 40 {
		p.RecordOutcome(t0, targetID(0), good)
	}
	g.Expect(share()).To(BeNumerically("~", 200, 60))
}

// Guards against a tier that is shed while a lower one waits at a target that sampling did not find.
func TestPickLowerTierFindsAllTargetsWithALowerTierWaiting(t *testing.T) {
	g := NewWithT(t)
	p := newPicker(40)
	for i := range 40 {
		reportLoad(p, i, 2, func(l *wire.Load) {
			withQueue(l)
			l.LowestWaitingTier, l.HeldTokens = ident.Tier(i%4), ident.Tokens(100*(i*17%40))
		})
	}
	got := p.PickLowerTier(t0, newRequest(), nil)
	g.Expect(got).To(HaveLen(20))
	g.Expect(got).To(HaveEach(HaveField("Floor", BeNumerically(">", 1))))
	for i := range 19 {
		g.Expect(got[i].Estimate).To(BeNumerically("<", got[i+1].Estimate))
	}
}

// busy returns a picker in which all targets differ in load and hold 500 blocks, and a request.
func loadedPicker(n int) (*pick.Picker, pick.Request) {
	p := newPicker(n)
	for i := range n {
		reportLoad(p, i, 2, func(l *wire.Load) {
			withQueue(l)
			l.WaitingByTier[2] = ident.Tokens(i * 100)
		})
		c := &wire.Cache{Target: targetID(i), Seq: 1}
		for b := range 500 {
			c.Added = append(c.Added, ident.Block(i*250+b))
		}
		p.ApplyCache(c)
	}
	r := newRequest()
	for b := range ident.BlocksMax {
		r.Blocks = append(r.Blocks, ident.Block(b+250))
	}
	for i := range n {
		p.RecordOffer(t0, targetID(i), &r)
	}
	return p, r
}

// Guards against garbage on the path of every request.
func TestPickDoesNotAllocate(t *testing.T) {
	g := NewWithT(t)
	p, r := loadedPicker(64)
	dst := make([]pick.Choice, 0, pick.OffersMax)
	g.Expect(testing.AllocsPerRun(1000, func() { dst = p.Pick(t0, r, dst[:0]) })).To(BeZero())
}

// BenchmarkPick measures one decision among pools of different size.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 64, 640} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, r := loadedPicker(n)
			dst := make([]pick.Choice, 0, pick.OffersMax)
			b.ReportAllocs()
			for b.Loop() {
				dst = p.Pick(t0, r, dst[:0])
			}
		})
	}
}
