package node_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/agent/target"
	"hickoryvane.example/core/active"
	"hickoryvane.example/core/facts"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/member"
	"hickoryvane.example/core/wire"
)

// listed gives the agent the platform's list of VMs as a router spreads it.
func (b *bench) listed(at int64, leaving bool) {
	l := active.List{At: at, List: []member.Entry{{VM: self, Address: "127.0.0.1:1", Role: member.Agent, Centre: "west-a", Leaving: leaving}}}
	b.deliver(1, &wire.Gossip{Entries: []wire.GossipEntry{facts.NewRankedEntry(active.SortList, "west", "r1", uint64(at), l.Encode())}})
}

// Guards against new work for a target whose VM is leaving, and against an older list that takes that back.
func TestLeavingTargetTakesNoNewWork(t *testing.T) {
	b := newBench(t)
	b.listed(2, true)
	b.listed(1, false)
	b.offer(1, "q1")
	refused := find[*wire.Refuse](b, 1)
	b.g.Expect(refused).To(HaveLen(1))
	b.g.Expect(refused[0].Reason).To(Equal(fault.Draining))
	b.g.Expect(refused[0].Run).To(Equal(fault.NotRun))
	b.g.Expect(b.starts()).To(BeEmpty())
}

// Guards against a request in flight that is cut because its VM is leaving.
func TestLeavingTargetEndsWhatRuns(t *testing.T) {
	b := newBench(t)
	b.run(1, "q1")
	b.listed(2, true)
	b.c.Part(b.now, "q1", target.Part{Status: 200, Data: []byte("a"), Tokens: 1})
	b.c.Ended(b.now, "q1", target.Outcome{Whole: true, Run: fault.Ran})
	b.take()
	b.g.Expect(find[*wire.Chunk](b, 1)).To(HaveLen(1))
	b.g.Expect(find[*wire.End](b, 1)).To(HaveLen(1))
	b.g.Expect(find[*wire.End](b, 1)[0].Complete).To(BeTrue())
}
