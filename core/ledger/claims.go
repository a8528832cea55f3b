package ledger

import (
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

const (
	// ClaimTime is the time after its last change during which a claim is held. It equals Retention,
	// because a claim without a known agent may still have been dispatched.
	ClaimTTL = Retention
	// ClaimsMax bounds the claims held, about 20 MB.
	ClaimsMax = 1 << 16
)

// Errors of Claims.
var (
	// ErrAccount means that the claim belongs to another client account.
	ErrWrongAccount = errors.New("claim belongs to another account")
	// ErrClaims means that no claim can be forgotten yet; the request is to be refused as not run.
	ErrTooManyClaims = errors.New("too many claims")
)

// Claims holds claims of keyed requests for routers. It is not safe for concurrent use.
type Claims struct {
	ttl       time.Duration
	claimsMax int
	claims    map[ident.RequestID]claim
	// order lists changes from the oldest; an entry is void when the claim changed later.
	changes []change
}

type claim struct {
	account   ident.AccountID
	attempt   ident.RequestID
	agent     ident.ProcessID
	boot      ident.Boot
	changedAt time.Time
}

type change struct {
	id ident.RequestID
	at time.Time
}

// ClaimOption changes a limit of Claims.
type ClaimOption func(*Claims)

// WithClaimTime sets the time for which a claim is held after its last change.
func WithClaimTTL(d time.Duration) ClaimOption { return func(c *Claims) { c.ttl = d } }

// WithClaims sets the largest number of claims held.
func WithClaimsMax(n int) ClaimOption { return func(c *Claims) { c.claimsMax = n } }

// NewClaims returns an empty set of claims.
func NewClaims(opts ...ClaimOption) *Claims {
	c := &Claims{ttl: ClaimTTL, claimsMax: ClaimsMax, claims: map[ident.RequestID]claim{}}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Claim records m, or updates the agent when m is of the attempt that holds the claim. The answer names
// the attempt that holds the claim. Errors: ErrAccount, ErrClaims.
func (c *Claims) Claim(now time.Time, m *wire.Claim) (*wire.ClaimReply, error) {
	c.expire(now)
	h, ok := c.claims[m.ID]
	switch {
	case !ok && len(c.claims) >= c.claimsMax:
		return nil, ErrTooManyClaims
	case !ok:
		h = claim{account: m.Account, attempt: m.Attempt}
	case h.account != m.Account:
		return nil, ErrWrongAccount
	}
	if h.attempt == m.Attempt {
		c.update(now, m, h)
		h = c.claims[m.ID]
	}
	return &wire.ClaimReply{ID: m.ID, Attempt: h.attempt, Agent: h.agent, Boot: h.boot}, nil
}

// Release drops the claim when the attempt holds it and reports whether it did. The router states with
// it that the attempt ended without a dispatch.
func (c *Claims) Release(m *wire.Release) bool {
	h, ok := c.claims[m.ID]
	if !ok || h.attempt != m.Attempt {
		return false
	}
	delete(c.claims, m.ID)
	return true
}

// Unreceived drops the claim when it names the given run of an agent and that agent reported that it
// never received the body; it reports whether it did. A claim that names another agent is kept.
func (c *Claims) ReleaseUnreceived(id ident.RequestID, agent ident.ProcessID, boot ident.Boot) bool {
	h, ok := c.claims[id]
	if !ok || h.agent == "" || h.agent != agent || h.boot != boot {
		return false
	}
	delete(c.claims, id)
	return true
}

// Len returns the number of claims held.
func (c *Claims) Len() int { return len(c.claims) }

func (c *Claims) update(now time.Time, m *wire.Claim, h claim) {
	if m.Agent != "" {
		h.agent, h.boot = m.Agent, m.Boot
	}
	h.changedAt = now
	c.claims[m.ID] = h
	c.changes = append(c.changes, change{id: m.ID, at: now})
	if len(c.changes) > 4*c.claimsMax {
		c.compact()
	}
}

// expire drops the claims whose time is over.
func (c *Claims) expire(now time.Time) {
	n := 0
	for n < len(c.changes) && now.Sub(c.changes[n].at) >= c.ttl {
		if h, ok := c.claims[c.changes[n].id]; ok && now.Sub(h.changedAt) >= c.ttl {
			delete(c.claims, c.changes[n].id)
		}
		n++
	}
	c.changes = c.changes[n:]
}

// compact removes void entries, so that repeated updates of a claim do not grow the list without bound.
func (c *Claims) compact() {
	live := make([]change, 0, len(c.claims))
	for _, o := range c.changes {
		if h, ok := c.claims[o.id]; ok && h.changedAt.Equal(o.at) {
			live = append(live, o)
		}
	}
	c.changes = live
}
