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
func (b *bench) part(id ident.RequestID, data string) {
	b.c.Part(b.now, id, target.Part{Status: 200, Type: "text/event-stream", Data: []byte(data), Tokens: 1})
	b.take()
}

// attach asks for an answer of an earlier or of the present run.
func (b *bench) attach(p answer.Peer, run ident.Boot, seq ident.Seq) {
	b.deliver(p, &wire.Attach{ID: "q1", Boot: run, Account: "acme", AfterSeq: seq, Credit: 1 << 18})
}

// Guards against a stream that is cut when its agent is replaced: the answer is read back from its first part,
// and readers come from the middle, also a second time and through another router.
func TestReplacedAgentGoesOnInTheMiddle(t *testing.T) {
	b := newBench(t)
	b.attach(1, boot-1, 2)
	b.part("q1", "a")
	b.attach(2, boot-1, 1)
	b.c.Closed(b.now, 1)
	b.c.Opened(3, wire.Hello{Process: "r1", Role: "router", Boot: 1})
	b.attach(3, boot-1, 2)
	b.part("q1", "b")
	b.part("q1", "c")
	b.c.Ended(b.now, "q1", target.Outcome{Whole: true, Run: fault.Ran})
	b.take()
	for p, first := range map[answer.Peer]ident.Seq{2: 2, 3: 3} {
		b.g.Expect(find[*wire.Refuse](b, p)).To(BeEmpty())
		chunks := find[*wire.Chunk](b, p)
		b.g.Expect(chunks).To(HaveLen(4 - int(first)))
		b.g.Expect(chunks[0].Seq).To(Equal(first))
		b.g.Expect(find[*wire.End](b, p)).To(HaveLen(1))
	}
}

// Guards against an answer that is numbered from its middle because its only reader left before the first part.
func TestReadBackWithoutReadersKeepsNumbers(t *testing.T) {
	b := newBench(t)
	b.attach(1, boot-1, 0)
	b.c.Closed(b.now, 1)
	b.part("q1", "a")
	b.part("q1", "b")
	b.attach(2, boot-1, 0)
	b.g.Expect(find[*wire.Chunk](b, 2)).To(HaveLen(2))
}

// Guards against "not run" for a request that an earlier run wrote: only the read of its answer was refused.
func TestRefusedReadBackIsUnknown(t *testing.T) {
	b := newBench(t)
	b.attach(1, boot-1, 0)
	b.c.Ended(b.now, "q1", target.Outcome{Run: fault.NotRun, Lost: true})
	b.take()
	refused := find[*wire.Refuse](b, 1)
	b.g.Expect(refused).To(HaveLen(1))
	b.g.Expect(refused[0].Run).To(Equal(fault.Unknown))
}

// Guards against a repeated Offer or Body that is answered with a refusal of the request that runs.
func TestRepeatedFramesAreIgnored(t *testing.T) {
	b := newBench(t)
	b.offer(1, "q1")
	b.offer(1, "q1")
	body := &wire.Body{ID: "q1", Ticket: find[*wire.Grant](b, 1)[0].Ticket, Credit: 1 << 18}
	b.deliver(1, body)
	b.deliver(1, body)
	b.offer(1, "q1")
	b.g.Expect(b.starts()).To(HaveLen(1))
	b.g.Expect(find[*wire.Refuse](b, 1)).To(BeEmpty())
}

// Guards against a stop of a request while one of its two readers is still there.
func TestOneOfTwoReadersLeaves(t *testing.T) {
	for name, leave := range map[string]func(*bench, answer.Peer){
		"cancel": func(b *bench, p answer.Peer) { b.deliver(p, &wire.Cancel{ID: "q1"}) },
		"lost":   func(b *bench, p answer.Peer) { b.c.Closed(b.now, p) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.run(1, "q1")
			b.attach(2, boot, 0)
			leave(b, 2)
			b.now = b.now.Add(time.Minute)
			b.c.Tick(b.now)
			b.take()
			b.g.Expect(b.stops()).To(BeZero())
			leave(b, 1)
			b.now = b.now.Add(time.Minute)
			b.c.Tick(b.now)
			b.take()
			b.g.Expect(b.stops()).To(Equal(1))
		})
	}
}

func (b *bench) stops() (n int) {
	for _, a := range b.acts {
		if _, ok := a.(node.Stop); ok {
			n++
		}
	}
	return n
}

// Guards against an answer with a missing part that is reported as whole.
func TestAnswerThatWasNotKeptIsNotWhole(t *testing.T) {
	b := newBench(t, node.WithAnswers(300<<10, time.Minute))
	b.run(1, "q1")
	b.part("q1", string(make([]byte, 280<<10)))
	b.part("q1", string(make([]byte, 280<<10)))
	b.part("q1", "x")
	b.c.Ended(b.now, "q1", target.Outcome{Whole: true, Run: fault.Ran})
	b.deliver(2, &wire.Attach{ID: "q1", Boot: boot, Account: "acme", Credit: 1 << 20})
	ends := find[*wire.End](b, 2)
	b.g.Expect(ends).To(HaveLen(1))
	b.g.Expect(ends[0].Complete).To(BeFalse())
	b.g.Expect(ends[0].Run).To(Equal(fault.Ran))
}

// Guards against a router that waits for a grant which an Attach of another router has ended.
func TestAttachTellsTheRouterWhoseGrantItEnds(t *testing.T) {
	b := newBench(t)
	b.offer(1, "q1")
	b.attach(2, boot, 0)
	for p := answer.Peer(1); p <= 2; p++ {
		refused := find[*wire.Refuse](b, p)
		b.g.Expect(refused).To(HaveLen(1))
		b.g.Expect(refused[0].Run).To(Equal(fault.NotRun))
	}
	b.deliver(1, &wire.Body{ID: "q1", Ticket: find[*wire.Grant](b, 1)[0].Ticket})
	b.g.Expect(b.starts()).To(BeEmpty())
}

// Guards against a claim that is released although its request runs: the first claim came on a connection that
// ended after the router had a new one.
func TestClaimOutlivesAnOlderConnection(t *testing.T) {
	b := newBench(t)
	m := wire.Claim{ID: "k", Account: "acme", Attempt: "t1"}
	b.deliver(1, &m)
	b.c.Opened(3, wire.Hello{Process: "r1", Role: "router", Boot: 1})
	named := m
	named.Agent, named.Boot = "a2", 5
	b.deliver(3, &named)
	b.c.Closed(b.now, 1)
	b.deliver(2, &wire.Claim{ID: "k", Account: "acme", Attempt: "t2"})
	held := find[*wire.ClaimReply](b, 2)
	b.g.Expect(held).To(HaveLen(1))
	b.g.Expect(held[0].Attempt).To(Equal(ident.RequestID("t1")))
}

// Guards against a request that is written although its answer cannot be kept.
func TestFullMemoryRefusesBeforeTheDispatch(t *testing.T) {
	b := newBench(t, node.WithAnswers(800<<10, time.Minute))
	b.run(1, "q1")
	b.offer(1, "q2")
	grants := find[*wire.Grant](b, 1)
	b.g.Expect(grants).To(HaveLen(2))
	b.part("q1", string(make([]byte, 813_500))) // leaves less than an empty answer takes
	b.deliver(1, &wire.Body{ID: "q2", Ticket: grants[1].Ticket, Credit: 1 << 18})
	b.g.Expect(b.starts()).To(HaveLen(1))
	refused := find[*wire.Refuse](b, 1)
	b.g.Expect(refused).To(HaveLen(1))
	b.g.Expect(refused[0].Run).To(Equal(fault.NotRun))
}
