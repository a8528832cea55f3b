package entry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/links"
	"hickoryvane.example/core/member"
	"hickoryvane.example/core/wire"
	"hickoryvane.example/router/entry"
)

// harness is a router core with agents whose messages the test sends itself.
type harness struct {
	g             *WithT
	c             *entry.Core
	now           time.Time
	sent          []entry.Send
	replies       []entry.ReplyPart
	createdClaims []entry.CreateClaim
	// wanted are the addresses that the router dials.
	wanted []string
	// bodyCount counts the bodies that answerAll received.
	bodyCount int
}

var config = conf.Config{
	Generation: 1, Deployment: "d",
	Regions: []conf.Region{{Name: "west", Centres: []ident.DataCentre{"west-a"}}},
	Tiers:   []conf.Tier{{Name: "high", Rank: 0, Wait: 5000}, {Name: "low", Rank: 1, Wait: 5000}},
	Accounts: []conf.Account{
		{Name: "acme", Keys: []string{ident.HashKey("key")}, Weight: 1, Tier: "low", Tiers: []string{"high", "low"}},
		{Name: "small", Keys: []string{ident.HashKey("key2")}, Weight: 1, Tier: "low", Tiers: []string{"high", "low"}, Rate: 1, Burst: 1},
	},
	Services: []conf.Service{
		{Name: "llm", Kind: conf.ModelService, Versions: []ident.Version{"v1"}, Current: "v1", Routes: []conf.Route{{Name: "chat", Method: "POST", Path: "/v1/chat/completions"}}},
		{Name: "shop", Kind: conf.PlainService, Versions: []ident.Version{"s1"}, Current: "s1", Routes: []conf.Route{{Name: "order", Method: "POST", Path: "/orders"}, {Name: "read", Method: "GET", Path: "/read", Idempotent: true}}},
		{Name: "wide", Kind: conf.ModelService, Versions: []ident.Version{"w1"}, Current: "w1", Routes: []conf.Route{{Name: "chat", Method: "POST", Path: "/wide"}}},
	},
	Targets: []conf.Target{
		{Name: "e1", VM: "a1", Centre: "west-a", Service: "llm", Version: "v1", Class: "x"},
		{Name: "e2", VM: "a2", Centre: "west-a", Service: "llm", Version: "v1", Class: "x"},
		{Name: "p1", VM: "a3", Centre: "west-a", Service: "shop", Version: "s1", Class: "x"},
		{Name: "p2", VM: "a4", Centre: "west-a", Service: "shop", Version: "s1", Class: "x"},
		{Name: "w1", VM: "a5", Centre: "west-a", Service: "wide", Version: "w1", Class: "x"},
		{Name: "w2", VM: "a6", Centre: "west-a", Service: "wide", Version: "w1", Class: "x"},
		{Name: "w3", VM: "a7", Centre: "west-a", Service: "wide", Version: "w1", Class: "x"},
		{Name: "w4", VM: "a8", Centre: "west-a", Service: "wide", Version: "w1", Class: "x"},
		{Name: "w5", VM: "a9", Centre: "west-a", Service: "wide", Version: "w1", Class: "x"},
	},
	Limits: conf.Limits{ClaimsPerSecond: 100, LinkBytesPerSecond: 1 << 20, LoadsPerMinute: 60},
}

func newHarness(t *testing.T, opts ...entry.Option) *harness {
	b := &harness{g: NewWithT(t), now: time.Unix(1_800_000_000, 0)}
	b.c = entry.New(member.Entry{VM: "r1", Role: member.Router, Centre: "west-a"}, "west", 1, "d", rand.New(rand.NewPCG(1, 1)), opts...)
	value, err := conf.Encode(config)
	b.g.Expect(err).NotTo(HaveOccurred())
	b.c.HandleConfigRead(b.now, value)
	for i, t := range config.Targets {
		b.connectAgent(links.ID(i+1), t.VM, 7)
	}
	b.advance(time.Second)
	return b
}

// connectAgent connects an agent and delivers its load report, which states that no request waits (tier 255).
func (b *harness) connectAgent(l links.ID, id ident.ProcessID, boot ident.Boot) {
	b.c.HandleConnect(b.now, l, wire.Hello{Process: id, Role: "agent", Boot: boot, Centre: "west-a"}, "127.0.0.1:1")
	for _, t := range config.Targets {
		if t.VM == id {
			b.deliver(l, &wire.Load{
				Target: t.Name, Service: t.Service, Version: t.Version, Seq: 1, Window: 8, PrefillRate: 8000, DrainRate: 500, LowestWaitingTier: 255,
			})
		}
	}
}

// advance advances the clock in steps of the driver's tick.
func (b *harness) advance(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(20 * time.Millisecond)
		b.c.Tick(b.now)
	}
	b.collect()
}

func (b *harness) collect() {
	for _, a := range b.c.TakeActions() {
		switch a := a.(type) {
		case entry.Send:
			b.sent = append(b.sent, a)
		case entry.Reply:
			b.replies = append(b.replies, a.Part)
		case entry.SetPeers:
			b.wanted = a.Addresses
		case entry.CreateClaim:
			b.createdClaims = append(b.createdClaims, a)
		}
	}
}

// beginCall starts a call of a service.
func (b *harness) beginCall(id entry.CallID, service int, route int, key string) {
	s := config.Services[service]
	b.c.BeginCall(b.now, id, entry.Request{
		Account: config.Accounts[0], Service: s, Route: s.Routes[route], Tier: config.Tiers[1], Wait: 5 * time.Second,
		Prompt: 10, Output: 10, Fingerprint: 1, Key: key,
	})
	b.collect()
}

// deliver delivers a message of an agent to the core.
func (b *harness) deliver(l links.ID, m wire.Message) {
	b.c.HandleMessage(b.now, l, m)
	b.collect()
}

// lastMessage returns the last sent message of a type and its connection, and discards all sent messages.
func lastMessage[M wire.Message](b *harness) (l links.ID, m M) {
	for _, s := range b.sent {
		if x, ok := s.Message.(M); ok {
			l, m = s.Link, x
		}
	}
	b.sent = nil
	return l, m
}

// countMessages returns the number of sent messages of a type.
func countMessages[M wire.Message](b *harness) (n int) {
	for _, s := range b.sent {
		if _, ok := s.Message.(M); ok {
			n++
		}
	}
	return n
}

// dispatch grants an offer of the call and returns the body that is sent.
func (b *harness) dispatch() (links.ID, *wire.Body) {
	l, o := lastMessage[*wire.Offer](b)
	b.g.Expect(o).NotTo(BeNil(), "no offer was sent")
	b.deliver(l, &wire.Grant{ID: o.ID, Ticket: 5})
	return lastMessage[*wire.Body](b)
}

// Guards against a call that is dispatched twice because two agents grant it.
func TestOnlyOneGrantIsAccepted(t *testing.T) {
	b := newHarness(t)
	b.beginCall(1, 0, 0, "")
	b.g.Expect(countMessages[*wire.Offer](b)).To(Equal(2))
	first, o := lastMessage[*wire.Offer](b)
	b.deliver(first, &wire.Grant{ID: o.ID, Ticket: 5})
	b.g.Expect(countMessages[*wire.Body](b)).To(Equal(1))
	b.g.Expect(countMessages[*wire.Withdraw](b)).To(Equal(1))
	b.sent = nil
	other := links.ID(1)
	if first == other {
		other = 2
	}
	b.deliver(other, &wire.Grant{ID: o.ID, Ticket: 6})
	b.g.Expect(countMessages[*wire.Body](b)).To(BeZero())
	b.g.Expect(countMessages[*wire.Decline](b)).To(Equal(1))
}

// Guards against a refusal with "not run" although the body was already sent.
func TestAgentLostAfterBodyIsUnknown(t *testing.T) {
	b := newHarness(t)
	b.beginCall(1, 0, 0, "")
	l, body := b.dispatch()
	b.g.Expect(body).NotTo(BeNil())
	b.c.HandleDisconnect(b.now, l)
	b.advance(11 * time.Second)
	b.g.Expect(b.replies).To(HaveLen(1))
	b.g.Expect(b.replies[0].Fault.Run).To(Equal(fault.Unknown))
	b.g.Expect(countMessages[*wire.Body](b)).To(BeZero())
}

// Guards against a call that is given up although its agent was lost before the body was sent.
func TestAgentLostBeforeBodyIsOfferedElsewhere(t *testing.T) {
	b := newHarness(t)
	b.beginCall(1, 0, 0, "")
	b.c.HandleDisconnect(b.now, 1)
	b.collect()
	b.sent = nil
	b.c.HandleDisconnect(b.now, 2)
	b.connectAgent(5, "a1", 8)
	b.advance(time.Second)
	l, body := b.dispatch()
	b.g.Expect(l).To(Equal(links.ID(5)))
	b.g.Expect(body).NotTo(BeNil())
}

// serve brings one call through offer, grant and body, and lets its caller disconnect.
func (b *harness) serve(i int) {
	id := entry.CallID(i + 1)
	b.beginCall(id, 0, 0, "")
	b.dispatch()
	b.c.HandleClientDisconnect(b.now, id)
	b.collect()
	b.sent, b.replies = nil, nil
}
