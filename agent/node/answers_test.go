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

// part gives one part of an answer to the core.
func (b *harness) emitPart(id ident.RequestID, data string) {
	b.c.HandlePart(b.now, id, target.Part{Status: 200, ContentType: "text/event-stream", Data: []byte(data), Tokens: 1})
	b.collect()
}

// attach asks for an answer of an earlier or of the present run.
func (b *harness) attach(p answer.Peer, run ident.Boot, seq ident.Seq) {
	b.deliver(p, &wire.Attach{ID: "q1", Boot: run, Account: "acme", AfterSeq: seq, Credit: 1 << 18})
}

// Guards against a stream that is cut when its agent is replaced: the answer is read back from its first part,
// and readers come from the middle, also a second time and through another router.
func TestReplacedAgentResumesStreamFromPosition(t *testing.T) {
	b := newHarness(t)
	b.attach(1, boot-1, 2)
	b.emitPart("q1", "a")
	b.attach(2, boot-1, 1)
	b.c.HandleDisconnect(b.now, 1)
	b.c.HandleConnect(3, wire.Hello{Process: "r1", Role: "router", Boot: 1})
	b.attach(3, boot-1, 2)
	b.emitPart("q1", "b")
	b.emitPart("q1", "c")
	b.c.HandleEnd(b.now, "q1", target.Outcome{Complete: true, Run: fault.Ran})
	b.collect()
	for p, first := range map[answer.Peer]ident.Seq{2: 2, 3: 3} {
		b.g.Expect(received[*wire.Refuse](b, p)).To(BeEmpty())
		chunks := received[*wire.Chunk](b, p)
		b.g.Expect(chunks).To(HaveLen(4 - int(first)))
		b.g.Expect(chunks[0].Seq).To(Equal(first))
		b.g.Expect(received[*wire.End](b, p)).To(HaveLen(1))
	}
}

// Guards against an answer that is numbered from its middle because its only reader left before the first part.
func TestReadBackWithoutReadersKeepsNumbers(t *testing.T) {
	b := newHarness(t)
	b.attach(1, boot-1, 0)
	b.c.HandleDisconnect(b.now, 1)
	b.emitPart("q1", "a")
	b.emitPart("q1", "b")
	b.attach(2, boot-1, 0)
	b.g.Expect(received[*wire.Chunk](b, 2)).To(HaveLen(2))
}

// Guards against "not run" for a request that an earlier run wrote: only the read of its answer was refused.
func TestRefusedReadBackIsUnknown(t *testing.T) {
	b := newHarness(t)
	b.attach(1, boot-1, 0)
	b.c.HandleEnd(b.now, "q1", target.Outcome{Run: fault.NotRun, ConnectionLost: true})
	b.collect()
	refused := received[*wire.Refuse](b, 1)
	b.g.Expect(refused).To(HaveLen(1))
	b.g.Expect(refused[0].Run).To(Equal(fault.Unknown))
}

// Guards against a repeated Offer or Body that is answered with a refusal of the request that runs.
func TestRepeatedFramesAreIgnored(t *testing.T) {
	b := newHarness(t)
	b.offer(1, "q1")
	b.offer(1, "q1")
	body := &wire.Body{ID: "q1", Ticket: received[*wire.Grant](b, 1)[0].Ticket, Credit: 1 << 18}
	b.deliver(1, body)
	b.deliver(1, body)
	b.offer(1, "q1")
	b.g.Expect(b.startedIDs()).To(HaveLen(1))
	b.g.Expect(received[*wire.Refuse](b, 1)).To(BeEmpty())
}

// Guards against a stop of a request while one of its two readers is still there.
func TestRequestRunsUntilItsLastReaderLeaves(t *testing.T) {
	for name, leave := range map[string]func(*harness, answer.Peer){
		"cancel": func(b *harness, p answer.Peer) { b.deliver(p, &wire.Cancel{ID: "q1"}) },
		"lost":   func(b *harness, p answer.Peer) { b.c.HandleDisconnect(b.now, p) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			b.dispatch(1, "q1")
			b.attach(2, boot, 0)
			leave(b, 2)
			b.now = b.now.Add(time.Minute)
			b.c.Tick(b.now)
			b.collect()
			b.g.Expect(b.cancelCount()).To(BeZero())
			leave(b, 1)
			b.now = b.now.Add(time.Minute)
			b.c.Tick(b.now)
			b.collect()
			b.g.Expect(b.cancelCount()).To(Equal(1))
		})
	}
}

func (b *harness) cancelCount() (n int) {
	for _, a := range b.actions {
		if _, ok := a.(node.Stop); ok {
			n++
		}
	}
	return n
}

// Guards against an answer with a missing part that is reported as whole.
func TestTruncatedAnswerIsNotComplete(t *testing.T) {
	b := newHarness(t, node.WithAnswerBounds(300<<10, time.Minute))
	b.dispatch(1, "q1")
	b.emitPart("q1", string(make([]byte, 280<<10)))
	b.emitPart("q1", string(make([]byte, 280<<10)))
	b.emitPart("q1", "x")
	b.c.HandleEnd(b.now, "q1", target.Outcome{Complete: true, Run: fault.Ran})
	b.deliver(2, &wire.Attach{ID: "q1", Boot: boot, Account: "acme", Credit: 1 << 20})
	ends := received[*wire.End](b, 2)
	b.g.Expect(ends).To(HaveLen(1))
	b.g.Expect(ends[0].Complete).To(BeFalse())
	b.g.Expect(ends[0].Run).To(Equal(fault.Ran))
}

// Guards against a router that waits for a grant which an Attach of another router has ended.
func TestAttachRefusesGrantOfOtherRouter(t *testing.T) {
	b := newHarness(t)
	b.offer(1, "q1")
	b.attach(2, boot, 0)
	for p := answer.Peer(1); p <= 2; p++ {
		refused := received[*wire.Refuse](b, p)
		b.g.Expect(refused).To(HaveLen(1))
		b.g.Expect(refused[0].Run).To(Equal(fault.NotRun))
	}
	b.deliver(1, &wire.Body{ID: "q1", Ticket: received[*wire.Grant](b, 1)[0].Ticket})
	b.g.Expect(b.startedIDs()).To(BeEmpty())
}

// Guards against a claim that is released although its request runs: the first claim came on a connection that
// ended after the router had a new one.
func TestClaimOutlivesOlderConnection(t *testing.T) {
	b := newHarness(t)
	m := wire.Claim{ID: "k", Account: "acme", Attempt: "t1"}
	b.deliver(1, &m)
	b.c.HandleConnect(3, wire.Hello{Process: "r1", Role: "router", Boot: 1})
	named := m
	named.Agent, named.Boot = "a2", 5
	b.deliver(3, &named)
	b.c.HandleDisconnect(b.now, 1)
	b.deliver(2, &wire.Claim{ID: "k", Account: "acme", Attempt: "t2"})
	held := received[*wire.ClaimReply](b, 2)
	b.g.Expect(held).To(HaveLen(1))
	b.g.Expect(held[0].Attempt).To(Equal(ident.RequestID("t1")))
}

// Guards against a request that is written although its answer cannot be kept.
func TestFullAnswerMemoryRefusesBeforeDispatch(t *testing.T) {
	b := newHarness(t, node.WithAnswerBounds(800<<10, time.Minute))
	b.dispatch(1, "q1")
	b.offer(1, "q2")
	grants := received[*wire.Grant](b, 1)
	b.g.Expect(grants).To(HaveLen(2))
	b.emitPart("q1", string(make([]byte, 813_500))) // leaves less than an empty answer takes
	b.deliver(1, &wire.Body{ID: "q2", Ticket: grants[1].Ticket, Credit: 1 << 18})
	b.g.Expect(b.startedIDs()).To(HaveLen(1))
	refused := received[*wire.Refuse](b, 1)
	b.g.Expect(refused).To(HaveLen(1))
	b.g.Expect(refused[0].Run).To(Equal(fault.NotRun))
}
