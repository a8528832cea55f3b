package sched_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/sched"
)

// idleSince holds the times since which a connection to each target is idle.
type idleSince map[ident.TargetID]time.Time

func (c idleSince) Idle(now time.Time, t ident.TargetID, maxIdle time.Duration) bool {
	since, ok := c[t]
	return ok && now.Sub(since) < maxIdle
}

// Load pattern: few requests a second per target. Guards against a new connection for each request although a target
// that is as good has one, and against a preference for connections that the request must not use.
func TestTargetWithUsableConnectionIsPreferred(t *testing.T) {
	g := NewWithT(t)
	placed := func(maxIdle time.Duration, c sched.Connections) ident.TargetID {
		p := pool(4, 8)
		p.UseConnections(c)
		j := job("a", 500, 0, 0)
		j.MaxIdle = maxIdle
		p.Add(j)
		l, _ := p.Schedule(at(500))
		g.Expect(l).To(HaveLen(1))
		return l[0].Target
	}
	first := placed(time.Minute, idleSince{})
	other := ident.TargetID("t3")
	g.Expect(first).NotTo(Equal(other))
	g.Expect(placed(time.Minute, idleSince{other: at(0)})).To(Equal(other))
	g.Expect(placed(200*time.Millisecond, idleSince{other: at(0)})).To(Equal(first))
	g.Expect(placed(0, idleSince{other: at(500)})).To(Equal(first))
}

// Guards against requests that pile up at the one target with connections, and against one that crosses data centres or
// waits behind a prompt for the sake of a connection.
func TestConnectionOutweighsNeitherLoadNorDistance(t *testing.T) {
	g := NewWithT(t)
	p := pool(4, 8)
	p.Put(sched.Target{ID: "far", Centre: "a2", Region: "a", Slots: 8}, true)
	p.UseConnections(idleSince{"t3": at(0), "far": at(0)})
	count := map[ident.TargetID]int{}
	for i := range 16 {
		j := job(fmt.Sprint("j", i), i, 0, 0)
		j.MaxIdle, j.Prompt = time.Minute, 500
		p.Add(j)
		l, _ := p.Schedule(at(i))
		g.Expect(l).To(HaveLen(1))
		count[l[0].Target]++
	}
	for i := range 4 {
		g.Expect(count[ident.TargetID(fmt.Sprint("t", i))]).To(BeNumerically("~", 4, 1), "%v", count)
	}
}
