package sched

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/prefix"
)

// reportExpiry is the age at which the report of a silent router expires. The connections of a crashed router
// end within that time; a router that is only partitioned has ended its requests or started others by then. If
// the report interval is long, reports expire after reportExpiryIntervals of them.
const (
	reportExpiry          = 2 * time.Second
	reportExpiryIntervals = 3
)

// Load is the number of jobs and the pending prompt of one router at a target.
type Load struct {
	Target ident.TargetID
	// Running is the number of the router's jobs at the target; PendingPrompt is the total prompt length of
	// those without a first event.
	Running       int
	PendingPrompt ident.Tokens
	// Held is the memory that the router's jobs take there.
	Held ident.Tokens
	// EventGap is the time between events that the router has measured at the target; zero if it has not.
	EventGap time.Duration
}

// Report is the state of one router as published to the others.
type Report struct {
	Router ident.ProcessID
	Region ident.Region
	// Demand is the mean number of running and waiting jobs; Waiting is the current number of waiting jobs, and Urgent
	// the number of those that can still be on time.
	Demand          float64
	Waiting, Urgent int
	// Loads omits targets without running jobs.
	Loads []Load
	// Rates are those of targets that state one. A report may omit those that have not changed lately.
	Rates []Rate
	// Prefixes is empty in most reports.
	Prefixes prefix.Report
	// Cold are the targets that the router knows to be cold.
	Cold []Cold
}

// report is the last report received from another router.
type report struct {
	Report
	receivedAt time.Time
	// hash orders the routers in the division of slots.
	hash  uint64
	loads map[ident.TargetID]Load
}

// Report returns the state of this router.
func (p *Pool) Report(now time.Time) Report {
	p.updateDemand(now)
	r := Report{Router: p.self, Region: p.region, Demand: p.demand, Waiting: len(p.waiting), Urgent: p.urgent(now), Rates: p.rates(now), Cold: p.coldReports(now)}
	for _, t := range p.sorted {
		if len(t.runs) > 0 {
			l := Load{Target: t.ID, Running: len(t.runs), PendingPrompt: t.pendingPrompt, Held: t.held}
			if t.observed {
				l.EventGap = t.eventGap
			}
			r.Loads = append(r.Loads, l)
		}
	}
	return r
}

// RequestsWait reports whether jobs wait here, or did at another router when it last reported.
func (p *Pool) RequestsWait() bool { return len(p.waiting) > 0 || p.waitingRouters > 1 }

// downReportTime is the time for which a target that was found down is reported to other routers, and the time
// for which they then place no jobs on it.
const downReportTime = 400 * time.Millisecond

// RecentlyDown returns the targets that this router found down within downReportTime.
func (p *Pool) RecentlyDown(now time.Time) (out []ident.TargetID) {
	for _, t := range p.sorted {
		if !t.downAt.IsZero() && now.Sub(t.downAt) < downReportTime {
			out = append(out, t.ID)
		}
	}
	return out
}

// PeerFoundDown records that another router found a target down.
func (p *Pool) PeerFoundDown(now time.Time, id ident.TargetID) {
	if t, ok := p.targets[id]; ok {
		t.backoffUntil, t.foundDownByAny = later(t.backoffUntil, now.Add(downReportTime)), true
		p.prefixes.Lose(id)
	}
}

// MergeReport stores the report of another router in place of its previous one.
func (p *Pool) MergeReport(now time.Time, r Report) {
	hash := p.removeReport(r.Router)
	if hash == 0 {
		hash = xxhash.Sum64String(string(r.Router))
	}
	loads := make(map[ident.TargetID]Load, len(r.Loads))
	for _, l := range r.Loads {
		loads[l.Target] = l
		if t, ok := p.targets[l.Target]; ok {
			t.peerJobs += l.Running
			t.peerPendingPrompt += l.PendingPrompt
			t.peerHeld += l.Held
			if l.EventGap > 0 && !t.observed {
				t.eventGap = l.EventGap
			}
		}
	}
	p.addSharer(r.Router)
	p.mergeRates(now, r.Router, r.Rates)
	p.prefixes.Merge(r.Router, r.Prefixes)
	p.mergeCold(now, r.Cold)
	p.peers[r.Router] = report{Report: r, receivedAt: now, hash: hash, loads: loads}
	p.ExpireReports(now)
}

// removeReport deletes the report of a router and returns the router's hash; 0 if there was no report.
func (p *Pool) removeReport(id ident.ProcessID) (hash uint64) {
	r, ok := p.peers[id]
	if !ok {
		return 0
	}
	for _, l := range r.loads {
		if t, ok := p.targets[l.Target]; ok {
			t.peerJobs -= l.Running
			t.peerPendingPrompt -= l.PendingPrompt
			t.peerHeld -= l.Held
		}
	}
	delete(p.peers, id)
	return r.hash
}

// ExpireReports deletes the reports of silent routers, and updates this router's demand and its shares of the slots.
func (p *Pool) ExpireReports(now time.Time) {
	expiry := max(reportExpiry, reportExpiryIntervals*p.reportInterval)
	p.waitingRouters = 1
	for id, r := range p.peers {
		switch {
		case now.Sub(r.receivedAt) >= expiry:
			p.removeReport(id)
			p.prefixes.RemoveRouter(id)
		case r.Waiting > 0:
			p.waitingRouters++
		}
	}
	p.expireCold(now)
	p.updateDemand(now)
	p.divideSlots(now)
}

// sumPeerLoads sums the reported loads of a target that is new in this pool.
func (p *Pool) sumPeerLoads(t *target) {
	t.peerJobs, t.peerPendingPrompt, t.peerHeld = 0, 0, 0
	for _, r := range p.peers {
		l := r.loads[t.ID]
		t.peerJobs += l.Running
		t.peerPendingPrompt += l.PendingPrompt
		t.peerHeld += l.Held
	}
}
