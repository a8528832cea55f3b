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

// offerRoundsMax is the largest number of rounds in which a request is offered to further agents after all agents
// of the previous round refused it.
const offerRoundsMax = 4

// reofferFractions are the fractions of the time to the deadline after which a request without a grant is offered
// to further agents. Without these offers, requests waited until their deadline at two slow agents: at a load of 3
// of the Brunner mix they raised the goodput of tier 0 from 0.943 to 0.985 (two seeds).
var reofferFractions = []float64{0.2, 0.4, 0.6}

// router models a router process of the product.
type router struct {
	Router
	policy  *lateBinding
	region  ident.Region
	picker  *pick.Picker
	quota   *quota.Quota
	guard   *guard.Guard
	agents  []*agent
	pending map[*job]*pendingRequest
}

// pendingRequest is a request that has arrived at a router and has not ended.
type pendingRequest struct {
	job *job
	// offered are the agents that hold an offer of the request.
	offered []*agent
	tried   []ident.TargetID
	// agent is the agent to which the body was sent.
	agent        *agent
	sentAt       time.Time
	firstTokenAt time.Time
	// rounds counts the rounds of offers; lowerTiersOffered is set after the additional round that a request gets
	// before it is shed, at agents where requests of lower tiers wait.
	rounds            int
	lowerTiersOffered bool
	lastRefusal       *fault.Error
}

func newRouter(l *lateBinding, x Router, rnd *rand.Rand) *router {
	r := &router{
		Router: x, policy: l, region: l.w.h.region(x.Centre), guard: guard.New(),
		quota: quota.New(x.Name), pending: map[*job]*pendingRequest{},
	}
	r.picker = pick.New(rnd, r.region)
	r.agents = l.selectAgents(x.Name, r.region)
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

// announceDemand sends the demand of the accounts to the other routers.
func (r *router) announceDemand() {
	for _, d := range r.quota.AnnounceDemands(r.policy.w.now) {
		r.policy.w.after(gossipTime, func() {
			for _, other := range r.policy.routers {
				if other != r {
					other.quota.Merge(r.policy.w.now, d)
				}
			}
		})
	}
}

func (r *router) arrive(j *job) {
	w := r.policy.w
	if r.guard.Check(w.now, j.Fingerprint) == guard.Blocked {
		w.refuse(j, fault.NotRunf(fault.Crashes, "request crashes targets"))
		return
	}
	if f := r.quota.Take(w.now, j.Account, j.Prompt+j.Output); f != nil {
		w.refuse(j, f)
		return
	}
	j.version = r.policy.assignVersion(r, j)
	p := &pendingRequest{job: j}
	r.pending[j] = p
	r.offerRound(p)
	for _, fraction := range reofferFractions {
		w.after(time.Duration(fraction*float64(j.deadline.Sub(w.now))), func() {
			if r.pending[j] == p && p.agent == nil {
				r.sendOffers(p, r.picker.Pick(w.now, r.pickRequest(p), nil))
			}
		})
	}
}

func (r *router) pickRequest(p *pendingRequest) pick.Request {
	j := p.job
	return pick.Request{
		ID: j.ID, Service: j.Service, Version: j.version, Tier: j.Tier, Prompt: j.Prompt, Output: j.Output,
		Bytes: ident.Bytes(j.Prompt * ident.TokenBytes), Blocks: j.blocks, Tried: p.tried,
		Route: j.Route, UnprovenClasses: r.policy.unprovenClasses(r, j),
	}
}

// offerRound offers the request to the next agents, or refuses it when no agent remains.
func (r *router) offerRound(p *pendingRequest) {
	w, req := r.policy.w, r.pickRequest(p)
	var choices []pick.Choice
	if p.rounds < offerRoundsMax {
		p.rounds++
		choices = r.picker.Pick(w.now, req, nil)
	}
	if len(choices) == 0 && !p.lowerTiersOffered && p.lastRefusal != nil && p.lastRefusal.Reason == fault.Shed {
		p.lowerTiersOffered = true
		choices = r.picker.PickLowerTier(w.now, req, nil)
	}
	if len(choices) == 0 {
		r.refuse(p)
		return
	}
	r.sendOffers(p, choices)
}

func (r *router) sendOffers(p *pendingRequest, choices []pick.Choice) {
	w, req := r.policy.w, r.pickRequest(p)
	for _, c := range choices {
		a := r.policy.agentByTarget[c.Target]
		p.offered = append(p.offered, a)
		p.tried = append(p.tried, c.Target)
		r.picker.RecordOffer(w.now, c.Target, &req)
		w.after(r.latencyTo(a), func() { a.handleOffer(r, p.job) })
	}
}

func (r *router) refuse(p *pendingRequest) {
	f := p.lastRefusal
	if f == nil {
		f = fault.NotRunf(fault.Config, "no target")
	}
	p.job.inversion = f.Reason == fault.Shed && r.policy.lowerTierWaits(p.job, r.region)
	delete(r.pending, p.job)
	r.policy.w.refuse(p.job, f)
}

// handleGrant accepts the first grant and declines later ones.
func (r *router) handleGrant(j *job, a *agent, t ident.Ticket) {
	p, w := r.pending[j], r.policy.w
	if p == nil || p.agent != nil {
		w.after(r.latencyTo(a), func() { a.handleDecline(j, t) })
		return
	}
	p.agent, p.sentAt = a, w.now
	for _, x := range p.offered {
		if x != a {
			r.withdraw(j, x)
		}
	}
	w.after(r.latencyTo(a), func() { a.handleBody(r, j, t) })
	if a.engine.region != r.region {
		r.picker.ChargeLink(w.now, ident.Bytes(j.Prompt*ident.TokenBytes))
	}
}

func (r *router) withdraw(j *job, a *agent) {
	r.picker.RecordWithdrawal(a.engine.Name, j.ID)
	r.policy.w.after(r.latencyTo(a), func() { a.handleWithdraw(j) })
}

// handleRefusal handles a refusal before dispatch. Once all agents have refused the request, it is offered to others.
func (r *router) handleRefusal(j *job, a *agent, f *fault.Error) {
	r.picker.RecordWithdrawal(a.engine.Name, j.ID)
	if f.Reason != fault.Deadline && f.Reason != fault.Expired {
		r.picker.RecordRefusal(r.policy.w.now, a.engine.Name, f.RetryAfter)
	}
	p := r.pending[j]
	if p == nil || p.agent != nil && p.agent != a {
		return
	}
	p.agent, p.lastRefusal = nil, f
	p.offered = slices.DeleteFunc(p.offered, func(x *agent) bool { return x == a })
	if len(p.offered) == 0 && !j.ended {
		r.offerRound(p)
	}
}

func (r *router) handleFirstToken(j *job) {
	if p := r.pending[j]; p != nil {
		p.firstTokenAt = r.policy.w.now
	}
	r.policy.w.after(callerLatency, func() { r.policy.w.recordFirstByte(j) })
}

// handleEnd handles the end of an answer.
func (r *router) handleEnd(j *job, a *agent, complete bool, cached ident.Tokens) {
	p, w := r.pending[j], r.policy.w
	if p == nil {
		return
	}
	delete(r.pending, j)
	o := pick.Outcome{Prompt: j.Prompt, Cached: cached, Output: j.Output, Failed: !complete}
	if !p.firstTokenAt.IsZero() {
		o.TimeToFirstByte, o.DecodeTime = p.firstTokenAt.Sub(p.sentAt), w.now.Sub(p.firstTokenAt)
	}
	r.picker.RecordOutcome(w.now, a.engine.Name, o)
	w.after(callerLatency, func() { w.finish(j, complete) })
}

// disconnect withdraws the offers of a request whose client disconnected, or cancels its run.
func (r *router) disconnect(j *job) {
	p := r.pending[j]
	if p == nil {
		return
	}
	delete(r.pending, j)
	if a := p.agent; a != nil {
		r.picker.RecordWithdrawal(a.engine.Name, j.ID)
		r.policy.w.after(r.latencyTo(a), func() { a.handleCancel(j) })
		return
	}
	for _, a := range p.offered {
		r.withdraw(j, a)
	}
}

func (r *router) handleLoad(m *wire.Load) { r.picker.ApplyLoad(r.policy.w.now, m) }

func (r *router) latencyTo(a *agent) time.Duration {
	return r.policy.w.latency(r.region, a.engine.region)
}
