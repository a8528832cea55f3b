package trace

import (
	"math/rand/v2"
	"slices"
	"time"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/guard"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/pick"
	"hickoryvane.example/core/quota"
	"hickoryvane.example/core/wire"
)

// roundsMax bounds how often a request is offered to new agents after all refused.
const roundsMax = 4

// againParts are the parts of the time to the deadline after which a request without a grant is offered
// to further agents. Without them, offers waited for their whole deadline at two slow agents: in trials
// at three times the capacity of the Brunner mix, tier 0 rose from 0.943 to 0.985 (two seeds).
var againParts = []float64{0.2, 0.4, 0.6}

// router models an entry process of the product.
type router struct {
	Router
	l      *late
	region ident.Region
	picker *pick.Picker
	quota  *quota.Quota
	guard  *guard.Guard
	agents []*agent
	open   map[*job]*pending
}

// pending is a request that a router holds.
type pending struct {
	j *job
	// asked are the agents that hold an offer.
	asked []*agent
	tried []ident.TargetID
	// agent is the one to which the body was sent.
	agent *agent
	sent  time.Time
	first time.Time
	// rounds counts the rounds of offers, lowered is set after the round of the shedding rule.
	rounds  int
	lowered bool
	last    *fault.Error
}

func newRouter(l *late, x Router, rnd *rand.Rand) *router {
	r := &router{
		Router: x, l: l, region: l.w.h.region(x.Centre), guard: guard.New(),
		quota: quota.New(x.Name), open: map[*job]*pending{},
	}
	r.picker = pick.New(rnd, r.region)
	r.agents = l.connect(x.Name, r.region)
	for _, a := range r.agents {
		r.picker.Put(l.w.now, pickTarget(a))
		a.routers = append(a.routers, r)
	}
	r.quota.SetRouterCount(len(l.w.h.Routers))
	for _, a := range l.w.h.Accounts {
		r.quota.SetLimit(l.w.now, a.Name, quota.Limit{Rate: a.Rate, Burst: a.Burst})
	}
	return r
}

// announce spreads the demand of accounts.
func (r *router) announce() {
	for _, d := range r.quota.AnnounceDemands(r.l.w.now) {
		r.l.w.after(spreadTime, func() {
			for _, other := range r.l.routers {
				if other != r {
					other.quota.Merge(r.l.w.now, d)
				}
			}
		})
	}
}

func (r *router) arrive(j *job) {
	w := r.l.w
	if r.guard.Check(w.now, j.Print) == guard.Blocked {
		w.refuse(j, fault.NotRunf(fault.Crashes, "request crashes targets"))
		return
	}
	if f := r.quota.Take(w.now, j.Account, j.Prompt+j.Output); f != nil {
		w.refuse(j, f)
		return
	}
	j.version = r.l.assign(r, j)
	p := &pending{j: j}
	r.open[j] = p
	r.offer(p)
	for _, part := range againParts {
		w.after(time.Duration(part*float64(j.deadline.Sub(w.now))), func() {
			if r.open[j] == p && p.agent == nil {
				r.send(p, r.picker.Pick(w.now, r.request(p), nil))
			}
		})
	}
}

func (r *router) request(p *pending) pick.Request {
	j := p.j
	return pick.Request{
		ID: j.ID, Service: j.Service, Version: j.version, Tier: j.Tier, Prompt: j.Prompt, Output: j.Output,
		Bytes: ident.Bytes(j.Prompt * ident.TokenBytes), Blocks: j.blocks, Tried: p.tried,
		Route: j.Route, UnprovenClasses: r.l.unproved(r, j),
	}
}

// offer asks the next agents, or refuses the request when none is left.
func (r *router) offer(p *pending) {
	w, req := r.l.w, r.request(p)
	var choices []pick.Choice
	if p.rounds < roundsMax {
		p.rounds++
		choices = r.picker.Pick(w.now, req, nil)
	}
	if len(choices) == 0 && !p.lowered && p.last != nil && p.last.Reason == fault.Shed {
		p.lowered = true
		choices = r.picker.PickLowerTier(w.now, req, nil)
	}
	if len(choices) == 0 {
		r.giveUp(p)
		return
	}
	r.send(p, choices)
}

func (r *router) send(p *pending, choices []pick.Choice) {
	w, req := r.l.w, r.request(p)
	for _, c := range choices {
		a := r.l.byTarget[c.Target]
		p.asked = append(p.asked, a)
		p.tried = append(p.tried, c.Target)
		r.picker.RecordOffer(w.now, c.Target, &req)
		w.after(r.to(a), func() { a.offer(r, p.j) })
	}
}

func (r *router) giveUp(p *pending) {
	f := p.last
	if f == nil {
		f = fault.NotRunf(fault.Config, "no target")
	}
	p.j.inversion = f.Reason == fault.Shed && r.l.lowerWaits(p.j, r.region)
	delete(r.open, p.j)
	r.l.w.refuse(p.j, f)
}

// granted takes the first grant and declines later ones.
func (r *router) granted(j *job, a *agent, t ident.Ticket) {
	p, w := r.open[j], r.l.w
	if p == nil || p.agent != nil {
		w.after(r.to(a), func() { a.declined(j, t) })
		return
	}
	p.agent, p.sent = a, w.now
	for _, x := range p.asked {
		if x != a {
			r.withdraw(j, x)
		}
	}
	w.after(r.to(a), func() { a.body(r, j, t) })
	if a.e.region != r.region {
		r.picker.ChargeLink(w.now, ident.Bytes(j.Prompt*ident.TokenBytes))
	}
}

func (r *router) withdraw(j *job, a *agent) {
	r.picker.RecordWithdrawal(a.e.Name, j.ID)
	r.l.w.after(r.to(a), func() { a.withdrawn(j) })
}

// refused takes a refusal before dispatch; the request is offered elsewhere once all agents refused.
func (r *router) refused(j *job, a *agent, f *fault.Error) {
	r.picker.RecordWithdrawal(a.e.Name, j.ID)
	if f.Reason != fault.Deadline && f.Reason != fault.Expired {
		r.picker.RecordRefusal(r.l.w.now, a.e.Name, f.RetryAfter)
	}
	p := r.open[j]
	if p == nil || p.agent != nil && p.agent != a {
		return
	}
	p.agent, p.last = nil, f
	p.asked = slices.DeleteFunc(p.asked, func(x *agent) bool { return x == a })
	if len(p.asked) == 0 && !j.ended {
		r.offer(p)
	}
}

func (r *router) firstToken(j *job) {
	if p := r.open[j]; p != nil {
		p.first = r.l.w.now
	}
	r.l.w.after(callerLatency, func() { r.l.w.firstByte(j) })
}

// finished takes the end of an answer.
func (r *router) finished(j *job, a *agent, whole bool, cached ident.Tokens) {
	p, w := r.open[j], r.l.w
	if p == nil {
		return
	}
	delete(r.open, j)
	o := pick.Outcome{Prompt: j.Prompt, Cached: cached, Output: j.Output, Failed: !whole}
	if !p.first.IsZero() {
		o.TimeToFirstByte, o.DecodeTime = p.first.Sub(p.sent), w.now.Sub(p.first)
	}
	r.picker.RecordOutcome(w.now, a.e.Name, o)
	w.after(callerLatency, func() { w.answered(j, whole) })
}

// leave frees the place of a request whose caller left.
func (r *router) leave(j *job) {
	p := r.open[j]
	if p == nil {
		return
	}
	delete(r.open, j)
	if a := p.agent; a != nil {
		r.picker.RecordWithdrawal(a.e.Name, j.ID)
		r.l.w.after(r.to(a), func() { a.cancelled(j) })
		return
	}
	for _, a := range p.asked {
		r.withdraw(j, a)
	}
}

func (r *router) load(m *wire.Load) { r.picker.ApplyLoad(r.l.w.now, m) }

func (r *router) to(a *agent) time.Duration { return r.l.w.latency(r.region, a.e.region) }
