package node_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/agent/target"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// fleet is a set of agents that gossip through their routers.
type fleet []*harness

// advance lets time pass and delivers the gossip that each agent sends to its routers to the others.
func (f fleet) advance(d time.Duration) {
	for end := f[0].now.Add(d); f[0].now.Before(end); {
		for i, h := range f {
			h.now = h.now.Add(50 * time.Millisecond)
			h.c.Tick(h.now)
			h.collect()
			sent := append(received[*wire.Gossip](h, 1), received[*wire.Gossip](h, 2)...)
			clear(h.sent)
			for k, o := range f {
				for _, m := range sent {
					if k != i {
						o.deliver(1, m)
					}
				}
			}
		}
	}
}

// request offers a request whose prompt begins with the given blocks, and dispatches it if it is granted.
func (h *harness) request(id ident.RequestID, blocks ...ident.Block) (started bool) {
	h.deliver(1, &wire.Offer{
		ID: id, Account: "acme", Service: "llm", Version: "v1", Route: "chat", Tier: 1, WaitMillis: 5000, Prompt: 10, ExpectedOutput: 10,
		Fingerprint: ident.FingerprintOf("llm", []byte(id)), Blocks: append(blocks, ident.Block(ident.FingerprintOf("", []byte(id)))),
	})
	for _, m := range received[*wire.Grant](h, 1) {
		if m.ID == id {
			h.deliver(1, &wire.Body{ID: id, Ticket: m.Ticket, Credit: 1 << 18})
			return true
		}
	}
	return false
}

// Guards against a beginning of prompts that crashes one target after another while no two requests are alike, and
// against refusing requests that share only the part before it.
func TestBeginningThatCrashesTargetsIsRefused(t *testing.T) {
	const shared, deadly = ident.Block(1), ident.Block(2)
	var f fleet
	for i := range 3 {
		f = append(f, newHarnessOf(t, ident.ProcessID(fmt.Sprint("a", i)), ident.TargetID(fmt.Sprint("e", i))))
	}
	f.advance(100 * time.Millisecond)
	for i, h := range f {
		id := ident.RequestID(fmt.Sprint("q", i))
		h.g.Expect(h.request(id, shared, deadly)).To(BeTrue())
		h.c.HandleEnd(h.now, id, target.Outcome{ConnectionLost: true, Run: fault.Unknown, Reason: fault.Target})
		h.collect()
		f.advance(time.Second)
		h.c.HandleProbe(h.now, true)
		h.collect()
	}
	f.advance(time.Second)
	for i, h := range f {
		h.g.Expect(h.request(ident.RequestID(fmt.Sprint("late", i)), shared, deadly)).To(BeFalse())
		refused := received[*wire.Refuse](h, 1)
		h.g.Expect(refused).NotTo(BeEmpty())
		h.g.Expect(refused[len(refused)-1].Reason).To(Equal(fault.Crashes))
		h.g.Expect(h.request(ident.RequestID(fmt.Sprint("sound", i)), shared)).To(BeTrue())
	}
}
