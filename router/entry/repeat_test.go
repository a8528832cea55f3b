package entry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/wire"
	"hickoryvane.example/router/entry"
)

// beginRepeat starts a call whose route is declared as idempotent.
func (b *harness) beginRepeat(id entry.CallID, s conf.Service, key string) {
	b.c.BeginCall(b.now, id, entry.Request{
		Account: config.Accounts[0], Service: s, Route: conf.Route{Name: s.Routes[0].Name, Idempotent: true},
		Tier: config.Tiers[1], Wait: 5 * time.Second, Prompt: 10, Output: 10, Fingerprint: 1, Key: key,
	})
	b.collect()
}

// Guards against a model request that is dispatched to a second engine after the first one failed (guarantee P1).
// Only idempotent calls of plain services are retried.
func TestModelRequestIsNotRetried(t *testing.T) {
	for _, c := range []struct {
		service, bodies int
	}{{0, 0}, {1, 1}} {
		b := newHarness(t)
		b.beginRepeat(1, config.Services[c.service], "")
		l, body := b.dispatch()
		b.g.Expect(body).NotTo(BeNil())
		b.deliver(l, &wire.End{ID: body.ID, Boot: 7, Run: fault.Ran, Reason: fault.Target})
		b.advance(2 * time.Second)
		if c.bodies > 0 {
			_, body = b.dispatch()
			b.g.Expect(body).NotTo(BeNil())
			continue
		}
		b.g.Expect(countMessages[*wire.Offer](b)).To(BeZero())
		b.g.Expect(b.replies).To(HaveLen(1))
		b.g.Expect(b.replies[0].Fault.Run).To(Equal(fault.Ran))
	}
}

// Guards against a model request that runs again when its caller submits it again with the same key.
func TestModelRequestWithKeyIsClaimed(t *testing.T) {
	b := newHarness(t)
	b.beginRepeat(1, config.Services[0], "key")
	b.g.Expect(countMessages[*wire.Offer](b)).To(BeZero())
	b.g.Expect(countMessages[*wire.Claim](b)).To(Equal(2))
}
