package direct

import (
	"time"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/moves"
	"hickoryvane.example/core/wire"
)

// assignCanary chooses the version for a request, and reports whether the request goes to canary targets.
func (r *Router) assignCanary(c *call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.rollouts[c.service]
	if !ok || m.State() != moves.Running {
		return false
	}
	duration, _ := r.pool(c.service).ExpectedDuration(c.job)
	canary := m.AssignCanary(time.Now(), r.routerCount(time.Now()), c.route.Name, duration)
	if canary {
		c.job.Prefer = r.unsampledTargets(time.Now(), m)
	}
	return canary
}

// sampledTargetsMin is the number of targets of a version whose speeds should be known before requests gather on few of
// them, to have the load that the others have.
const sampledTargetsMin = 8

// unsampledTargets returns the warm targets of the new version whose speed is not known, while it is known of fewer than
// sampledTargetsMin; r.mu is held.
func (r *Router) unsampledTargets(now time.Time, m *rollout) (out []ident.TargetID) {
	sampled := 0
	for id, warmAt := range m.warmAt {
		switch t, ok := r.targets[id]; {
		case !ok || t.Leaving || now.Before(warmAt):
		case m.Sampled(id):
			sampled++
		default:
			out = append(out, id)
		}
	}
	if sampled >= sampledTargetsMin {
		return nil
	}
	return out
}

// undoAssign reverts assignCanary for a request that was refused before it was sent to any target.
func (r *Router) undoAssign(c *call, canary bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m, ok := r.rollouts[c.service]; ok && m.State() == moves.Running {
		m.UndoAssign(c.route.Name, canary)
	}
}

// recordEvidence counts the result of an attempt as evidence on the version of its target. The time to the first
// event does not count while the target is still warming up.
func (r *Router) recordEvidence(c *call, a *attempt) {
	if a.result == notRun || a.result == abandoned {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.rollouts[c.service]
	if !ok {
		return
	}
	now := time.Now()
	outcome := moves.RouterOutcome{Route: c.route.Name, Version: a.target.Version, Target: a.target.ID, Failed: a.result == targetFailed, AnswerLost: a.result == answerLost, TimeToFirstEvent: a.timeToFirstEvent}
	if a.answer != nil && a.answer.status >= 500 {
		outcome.Failed = true
	}
	if a.events >= gapEventsMin {
		outcome.EventGap = a.outcome.Gap
	}
	if a.sent.Before(m.warmAt[a.target.ID]) {
		outcome.EventGap = 0
	}
	if now.Before(m.warmAt[a.target.ID]) {
		outcome.TimeToFirstEvent = 0
	}
	m.Add(now, outcome)
}

const (
	// gapEventsMin is the least number of events of an answer whose speed counts as evidence.
	gapEventsMin = 3
	// verdictReportTime is the time after the end of a rollout for which the verdict on its version is reported.
	// It covers some lost heartbeats at the longest interval between two of them.
	verdictReportTime = 5 * time.Second
	// rolloutAgeTolerance is the difference between the ages of a rollout at two routers up to which they mean the
	// same request. An operator who repeats a request waits for the end of the first one.
	rolloutAgeTolerance = time.Second
)

// rolloutReports returns the running rollouts, and those that ended recently with a verdict, for a heartbeat; r.mu
// is held.
func (r *Router) rolloutReports(now time.Time) (out []wire.HeartbeatRollout) {
	for s, m := range r.rollouts {
		req, v := m.Request(), m.Verdict()
		report := wire.HeartbeatRollout{Service: s, Version: req.To, DurationMillis: req.Duration.Milliseconds(), AgeMillis: m.Age(now).Milliseconds()}
		if v != nil {
			report.BadReason = string(v.Reason)
		}
		if m.State() == moves.Running {
			report.Evidence = m.EncodeOutcomes()
			for _, g := range m.CanaryGaps() {
				report.Gaps = append(report.Gaps, wire.HeartbeatGap{Target: wire.KeyOf(g.Target), MeanLog: float32(g.MeanLog), Answers: g.N})
			}
		} else if report.Ended = true; v == nil || m.withdrawn || now.Sub(m.endedAt) >= verdictReportTime {
			continue
		}
		out = append(out, report)
	}
	return out
}

// mergeRollouts applies the rollouts that another router reports; r.mu is held.
func (r *Router) mergeRollouts(now time.Time, b *wire.Heartbeat) {
	for _, report := range b.Rollouts {
		req := moves.Request{Service: report.Service, To: report.Version, Duration: time.Duration(report.DurationMillis) * time.Millisecond}
		age := time.Duration(report.AgeMillis) * time.Millisecond
		m, ok := r.rollouts[report.Service]
		if report.Ended {
			if ok && m.Request() == req && (m.Age(now)-age).Abs() < rolloutAgeTolerance {
				m.SetVerdict(moves.Verdict{Reason: moves.Reason(report.BadReason), JudgedAt: now})
			}
			continue
		}
		// A router that started after a restore of the store may take one that is done for a new one.
		if !ok && age < req.Duration && r.finished[report.Service].request != req {
			m, ok = r.startRollout(now, req, string(b.Process)), true
			r.updatePool(report.Service)
		}
		if !ok || m.Request() != req || m.State() != moves.Running {
			continue
		}
		m.MergeAge(now, age)
		if err := m.SetPeerOutcomes(b.Process, b.Boot, report.Evidence); err != nil {
			r.log.Log(event.MalformedFrame, "peer", b.Process, "error", err)
		}
		var gaps []moves.GapSample
		for _, g := range report.Gaps {
			if id := r.targetKeys[g.Target]; id != "" {
				gaps = append(gaps, moves.GapSample{Target: id, MeanLog: float64(g.MeanLog), N: g.Answers})
			}
		}
		m.SetPeerGaps(b.Process, b.Boot, gaps)
		if report.BadReason != "" {
			m.SetVerdict(moves.Verdict{Reason: moves.Reason(report.BadReason), JudgedAt: now})
		}
	}
}
