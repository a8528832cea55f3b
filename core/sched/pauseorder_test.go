package sched_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/sched"
)

// Guards against a job at a target that asked for time, in any order of requests for time, restarts, registrations that are
// written again or missing, jobs for canary targets and jobs that leave a silent target.
func TestPausedTargetGetsNoJobInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := pool(3, 2)
		until := map[ident.TargetID]time.Time{}
		var running []sched.Placement
		now := at(0)
		check := func(d sched.Placement) {
			if now.Before(until[d.Target]) {
				t.Fatalf("%s got a job %v before the end of its time", d.Target, until[d.Target].Sub(now))
			}
			running = append(running, d)
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = at(i * 100)
			id := ident.TargetID(fmt.Sprint("t", rapid.IntRange(0, 2).Draw(t, "target")))
			known := sched.Target{ID: id, Centre: "a1", Region: "a", Slots: 2, CanaryOnly: rapid.IntRange(0, 5).Draw(t, "canary") == 0}
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				d := time.Duration(rapid.IntRange(1, 3000).Draw(t, "asked")) * time.Millisecond
				if end := now.Add(d); end.After(until[id]) {
					until[id] = end
				}
				p.Pause(now, id, d)
			case 1: // another process of the target
				delete(until, id)
				p.Put(known, true)
			case 2:
				p.Put(known, false)
				p.Update(known)
			case 3:
				p.MarkMissing(id)
			case 4:
				p.MarkDown(now, id)
			case 5:
				for _, d := range running {
					if other, ok := p.PlaceElsewhere(now, d.Job, d.Target); ok {
						check(other)
					}
				}
			case 6:
				for _, d := range running {
					p.Done(now, d.Target, d.Job, sched.Outcome{Complete: true})
				}
				running = nil
			}
			j := job(fmt.Sprint(i), i*100, 1, 0)
			j.Canary = rapid.Bool().Draw(t, "trial")
			p.Add(j)
			placed, _ := p.Schedule(now)
			for _, d := range placed {
				check(d)
			}
		}
	})
}
