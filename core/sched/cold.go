package sched

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickoryvane.example/core/avail"
	"hickoryvane.example/core/ident"
)

// How many requests a cold target gets.
//
// Load pattern: all targets of a data centre come back together, empty, and are the first choice of every router; each
// of them crashes if it gets far more than a low rate for some seconds after its start. Counters of other routers are
// late by a report, or missing while a link is down, so the bound of every second cannot rest on them. Only a few
// routers, the same at all of them, send to a cold target, and each of them keeps to an equal share of the rate from a
// bucket of one request: in any second they send at most the rate and one request each, whoever hears whom.
//
// A target that may have restarted unnoticed is treated like a cold one until it answers a request that was sent before,
// which shows that it has not, or for a while.

const (
	// coldRateShare is the part of the rate that routers use. The rest is for requests that arrive closer together than
	// they were sent.
	coldRateShare = 0.9
	// coldSenderShare is the part of the bound beyond the rate that is given to routers, one request each. The rest is for
	// routers that do not know of all others yet.
	coldSenderShare = 0.8
	// suspectTime is the time for which a target counts as one that may have restarted, without the time for which it is
	// cold then: two of the longest back-off times, after which somebody has tried it again.
	suspectTime = 2 * backoffMax
	// aliveMargin is the time after a supposed restart from which an answer shows that there was none. Earlier ones may
	// have been sent before it.
	aliveMargin = 100 * time.Millisecond
	// shortestStart is the time within which, by assumption, no process of a target ends and another one accepts
	// connections. The check of a target that lost an answer begins after 10 ms and takes a round
	// trip, between regions some ten milliseconds.
	shortestStart = 100 * time.Millisecond
)

// ColdLimits state how long the targets of a service are cold after their start, and what they get meanwhile.
type ColdLimits struct {
	// Time is the time for which a target is cold; Rate is the number of requests a second that it gets from all routers.
	// Either is zero if the service states none; targets are not limited then.
	Time time.Duration
	Rate float64
	// Overage times Rate plus Slack bounds the requests that arrive at a target in any second.
	Overage, Slack float64
}

// senders returns the number of routers that send to a cold target of which the routers of this cell have a share.
func (l ColdLimits) senders(share float64) int {
	return max(int(coldSenderShare*((l.Overage-1)*l.Rate+l.Slack)*share), 1)
}

// coldState is what is known of a target that is cold or may be.
type coldState struct {
	source avail.Source
	// until is the end of the time for which the target is known to be cold, ownUntil the same without what other routers
	// report. Routers report only the latter, so that they do not extend it for each other.
	until, ownUntil time.Time
	// restartAt is the time of a supposed restart, and suspectUntil the end of the suspicion; ownSuspectUntil is its part
	// that other routers are told of. answered is true once a request that was sent later, at answeredAt, was answered.
	restartAt, answeredAt time.Time
	answered              bool
	// lostAt is the first lost answer of the suspicion; zero if there was another sign of a restart.
	lostAt time.Time
	// local is true if only this router's path to the target may be at fault, so that others are not told.
	local                         bool
	suspectUntil, ownSuspectUntil time.Time
	// level is the content of this router's bucket, in requests; rank is its position among the routers that send to the
	// target, as of rankedAt.
	level    float64
	filledAt time.Time
	rank     int
	rankedAt uint64
}

// Cold is what a router reports of a target that it knows to be cold, or to be restarted perhaps.
type Cold struct {
	Target ident.TargetID
	// Left is the time until the target is warm; zero if it is not known to be cold.
	Left time.Duration
	// RestartAge is the time since a supposed restart, RestartLeft the time until the suspicion ends; zero if there is
	// none.
	RestartAge, RestartLeft time.Duration
	// Answered is true if the target has answered since a request that was sent AnsweredAge ago.
	Answered    bool
	AnsweredAge time.Duration
}

// SetColdLimits sets the limits of cold targets. A service without a rate has none, and none of its targets counts as
// restarted unnoticed.
func (p *Pool) SetColdLimits(l ColdLimits) { p.coldLimits = l }

// SetRouters sets the other routers that may send to the same targets, also those from which nothing is received.
// complete is false while there may be more; this router sends nothing to cold targets then.
func (p *Pool) SetRouters(others []ident.ProcessID, complete bool) {
	others = slices.Clone(others)
	slices.Sort(others)
	if !slices.Equal(others, p.routers) {
		p.routers = others
		p.routersVersion++
	}
	p.routersComplete = complete
}

// MarkCold records that a target is cold for d from now, and reports whether that is new.
func (p *Pool) MarkCold(now time.Time, id ident.TargetID, d time.Duration, s avail.Source) bool {
	if d <= 0 {
		return false
	}
	c := p.coldOf(now, id)
	fresh := !now.Before(c.until)
	c.until, c.ownUntil = later(c.until, now.Add(d)), later(c.ownUntil, now.Add(d))
	c.source = s
	return fresh
}

// coldOf returns the state of a target that is cold from now on. Its bucket is empty if the target got a job from this
// router lately. It also is in the first second of a router: an earlier process of the same name may have used it.
func (p *Pool) coldOf(now time.Time, id ident.TargetID) *coldState {
	if c, ok := p.cold[id]; ok && c.limited(now) {
		return c
	}
	if p.firstCold.IsZero() {
		p.firstCold = now
	}
	c := &coldState{level: 1, filledAt: now}
	if t, ok := p.targets[id]; ok && t.placements.perSecond(now) > 0 || now.Sub(p.firstCold) < time.Second {
		c.level = 0
	}
	p.cold[id] = c
	return c
}

// limited reports whether the target is cold or may be.
func (c *coldState) limited(now time.Time) bool {
	return now.Before(c.until) || now.Before(c.suspectUntil)
}

// end returns the time from which the target is not limited.
func (c *coldState) end() time.Time { return later(c.until, c.suspectUntil) }

// limitedState returns the state of a target that is limited now, or nil.
func (p *Pool) limitedState(now time.Time, id ident.TargetID) *coldState {
	if len(p.cold) == 0 {
		return nil
	}
	c, ok := p.cold[id]
	if !ok || p.coldLimits.Rate <= 0 || !c.limited(now) {
		return nil
	}
	return c
}

// sign is what makes a target count as one that may have restarted.
type sign uint8

const (
	// signTimeout: no connection could be opened, for which the path may be the reason; others are not told.
	signTimeout sign = iota
	// signLost: a connection ended before the answer; others are told once the target answers again.
	signLost
	// signRefused: the host of the target refused a connection; others are told at once.
	signRefused
)

// suspectRestart records that a target may have restarted.
func (p *Pool) suspectRestart(now time.Time, t *target, s sign) {
	if p.coldLimits.Rate <= 0 || p.coldLimits.Time <= 0 {
		return
	}
	c := p.coldOf(now, t.ID)
	switch {
	case s != signLost:
		c.lostAt = time.Time{}
	case !now.Before(c.suspectUntil):
		c.lostAt = now
	}
	c.local = s == signTimeout && (c.local || !now.Before(c.suspectUntil))
	c.restartAt, c.answered, c.source = now, false, avail.FromConnection
	c.suspectUntil = now.Add(suspectTime + p.coldLimits.Time)
	if s == signRefused {
		c.ownSuspectUntil = c.suspectUntil
	}
}

// Accepted records that a target accepted a connection. Right after it lost an answer, that shows that the process is the
// same one.
func (p *Pool) Accepted(now time.Time, id ident.TargetID) {
	c := p.limitedState(now, id)
	if c == nil || c.answered || now.Before(c.ownSuspectUntil) {
		return
	}
	if now.Sub(c.lostAt) < shortestStart {
		c.suspectUntil = time.Time{}
	}
}

// recordAnswer records that the target answered a request that was sent at the given time.
func (p *Pool) recordAnswer(now time.Time, t *target, sent time.Time) {
	if now.After(t.aliveTo) {
		t.aliveFrom, t.aliveTo = sent, now
	}
	c := p.limitedState(now, t.ID)
	switch {
	case c == nil || !now.Before(c.suspectUntil):
	case t.aliveAt(c.restartAt):
		c.suspectUntil, c.ownSuspectUntil = time.Time{}, time.Time{}
	case !c.answered && sent.After(c.restartAt):
		c.answered, c.answeredAt = true, sent
		c.suspectUntil = now.Add(p.coldLimits.Time)
		if !c.local {
			c.ownSuspectUntil = c.suspectUntil
		}
	}
}

// aliveAt reports whether an answer shows that the target did not restart at the given time.
func (t *target) aliveAt(at time.Time) bool {
	return t.aliveFrom.Before(at) && t.aliveTo.Sub(at) >= aliveMargin
}

// coldShare returns the requests a second that this router may send to a cold target.
func (p *Pool) coldShare(t *target, c *coldState) float64 {
	if !p.routersComplete {
		return 0
	}
	if c.rankedAt != p.routersVersion+1 {
		c.rank, c.rankedAt = 0, p.routersVersion+1
		own := senderHash(p.self, t.ID)
		for _, id := range p.routers {
			if senderHash(id, t.ID) < own {
				c.rank++
			}
		}
	}
	n := min(p.coldLimits.senders(t.rateShare()), len(p.routers)+1)
	if c.rank >= n {
		return 0
	}
	return coldRateShare * min(p.coldLimits.Overage, 1) * p.coldLimits.Rate * t.rateShare() / float64(n)
}

// senderHash orders the routers that may send to a target, alike at all of them.
func senderHash(id ident.ProcessID, t ident.TargetID) uint64 {
	return xxhash.Sum64String(string(t) + "/" + string(id))
}

// withinCold reports whether a target may get a job from this router as far as it is cold.
func (p *Pool) withinCold(now time.Time, t *target) bool {
	c := p.limitedState(now, t.ID)
	if c == nil {
		return true
	}
	p.fillCold(now, t, c)
	return c.level >= 1
}

// fillCold fills the bucket of a cold target up to now.
func (p *Pool) fillCold(now time.Time, t *target, c *coldState) {
	if d := now.Sub(c.filledAt); d > 0 {
		c.level, c.filledAt = min(c.level+p.coldShare(t, c)*d.Seconds(), 1), now
	}
	if p.coldShare(t, c) == 0 {
		c.level = 0
	}
}

// closedByCold reports whether a target gets no jobs from this router until it is warm.
func (p *Pool) closedByCold(now time.Time, t *target) bool {
	c := p.limitedState(now, t.ID)
	return c != nil && p.coldShare(t, c) == 0
}

// countCold takes a request from the bucket of a cold target.
func (p *Pool) countCold(now time.Time, t *target) {
	if c := p.limitedState(now, t.ID); c != nil {
		p.fillCold(now, t, c)
		c.level--
	}
}

// coldReports returns what other routers are told of cold targets.
func (p *Pool) coldReports(now time.Time) (out []Cold) {
	if p.coldLimits.Rate <= 0 {
		return nil
	}
	for id, c := range p.cold {
		m := Cold{Target: id, Left: max(c.ownUntil.Sub(now), 0)}
		if left := c.ownSuspectUntil.Sub(now); left > 0 {
			m.RestartAge, m.RestartLeft = now.Sub(c.restartAt), left
			if m.Answered = c.answered; m.Answered {
				m.AnsweredAge = now.Sub(c.answeredAt)
			}
		}
		if m.Left > 0 || m.RestartLeft > 0 {
			out = append(out, m)
		}
	}
	return out
}

// mergeCold applies what another router reports of cold targets.
func (p *Pool) mergeCold(now time.Time, reports []Cold) {
	if p.coldLimits.Rate <= 0 {
		return
	}
	for _, m := range reports {
		t, ok := p.targets[m.Target]
		if !ok {
			continue
		}
		if m.Left > 0 {
			c := p.coldOf(now, m.Target)
			c.until = later(c.until, now.Add(m.Left))
			c.source = sourceOr(c.source)
		}
		if at := now.Add(-m.RestartAge); m.RestartLeft > 0 && !t.aliveAt(at) {
			c := p.coldOf(now, m.Target)
			c.mergeSuspicion(now, at, m)
			c.source = sourceOr(c.source)
		}
	}
}

// mergeSuspicion applies that another router supposes a restart at a time. Once any router has an answer, the target is
// warm after the time that follows that answer, also where nothing was sent to it since.
func (c *coldState) mergeSuspicion(now, at time.Time, m Cold) {
	left, active := now.Add(m.RestartLeft), now.Before(c.suspectUntil)
	switch answeredAt := now.Add(-m.AnsweredAge); {
	case !active:
		c.restartAt, c.answered, c.answeredAt, c.suspectUntil = at, m.Answered, answeredAt, left
	case m.Answered && !c.answered && c.restartAt.Before(answeredAt):
		c.answered, c.answeredAt, c.suspectUntil = true, answeredAt, left
		if left.Before(c.ownSuspectUntil) {
			c.ownSuspectUntil = left
		}
	case !m.Answered && c.answered && at.Before(c.answeredAt):
	case !m.Answered && c.answered:
		c.restartAt, c.answered, c.suspectUntil = at, false, left
	default:
		c.suspectUntil = later(c.suspectUntil, left)
		if !m.Answered && !c.answered {
			c.restartAt = later(c.restartAt, at)
		}
	}
}

// sourceOr returns the source of a state that another router reports, too.
func sourceOr(s avail.Source) avail.Source {
	if s == "" {
		return avail.FromPeer
	}
	return s
}

// expireCold forgets the targets that are warm.
func (p *Pool) expireCold(now time.Time) {
	for id, c := range p.cold {
		if !c.limited(now) {
			delete(p.cold, id)
		}
	}
}
