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

var move = conf.Move{Name: "m", Service: "s", From: "v1", To: "v2", Deadline: start.Add(window)}

func fail(p int) moves.Outcome {
	return moves.Outcome{Route: "ask", Print: ident.Print(p), Failed: true}
}

// evidence returns facts of one agent per version, with n outcomes of which each f-th failed.
func evidence(now time.Time, oldN, oldF, newN, newF int) (out []wire.GossipEntry) {
	for _, v := range []struct {
		v    ident.Version
		n, f int
	}{{"v1", oldN, oldF}, {"v2", newN, newF}} {
		r := moves.NewRecorder(v.v, "c", start)
		for i := range v.n {
			o := moves.Outcome{Route: "ask", Took: 100 * time.Millisecond}
			o.Failed = v.f > 0 && i%v.f == 0
			r.Add(now, o)
		}
		out = append(out, wire.GossipEntry{Kind: "evidence", Key: string(v.v), Value: r.Value()})
	}
	return out
}

func running(fs []wire.GossipEntry, now time.Time) *moves.Machine {
	m := moves.New(move, []ident.Class{"c"})
	m.Start(start)
	m.Evidence(now, fs)
	return m
}

// Guards against an agent that waits for others before it refuses, and against refusing for one
// request that fails again and again, one crash, or what is not the version's fault.
func TestLocalRefusal(t *testing.T) {
	g := NewWithT(t)
	l := moves.NewLocal()
	for range 10 {
		g.Expect(l.Add(fail(1))).To(BeFalse(), "one fingerprint")
	}
	excused := fail(9)
	excused.Excused = true
	l.Add(excused)
	l.Add(fail(2))
	g.Expect(l.Refuses()).To(BeFalse())
	g.Expect(l.Add(fail(3))).To(BeTrue())
	l.Add(moves.Outcome{Route: "ask"})
	g.Expect(l.Refuses()).To(BeTrue(), "the verdict is sticky")

	l = moves.NewLocal()
	for i := range 8 {
		o := fail(i)
		o.Crash = 7
		l.Add(o)
	}
	g.Expect(l.Refuses()).To(BeFalse(), "one crash")
}

// Guards against condemning a version of a service that fails often by itself: three in a row are
// expected there.
func TestLocalRunGrowsWithTheFailureRate(t *testing.T) {
	g := NewWithT(t)
	l := moves.NewLocal()
	for i := range 1000 {
		l.Add(moves.Outcome{Route: "ask"})
		if i%10 == 0 {
			l.Add(fail(i))
		}
	}
	for i := range 5 {
		g.Expect(l.Add(fail(2000 + i))).To(BeFalse())
	}
	for i := range 4 {
		l.Add(fail(3000 + i))
	}
	g.Expect(l.Refuses()).To(BeTrue())
}

// Guards against a good version that is blamed for a fault behind both versions, and against a bad
// one that hides in it.
func TestCommonFaultIsNotCounted(t *testing.T) {
	g := NewWithT(t)
	now := start.Add(time.Minute)
	g.Expect(moves.Judge(moves.Gather(now, evidence(now, 950, 3, 50, 3), "v1", "v2"), moves.Plan{}).Bad).To(BeFalse())
	g.Expect(moves.Judge(moves.Gather(now, evidence(now, 950, 100, 50, 3), "v1", "v2"), moves.Plan{}).Bad).To(BeTrue())
}

// Guards against excused outcomes and repeated crashes in the counters, and against a judgement that
// depends on the order of facts or stops at a malformed one.
func TestEvidence(t *testing.T) {
	g := NewWithT(t)
	r := moves.NewRecorder("v2", "c", start)
	for i := range 5 {
		o := fail(i)
		o.Crash = 3
		r.Add(start, o)
		o.Crash, o.Excused = 0, true
		r.Add(start, o)
	}
	fs := append(evidence(start, 100, 0, 10, 0), wire.GossipEntry{Value: r.Value()}, wire.GossipEntry{Value: []byte{200, 1}})
	ev := moves.Gather(start, fs, "v1", "v2")
	old, trial := ev.Requests("ask")
	g.Expect([]uint64{old, trial}).To(Equal([]uint64{100, 11}))
	ahead := evidence(start.Add(time.Hour), 0, 0, 50, 0)
	late := moves.Gather(start, append(ahead, fs...), "v1", "v2")
	_, trial = late.Requests("ask")
	g.Expect(trial).To(Equal(uint64(11)), "an agent whose clock is an hour ahead")
	want := moves.Judge(ev, moves.Plan{Classes: []ident.Class{"c"}, Window: window})
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		rnd.Shuffle(len(fs), func(i, j int) { fs[i], fs[j] = fs[j], fs[i] })
		g.Expect(moves.Judge(moves.Gather(start, fs, "v1", "v2"), moves.Plan{Classes: []ident.Class{"c"}, Window: window})).To(Equal(want))
	}
}

// Guards against a daemon that stops at hostile evidence.
func FuzzGather(f *testing.F) {
	f.Add(evidence(start, 10, 2, 10, 3)[0].Value)
	f.Fuzz(func(_ *testing.T, b []byte) {
		moves.Judge(moves.Gather(start, []wire.GossipEntry{{Value: b}, {Value: b}}, "v1", "v2"), moves.Plan{Classes: []ident.Class{"c"}, Window: window})
	})
}

// Guards against a move that does not end at its deadline, and against a decision whose time is that
// of its discovery.
func TestDeadline(t *testing.T) {
	g := NewWithT(t)
	m := running(nil, start)
	g.Expect(m.Tick(move.Deadline.Add(-time.Second))).To(BeEmpty())
	g.Expect(m.Share("ask")).To(Equal(0.05))
	out := m.Tick(move.Deadline.Add(time.Minute))
	g.Expect(out).To(HaveLen(2))
	end, recorded := m.End()
	g.Expect(recorded).To(BeFalse())
	g.Expect(end.Reason).To(Equal(moves.ReasonDeadline))
	g.Expect(end.At).To(Equal(move.Deadline))
	g.Expect(m.Share("ask")).To(BeZero())
	g.Expect(m.Tick(move.Deadline.Add(time.Hour))).To(BeEmpty(), "decided once")
}

// Guards against a verdict or a cancellation that is taken back, and against shares that differ from
// the recorded end.
func TestEndsArePrecedenceOrdered(t *testing.T) {
	g := NewWithT(t)
	m := running(nil, start)
	m.Decided(moves.End{Move: "m", State: moves.Done, At: start.Add(time.Second)})
	g.Expect(m.State()).To(Equal(moves.Done))
	cancelled := move
	cancelled.Cancelled = true
	g.Expect(m.Declare(start.Add(2*time.Second), cancelled)).NotTo(BeEmpty(), "cancelled before the record")
	g.Expect(m.State()).To(Equal(moves.Back))
	m.Decided(moves.End{Move: "m", State: moves.Done, At: start})
	g.Expect(m.State()).To(Equal(moves.Back))
	m.Recorded(moves.End{Move: "m", State: moves.Done, At: start})
	g.Expect(m.Share("ask")).To(Equal(1.0))

	m = running(nil, start)
	m.Verdict(start, moves.Verdict{Reason: moves.ReasonRun})
	g.Expect(m.Share("ask")).To(BeZero())
	m.Evidence(start, evidence(start, 1000, 0, 1000, 0))
	g.Expect(m.Share("ask")).To(BeZero(), "bad is sticky")
}

// Guards against a process that was replaced during a move and demands a shorter soak than the others.
func TestReplacedProcessKeepsThePlan(t *testing.T) {
	g := NewWithT(t)
	late := move.Deadline.Add(-10 * time.Second)
	fs := evidence(late.Add(-2*moves.EpochLen), 0, 0, 500, 0)
	a, b := running(fs, late), moves.New(move, []ident.Class{"c"})
	b.Start(late)
	b.Evidence(late, fs)
	g.Expect(b.Judged()).To(Equal(a.Judged()))
	g.Expect(b.State()).To(Equal(moves.Running))
}

// Guards against two moves of a service at a time, and against a later declaration that overtakes.
func TestSecondMoveWaits(t *testing.T) {
	g := NewWithT(t)
	second := conf.Move{Name: "a", Service: "s", From: "v2", To: "v3", Deadline: start}
	other := conf.Move{Name: "z", Service: "t", From: "v1", To: "v2", Deadline: start}
	all := []conf.Move{second, move, other}
	is := func(names ...ident.Move) func(ident.Move) bool {
		return func(m ident.Move) bool { return len(names) > 0 && m == names[0] }
	}
	g.Expect(moves.Next(all, is(), is("m"))).To(Equal([]conf.Move{move, other}))
	g.Expect(moves.Next(all, is("m"), is("m"))).To(Equal([]conf.Move{second, other}))
	g.Expect(moves.New(move, nil).Share("ask")).To(BeZero(), "a waiting move sends nothing")
	back := conf.Move{Name: "b", Service: "s", From: "v2", To: "v1"}
	g.Expect(moves.Check([]conf.Move{move}, back)).To(MatchError(moves.ErrOpposite))
	g.Expect(moves.Check([]conf.Move{move}, second)).To(Succeed())
}

// Guards against more than 5% of a route's requests on an unproved version when many routers each
// see little traffic, with and without sessions.
func TestTrialLimitCountsRequests(t *testing.T) {
	g := NewWithT(t)
	rnd := rand.New(rand.NewPCG(1, 1))
	var routers []*moves.Chooser
	for range 50 {
		routers = append(routers, moves.NewChooser(running(nil, start), rnd))
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
func TestSessionsStay(t *testing.T) {
	g := NewWithT(t)
	at := func(i int) time.Time { return start.Add(time.Duration(i) * moves.EpochLen) }
	fs := evidence(at(0), 500, 0, 40, 0)
	m := running(append(fs, evidence(at(2), 500, 0, 40, 0)...), at(2))
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
	m.Verdict(at(3), moves.Verdict{})
	g.Expect(c.Assign("a", "1", "ask", "v2")).To(Equal(ident.Version("v1")))
}
