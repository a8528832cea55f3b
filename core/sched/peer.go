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
	reportKeep  = 2 * time.Second
	reportsKept = 3
)

// Load is what one router has at a target.
type Load struct {
	Target ident.TargetID
	// Running is the number of its jobs there; Unread is the prompt text of those without a first event.
	Running int
	Unread  ident.Tokens
}

// Report is the state of one router for the others.
type Report struct {
	From   ident.ProcessID
	Region ident.Region
	// Demand is the mean number of jobs that ran or waited; Waiting is the number that waits.
	Demand  float64
	Waiting int
	// Loads leaves out targets at which nothing runs.
	Loads []Load
}

type report struct {
	Report
	at time.Time
	// hash is the place of the router in divisions.
	hash  uint64
	loads map[ident.TargetID]Load
}

// Report returns the state of this router.
func (p *Pool) Report(now time.Time) Report {
	p.average(now)
	r := Report{From: p.self, Region: p.region, Demand: p.demand, Waiting: len(p.waiting)}
	for _, t := range p.order {
		if len(t.runs) > 0 {
			r.Loads = append(r.Loads, Load{Target: t.ID, Running: len(t.runs), Unread: t.unread})
		}
	}
	return r
}

// downTold is the time for which other routers are told that a target was found down; each of them then
// leaves it alone for as long.
const downTold = 400 * time.Millisecond

// Down returns the targets that this router found down a short time ago.
func (p *Pool) Down(now time.Time) (out []ident.TargetID) {
	for _, t := range p.order {
		if !t.downAt.IsZero() && now.Sub(t.downAt) < downTold {
			out = append(out, t.ID)
		}
	}
	return out
}

// FoundDown takes in that another router found a target down.
func (p *Pool) FoundDown(now time.Time, id ident.TargetID) {
	if t, ok := p.targets[id]; ok {
		t.rest = later(t.rest, now.Add(downTold))
	}
}

// Merge takes in the report of another router.
func (p *Pool) Merge(now time.Time, r Report) {
	hash := p.forget(r.From)
	if hash == 0 {
		hash = xxhash.Sum64String(string(r.From))
	}
	loads := make(map[ident.TargetID]Load, len(r.Loads))
	for _, l := range r.Loads {
		loads[l.Target] = l
		if t, ok := p.targets[l.Target]; ok {
			t.others += l.Running
			t.othersUnread += l.Unread
		}
	}
	p.peers[r.From] = report{Report: r, at: now, hash: hash, loads: loads}
	p.Expire(now)
}

// forget drops the report of a router, and returns its place in divisions.
func (p *Pool) forget(id ident.ProcessID) (hash uint64) {
	r, ok := p.peers[id]
	if !ok {
		return 0
	}
	for _, l := range r.loads {
		if t, ok := p.targets[l.Target]; ok {
			t.others -= l.Running
			t.othersUnread -= l.Unread
		}
	}
	delete(p.peers, id)
	return r.hash
}

// Expire drops the reports of silent routers.
func (p *Pool) Expire(now time.Time) {
	keep := max(reportKeep, reportsKept*p.lag)
	p.eager = 1
	for id, r := range p.peers {
		switch {
		case now.Sub(r.at) >= keep:
			p.forget(id)
		case r.Waiting > 0:
			p.eager++
		}
	}
	p.average(now)
	p.divide(now)
}

// count adds up the reports for a target that is new here.
func (p *Pool) count(t *target) {
	t.others, t.othersUnread = 0, 0
	for _, r := range p.peers {
		l := r.loads[t.ID]
		t.others += l.Running
		t.othersUnread += l.Unread
	}
}
