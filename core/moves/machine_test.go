package moves_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/moves"
	"hickoryvane.example/core/wire"
)

var rollout = conf.Rollout{Name: "m", Service: "s", From: "v1", To: "v2", Deadline: start.Add(rolloutDuration)}

func failure(p int) moves.Outcome {
	return moves.Outcome{Route: "ask", Fingerprint: ident.Fingerprint(p), Failed: true}
}

// evidence returns the entries of one agent per version: the agent of the old version counted oldN outcomes, of
// which each oldEvery-th failed, and that of the new version accordingly.
func evidence(now time.Time, oldN, oldEvery, newN, newEvery int) (out []wire.GossipEntry) {
	for _, v := range []struct {
		version      ident.Version
		n, failEvery int
	}{{"v1", oldN, oldEvery}, {"v2", newN, newEvery}} {
		counter := moves.NewOutcomeCounter(v.version, "c", start)
		for i := range v.n {
			o := moves.Outcome{Route: "ask", TimeToFirstByte: 100 * time.Millisecond}
			o.Failed = v.failEvery > 0 && i%v.failEvery == 0
			counter.Add(now, o)
		}
		out = append(out, wire.GossipEntry{Kind: "evidence", Key: string(v.version), Value: counter.EncodeEvidence()})
	}
	return out
}

func newRunning(entries []wire.GossipEntry, now time.Time) *moves.Machine {
	m := moves.New(rollout, []ident.Class{"c"})
	m.Start(start)
	m.HandleEvidence(now, entries)
	return m
}

// Guards against an agent that waits for other processes before it refuses requests. Also guards against refusing
// because of one request that fails repeatedly, one crash, or outcomes that say nothing about the version.
func TestLocalRefusal(t *testing.T) {
	g := NewWithT(t)
	l := moves.NewLocalJudge()
	for range 10 {
		g.Expect(l.Add(failure(1))).To(BeFalse(), "one fingerprint")
	}
	excluded := failure(9)
	excluded.Excluded = true
	l.Add(excluded)
	l.Add(failure(2))
	g.Expect(l.Refuses()).To(BeFalse())
	g.Expect(l.Add(failure(3))).To(BeTrue())
	l.Add(moves.Outcome{Route: "ask"})
	g.Expect(l.Refuses()).To(BeTrue(), "the verdict is permanent")

	l = moves.NewLocalJudge()
	for i := range 8 {
		o := failure(i)
		o.Crash = 7
		l.Add(o)
	}
	g.Expect(l.Refuses()).To(BeFalse(), "one crash")
}

// Guards against judging a version bad after three failures in a row at a service that normally fails often, where
// such runs occur by chance.
func TestLocalFailureRunGrowsWithFailureRate(t *testing.T) {
	g := NewWithT(t)
	l := moves.NewLocalJudge()
	for i := range 1000 {
		l.Add(moves.Outcome{Route: "ask"})
		if i%10 == 0 {
			l.Add(failure(i))
		}
	}
	for i := range 5 {
		g.Expect(l.Add(failure(2000 + i))).To(BeFalse())
	}
	for i := range 4 {
		l.Add(failure(3000 + i))
	}
	g.Expect(l.Refuses()).To(BeTrue())
}

// Guards against a good version that is judged bad for a fault that affects both versions, and against a bad
// version that is not detected because the old version fails as well, but less.
func TestFaultOfBothVersionsIsNotCounted(t *testing.T) {
	g := NewWithT(t)
	now := start.Add(time.Minute)
	g.Expect(moves.Judge(moves.MergeEvidence(now, evidence(now, 950, 3, 50, 3), "v1", "v2"), moves.JudgeConfig{}).Bad).To(BeFalse())
	g.Expect(moves.Judge(moves.MergeEvidence(now, evidence(now, 950, 100, 50, 3), "v1", "v2"), moves.JudgeConfig{}).Bad).To(BeTrue())
}

// Guards against excluded outcomes and repeated failures of one crash in the counters, and against a judgement that
// depends on the order of the entries, stops at a malformed one, or includes an agent whose clock is far ahead.
func TestEvidenceCountsOnceInAnyOrder(t *testing.T) {
	g := NewWithT(t)
	counter := moves.NewOutcomeCounter("v2", "c", start)
	for i := range 5 {
		o := failure(i)
		o.Crash = 3
		counter.Add(start, o)
		o.Crash, o.Excluded = 0, true
		counter.Add(start, o)
	}
	entries := append(evidence(start, 100, 0, 10, 0), wire.GossipEntry{Value: counter.EncodeEvidence()}, wire.GossipEntry{Value: []byte{200, 1}})
	ev := moves.MergeEvidence(start, entries, "v1", "v2")
	old, canary := ev.RequestCounts("ask")
	g.Expect([]uint64{old, canary}).To(Equal([]uint64{100, 11}))
	ahead := evidence(start.Add(time.Hour), 0, 0, 50, 0)
	withAhead := moves.MergeEvidence(start, append(ahead, entries...), "v1", "v2")
	_, canary = withAhead.RequestCounts("ask")
	g.Expect(canary).To(Equal(uint64(11)), "an agent whose clock is an hour ahead")
	want := moves.Judge(ev, moves.JudgeConfig{Classes: []ident.Class{"c"}, Duration: rolloutDuration})
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		rnd.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
		g.Expect(moves.Judge(moves.MergeEvidence(start, entries, "v1", "v2"), moves.JudgeConfig{Classes: []ident.Class{"c"}, Duration: rolloutDuration})).To(Equal(want))
	}
}

// Guards against a daemon that panics on malformed or hostile evidence.
func FuzzMergeEvidence(f *testing.F) {
	f.Add(evidence(start, 10, 2, 10, 3)[0].Value)
	f.Fuzz(func(_ *testing.T, b []byte) {
		moves.Judge(moves.MergeEvidence(start, []wire.GossipEntry{{Value: b}, {Value: b}}, "v1", "v2"), moves.JudgeConfig{Classes: []ident.Class{"c"}, Duration: rolloutDuration})
	})
}

// Guards against a rollout that is not rolled back at its deadline, and against a decision that is dated to
// the tick which noticed the deadline instead of the deadline itself.
func TestRollbackAtDeadline(t *testing.T) {
	g := NewWithT(t)
	m := newRunning(nil, start)
	g.Expect(m.Tick(rollout.Deadline.Add(-time.Second))).To(BeEmpty())
	g.Expect(m.Share("ask")).To(Equal(0.05))
	out := m.Tick(rollout.Deadline.Add(time.Minute))
	g.Expect(out).To(HaveLen(2))
	conclusion, recorded := m.Conclusion()
	g.Expect(recorded).To(BeFalse())
	g.Expect(conclusion.Reason).To(Equal(moves.ReasonDeadline))
	g.Expect(conclusion.DecidedAt).To(Equal(rollout.Deadline))
	g.Expect(m.Share("ask")).To(BeZero())
	g.Expect(m.Tick(rollout.Deadline.Add(time.Hour))).To(BeEmpty(), "decided once")
}

// Guards against a verdict or a cancellation that is revoked by a later decision or by new evidence, and against
// shares that do not follow the recorded conclusion.
func TestPrecedenceOfConclusions(t *testing.T) {
	g := NewWithT(t)
	m := newRunning(nil, start)
	m.HandleDecision(moves.Conclusion{Rollout: "m", State: moves.Done, DecidedAt: start.Add(time.Second)})
	g.Expect(m.State()).To(Equal(moves.Done))
	cancelled := rollout
	cancelled.Cancelled = true
	g.Expect(m.HandleDeclaration(start.Add(2*time.Second), cancelled)).NotTo(BeEmpty(), "cancelled before the record")
	g.Expect(m.State()).To(Equal(moves.RolledBack))
	m.HandleDecision(moves.Conclusion{Rollout: "m", State: moves.Done, DecidedAt: start})
	g.Expect(m.State()).To(Equal(moves.RolledBack))
	m.SetRecorded(moves.Conclusion{Rollout: "m", State: moves.Done, DecidedAt: start})
	g.Expect(m.Share("ask")).To(Equal(1.0))

	m = newRunning(nil, start)
	m.HandleVerdict(start, moves.Verdict{Reason: moves.ReasonConsecutiveFailures})
	g.Expect(m.Share("ask")).To(BeZero())
	m.HandleEvidence(start, evidence(start, 1000, 0, 1000, 0))
	g.Expect(m.Share("ask")).To(BeZero(), "a verdict is permanent")
}

// Guards against a process that requires a shorter soak than the others because it was replaced during the rollout.
func TestReplacedProcessRequiresSameSoak(t *testing.T) {
	g := NewWithT(t)
	late := rollout.Deadline.Add(-10 * time.Second)
	entries := evidence(late.Add(-2*moves.EpochLen), 0, 0, 500, 0)
	a, b := newRunning(entries, late), moves.New(rollout, []ident.Class{"c"})
	b.Start(late)
	b.HandleEvidence(late, entries)
	g.Expect(b.Judgement()).To(Equal(a.Judgement()))
	g.Expect(b.State()).To(Equal(moves.Running))
}

// Guards against two rollouts of a service at the same time, and against a rollout that is displaced by one
// declared later with an earlier deadline.
func TestSecondRolloutWaits(t *testing.T) {
	g := NewWithT(t)
	second := conf.Rollout{Name: "a", Service: "s", From: "v2", To: "v3", Deadline: start}
	other := conf.Rollout{Name: "z", Service: "t", From: "v1", To: "v2", Deadline: start}
	all := []conf.Rollout{second, rollout, other}
	named := func(names ...ident.Rollout) func(ident.Rollout) bool {
		return func(m ident.Rollout) bool { return len(names) > 0 && m == names[0] }
	}
	g.Expect(moves.SelectRunning(all, named(), named("m"))).To(Equal([]conf.Rollout{rollout, other}))
	g.Expect(moves.SelectRunning(all, named("m"), named("m"))).To(Equal([]conf.Rollout{second, other}))
	g.Expect(moves.New(rollout, nil).Share("ask")).To(BeZero(), "a waiting rollout assigns no requests")
	opposite := conf.Rollout{Name: "b", Service: "s", From: "v2", To: "v1"}
	g.Expect(moves.CheckOpposite([]conf.Rollout{rollout}, opposite)).To(MatchError(moves.ErrOppositeRunning))
	g.Expect(moves.CheckOpposite([]conf.Rollout{rollout}, second)).To(Succeed())
}

// Guards against more than 5% of a route's requests on an unproven version when many routers each see little
// traffic, with and without sessions.
func TestCanaryLimitCountsRequests(t *testing.T) {
	g := NewWithT(t)
	rnd := rand.New(rand.NewPCG(1, 1))
	var routers []*moves.Chooser
	for range 50 {
		routers = append(routers, moves.NewChooser(newRunning(nil, start), rnd))
	}
	versions := map[string]ident.Version{}
	canary := 0
	for n := 1; n <= 20000; n++ {
		session := ""
		if n%2 == 0 {
			session = fmt.Sprint(rnd.IntN(300))
		}
		v := routers[rnd.IntN(50)].Assign("a", session, "ask", versions[session])
		if session != "" {
			versions[session] = v
		}
		if v == "v2" {
			canary++
		}
		g.Expect(20 * canary).To(BeNumerically("<=", n))
	}
	g.Expect(canary).To(BeNumerically(">", 500))
}

// Guards against a session that changes versions while its version is served and not bad.
func TestSessionsStayOnTheirVersion(t *testing.T) {
	g := NewWithT(t)
	at := func(i int) time.Time { return start.Add(time.Duration(i) * moves.EpochLen) }
	entries := evidence(at(0), 500, 0, 40, 0)
	m := newRunning(append(entries, evidence(at(2), 500, 0, 40, 0)...), at(2))
	g.Expect(m.Share("ask")).To(Equal(0.25))
	c := moves.NewChooser(m, rand.New(rand.NewPCG(1, 1)))
	assigned := map[ident.Version]int{}
	for i := range 1000 {
		s := fmt.Sprint(i)
		v := c.Assign("a", s, "ask", "")
		assigned[v]++
		g.Expect(c.Assign("a", s, "ask", v)).To(Equal(v))
	}
	g.Expect(assigned["v2"]).To(BeNumerically("~", 250, 50))
	m.HandleVerdict(at(3), moves.Verdict{})
	g.Expect(c.Assign("a", "1", "ask", "v2")).To(Equal(ident.Version("v1")))
}
