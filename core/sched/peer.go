package sched

import (
	"time"

	"hickoryvane.example/core/ident"
)

// reportKeep is the time for which the report of a silent router counts. The connections of a router that
// died end within it; one that is only cut off has ended or begun other requests by then.
const reportKeep = 2 * time.Second

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
	at      time.Time
	running map[ident.TargetID]int
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
	running := make(map[ident.TargetID]int, len(r.Loads))
	for _, l := range r.Loads {
		running[l.Target] = l.Running
	}
	p.peers[r.From] = report{Report: r, at: now, running: running}
	p.Expire(now)
}

// Expire drops the reports of silent routers.
func (p *Pool) Expire(now time.Time) {
	for id, r := range p.peers {
		if now.Sub(r.at) >= reportKeep {
			delete(p.peers, id)
		}
	}
	p.average(now)
	p.count()
	p.divide(now)
}

// count adds up the reports per target.
func (p *Pool) count() {
	for _, t := range p.order {
		t.others, t.othersUnread = 0, 0
	}
	p.eager = 1
	for _, r := range p.peers {
		if r.Waiting > 0 {
			p.eager++
		}
		for _, l := range r.Loads {
			if t, ok := p.targets[l.Target]; ok {
				t.others += l.Running
				t.othersUnread += l.Unread
			}
		}
	}
}
