package moves_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/moves"
	"hickoryvane.example/core/wire"
)

// classFact returns the evidence of an agent with n good outcomes of a version on a class.
func classEntry(v ident.Version, c ident.Class, now time.Time, n int) wire.GossipEntry {
	r := moves.NewOutcomeCounter(v, c, start)
	for range n {
		r.Add(now, moves.Outcome{Route: "ask", TimeToFirstByte: 100 * time.Millisecond})
	}
	return wire.GossipEntry{Kind: "evidence", Key: string(v) + string(c), Value: r.EncodeEvidence()}
}

// Guards against a move that leaves its first stage although the new version was not tried on a class with
// traffic, and against a class of which routers are not told that it needs requests.
func TestUnprovenClassesHoldCanaryStage(t *testing.T) {
	g := NewWithT(t)
	now := start.Add(time.Minute)
	m := moves.New(rollout, []ident.Class{"fast", "slow"})
	m.Start(start)
	g.Expect(m.UnprovenClasses("ask")).To(ConsistOf(ident.Class("fast"), ident.Class("slow")))

	fs := []wire.GossipEntry{
		classEntry("v1", "fast", now, 1000), classEntry("v1", "slow", now, 20), classEntry("v2", "fast", now, 50),
		classEntry("v1", "none", now.Add(2*moves.EpochLen), 1), // closes the epoch of the others
	}
	m.HandleEvidence(now.Add(2*moves.EpochLen), fs)
	g.Expect(m.Share("ask")).To(Equal(0.05))
	g.Expect(m.UnprovenClasses("ask")).To(ConsistOf(ident.Class("slow")))

	m.HandleEvidence(now.Add(2*moves.EpochLen), append(fs, classEntry("v2", "slow", now, 5)))
	g.Expect(m.Share("ask")).To(BeNumerically(">", 0.05))
}

// Guards against a move that waits for a class on which the route has no traffic.
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
