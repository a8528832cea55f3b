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
func (b *harness) sendVMList(at int64, leaving bool) {
	l := active.VMList{ReadAtMillis: at, VMs: []member.Entry{{VM: self, Address: "127.0.0.1:1", Role: member.Agent, Centre: "west-a", Leaving: leaving}}}
	b.deliver(1, &wire.Gossip{Entries: []wire.GossipEntry{facts.NewRankedEntry(active.KindVMList, "west", "r1", uint64(at), l.Encode())}})
}

// Guards against new work for a target whose VM is leaving, and against an older list that takes that back.
func TestLeavingTargetRefusesOffers(t *testing.T) {
	b := newHarness(t)
	b.sendVMList(2, true)
	b.sendVMList(1, false)
	b.offer(1, "q1")
	refused := received[*wire.Refuse](b, 1)
	b.g.Expect(refused).To(HaveLen(1))
	b.g.Expect(refused[0].Reason).To(Equal(fault.Draining))
	b.g.Expect(refused[0].Run).To(Equal(fault.NotRun))
	b.g.Expect(b.startedIDs()).To(BeEmpty())
}

// Guards against a request in flight that is cut because its VM is leaving.
func TestLeavingTargetFinishesRunningRequests(t *testing.T) {
	b := newHarness(t)
	b.dispatch(1, "q1")
	b.sendVMList(2, true)
	b.c.HandlePart(b.now, "q1", target.Part{Status: 200, Data: []byte("a"), Tokens: 1})
	b.c.HandleEnd(b.now, "q1", target.Outcome{Complete: true, Run: fault.Ran})
	b.collect()
	b.g.Expect(received[*wire.Chunk](b, 1)).To(HaveLen(1))
	b.g.Expect(received[*wire.End](b, 1)).To(HaveLen(1))
	b.g.Expect(received[*wire.End](b, 1)[0].Complete).To(BeTrue())
}
