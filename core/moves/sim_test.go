package moves_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/moves"
	"hickoryvane.example/core/store"
	"hickoryvane.example/core/wire"
)

var start = time.Unix(1_800_000_000, 0)

const (
	tick            = 100 * time.Millisecond
	rolloutDuration = 15 * time.Minute
	baseFailureRate = 0.005
	slowFactor      = 3.0
	badFailureRate  = 0.3
)

var (
	classes = []ident.Class{"old-gpu", "new-gpu"}
	routes  = []ident.Route{"assess", "ask", "book"}
	weights = []float64{0.6, 0.9, 1} // cumulative
)

// versionKind describes how a version behaves.
type versionKind struct {
	name string
	// fail and slow tell whether affected requests fail or are slow; neither is set for a good version.
	fail, slow bool
	// onset is the time after the first canary request from which requests are affected, minShare the share of all
	// requests from which they are. If route or class is set, only requests there are affected.
	onset    time.Duration
	minShare float64
	route    ident.Route
	class    ident.Class
}

var versionKinds = []versionKind{
	{name: "good"},
	{name: "fails at once", fail: true},
	{name: "fails later", fail: true, onset: 150 * time.Second},
	{name: "fails under load", fail: true, minShare: 0.4},
	{name: "fails on one route", fail: true, route: "ask"},
	{name: "fails on one class", fail: true, class: "old-gpu"},
	{name: "slow at once", slow: true},
	{name: "slow later", slow: true, onset: 150 * time.Second},
	{name: "slow under load", slow: true, minShare: 0.4},
	{name: "slow on one route", slow: true, route: "ask"},
	{name: "slow on one class", slow: true, class: "old-gpu"},
}

func (k versionKind) bad() bool { return k.fail || k.slow }

func (k versionKind) affects(t time.Duration, share float64, r ident.Route, c ident.Class) bool {
	return t >= k.onset && share >= k.minShare && (k.route == "" || k.route == r) && (k.class == "" || k.class == c)
}

// target is an agent with its target.
type target struct {
	isNew   bool
	class   ident.Class
	counter *moves.OutcomeCounter
	local   *moves.LocalJudge
	// publishedAt is when the evidence entry was published last.
	publishedAt time.Time
}

// router is one router with its state machines; after a crash it has no chooser until it is replaced.
type router struct {
	machine    *moves.Machine
	chooser    *moves.Chooser
	replacedAt time.Time
	writer     *moves.ConclusionWriter
}

// delivery is a gossip entry in transit to one router.
type delivery struct {
	at     time.Time
	router int
	entry  wire.GossipEntry
}

// sim simulates the routers, agents and targets of a service during one rollout.
type sim struct {
	kind versionKind
	// rate is in requests per second.
	rate      float64
	rnd       *rand.Rand
	now       time.Time
	rollout   conf.Rollout
	targets   []*target
	routers   []*router
	entries   []map[string]wire.GossipEntry // per router
	inTransit []delivery
	// storeOut tells whether the store is unavailable, routerCrashes whether a router crashes now.
	storeOut      func(time.Time) bool
	routerCrashes func(time.Time) bool
	// timetable, if set, replaces the shares and verdicts of the machines by the baseline.
	timetable *timetable
	store     *fakeStore

	assigned, canary map[ident.Route]int
	// proven tells which routes were proven by the evidence at any router.
	proven       map[ident.Route]bool
	recentAll    float64
	recentCanary float64
	canarySince  time.Time
	// judgedBadAt is when the first process judged the version bad. canaryBefore counts the requests to the new
	// version before that, and canaryAfter those from 2 s after it.
	judgedBadAt  time.Time
	canaryBefore int
	canaryAfter  int
	// affectedBefore counts the requests of canaryBefore that were affected; shareBefore is their highest share.
	affectedBefore int
	shareBefore    float64
	limitExceeded  int
	conclusion     *moves.Conclusion
}

type fakeStore struct {
	rnd      *rand.Rand
	obj      *store.Object
	lostRate float64
	// writes counts creates that took effect.
	writes int
}

func (s *fakeStore) do(c moves.Call, unavailable bool) (store.Object, error) {
	if unavailable {
		return store.Object{}, store.ErrUnavailable
	}
	lost := s.rnd.Float64() < s.lostRate
	if c.Read && s.obj == nil {
		return store.Object{}, store.ErrNotFound
	}
	if c.Read {
		return *s.obj, nil
	}
	if s.obj != nil {
		return store.Object{}, store.ErrExists
	}
	if lost && s.rnd.Float64() < 0.5 {
		return store.Object{}, store.ErrOutcomeUnknown
	}
	o := c.Object
	s.obj, s.writes = &o, s.writes+1
	if lost {
		return store.Object{}, store.ErrOutcomeUnknown
	}
	return o, nil
}

func newSim(k versionKind, seed uint64) *sim {
	s := &sim{
		kind: k, rate: 30, rnd: rand.New(rand.NewPCG(seed, 7)), now: start,
		rollout:  conf.Rollout{Name: "m", Service: "s", From: "v1", To: "v2", Deadline: start.Add(rolloutDuration)},
		assigned: map[ident.Route]int{}, canary: map[ident.Route]int{}, proven: map[ident.Route]bool{},
		storeOut: func(time.Time) bool { return false }, routerCrashes: func(time.Time) bool { return false },
	}
	s.store = &fakeStore{rnd: s.rnd, lostRate: 0.3}
	for i := range 10 {
		t := &target{isNew: i >= 6, class: classes[i%2], local: moves.NewLocalJudge()}
		v := s.rollout.From
		if t.isNew {
			v = s.rollout.To
		}
		t.counter = moves.NewOutcomeCounter(v, t.class, start)
		s.targets = append(s.targets, t)
	}
	for i := range 3 {
		s.entries = append(s.entries, map[string]wire.GossipEntry{})
		s.routers = append(s.routers, &router{})
		s.startRouter(i)
	}
	return s
}

// startRouter starts a router, which gets the gossip entries of a peer.
func (s *sim) startRouter(i int) {
	m := moves.New(s.rollout, classes)
	m.Start(s.now)
	s.routers[i] = &router{machine: m, chooser: moves.NewChooser(m, s.rnd)}
	s.entries[i] = map[string]wire.GossipEntry{}
	from := s.entries[(i+1)%len(s.routers)]
	for _, k := range slices.Sorted(maps.Keys(from)) {
		s.entries[i][k] = from[k]
		s.handleEntry(i, from[k])
	}
}

// gossip sends an entry to all routers, each with a random delay between from and to.
func (s *sim) gossip(e wire.GossipEntry, from, to time.Duration) {
	for i := range s.routers {
		d := from + time.Duration(s.rnd.Int64N(int64(to-from)))
		s.inTransit = append(s.inTransit, delivery{at: s.now.Add(d), router: i, entry: e})
	}
}

func (s *sim) deliver() {
	touched := map[int]bool{}
	remaining := s.inTransit[:0]
	for _, d := range s.inTransit {
		if d.at.After(s.now) {
			remaining = append(remaining, d)
			continue
		}
		if r := s.routers[d.router]; r.chooser == nil {
			continue
		}
		if old, ok := s.entries[d.router][d.entry.Kind+d.entry.Key]; !ok || old.Seq < d.entry.Seq {
			s.entries[d.router][d.entry.Kind+d.entry.Key] = d.entry
			touched[d.router] = touched[d.router] || d.entry.Kind == "evidence"
			s.handleEntry(d.router, d.entry)
		}
	}
	s.inTransit = remaining
	if s.now.Sub(start)%(2*moves.MinJudgeInterval) != 0 {
		return
	}
	for i, r := range s.routers {
		if r.chooser == nil {
			continue
		}
		var evidence []wire.GossipEntry
		for _, e := range s.entries[i] {
			if e.Kind == "evidence" {
				evidence = append(evidence, e)
			}
		}
		s.perform(i, r.machine.HandleEvidence(s.now, evidence))
	}
}

func (s *sim) handleEntry(i int, e wire.GossipEntry) {
	switch m := s.routers[i].machine; e.Kind {
	case "bad":
		s.perform(i, m.HandleVerdict(s.now, moves.DecodeVerdict(e.Value)))
		for _, t := range s.targets { // agents get the verdict when router 0 does
			if t.isNew && i == 0 {
				t.local.MarkBad()
			}
		}
	case "end":
		if c, err := moves.DecodeConclusion(e.Value); err == nil {
			s.perform(i, m.HandleDecision(c))
		}
	}
}

func (s *sim) perform(i int, out []moves.Action) {
	for _, a := range out {
		switch a := a.(type) {
		case moves.PublishEntry:
			if a.Kind == "bad" {
				s.noteJudgedBad()
			}
			s.gossip(wire.GossipEntry{Kind: a.Kind, Key: a.Key, Seq: uint64(s.now.UnixNano()), Value: a.Value}, 10*time.Millisecond, 600*time.Millisecond)
		case moves.RecordConclusion:
			if r := s.routers[i]; r.writer == nil {
				r.writer = moves.NewConclusionWriter(ident.ProcessID(fmt.Sprint(i)), ident.BootAt(s.now), a.Conclusion)
			} else {
				r.writer.Supersede(a.Conclusion)
			}
		}
	}
}

func (s *sim) noteJudgedBad() {
	if s.judgedBadAt.IsZero() {
		s.judgedBadAt = s.now
	}
}

// writeConclusion lets the first running router, as lease holder, record the conclusion.
func (s *sim) writeConclusion() {
	for _, r := range s.routers {
		if r.chooser == nil {
			continue
		}
		if r.writer == nil || s.conclusion != nil {
			return
		}
		for _, c := range r.writer.Tick(s.now, 1, true) {
			o, err := s.store.do(c, s.storeOut(s.now))
			if r.writer.HandleResult(s.now, c.Seq, o, err) {
				s.conclusion = r.writer.Recorded()
			}
		}
		return
	}
}

// step lets one tick pass.
func (s *sim) step() {
	s.now = s.now.Add(tick)
	s.deliver()
	for i, r := range s.routers {
		if r.chooser == nil && !s.now.Before(r.replacedAt) {
			s.startRouter(i)
		}
		if r := s.routers[i]; r.chooser != nil {
			s.perform(i, r.machine.Tick(s.now))
		}
	}
	if s.routerCrashes(s.now) {
		i := s.rnd.IntN(len(s.routers))
		s.routers[i] = &router{replacedAt: s.now.Add(5 * time.Second)}
	}
	s.writeConclusion()
	s.recentAll *= 0.99 // decays with a time constant of about 10 s
	s.recentCanary *= 0.99
	for n := s.poisson(s.rate * tick.Seconds()); n > 0; n-- {
		s.sendRequest()
	}
	for i, t := range s.targets {
		changed, urgent := t.counter.Changed()
		if changed && (urgent && s.now.Sub(t.publishedAt) >= moves.UrgentPublishInterval || s.now.Sub(t.publishedAt) >= moves.PublishInterval(len(s.targets))) {
			t.publishedAt = s.now
			e := wire.GossipEntry{Kind: "evidence", Key: fmt.Sprint(i), Seq: uint64(s.now.UnixNano()), Value: t.counter.EncodeEvidence()}
			s.gossip(e, 100*time.Millisecond, 1500*time.Millisecond)
		}
	}
}

func (s *sim) poisson(mean float64) (n int) {
	for p := s.rnd.Float64(); p > math.Exp(-mean); n++ {
		p *= s.rnd.Float64()
	}
	return n
}

func (s *sim) sendRequest() {
	i := s.rnd.IntN(len(s.routers))
	for s.routers[i].chooser == nil {
		i = (i + 1) % len(s.routers)
	}
	r := routes[0]
	for j, u := 0, s.rnd.Float64(); u > weights[j]; {
		j++
		r = routes[j]
	}
	share := s.routers[i].machine.Share(r)
	s.proven[r] = s.proven[r] || share > 0.05 // by the evidence that has reached this router
	v := s.routers[i].chooser.Assign("a", "", r, "")
	if s.timetable != nil {
		share = s.timetable.share(s.now)
		v = s.rollout.From
		if s.rnd.Float64() < share {
			v = s.rollout.To
		}
	}
	s.assigned[r]++
	s.recentAll++
	t := s.pickTarget(v)
	if t.isNew && t.local.Refuses() && s.timetable == nil {
		t = s.pickTarget(s.rollout.From) // refused, and offered to the old version
	}
	if t.isNew {
		s.countCanary(r, share)
	}
	s.finishRequest(t, r)
}

// pickTarget returns a random target of a version; targets 0 to 5 run the old version, 6 to 9 the new one.
func (s *sim) pickTarget(v ident.Version) *target {
	if v == s.rollout.To {
		return s.targets[6+s.rnd.IntN(4)]
	}
	return s.targets[s.rnd.IntN(6)]
}

func (s *sim) countCanary(r ident.Route, share float64) {
	s.canary[r]++
	s.recentCanary++
	if s.canarySince.IsZero() {
		s.canarySince = s.now
	}
	switch {
	case s.judgedBadAt.IsZero():
		s.canaryBefore++
		s.shareBefore = max(s.shareBefore, share)
	case s.now.Sub(s.judgedBadAt) >= 2*time.Second:
		s.canaryAfter++
	}
	if s.timetable == nil && !s.proven[r] && 20*s.canary[r] > s.assigned[r] {
		s.limitExceeded++
	}
}

func (s *sim) finishRequest(t *target, r ident.Route) {
	o := moves.Outcome{Route: r, Fingerprint: ident.Fingerprint(s.rnd.Uint64()), Failed: s.rnd.Float64() < baseFailureRate}
	ms := 200 * math.Exp(0.35*s.rnd.NormFloat64())
	if t.class == "old-gpu" {
		ms *= 1.8
	}
	if t.isNew && s.kind.bad() && s.kind.affects(s.now.Sub(s.canarySince), s.recentCanary/s.recentAll, r, t.class) {
		if s.judgedBadAt.IsZero() {
			s.affectedBefore++
		}
		o.Failed = o.Failed || s.kind.fail && s.rnd.Float64() < badFailureRate
		if s.kind.slow {
			ms *= slowFactor
		}
	}
	o.TimeToFirstByte = time.Duration(ms * float64(time.Millisecond))
	t.counter.Add(s.now, o)
	if s.timetable != nil {
		s.timetable.add(s, t.isNew, o.Failed)
		return
	}
	if t.isNew && t.local.Add(o) {
		s.noteJudgedBad()
		v := moves.Verdict{Reason: moves.ReasonConsecutiveFailures, Route: r, Class: t.class, JudgedAt: s.now}
		s.gossip(wire.GossipEntry{Kind: "bad", Key: "s/v2", Seq: 1, Value: v.Encode()}, 10*time.Millisecond, 600*time.Millisecond)
	}
}
