package ledger

import (
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

const (
	// ClaimTTL is the time for which a claim is held after its last change. It equals Retention, because the
	// request of a claim without a known agent may still have been dispatched.
	ClaimTTL = Retention
	// ClaimsMax bounds the claims held, which take about 20 MB.
	ClaimsMax = 1 << 16
)

// Errors of Claims.
var (
	// ErrWrongAccount means that the claim belongs to another client account.
	ErrWrongAccount = errors.New("claim belongs to another account")
	// ErrTooManyClaims means that the set is full and no claim has expired; the request must be refused as not run.
	ErrTooManyClaims = errors.New("too many claims")
)

// Claims holds the claims of requests with idempotency keys, on behalf of routers. It is not safe for concurrent
// use.
type Claims struct {
	ttl       time.Duration
	claimsMax int
	claims    map[ident.RequestID]claim
	// changes lists the changes of claims, the oldest first; an entry is stale when its claim changed later.
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

// WithClaimTTL sets the time for which a claim is held after its last change.
func WithClaimTTL(d time.Duration) ClaimOption { return func(c *Claims) { c.ttl = d } }

// WithClaimsMax sets the largest number of claims held.
func WithClaimsMax(n int) ClaimOption { return func(c *Claims) { c.claimsMax = n } }

// NewClaims returns an empty set of claims.
func NewClaims(opts ...ClaimOption) *Claims {
	c := &Claims{ttl: ClaimTTL, claimsMax: ClaimsMax, claims: map[ident.RequestID]claim{}}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Claim records m, or updates the agent when m is from the attempt that holds the claim. The result contains the
// attempt that holds the claim. Errors: ErrWrongAccount, ErrTooManyClaims.
func (c *Claims) Claim(now time.Time, m *wire.Claim) (*wire.ClaimReply, error) {
	c.expire(now)
	cl, ok := c.claims[m.ID]
	switch {
	case !ok && len(c.claims) >= c.claimsMax:
		return nil, ErrTooManyClaims
	case !ok:
		cl = claim{account: m.Account, attempt: m.Attempt}
	case cl.account != m.Account:
		return nil, ErrWrongAccount
	}
	if cl.attempt == m.Attempt {
		c.update(now, m, cl)
		cl = c.claims[m.ID]
	}
	return &wire.ClaimReply{ID: m.ID, Attempt: cl.attempt, Agent: cl.agent, Boot: cl.boot}, nil
}

// Release removes the claim when the attempt of m holds it, and reports whether it did. With m the router states
// that the attempt ended without a dispatch.
func (c *Claims) Release(m *wire.Release) bool {
	cl, ok := c.claims[m.ID]
	if !ok || cl.attempt != m.Attempt {
		return false
	}
	delete(c.claims, m.ID)
	return true
}

// ReleaseUnreceived removes the claim when it names the given boot of an agent, after that agent reported that it
// never received the body; it reports whether it did. A claim that names another agent or boot is kept.
func (c *Claims) ReleaseUnreceived(id ident.RequestID, agent ident.ProcessID, boot ident.Boot) bool {
	cl, ok := c.claims[id]
	if !ok || cl.agent == "" || cl.agent != agent || cl.boot != boot {
		return false
	}
	delete(c.claims, id)
	return true
}

// Len returns the number of claims held.
func (c *Claims) Len() int { return len(c.claims) }

func (c *Claims) update(now time.Time, m *wire.Claim, cl claim) {
	if m.Agent != "" {
		cl.agent, cl.boot = m.Agent, m.Boot
	}
	cl.changedAt = now
	c.claims[m.ID] = cl
	c.changes = append(c.changes, change{id: m.ID, at: now})
	if len(c.changes) > 4*c.claimsMax {
		c.compact()
	}
}

// expire removes the expired claims.
func (c *Claims) expire(now time.Time) {
	n := 0
	for n < len(c.changes) && now.Sub(c.changes[n].at) >= c.ttl {
		if cl, ok := c.claims[c.changes[n].id]; ok && now.Sub(cl.changedAt) >= c.ttl {
			delete(c.claims, c.changes[n].id)
		}
		n++
	}
	c.changes = c.changes[n:]
}

// compact removes stale entries, so that repeated updates of a claim do not grow the list without bound.
func (c *Claims) compact() {
	live := make([]change, 0, len(c.claims))
	for _, o := range c.changes {
		if cl, ok := c.claims[o.id]; ok && cl.changedAt.Equal(o.at) {
			live = append(live, o)
		}
	}
	c.changes = live
}
