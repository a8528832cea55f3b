package sched_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/prefix"
	"hickoryvane.example/core/sched"
)

// Guards against a target that asked for time or stated a rate, and gets requests as if it had not once its registration
// was removed and written again.
func TestStatementsOutliveTheRegistration(t *testing.T) {
	for name, c := range map[string]struct {
		before, after ident.Boot
		running, kept bool
	}{
		"same process":                {before: 7, after: 7, kept: true},
		"same process, with requests": {before: 7, after: 7, running: true, kept: true},
		"another process":             {before: 7, after: 8},
		"no boot":                     {},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := sched.New("r1", "a1", "a")
			put := func(b ident.Boot) {
				p.Put(sched.Target{ID: "t", Centre: "a1", Region: "a", Slots: 30, Start: prefix.Start{Boot: b}}, true)
			}
			put(c.before)
			p.Add(job("running", 0, 1, 0))
			placed, _ := p.Schedule(at(0))
			g.Expect(placed).To(HaveLen(1))
			p.StateRate(at(0), "t", true, 1)
			p.Pause(at(0), "t", 10*time.Second)
			if !c.running {
				p.Done(at(1), "t", placed[0].Job, sched.Outcome{})
			}
			p.Drain("t")
			put(c.after)
			g.Expect(p.Paused(at(2000)) == 1).To(Equal(c.kept))
			for i := range 20 {
				p.Add(job(fmt.Sprint(i), 12_000, 1, 0))
			}
			placed, _ = p.Schedule(at(12_001))
			if c.kept {
				g.Expect(len(placed)).To(BeNumerically("<=", 2), "a rate of one a second")
			} else {
				g.Expect(placed).To(HaveLen(20))
			}
		})
	}
}
