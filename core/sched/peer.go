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

type report struct {
	at    time.Time
	loads []Load
}

// Loads returns what this router has at the targets, without targets that have nothing.
func (p *Pool) Loads() (out []Load) {
	for _, t := range p.order {
		if len(t.runs) > 0 {
			out = append(out, Load{Target: t.ID, Running: len(t.runs), Unread: t.unread})
		}
	}
	return out
}

// Merge takes in the report of another router.
func (p *Pool) Merge(now time.Time, from ident.ProcessID, loads []Load) {
	p.peers[from] = report{at: now, loads: loads}
	p.Expire(now)
}

// Expire drops the reports of silent routers.
func (p *Pool) Expire(now time.Time) {
	for id, r := range p.peers {
		if now.Sub(r.at) >= reportKeep {
			delete(p.peers, id)
		}
	}
	p.count()
}

// count adds up the reports per target.
func (p *Pool) count() {
	for _, t := range p.order {
		t.others, t.othersUnread = 0, 0
	}
	for _, r := range p.peers {
		for _, l := range r.loads {
			if t, ok := p.targets[l.Target]; ok {
				t.others += l.Running
				t.othersUnread += l.Unread
			}
		}
	}
}
