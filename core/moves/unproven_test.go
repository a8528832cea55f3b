package moves_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/moves"
	"hickoryvane.example/core/wire"
)

// classEntry returns the evidence entry of an agent with n successes of a version on a class.
func classEntry(v ident.Version, c ident.Class, now time.Time, n int) wire.GossipEntry {
	r := moves.NewOutcomeCounter(v, c, start)
	for range n {
		r.Add(now, moves.Outcome{Route: "ask", TimeToFirstByte: 100 * time.Millisecond})
	}
	return wire.GossipEntry{Kind: "evidence", Key: string(v) + string(c), Value: r.EncodeEvidence()}
}

// Guards against a route that leaves the canary stage although the new version got no requests on a class with
// traffic, and against routers that do not learn that this class needs requests.
func TestUnprovenClassesHoldCanaryStage(t *testing.T) {
	g := NewWithT(t)
	now := start.Add(time.Minute)
	m := moves.New(rollout, []ident.Class{"fast", "slow"})
	m.Start(start)
	g.Expect(m.UnprovenClasses("ask")).To(ConsistOf(ident.Class("fast"), ident.Class("slow")))

	entries := []wire.GossipEntry{
		classEntry("v1", "fast", now, 1000), classEntry("v1", "slow", now, 20), classEntry("v2", "fast", now, 50),
		classEntry("v1", "none", now.Add(2*moves.EpochLen), 1), // starts a later epoch, so that the epoch of the others is finished
	}
	m.HandleEvidence(now.Add(2*moves.EpochLen), entries)
	g.Expect(m.Share("ask")).To(Equal(0.05))
	g.Expect(m.UnprovenClasses("ask")).To(ConsistOf(ident.Class("slow")))

	m.HandleEvidence(now.Add(2*moves.EpochLen), append(entries, classEntry("v2", "slow", now, 5)))
	g.Expect(m.Share("ask")).To(BeNumerically(">", 0.05))
}

// Guards against a rollout that waits for successes on a class on which the route has no traffic.
func TestClassesWithoutTrafficDoNotHoldRollout(t *testing.T) {
	g := NewWithT(t)
	now := start.Add(time.Minute)
	m := moves.New(rollout, []ident.Class{"fast", "slow"})
	m.Start(start)
	m.HandleEvidence(now.Add(2*moves.EpochLen), []wire.GossipEntry{
		classEntry("v1", "fast", now, 1000), classEntry("v2", "fast", now, 200),
		classEntry("v1", "fast", now.Add(2*moves.EpochLen), 1),
	})
	g.Expect(m.Share("ask")).To(BeNumerically(">", 0.05))
	g.Expect(m.UnprovenClasses("ask")).NotTo(ContainElement(ident.Class("slow")))
}
