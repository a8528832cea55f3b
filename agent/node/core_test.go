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

// harness drives an agent core; the test acts as its target and its routers.
type harness struct {
	g       *WithT
	c       *node.Core
	now     time.Time
	sent    map[answer.Peer][]wire.Message
	actions []node.Action
}

const self, boot = ident.ProcessID("a1"), ident.Boot(7)

func newHarness(t *testing.T, opts ...node.Option) *harness {
	return newHarnessOf(t, self, "e1", opts...)
}

// newHarnessOf returns a harness of the agent with the given name and target.
func newHarnessOf(t *testing.T, self ident.ProcessID, name ident.TargetID, opts ...node.Option) *harness {
	h := &harness{g: NewWithT(t), now: time.Unix(1_800_000_000, 0), sent: make(map[answer.Peer][]wire.Message)}
	h.c = node.New(self, boot, "d", rand.New(rand.NewPCG(1, 1)), opts...)
	h.c.HandleConnect(1, wire.Hello{Process: "r1", Role: "router", Boot: 1})
	h.c.HandleConnect(2, wire.Hello{Process: "r2", Role: "router", Boot: 1})
	value, err := conf.Encode(conf.Config{
		Generation: 1, Deployment: "d",
		Regions:  []conf.Region{{Name: "west", Centres: []ident.DataCentre{"west-a"}}},
		Tiers:    []conf.Tier{{Name: "low", Rank: 1, Wait: 5000}},
		Accounts: []conf.Account{{Name: "acme", Keys: []string{ident.HashKey("key")}, Weight: 1, Tier: "low", Tiers: []string{"low"}}},
		Services: []conf.Service{{Name: "llm", Kind: conf.ModelService, Versions: []ident.Version{"v1"}, Current: "v1", Routes: []conf.Route{{Name: "chat", Method: "POST", Path: "/c"}}}},
		Targets:  []conf.Target{{Name: name, VM: self, Centre: "west-a", Service: "llm", Version: "v1", Class: "x"}},
		Limits:   conf.Limits{ClaimsPerSecond: 100, LinkBytesPerSecond: 1 << 20, LoadsPerMinute: 60},
	})
	h.g.Expect(err).NotTo(HaveOccurred())
	h.deliver(1, &wire.Gossip{Entries: []wire.GossipEntry{facts.NewRankedEntry(facts.KindConfig, conf.ConfigName, "operator", 1, value)}})
	h.g.Expect(h.c.Generation()).To(Equal(ident.Generation(1)), "%v", h.actions)
	return h
}

func (h *harness) deliver(p answer.Peer, m wire.Message) {
	h.c.HandleMessage(h.now, p, m)
	h.collect()
}

// collect stores the actions of the core: sent messages by receiver, and all others in order.
func (h *harness) collect() {
	for _, a := range h.c.TakeActions() {
		if s, ok := a.(node.Send); ok {
			h.sent[s.Peer] = append(h.sent[s.Peer], s.Message)
			continue
		}
		h.actions = append(h.actions, a)
	}
}

// received returns the messages of one type that were sent to a peer.
func received[M wire.Message](h *harness, p answer.Peer) (out []M) {
	for _, m := range h.sent[p] {
		if x, ok := m.(M); ok {
			out = append(out, x)
		}
	}
	return out
}

// startedIDs returns the ids of the requests sent to the target.
func (h *harness) startedIDs() (ids []ident.RequestID) {
	for _, a := range h.actions {
		if s, ok := a.(node.Start); ok {
			ids = append(ids, s.Request.ID)
		}
	}
	return ids
}

func (h *harness) offer(p answer.Peer, id ident.RequestID) {
	h.deliver(p, &wire.Offer{
		ID: id, Account: "acme", Service: "llm", Version: "v1", Route: "chat", Tier: 1, WaitMillis: 5000, Prompt: 10, ExpectedOutput: 10, Fingerprint: 1,
	})
}

// dispatch offers a request and sends its body after the grant.
func (h *harness) dispatch(p answer.Peer, id ident.RequestID) {
	h.offer(p, id)
	grants := received[*wire.Grant](h, p)
	h.g.Expect(grants).NotTo(BeEmpty())
	h.deliver(p, &wire.Body{ID: id, Ticket: grants[len(grants)-1].Ticket, Credit: 1 << 18})
}

// Guards against chunks of an answer that are not sent to the router that dispatched it, are sent to another
// router, or are sent more than once.
func TestStreamReachesItsRouter(t *testing.T) {
	h := newHarness(t)
	h.dispatch(1, "q1")
	h.g.Expect(h.startedIDs()).To(Equal([]ident.RequestID{"q1"}))
	for i := range 3 {
		h.c.HandlePart(h.now, "q1", target.Part{Status: 200, ContentType: "text/event-stream", Stream: i == 0, Data: []byte("x"), Tokens: 1})
	}
	h.c.HandleEnd(h.now, "q1", target.Outcome{Complete: true, Run: fault.Ran})
	h.collect()
	h.g.Expect(received[*wire.Chunk](h, 1)).To(HaveLen(3))
	h.g.Expect(received[*wire.Chunk](h, 2)).To(BeEmpty())
	ends := received[*wire.End](h, 1)
	h.g.Expect(ends).To(HaveLen(1))
	h.g.Expect(ends[0].LastSeq).To(Equal(ident.Seq(3)))
}

// Guards against a second dispatch of the same request id, by the same or by another router.
func TestSameIDIsNotDispatchedTwice(t *testing.T) {
	h := newHarness(t)
	h.dispatch(1, "q1")
	h.offer(2, "q1")
	refused := received[*wire.Refuse](h, 2)
	h.g.Expect(refused).To(HaveLen(1))
	h.g.Expect(refused[0].Run).To(Equal(fault.Unknown))
	h.deliver(1, &wire.Body{ID: "q1", Ticket: received[*wire.Grant](h, 1)[0].Ticket})
	h.g.Expect(h.startedIDs()).To(HaveLen(1))
}

// Guards against an answer that cannot be read through another router after its first router disconnected.
func TestAnswerIsReadThroughAnotherRouter(t *testing.T) {
	h := newHarness(t)
	h.dispatch(1, "q1")
	h.c.HandlePart(h.now, "q1", target.Part{Status: 200, Data: []byte("a"), Tokens: 1})
	h.c.HandleDisconnect(h.now, 1)
	h.c.HandlePart(h.now, "q1", target.Part{Data: []byte("b"), Tokens: 1})
	h.c.HandleEnd(h.now, "q1", target.Outcome{Complete: true, Run: fault.Ran})
	h.deliver(2, &wire.Attach{ID: "q1", Boot: boot, Account: "acme", AfterSeq: 1, Credit: 1 << 18})
	chunks := received[*wire.Chunk](h, 2)
	h.g.Expect(chunks).To(HaveLen(1))
	h.g.Expect(chunks[0].Seq).To(Equal(ident.Seq(2)))
	h.g.Expect(received[*wire.End](h, 2)).To(HaveLen(1))
}
