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
	tick     = 100 * time.Millisecond
	window   = 15 * time.Minute
	baseFail = 0.005
	slowBy   = 3.0
	failPart = 0.3
)

var (
	classes = []ident.Class{"old-gpu", "new-gpu"}
	routes  = []ident.Route{"assess", "ask", "book"}
	weights = []float64{0.6, 0.9, 1} // cumulative
)

// kind is how a version behaves.
type kind struct {
	name string
	// fail and slow tell whether the badness shows.
	fail, slow bool
	// later is the time after which it shows; load the share of all requests from which it shows.
	later time.Duration
	load  float64
	route ident.Route
	class ident.Class
}

var kinds = []kind{
	{name: "good"},
	{name: "fails at once", fail: true},
	{name: "fails later", fail: true, later: 150 * time.Second},
	{name: "fails under load", fail: true, load: 0.4},
	{name: "fails on one route", fail: true, route: "ask"},
	{name: "fails on one class", fail: true, class: "old-gpu"},
	{name: "slow at once", slow: true},
	{name: "slow later", slow: true, later: 150 * time.Second},
	{name: "slow under load", slow: true, load: 0.4},
	{name: "slow on one route", slow: true, route: "ask"},
	{name: "slow on one class", slow: true, class: "old-gpu"},
}

func (k kind) bad() bool { return k.fail || k.slow }

func (k kind) shows(t time.Duration, load float64, r ident.Route, c ident.Class) bool {
	return t >= k.later && load >= k.load && (k.route == "" || k.route == r) && (k.class == "" || k.class == c)
}

// target is an agent with its target.
type target struct {
	isNew bool
	class ident.Class
	rec   *moves.Recorder
	local *moves.Local
	// wrote is when the evidence fact was written last.
	wrote time.Time
}

// router is one router with its machines; a dead one has no chooser until it is replaced.
type router struct {
	m     *moves.Machine
	c     *moves.Chooser
	back  time.Time
	ender *moves.Ender
}

// delivery is a fact on its way to one router or, with agent set, to the agents.
type delivery struct {
	at     time.Time
	router int
	f      wire.GossipEntry
}

// sim is a fleet during one move.
type sim struct {
	kind kind
	// rate is in requests per second.
	rate    float64
	rnd     *rand.Rand
	now     time.Time
	move    conf.Move
	targets []*target
	routers []*router
	facts   []map[string]wire.GossipEntry // per router
	transit []delivery
	// out tells whether the store is out, die whether a router dies now.
	out func(time.Time) bool
	die func(time.Time) bool
	// timed is the baseline: shares by timetable, and an error threshold.
	timed *timetable
	store *fakeStore

	sent, trial map[ident.Route]int
	// proved tells the routes that some router has seen proved.
	proved    map[ident.Route]bool
	recentAll float64
	recentNew float64
	newSince  time.Time
	// evidence is when the first process judged the version bad.
	evidence time.Time
	before   int
	after    int
	// shown counts the requests of before that met the badness.
	shown int
	share float64
	overs int
	ended *moves.End
}

type fakeStore struct {
	rnd   *rand.Rand
	obj   *store.Object
	fault float64
	// writes counts creates that took effect.
	writes int
}

func (s *fakeStore) do(c moves.Call, out bool) (store.Object, error) {
	if out {
		return store.Object{}, store.ErrUnavailable
	}
	lost := s.rnd.Float64() < s.fault
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

func newSim(k kind, seed uint64) *sim {
	s := &sim{
		kind: k, rate: 30, rnd: rand.New(rand.NewPCG(seed, 7)), now: start,
		move: conf.Move{Name: "m", Service: "s", From: "v1", To: "v2", Deadline: start.Add(window)},
		sent: map[ident.Route]int{}, trial: map[ident.Route]int{}, proved: map[ident.Route]bool{},
		out: func(time.Time) bool { return false }, die: func(time.Time) bool { return false },
	}
	s.store = &fakeStore{rnd: s.rnd, fault: 0.3}
	for i := range 10 {
		t := &target{isNew: i >= 6, class: classes[i%2], local: moves.NewLocal()}
		v := s.move.From
		if t.isNew {
			v = s.move.To
		}
		t.rec = moves.NewRecorder(v, t.class, start)
		s.targets = append(s.targets, t)
	}
	for i := range 3 {
		s.facts = append(s.facts, map[string]wire.GossipEntry{})
		s.routers = append(s.routers, &router{})
		s.boot(i)
	}
	return s
}

// boot starts a router, which gets the facts of a peer.
func (s *sim) boot(i int) {
	m := moves.New(s.move, classes)
	m.Start(s.now)
	s.routers[i] = &router{m: m, c: moves.NewChooser(m, s.rnd)}
	s.facts[i] = map[string]wire.GossipEntry{}
	from := s.facts[(i+1)%len(s.routers)]
	for _, k := range slices.Sorted(maps.Keys(from)) {
		s.facts[i][k] = from[k]
		s.take(i, from[k])
	}
}

func (s *sim) spread(f wire.GossipEntry, from, to time.Duration) {
	for i := range s.routers {
		d := from + time.Duration(s.rnd.Int64N(int64(to-from)))
		s.transit = append(s.transit, delivery{at: s.now.Add(d), router: i, f: f})
	}
}

func (s *sim) deliver() {
	touched := map[int]bool{}
	rest := s.transit[:0]
	for _, d := range s.transit {
		if d.at.After(s.now) {
			rest = append(rest, d)
			continue
		}
		if r := s.routers[d.router]; r.c == nil {
			continue
		}
		if old, ok := s.facts[d.router][d.f.Kind+d.f.Key]; !ok || old.Seq < d.f.Seq {
			s.facts[d.router][d.f.Kind+d.f.Key] = d.f
			touched[d.router] = touched[d.router] || d.f.Kind == "evidence"
			s.take(d.router, d.f)
		}
	}
	s.transit = rest
	if s.now.Sub(start)%(2*moves.JudgeGap) != 0 {
		return
	}
	for i, r := range s.routers {
		if r.c == nil {
			continue
		}
		var fs []wire.GossipEntry
		for _, f := range s.facts[i] {
			if f.Kind == "evidence" {
				fs = append(fs, f)
			}
		}
		s.act(i, r.m.Evidence(s.now, fs))
	}
}

func (s *sim) take(i int, f wire.GossipEntry) {
	switch m := s.routers[i].m; f.Kind {
	case "bad":
		s.act(i, m.Verdict(s.now, moves.DecodeVerdict(f.Value)))
		for _, t := range s.targets {
			if t.isNew && i == 0 {
				t.local.Judge()
			}
		}
	case "end":
		if e, err := moves.DecodeEnd(f.Value); err == nil {
			s.act(i, m.Decided(e))
		}
	}
}

func (s *sim) act(i int, out []moves.Action) {
	for _, a := range out {
		switch a := a.(type) {
		case moves.Publish:
			if a.Sort == "bad" {
				s.judged()
			}
			s.spread(wire.GossipEntry{Kind: a.Sort, Key: a.Key, Seq: uint64(s.now.UnixNano()), Value: a.Value}, 10*time.Millisecond, 600*time.Millisecond)
		case moves.Record:
			if r := s.routers[i]; r.ender == nil {
				r.ender = moves.NewEnder(ident.ProcessID(fmt.Sprint(i)), ident.BootAt(s.now), a.End)
			} else {
				r.ender.Change(a.End)
			}
		}
	}
}

func (s *sim) judged() {
	if s.evidence.IsZero() {
		s.evidence = s.now
	}
}

// record lets the first live router, as lease holder, record the end.
func (s *sim) record() {
	for _, r := range s.routers {
		if r.c == nil {
			continue
		}
		if r.ender == nil || s.ended != nil {
			return
		}
		for _, c := range r.ender.Tick(s.now, 1, true) {
			o, err := s.store.do(c, s.out(s.now))
			if r.ender.Result(s.now, c.Seq, o, err) {
				s.ended = r.ender.Recorded()
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
		if r.c == nil && !s.now.Before(r.back) {
			s.boot(i)
		}
		if r := s.routers[i]; r.c != nil {
			s.act(i, r.m.Tick(s.now))
		}
	}
	if s.die(s.now) {
		i := s.rnd.IntN(len(s.routers))
		s.routers[i] = &router{back: s.now.Add(5 * time.Second)}
	}
	s.record()
	s.recentAll *= 0.99 // a window of about 10 s
	s.recentNew *= 0.99
	for n := s.poisson(s.rate * tick.Seconds()); n > 0; n-- {
		s.request()
	}
	for i, t := range s.targets {
		changed, urgent := t.rec.Changed()
		if changed && (urgent && s.now.Sub(t.wrote) >= moves.UrgentGap || s.now.Sub(t.wrote) >= moves.Interval(len(s.targets))) {
			t.wrote = s.now
			f := wire.GossipEntry{Kind: "evidence", Key: fmt.Sprint(i), Seq: uint64(s.now.UnixNano()), Value: t.rec.Value()}
			s.spread(f, 100*time.Millisecond, 1500*time.Millisecond)
		}
	}
}

func (s *sim) poisson(mean float64) (n int) {
	for p := s.rnd.Float64(); p > math.Exp(-mean); n++ {
		p *= s.rnd.Float64()
	}
	return n
}

func (s *sim) request() {
	i := s.rnd.IntN(len(s.routers))
	for s.routers[i].c == nil {
		i = (i + 1) % len(s.routers)
	}
	r := routes[0]
	for j, u := 0, s.rnd.Float64(); u > weights[j]; {
		j++
		r = routes[j]
	}
	share := s.routers[i].m.Share(r)
	s.proved[r] = s.proved[r] || share > 0.05 // by the evidence that has reached this router
	v := s.routers[i].c.Assign("a", "", r, "")
	if s.timed != nil {
		share = s.timed.share(s.now)
		v = s.move.From
		if s.rnd.Float64() < share {
			v = s.move.To
		}
	}
	s.sent[r]++
	s.recentAll++
	t := s.pick(v)
	if t.isNew && t.local.Refuses() && s.timed == nil {
		t = s.pick(s.move.From) // refused, and offered to the old version
	}
	if t.isNew {
		s.count(r, share)
	}
	s.finish(t, r)
}

func (s *sim) pick(v ident.Version) *target {
	if v == s.move.To {
		return s.targets[6+s.rnd.IntN(4)]
	}
	return s.targets[s.rnd.IntN(6)]
}

func (s *sim) count(r ident.Route, share float64) {
	s.trial[r]++
	s.recentNew++
	if s.newSince.IsZero() {
		s.newSince = s.now
	}
	switch {
	case s.evidence.IsZero():
		s.before++
		s.share = max(s.share, share)
	case s.now.Sub(s.evidence) >= 2*time.Second:
		s.after++
	}
	if s.timed == nil && !s.proved[r] && 20*s.trial[r] > s.sent[r] {
		s.overs++
	}
}

func (s *sim) finish(t *target, r ident.Route) {
	o := moves.Outcome{Route: r, Print: ident.Print(s.rnd.Uint64()), Failed: s.rnd.Float64() < baseFail}
	ms := 200 * math.Exp(0.35*s.rnd.NormFloat64())
	if t.class == "old-gpu" {
		ms *= 1.8
	}
	if t.isNew && s.kind.bad() && s.kind.shows(s.now.Sub(s.newSince), s.recentNew/s.recentAll, r, t.class) {
		if s.evidence.IsZero() {
			s.shown++
		}
		o.Failed = o.Failed || s.kind.fail && s.rnd.Float64() < failPart
		if s.kind.slow {
			ms *= slowBy
		}
	}
	o.Took = time.Duration(ms * float64(time.Millisecond))
	t.rec.Add(s.now, o)
	if s.timed != nil {
		s.timed.add(s, t.isNew, o.Failed)
		return
	}
	if t.isNew && t.local.Add(o) {
		s.judged()
		v := moves.Verdict{Reason: moves.ReasonRun, Route: r, Class: t.class, At: s.now}
		s.spread(wire.GossipEntry{Kind: "bad", Key: "s/v2", Seq: 1, Value: v.Encode()}, 10*time.Millisecond, 600*time.Millisecond)
	}
}
