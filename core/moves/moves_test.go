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

// evidence returns facts of one agent per version, with n outcomes of which each f-th failed.
func evidence(now time.Time, oldN, oldF, newN, newF int) (out []wire.GossipEntry) {
	for _, v := range []struct {
		v    ident.Version
		n, f int
	}{{"v1", oldN, oldF}, {"v2", newN, newF}} {
		r := moves.NewOutcomeCounter(v.v, "c", start)
		for i := range v.n {
			o := moves.Outcome{Route: "ask", TimeToFirstByte: 100 * time.Millisecond}
			o.Failed = v.f > 0 && i%v.f == 0
			r.Add(now, o)
		}
		out = append(out, wire.GossipEntry{Kind: "evidence", Key: string(v.v), Value: r.EncodeEvidence()})
	}
	return out
}

func newRunning(fs []wire.GossipEntry, now time.Time) *moves.Machine {
	m := moves.New(rollout, []ident.Class{"c"})
	m.Start(start)
	m.HandleEvidence(now, fs)
	return m
}

// Guards against an agent that waits for others before it refuses, and against refusing for one
// request that fails again and again, one crash, or what is not the version's fault.
func TestLocalRefusal(t *testing.T) {
	g := NewWithT(t)
	l := moves.NewLocalJudge()
	for range 10 {
		g.Expect(l.Add(failure(1))).To(BeFalse(), "one fingerprint")
	}
	excused := failure(9)
	excused.Excluded = true
	l.Add(excused)
	l.Add(failure(2))
	g.Expect(l.Refuses()).To(BeFalse())
	g.Expect(l.Add(failure(3))).To(BeTrue())
	l.Add(moves.Outcome{Route: "ask"})
	g.Expect(l.Refuses()).To(BeTrue(), "the verdict is sticky")

	l = moves.NewLocalJudge()
	for i := range 8 {
		o := failure(i)
		o.Crash = 7
		l.Add(o)
	}
	g.Expect(l.Refuses()).To(BeFalse(), "one crash")
}

// Guards against condemning a version of a service that fails often by itself: three in a row are
// expected there.
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

// Guards against a good version that is blamed for a fault behind both versions, and against a bad
// one that hides in it.
func TestFaultOfBothVersionsIsNotCounted(t *testing.T) {
	g := NewWithT(t)
	now := start.Add(time.Minute)
	g.Expect(moves.Judge(moves.MergeEvidence(now, evidence(now, 950, 3, 50, 3), "v1", "v2"), moves.JudgeConfig{}).Bad).To(BeFalse())
	g.Expect(moves.Judge(moves.MergeEvidence(now, evidence(now, 950, 100, 50, 3), "v1", "v2"), moves.JudgeConfig{}).Bad).To(BeTrue())
}

// Guards against excused outcomes and repeated crashes in the counters, and against a judgement that
// depends on the order of facts or stops at a malformed one.
func TestEvidenceCountsOnceInAnyOrder(t *testing.T) {
	g := NewWithT(t)
	r := moves.NewOutcomeCounter("v2", "c", start)
	for i := range 5 {
		o := failure(i)
		o.Crash = 3
		r.Add(start, o)
		o.Crash, o.Excluded = 0, true
		r.Add(start, o)
	}
	fs := append(evidence(start, 100, 0, 10, 0), wire.GossipEntry{Value: r.EncodeEvidence()}, wire.GossipEntry{Value: []byte{200, 1}})
	ev := moves.MergeEvidence(start, fs, "v1", "v2")
	old, trial := ev.RequestCounts("ask")
	g.Expect([]uint64{old, trial}).To(Equal([]uint64{100, 11}))
	ahead := evidence(start.Add(time.Hour), 0, 0, 50, 0)
	late := moves.MergeEvidence(start, append(ahead, fs...), "v1", "v2")
	_, trial = late.RequestCounts("ask")
	g.Expect(trial).To(Equal(uint64(11)), "an agent whose clock is an hour ahead")
	want := moves.Judge(ev, moves.JudgeConfig{Classes: []ident.Class{"c"}, Duration: rolloutDuration})
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		rnd.Shuffle(len(fs), func(i, j int) { fs[i], fs[j] = fs[j], fs[i] })
		g.Expect(moves.Judge(moves.MergeEvidence(start, fs, "v1", "v2"), moves.JudgeConfig{Classes: []ident.Class{"c"}, Duration: rolloutDuration})).To(Equal(want))
	}
}

// Guards against a daemon that stops at hostile evidence.
func FuzzMergeEvidence(f *testing.F) {
	f.Add(evidence(start, 10, 2, 10, 3)[0].Value)
	f.Fuzz(func(_ *testing.T, b []byte) {
		moves.Judge(moves.MergeEvidence(start, []wire.GossipEntry{{Value: b}, {Value: b}}, "v1", "v2"), moves.JudgeConfig{Classes: []ident.Class{"c"}, Duration: rolloutDuration})
	})
}

// Guards against a move that does not end at its deadline, and against a decision whose time is that
// of its discovery.
func TestRollbackAtDeadline(t *testing.T) {
	g := NewWithT(t)
	m := newRunning(nil, start)
	g.Expect(m.Tick(rollout.Deadline.Add(-time.Second))).To(BeEmpty())
	g.Expect(m.Share("ask")).To(Equal(0.05))
	out := m.Tick(rollout.Deadline.Add(time.Minute))
	g.Expect(out).To(HaveLen(2))
	end, recorded := m.Conclusion()
	g.Expect(recorded).To(BeFalse())
	g.Expect(end.Reason).To(Equal(moves.ReasonDeadline))
	g.Expect(end.DecidedAt).To(Equal(rollout.Deadline))
	g.Expect(m.Share("ask")).To(BeZero())
	g.Expect(m.Tick(rollout.Deadline.Add(time.Hour))).To(BeEmpty(), "decided once")
}

// Guards against a verdict or a cancellation that is taken back, and against shares that differ from
// the recorded end.
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
	g.Expect(m.Share("ask")).To(BeZero(), "bad is sticky")
}

// Guards against a process that was replaced during a move and demands a shorter soak than the others.
func TestReplacedProcessRequiresSameSoak(t *testing.T) {
	g := NewWithT(t)
	late := rollout.Deadline.Add(-10 * time.Second)
	fs := evidence(late.Add(-2*moves.EpochLen), 0, 0, 500, 0)
	a, b := newRunning(fs, late), moves.New(rollout, []ident.Class{"c"})
	b.Start(late)
	b.HandleEvidence(late, fs)
	g.Expect(b.Judgement()).To(Equal(a.Judgement()))
	g.Expect(b.State()).To(Equal(moves.Running))
}

// Guards against two moves of a service at a time, and against a later declaration that overtakes.
func TestSecondRolloutWaits(t *testing.T) {
	g := NewWithT(t)
	second := conf.Rollout{Name: "a", Service: "s", From: "v2", To: "v3", Deadline: start}
	other := conf.Rollout{Name: "z", Service: "t", From: "v1", To: "v2", Deadline: start}
	all := []conf.Rollout{second, rollout, other}
	is := func(names ...ident.Rollout) func(ident.Rollout) bool {
		return func(m ident.Rollout) bool { return len(names) > 0 && m == names[0] }
	}
	g.Expect(moves.SelectRunning(all, is(), is("m"))).To(Equal([]conf.Rollout{rollout, other}))
	g.Expect(moves.SelectRunning(all, is("m"), is("m"))).To(Equal([]conf.Rollout{second, other}))
	g.Expect(moves.New(rollout, nil).Share("ask")).To(BeZero(), "a waiting move sends nothing")
	back := conf.Rollout{Name: "b", Service: "s", From: "v2", To: "v1"}
	g.Expect(moves.CheckOpposite([]conf.Rollout{rollout}, back)).To(MatchError(moves.ErrOppositeRunning))
	g.Expect(moves.CheckOpposite([]conf.Rollout{rollout}, second)).To(Succeed())
}

// Guards against more than 5% of a route's requests on an unproved version when many routers each
// see little traffic, with and without sessions.
func TestCanaryLimitCountsRequests(t *testing.T) {
	g := NewWithT(t)
	rnd := rand.New(rand.NewPCG(1, 1))
	var routers []*moves.Chooser
	for range 50 {
		routers = append(routers, moves.NewChooser(newRunning(nil, start), rnd))
	}
	tokens := map[string]ident.Version{}
	trial := 0
	for n := 1; n <= 20000; n++ {
		session := ""
		if n%2 == 0 {
			session = fmt.Sprint(rnd.IntN(300))
		}
		v := routers[rnd.IntN(50)].Assign("a", session, "ask", tokens[session])
		if session != "" {
			tokens[session] = v
		}
		if v == "v2" {
			trial++
		}
		g.Expect(20 * trial).To(BeNumerically("<=", n))
	}
	g.Expect(trial).To(BeNumerically(">", 500))
}

// Guards against a session that changes its version while that is served and not bad.
func TestSessionsStayOnTheirVersion(t *testing.T) {
	g := NewWithT(t)
	at := func(i int) time.Time { return start.Add(time.Duration(i) * moves.EpochLen) }
	fs := evidence(at(0), 500, 0, 40, 0)
	m := newRunning(append(fs, evidence(at(2), 500, 0, 40, 0)...), at(2))
	g.Expect(m.Share("ask")).To(Equal(0.25))
	c := moves.NewChooser(m, rand.New(rand.NewPCG(1, 1)))
	got := map[ident.Version]int{}
	for i := range 1000 {
		s := fmt.Sprint(i)
		v := c.Assign("a", s, "ask", "")
		got[v]++
		g.Expect(c.Assign("a", s, "ask", v)).To(Equal(v))
	}
	g.Expect(got["v2"]).To(BeNumerically("~", 250, 50))
	m.HandleVerdict(at(3), moves.Verdict{})
	g.Expect(c.Assign("a", "1", "ask", "v2")).To(Equal(ident.Version("v1")))
}
