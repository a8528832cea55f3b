package sched

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"hickoryvane.example/core/ident"
)

// reportKeep is the time for which the report of a silent router counts. The connections of a router that
// died end within it; one that is only cut off has ended or begun other requests by then. Where reports come
// more rarely, it is reportsKept intervals between them.
const (
	reportExpiry          = 2 * time.Second
	reportExpiryIntervals = 3
)

// Load is what one router has at a target.
type Load struct {
	Target ident.TargetID
	// Running is the number of its jobs there; Unread is the prompt text of those without a first event.
	Running       int
	PendingPrompt ident.Tokens
}

// Report is the state of one router for the others.
type Report struct {
	Router ident.ProcessID
	Region ident.Region
	// Demand is the mean number of jobs that ran or waited; Waiting is the number that waits.
	Demand  float64
	Waiting int
	// Loads leaves out targets at which nothing runs.
	Loads []Load
}

type report struct {
	Report
	receivedAt time.Time
	// hash is the place of the router in divisions.
	hash  uint64
	loads map[ident.TargetID]Load
}

// Report returns the state of this router.
func (p *Pool) Report(now time.Time) Report {
	p.updateDemand(now)
	r := Report{Router: p.self, Region: p.region, Demand: p.demand, Waiting: len(p.waiting)}
	for _, t := range p.sorted {
		if len(t.runs) > 0 {
			r.Loads = append(r.Loads, Load{Target: t.ID, Running: len(t.runs), PendingPrompt: t.pendingPrompt})
		}
	}
	return r
}

// downTold is the time for which other routers are told that a target was found down; each of them then
// leaves it alone for as long.
const downReportTime = 400 * time.Millisecond

// Down returns the targets that this router found down a short time ago.
func (p *Pool) RecentlyDown(now time.Time) (out []ident.TargetID) {
	for _, t := range p.sorted {
		if !t.downAt.IsZero() && now.Sub(t.downAt) < downReportTime {
			out = append(out, t.ID)
		}
	}
	return out
}

// FoundDown takes in that another router found a target down.
func (p *Pool) PeerFoundDown(now time.Time, id ident.TargetID) {
	if t, ok := p.targets[id]; ok {
		t.backoffUntil = later(t.backoffUntil, now.Add(downReportTime))
	}
}

// Merge takes in the report of another router.
func (p *Pool) Merge(now time.Time, r Report) {
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
		}
	}
	p.peers[r.Router] = report{Report: r, receivedAt: now, hash: hash, loads: loads}
	p.ExpireReports(now)
}

// forget drops the report of a router, and returns its place in divisions.
func (p *Pool) removeReport(id ident.ProcessID) (hash uint64) {
	r, ok := p.peers[id]
	if !ok {
		return 0
	}
	for _, l := range r.loads {
		if t, ok := p.targets[l.Target]; ok {
			t.peerJobs -= l.Running
			t.peerPendingPrompt -= l.PendingPrompt
		}
	}
	delete(p.peers, id)
	return r.hash
}

// Expire drops the reports of silent routers.
func (p *Pool) ExpireReports(now time.Time) {
	keep := max(reportExpiry, reportExpiryIntervals*p.reportInterval)
	p.waitingRouters = 1
	for id, r := range p.peers {
		switch {
		case now.Sub(r.receivedAt) >= keep:
			p.removeReport(id)
		case r.Waiting > 0:
			p.waitingRouters++
		}
	}
	p.updateDemand(now)
	p.divideSlots(now)
}

// count adds up the reports for a target that is new here.
func (p *Pool) sumPeerLoads(t *target) {
	t.peerJobs, t.peerPendingPrompt = 0, 0
	for _, r := range p.peers {
		l := r.loads[t.ID]
		t.peerJobs += l.Running
		t.peerPendingPrompt += l.PendingPrompt
	}
}
