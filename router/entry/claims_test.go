package entry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/links"
	"hickoryvane.example/core/wire"
	"hickoryvane.example/router/entry"
)

// claims takes the claims that were sent, by connection, and forgets all messages.
func (b *harness) takeClaims() map[links.ID]*wire.Claim {
	out := make(map[links.ID]*wire.Claim)
	for _, s := range b.sent {
		if m, ok := s.Message.(*wire.Claim); ok {
			out[s.Link] = m
		}
	}
	b.sent = nil
	return out
}

// confirm lets homes record the claims that were sent, and returns how many did.
func (b *harness) confirmClaims() int {
	claims := b.takeClaims()
	for l, m := range claims {
		b.deliver(l, &wire.ClaimReply{ID: m.ID, Attempt: m.Attempt, Agent: m.Agent, Boot: m.Boot})
	}
	return len(claims)
}

// alive lets time pass while the given agents give signs of life.
func (b *harness) advanceWithHeartbeats(d time.Duration, ls ...links.ID) {
	for end := b.now.Add(d); b.now.Before(end); {
		for _, l := range ls {
			b.deliver(l, &wire.Gossip{})
		}
		b.advance(500 * time.Millisecond)
	}
}

// granted takes a keyed call of the model service up to the claims that name its agent.
func (b *harness) grantKeyed(id entry.CallID) (links.ID, ident.RequestID) {
	b.beginCall(id, 0, 0, "k")
	b.g.Expect(b.confirmClaims()).To(Equal(2))
	l, o := lastMessage[*wire.Offer](b)
	b.g.Expect(o).NotTo(BeNil())
	b.deliver(l, &wire.Grant{ID: o.ID, Ticket: 5})
	return l, o.ID
}

// Guards against a body that is sent before every home has recorded its agent: another send that reaches
// only the other home would run as well.
func TestBodyWaitsForEveryOwner(t *testing.T) {
	b := newHarness(t)
	l, _ := b.grantKeyed(1)
	claims := b.takeClaims()
	b.g.Expect(claims).To(HaveLen(2))
	other := 3 - l
	m := claims[l]
	b.deliver(l, &wire.ClaimReply{ID: m.ID, Attempt: m.Attempt, Agent: m.Agent, Boot: m.Boot})
	b.g.Expect(countMessages[*wire.Body](b)).To(BeZero())
	b.c.HandleDisconnect(b.now, other)
	b.advanceWithHeartbeats(500*time.Millisecond, l)
	b.g.Expect(countMessages[*wire.Body](b)).To(BeZero(), "the other home may have taken the claim of another send")
}

// Guards against a keyed call that is given up because a home was lost: homes are chosen again among the
// agents that live.
func TestLostOwnerIsReplaced(t *testing.T) {
	b := newHarness(t)
	b.c.HandleDisconnect(b.now, 2)
	b.beginCall(1, 0, 0, "k")
	for b.now.Before(time.Unix(1_800_000_006, 0)) {
		b.advanceWithHeartbeats(500*time.Millisecond, 1)
		b.answerAll()
	}
	b.g.Expect(b.replies).To(BeEmpty())
	b.g.Expect(b.bodyCount).To(Equal(1))
}

// agree plays homes and targets that agree to all that was sent.
func (b *harness) answerAll() {
	sent := b.sent
	b.sent = nil
	for _, s := range sent {
		switch m := s.Message.(type) {
		case *wire.Claim:
			b.deliver(s.Link, &wire.ClaimReply{ID: m.ID, Attempt: m.Attempt, Agent: m.Agent, Boot: m.Boot})
		case *wire.Offer:
			b.deliver(s.Link, &wire.Grant{ID: m.ID, Ticket: 5})
		case *wire.Body:
			b.bodyCount++
		}
	}
	if len(b.sent) > 0 {
		b.answerAll()
	}
}

// Guards against a body although a home holds the claim of another attempt; the call reads its answer.
func TestClaimOfAnotherAttemptIsFollowed(t *testing.T) {
	b := newHarness(t)
	l, id := b.grantKeyed(1)
	claims := b.takeClaims()
	b.deliver(3-l, &wire.ClaimReply{ID: claims[l].ID, Attempt: "first", Agent: "a2", Boot: 7})
	b.deliver(l, &wire.ClaimReply{ID: claims[l].ID, Attempt: id, Agent: claims[l].Agent, Boot: 7})
	b.g.Expect(countMessages[*wire.Body](b)).To(BeZero())
	b.g.Expect(countMessages[*wire.Decline](b)).To(Equal(1))
	b.g.Expect(countMessages[*wire.Release](b)).To(Equal(2))
	_, a := lastMessage[*wire.Attach](b)
	b.g.Expect(a.ID).To(Equal(ident.RequestID("first")))
	b.advanceWithHeartbeats(12*time.Second, 1, 2)
	b.g.Expect(b.replies).To(BeEmpty(), "the agent lives, and the answer may begin late")
	b.deliver(2, &wire.Refuse{ID: "first", Run: fault.NotRun, Reason: fault.Gone})
	b.g.Expect(countMessages[*wire.Release](b)).To(BeNumerically(">=", 2), "the claim of an attempt that did not run")
}

// Guards against a call that takes the answer to an earlier claim for its own: that claim was released.
func TestAnswerToReleasedClaimIsIgnored(t *testing.T) {
	b := newHarness(t)
	b.beginCall(1, 0, 0, "k")
	first := b.takeClaims()
	b.c.HandleClientDisconnect(b.now, 1)
	b.beginCall(2, 0, 0, "k")
	for l, m := range first {
		b.deliver(l, &wire.ClaimReply{ID: m.ID, Attempt: m.Attempt})
	}
	b.g.Expect(b.replies).To(BeEmpty())
	b.g.Expect(b.confirmClaims()).To(Equal(2))
	b.g.Expect(countMessages[*wire.Offer](b)).To(Equal(2))
}

// Guards against a claim in the object API that blocks its own call: the agent was lost before the body.
func TestClaimOfUndispatchedAttemptIsReplaced(t *testing.T) {
	b := newHarness(t)
	b.beginCall(1, 1, 0, "k")
	l, o := lastMessage[*wire.Offer](b)
	b.deliver(l, &wire.Grant{ID: o.ID, Ticket: 5})
	b.c.HandleDisconnect(b.now, l)
	b.c.HandleClaimResult(b.now, 1, o.ID, entry.ClaimRecorded, entry.Claim{})
	b.collect()
	l, o2 := lastMessage[*wire.Offer](b)
	b.deliver(l, &wire.Grant{ID: o2.ID, Ticket: 6})
	b.g.Expect(b.createdClaims).To(HaveLen(2))
	b.g.Expect(b.createdClaims[1].Replace).To(Equal(o.ID))
}

// Guards against an offer, without a body, for a call that only asks for a kept answer.
func TestKeptAnswerThatDidNotRunIsNotOffered(t *testing.T) {
	b := newHarness(t)
	for id, route := range []int{0, 1} {
		b.replies = nil
		b.c.ResumeAnswer(b.now, entry.CallID(id+1), entry.Request{
			Account: config.Accounts[0], Service: config.Services[1], Route: config.Services[1].Routes[route], Wait: time.Second,
		}, "old", "a3", 7, 0)
		b.collect()
		b.deliver(3, &wire.End{ID: "old", Boot: 7, Run: fault.NotRun, Reason: fault.Target})
		b.advance(time.Second)
		b.g.Expect(countMessages[*wire.Offer](b)).To(BeZero())
		b.g.Expect(b.replies).To(HaveLen(1))
	}
}

// Guards against a second send at the same router that gets no answer because the first is still read there, or
// still waits for a target.
func TestSecondSubmissionAtTheSameRouterGetsTheAnswer(t *testing.T) {
	for name, waits := range map[string]bool{"first waits": true, "first runs": false} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			l, id := b.grantKeyed(1)
			agent := ident.ProcessID("a1")
			if l == 2 {
				agent = "a2"
			}
			b.answerAll()
			b.beginCall(2, 0, 0, "k")
			for l, m := range b.takeClaims() {
				c := &wire.ClaimReply{ID: m.ID, Attempt: id}
				if !waits {
					c.Agent, c.Boot = agent, 7
				}
				b.deliver(l, c)
			}
			b.g.Expect(b.replies).To(BeEmpty())
			b.deliver(l, &wire.Chunk{ID: id, Boot: 7, Seq: 1, Status: 200, Data: []byte("x")})
			b.deliver(l, &wire.End{ID: id, Boot: 7, LastSeq: 1, Complete: true})
			b.g.Expect(b.replies).To(HaveLen(3))
			b.advance(200 * time.Millisecond)
			if waits {
				for l, m := range b.takeClaims() {
					b.deliver(l, &wire.ClaimReply{ID: m.ID, Attempt: id, Agent: agent, Boot: 7})
				}
			}
			_, a := lastMessage[*wire.Attach](b)
			b.g.Expect(a).NotTo(BeNil())
			b.g.Expect(a.ID).To(Equal(id))
			b.g.Expect(a.AfterSeq).To(BeZero())
		})
	}
}

// Guards against a charge for a call that read the answer of an earlier send.
func TestAnswerOfAnEarlierSubmissionIsNotCharged(t *testing.T) {
	b := newHarness(t)
	r := entry.Request{
		Account: config.Accounts[1], Service: config.Services[0], Route: config.Services[0].Routes[0], Tier: config.Tiers[0],
		Wait: 5 * time.Second, Prompt: 1, Key: "k",
	}
	b.c.BeginCall(b.now, 1, r)
	b.collect()
	for l, m := range b.takeClaims() {
		b.deliver(l, &wire.ClaimReply{ID: m.ID, Attempt: "first", Agent: "a1", Boot: 7})
	}
	b.deliver(1, &wire.Chunk{ID: "first", Boot: 7, Seq: 1, Status: 200, Data: []byte("x"), Tokens: 100})
	b.deliver(1, &wire.End{ID: "first", Boot: 7, LastSeq: 1, Complete: true, Output: 100})
	b.g.Expect(b.replies[len(b.replies)-1].Complete).To(BeTrue())
	b.c.BeginCall(b.now, 2, r)
	b.collect()
	b.g.Expect(b.takeClaims()).To(HaveLen(2), "the account has its whole burst")
}

// Guards against a higher tier that is shed while a lower one waits for its homes.
func TestClaimingCallIsEvicted(t *testing.T) {
	b := newHarness(t, entry.WithBounds(conf.RouterBounds{Requests: 1}))
	b.beginCall(1, 0, 0, "k")
	b.c.BeginCall(b.now, 2, entry.Request{
		Account: config.Accounts[0], Service: config.Services[2], Route: config.Services[2].Routes[0],
		Tier: config.Tiers[0], Wait: time.Second,
	})
	b.collect()
	b.g.Expect(b.replies).To(HaveLen(1))
	b.g.Expect(b.replies[0].Fault.Reason).To(Equal(fault.Shed))
	b.g.Expect(countMessages[*wire.Offer](b)).To(Equal(2))
	b.g.Expect(countMessages[*wire.Release](b)).To(Equal(2))
}
