package node_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/agent/node"
	"hickoryvane.example/agent/target"
	"hickoryvane.example/core/answer"
	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/facts"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// bench is an agent core whose target and routers the test plays itself.
type harness struct {
	g       *WithT
	c       *node.Core
	now     time.Time
	sent    map[answer.Peer][]wire.Message
	actions []node.Action
}

const self, boot = ident.ProcessID("a1"), ident.Boot(7)

func newHarness(t *testing.T, opts ...node.Option) *harness {
	b := &harness{g: NewWithT(t), now: time.Unix(1_800_000_000, 0), sent: make(map[answer.Peer][]wire.Message)}
	b.c = node.New(self, boot, "d", rand.New(rand.NewPCG(1, 1)), opts...)
	b.c.HandleConnect(1, wire.Hello{Process: "r1", Role: "router", Boot: 1})
	b.c.HandleConnect(2, wire.Hello{Process: "r2", Role: "router", Boot: 1})
	value, err := conf.Encode(conf.Config{
		Generation: 1, Deployment: "d",
		Regions:  []conf.Region{{Name: "west", Centres: []ident.DataCentre{"west-a"}}},
		Tiers:    []conf.Tier{{Name: "low", Rank: 1, Wait: 5000}},
		Accounts: []conf.Account{{Name: "acme", Keys: []string{ident.HashKey("key")}, Weight: 1, Tier: "low", Tiers: []string{"low"}}},
		Services: []conf.Service{{Name: "llm", Kind: conf.ModelService, Versions: []ident.Version{"v1"}, Current: "v1", Routes: []conf.Route{{Name: "chat", Method: "POST", Path: "/c"}}}},
		Targets:  []conf.Target{{Name: "e1", VM: self, Centre: "west-a", Service: "llm", Version: "v1", Class: "x"}},
		Limits:   conf.Limits{ClaimsPerSecond: 100, LinkBytesPerSecond: 1 << 20, LoadsPerMinute: 60},
	})
	b.g.Expect(err).NotTo(HaveOccurred())
	b.deliver(1, &wire.Gossip{Entries: []wire.GossipEntry{facts.NewRankedEntry(facts.KindConfig, conf.ConfigName, "operator", 1, value)}})
	b.g.Expect(b.c.Generation()).To(Equal(ident.Generation(1)), "%v", b.actions)
	return b
}

func (b *harness) deliver(p answer.Peer, m wire.Message) {
	b.c.HandleMessage(b.now, p, m)
	b.collect()
}

func (b *harness) collect() {
	for _, a := range b.c.TakeActions() {
		if s, ok := a.(node.Send); ok {
			b.sent[s.Peer] = append(b.sent[s.Peer], s.Message)
			continue
		}
		b.actions = append(b.actions, a)
	}
}

// find returns the messages of a type that a peer received.
func received[M wire.Message](b *harness, p answer.Peer) (out []M) {
	for _, m := range b.sent[p] {
		if x, ok := m.(M); ok {
			out = append(out, x)
		}
	}
	return out
}

// starts returns the ids written to the target.
func (b *harness) startedIDs() (ids []ident.RequestID) {
	for _, a := range b.actions {
		if s, ok := a.(node.Start); ok {
			ids = append(ids, s.Request.ID)
		}
	}
	return ids
}

func (b *harness) offer(p answer.Peer, id ident.RequestID) {
	b.deliver(p, &wire.Offer{
		ID: id, Account: "acme", Service: "llm", Version: "v1", Route: "chat", Tier: 1, WaitMillis: 5000, Prompt: 10, ExpectedOutput: 10, Fingerprint: 1,
	})
}

// run brings a request to its dispatch.
func (b *harness) dispatch(p answer.Peer, id ident.RequestID) {
	b.offer(p, id)
	grants := received[*wire.Grant](b, p)
	b.g.Expect(grants).NotTo(BeEmpty())
	b.deliver(p, &wire.Body{ID: id, Ticket: grants[len(grants)-1].Ticket, Credit: 1 << 18})
}

// Guards against an answer whose chunks do not reach the router, or reach it more than once.
func TestStreamReachesItsRouter(t *testing.T) {
	b := newHarness(t)
	b.dispatch(1, "q1")
	b.g.Expect(b.startedIDs()).To(Equal([]ident.RequestID{"q1"}))
	for i := range 3 {
		b.c.HandlePart(b.now, "q1", target.Part{Status: 200, ContentType: "text/event-stream", Stream: i == 0, Data: []byte("x"), Tokens: 1})
	}
	b.c.HandleEnd(b.now, "q1", target.Outcome{Complete: true, Run: fault.Ran})
	b.collect()
	b.g.Expect(received[*wire.Chunk](b, 1)).To(HaveLen(3))
	b.g.Expect(received[*wire.Chunk](b, 2)).To(BeEmpty())
	ends := received[*wire.End](b, 1)
	b.g.Expect(ends).To(HaveLen(1))
	b.g.Expect(ends[0].LastSeq).To(Equal(ident.Seq(3)))
}

// Guards against a second dispatch of the same id, by the same or by another router.
func TestSameIDIsNotDispatchedTwice(t *testing.T) {
	b := newHarness(t)
	b.dispatch(1, "q1")
	b.offer(2, "q1")
	refused := received[*wire.Refuse](b, 2)
	b.g.Expect(refused).To(HaveLen(1))
	b.g.Expect(refused[0].Run).To(Equal(fault.Unknown))
	b.deliver(1, &wire.Body{ID: "q1", Ticket: received[*wire.Grant](b, 1)[0].Ticket})
	b.g.Expect(b.startedIDs()).To(HaveLen(1))
}

// Guards against an answer that is lost with the connection of its router.
func TestAnswerIsReadThroughAnotherRouter(t *testing.T) {
	b := newHarness(t)
	b.dispatch(1, "q1")
	b.c.HandlePart(b.now, "q1", target.Part{Status: 200, Data: []byte("a"), Tokens: 1})
	b.c.HandleDisconnect(b.now, 1)
	b.c.HandlePart(b.now, "q1", target.Part{Data: []byte("b"), Tokens: 1})
	b.c.HandleEnd(b.now, "q1", target.Outcome{Complete: true, Run: fault.Ran})
	b.deliver(2, &wire.Attach{ID: "q1", Boot: boot, Account: "acme", AfterSeq: 1, Credit: 1 << 18})
	chunks := received[*wire.Chunk](b, 2)
	b.g.Expect(chunks).To(HaveLen(1))
	b.g.Expect(chunks[0].Seq).To(Equal(ident.Seq(2)))
	b.g.Expect(received[*wire.End](b, 2)).To(HaveLen(1))
}
