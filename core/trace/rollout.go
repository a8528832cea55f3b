package trace

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/facts"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/moves"
	"hickoryvane.example/core/store"
	"hickoryvane.example/core/wire"
)

// evidenceTime is the interval at which agents publish evidence that is not urgent.
const evidenceTime = 2 * time.Second

// rollout is a move of the trace with its machines at the routers and one recorder of its end.
type rollout struct {
	l    *late
	move conf.Move
	// machines and choosers are by router.
	machines []*moves.Machine
	choosers []*moves.Chooser
	facts    map[ident.ProcessID]wire.GossipEntry
	waiting  bool
	decided  *moves.End
	ender    *moves.Ender
	recorded time.Time
	end      *moves.End
	// after counts requests sent to the new version after it was decided to take it back.
	after int
}

// trialSide is an agent's part in a move.
type trialSide struct {
	x        *rollout
	recorder *moves.Recorder
	local    *moves.Local
	isNew    bool
	count    uint64
	last     time.Time
}

func (l *late) declared(e Event) {
	now := l.w.now
	x := &rollout{l: l, facts: map[ident.ProcessID]wire.GossipEntry{}, move: conf.Move{
		Name: e.Name, Service: e.Service, From: e.From, To: e.To, Deadline: now.Add(e.Deadline.Duration()),
	}}
	var classes []ident.Class
	for _, a := range l.agents {
		if a.e.Service != e.Service || a.e.Version != e.From && a.e.Version != e.To {
			continue
		}
		a.trial = &trialSide{
			x: x, recorder: moves.NewRecorder(a.e.Version, a.e.Class, now), local: moves.NewLocal(),
			isNew: a.e.Version == e.To,
		}
		if a.trial.isNew && !slices.Contains(classes, a.e.Class) {
			classes = append(classes, a.e.Class)
		}
	}
	for i := range l.routers {
		m := moves.New(x.move, classes)
		m.Start(now)
		x.machines = append(x.machines, m)
		x.choosers = append(x.choosers, moves.NewChooser(m, rand.New(rand.NewPCG(l.w.h.Seed, uint64(i)+500))))
	}
	l.rollouts = append(l.rollouts, x)
}

// assign returns the version for a request.
func (l *late) assign(r *router, j *job) ident.Version {
	for _, x := range l.rollouts {
		if x.move.Service != j.Service || x.end != nil {
			continue
		}
		v := x.choosers[slices.Index(l.routers, r)].Assign(j.Account, j.Session, j.Route, l.sessions[j.Session])
		if j.Session != "" {
			l.sessions[j.Session] = v
		}
		if v == x.move.To && x.decided != nil && x.decided.State == moves.Back {
			x.after++
		}
		return v
	}
	return l.current[j.Service]
}

// unproved returns the classes on which the new version is not proved, if the request runs on that version.
func (l *late) unproved(r *router, j *job) []ident.Class {
	for _, x := range l.rollouts {
		if x.move.Service == j.Service && x.end == nil && j.version == x.move.To {
			return x.machines[slices.Index(l.routers, r)].Unproved(j.Route)
		}
	}
	return nil
}

// evidence counts the outcome of a request at a moving service.
func (a *agent) evidence(j *job, whole bool, crash uint64) {
	t := a.trial
	if t == nil || t.x.end != nil {
		return
	}
	// Times are made comparable by the tokens read relative to the route's usual prompt. Without the prompts
	// that the engine read before, one assessment made all questions behind it slow answers, and a good version
	// was taken back.
	read := j.Prompt + a.queue.Ahead(j.ID)
	took := time.Duration(float64(a.firsts[j]) * a.l.w.usual[j.Route] / float64(read))
	o := moves.Outcome{Route: j.Route, Print: j.Print, Failed: !whole, Took: took, Crash: crash, Excused: j.Fatal}
	t.recorder.Add(a.l.w.now, o)
	if t.isNew && t.local.Add(o) {
		t.x.publishBad(moves.Verdict{Reason: moves.ReasonRun, Route: j.Route, Class: a.e.Class, At: a.l.w.now})
		a.report()
	}
	a.publish()
}

func (a *agent) publish() {
	t := a.trial
	changed, urgent := t.recorder.Changed()
	if !changed || !urgent && a.l.w.now.Sub(t.last) < evidenceTime {
		return
	}
	t.last = a.l.w.now
	t.count++
	f := wire.GossipEntry{
		Kind: facts.KindEvidence, Key: moves.EvidenceKey(t.x.move.Name, ident.BootAt(epoch)), Origin: a.id,
		Boot: ident.BootAt(epoch), Seq: t.count, Value: t.recorder.Value(),
	}
	a.l.w.after(spreadTime/2, func() { t.x.receive(f) })
}

// receive takes an evidence fact. Facts that arrive within one round are judged together.
func (x *rollout) receive(f wire.GossipEntry) {
	x.facts[f.Origin] = f
	if x.waiting {
		return
	}
	x.waiting = true
	x.l.w.after(spreadTime/2, func() {
		x.waiting = false
		x.gather()
	})
}

func (x *rollout) gather() {
	list := make([]wire.GossipEntry, 0, len(x.facts))
	for _, f := range x.facts {
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b wire.GossipEntry) int { return cmp.Compare(a.Origin, b.Origin) })
	for _, m := range x.machines {
		x.act(m.Evidence(x.l.w.now, list))
	}
}

func (x *rollout) publishBad(v moves.Verdict) {
	x.l.w.after(spreadTime, func() {
		for _, m := range x.machines {
			x.act(m.Verdict(x.l.w.now, v))
		}
		for _, a := range x.l.agents {
			if a.trial != nil && a.trial.x == x && a.trial.isNew {
				a.trial.local.Judge()
			}
		}
	})
}

func (x *rollout) act(list []moves.Action) {
	for _, act := range list {
		switch y := act.(type) {
		case moves.Publish:
			if y.Sort == facts.KindBadVersion {
				x.publishBad(moves.DecodeVerdict(y.Value))
			}
		case moves.Record:
			x.record(y.End)
		}
	}
}

func (x *rollout) record(e moves.End) {
	if x.ender == nil {
		x.ender = moves.NewEnder(x.l.routers[0].Name, ident.BootAt(epoch), e)
	} else if x.decided == nil || *x.decided != e {
		x.ender.Change(e)
	}
	if x.decided == nil {
		for _, m := range x.machines {
			x.act(m.Decided(e))
		}
	}
	x.decided = &e
}

func (l *late) tickMoves() {
	for _, x := range l.rollouts {
		if x.end != nil {
			continue
		}
		for _, m := range x.machines {
			x.act(m.Tick(l.w.now))
		}
		for _, a := range l.agents {
			if a.trial != nil && a.trial.x == x {
				a.publish()
			}
		}
		x.write()
	}
}

// write calls the object API, which answers at once or is out.
func (x *rollout) write() {
	if x.ender == nil {
		return
	}
	now := x.l.w.now
	for _, c := range x.ender.Tick(now, 1, true) {
		o, err := c.Object, error(nil)
		switch {
		case x.l.w.out:
			err = store.ErrUnavailable
		case c.Read:
			err = store.ErrNotFound
		}
		if x.ender.Result(now, c.Seq, o, err) {
			x.finish(*x.ender.Recorded())
			return
		}
	}
}

func (x *rollout) finish(e moves.End) {
	x.end, x.recorded = &e, x.l.w.now
	if e.State == moves.Done {
		x.l.current[x.move.Service] = x.move.To
	}
	for _, m := range x.machines {
		m.Recorded(e)
	}
	for _, a := range x.l.agents {
		if a.trial != nil && a.trial.x == x {
			a.trial = nil
		}
	}
}

func (l *late) outage(bool) {}

func (l *late) busy() bool {
	for _, x := range l.rollouts {
		if x.end == nil {
			return true
		}
	}
	return false
}

func (l *late) ends() (list []MoveEnd) {
	for _, x := range l.rollouts {
		m := MoveEnd{Name: x.move.Name, State: string(moves.Running), Late: x.after}
		if x.end != nil {
			m.State, m.Reason = string(x.end.State), string(x.end.Reason)
			m.At, m.Recorded = x.end.At.Sub(epoch), x.recorded.Sub(epoch)
		}
		list = append(list, m)
	}
	return list
}
