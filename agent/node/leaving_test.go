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

// sendVMList sends the agent the platform's list of VMs, as a router publishes it.
func (h *harness) sendVMList(at int64, leaving bool) {
	l := active.VMList{ReadAtMillis: at, VMs: []member.Entry{{VM: self, Address: "127.0.0.1:1", Role: member.Agent, Centre: "west-a", Leaving: leaving}}}
	h.deliver(1, &wire.Gossip{Entries: []wire.GossipEntry{facts.NewRankedEntry(active.KindVMList, "west", "r1", uint64(at), l.Encode())}})
}

// Guards against requests that are accepted for a target whose VM is leaving, also after an older list without that
// state has arrived.
func TestLeavingTargetRefusesOffers(t *testing.T) {
	h := newHarness(t)
	h.sendVMList(2, true)
	h.sendVMList(1, false)
	h.offer(1, "q1")
	refused := received[*wire.Refuse](h, 1)
	h.g.Expect(refused).To(HaveLen(1))
	h.g.Expect(refused[0].Reason).To(Equal(fault.Draining))
	h.g.Expect(refused[0].Run).To(Equal(fault.NotRun))
	h.g.Expect(h.startedIDs()).To(BeEmpty())
}

// Guards against a running request that is stopped because its VM is leaving.
func TestLeavingTargetFinishesRunningRequests(t *testing.T) {
	h := newHarness(t)
	h.dispatch(1, "q1")
	h.sendVMList(2, true)
	h.c.HandlePart(h.now, "q1", target.Part{Status: 200, Data: []byte("a"), Tokens: 1})
	h.c.HandleEnd(h.now, "q1", target.Outcome{Complete: true, Run: fault.Ran})
	h.collect()
	h.g.Expect(received[*wire.Chunk](h, 1)).To(HaveLen(1))
	h.g.Expect(received[*wire.End](h, 1)).To(HaveLen(1))
	h.g.Expect(received[*wire.End](h, 1)[0].Complete).To(BeTrue())
}
