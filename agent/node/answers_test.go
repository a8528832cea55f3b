package node_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/agent/node"
	"hickoryvane.example/agent/target"
	"hickoryvane.example/core/answer"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// emitPart passes one part of an answer to the core.
func (h *harness) emitPart(id ident.RequestID, data string) {
	h.c.HandlePart(h.now, id, target.Part{Status: 200, ContentType: "text/event-stream", Data: []byte(data), Tokens: 1})
	h.collect()
}

// attach requests the parts after seq of the answer to q1, which the given incarnation of the agent dispatched.
func (h *harness) attach(p answer.Peer, incarnation ident.Boot, seq ident.Seq) {
	h.deliver(p, &wire.Attach{ID: "q1", Boot: incarnation, Account: "acme", AfterSeq: seq, Credit: 1 << 18})
}

// Guards against a stream that breaks off when its agent is replaced: the answer is read back from its first part,
// and readers attach in the middle of it, also a second time and through another router.
func TestReplacedAgentResumesStreamFromPosition(t *testing.T) {
	h := newHarness(t)
	h.attach(1, boot-1, 2)
	h.emitPart("q1", "a")
	h.attach(2, boot-1, 1)
	h.c.HandleDisconnect(h.now, 1)
	h.c.HandleConnect(3, wire.Hello{Process: "r1", Role: "router", Boot: 1})
	h.attach(3, boot-1, 2)
	h.emitPart("q1", "b")
	h.emitPart("q1", "c")
	h.c.HandleEnd(h.now, "q1", target.Outcome{Complete: true, Run: fault.Ran})
	h.collect()
	for p, first := range map[answer.Peer]ident.Seq{2: 2, 3: 3} {
		h.g.Expect(received[*wire.Refuse](h, p)).To(BeEmpty())
		chunks := received[*wire.Chunk](h, p)
		h.g.Expect(chunks).To(HaveLen(4 - int(first)))
		h.g.Expect(chunks[0].Seq).To(Equal(first))
		h.g.Expect(received[*wire.End](h, p)).To(HaveLen(1))
	}
}

// Guards against an answer whose numbers start in the middle because its only reader disconnected before the first
// part.
func TestReadBackWithoutReadersKeepsNumbers(t *testing.T) {
	h := newHarness(t)
	h.attach(1, boot-1, 0)
	h.c.HandleDisconnect(h.now, 1)
	h.emitPart("q1", "a")
	h.emitPart("q1", "b")
	h.attach(2, boot-1, 0)
	h.g.Expect(received[*wire.Chunk](h, 2)).To(HaveLen(2))
}

// Guards against the statement "not run" for a request that an earlier incarnation sent to the target: only the
// connection that reads its answer back was refused.
func TestRefusedReadBackIsUnknown(t *testing.T) {
	h := newHarness(t)
	h.attach(1, boot-1, 0)
	h.c.HandleEnd(h.now, "q1", target.Outcome{Run: fault.NotRun, ConnectionLost: true})
	h.collect()
	refused := received[*wire.Refuse](h, 1)
	h.g.Expect(refused).To(HaveLen(1))
	h.g.Expect(refused[0].Run).To(Equal(fault.Unknown))
}

// Guards against a duplicate Offer or Body that makes the agent refuse the running request.
func TestRepeatedFramesAreIgnored(t *testing.T) {
	h := newHarness(t)
	h.offer(1, "q1")
	h.offer(1, "q1")
	body := &wire.Body{ID: "q1", Ticket: received[*wire.Grant](h, 1)[0].Ticket, Credit: 1 << 18}
	h.deliver(1, body)
	h.deliver(1, body)
	h.offer(1, "q1")
	h.g.Expect(h.startedIDs()).To(HaveLen(1))
	h.g.Expect(received[*wire.Refuse](h, 1)).To(BeEmpty())
}

// Guards against a request that is stopped while one of its two readers is still connected.
func TestRequestRunsUntilItsLastReaderLeaves(t *testing.T) {
	for name, disconnect := range map[string]func(*harness, answer.Peer){
		"cancel": func(h *harness, p answer.Peer) { h.deliver(p, &wire.Cancel{ID: "q1"}) },
		"lost":   func(h *harness, p answer.Peer) { h.c.HandleDisconnect(h.now, p) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.dispatch(1, "q1")
			h.attach(2, boot, 0)
			disconnect(h, 2)
			h.now = h.now.Add(time.Minute)
			h.c.Tick(h.now)
			h.collect()
			h.g.Expect(h.cancelCount()).To(BeZero())
			disconnect(h, 1)
			h.now = h.now.Add(time.Minute)
			h.c.Tick(h.now)
			h.collect()
			h.g.Expect(h.cancelCount()).To(Equal(1))
		})
	}
}

// cancelCount returns how often a request was cancelled at the target.
func (h *harness) cancelCount() (n int) {
	for _, a := range h.actions {
		if _, ok := a.(node.CancelRequest); ok {
			n++
		}
	}
	return n
}

// Guards against an answer that is reported as complete although one of its parts did not fit into the memory.
func TestTruncatedAnswerIsNotComplete(t *testing.T) {
	h := newHarness(t, node.WithAnswerBounds(300<<10, time.Minute))
	h.dispatch(1, "q1")
	h.emitPart("q1", string(make([]byte, 280<<10)))
	h.emitPart("q1", string(make([]byte, 280<<10)))
	h.emitPart("q1", "x")
	h.c.HandleEnd(h.now, "q1", target.Outcome{Complete: true, Run: fault.Ran})
	h.deliver(2, &wire.Attach{ID: "q1", Boot: boot, Account: "acme", Credit: 1 << 20})
	ends := received[*wire.End](h, 2)
	h.g.Expect(ends).To(HaveLen(1))
	h.g.Expect(ends[0].Complete).To(BeFalse())
	h.g.Expect(ends[0].Run).To(Equal(fault.Ran))
}

// Guards against a router that is not told that an Attach of another router has revoked its grant.
func TestAttachRefusesGrantOfOtherRouter(t *testing.T) {
	h := newHarness(t)
	h.offer(1, "q1")
	h.attach(2, boot, 0)
	for p := answer.Peer(1); p <= 2; p++ {
		refused := received[*wire.Refuse](h, p)
		h.g.Expect(refused).To(HaveLen(1))
		h.g.Expect(refused[0].Run).To(Equal(fault.NotRun))
	}
	h.deliver(1, &wire.Body{ID: "q1", Ticket: received[*wire.Grant](h, 1)[0].Ticket})
	h.g.Expect(h.startedIDs()).To(BeEmpty())
}

// Guards against a claim that is released while its request runs: the first claim arrived on a connection that closed
// after the router had opened a new one.
func TestClaimOutlivesOlderConnection(t *testing.T) {
	h := newHarness(t)
	m := wire.Claim{ID: "k", Account: "acme", Attempt: "t1"}
	h.deliver(1, &m)
	h.c.HandleConnect(3, wire.Hello{Process: "r1", Role: "router", Boot: 1})
	named := m
	named.Agent, named.Boot = "a2", 5
	h.deliver(3, &named)
	h.c.HandleDisconnect(h.now, 1)
	h.deliver(2, &wire.Claim{ID: "k", Account: "acme", Attempt: "t2"})
	held := received[*wire.ClaimReply](h, 2)
	h.g.Expect(held).To(HaveLen(1))
	h.g.Expect(held[0].Attempt).To(Equal(ident.RequestID("t1")))
}

// Guards against a request that is sent to the target although the memory has no room for its answer.
func TestFullAnswerMemoryRefusesBeforeDispatch(t *testing.T) {
	h := newHarness(t, node.WithAnswerBounds(800<<10, time.Minute))
	h.dispatch(1, "q1")
	h.offer(1, "q2")
	grants := received[*wire.Grant](h, 1)
	h.g.Expect(grants).To(HaveLen(2))
	h.emitPart("q1", string(make([]byte, 813_500))) // leaves less room than an empty answer needs
	h.deliver(1, &wire.Body{ID: "q2", Ticket: grants[1].Ticket, Credit: 1 << 18})
	h.g.Expect(h.startedIDs()).To(HaveLen(1))
	refused := received[*wire.Refuse](h, 1)
	h.g.Expect(refused).To(HaveLen(1))
	h.g.Expect(refused[0].Run).To(Equal(fault.NotRun))
}
