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
	ClaimTime = Retention
	// ClaimsMax bounds the claims held, about 20 MB.
	ClaimsMax = 1 << 16
)

// Errors of Claims.
var (
	// ErrAccount means that the claim belongs to another client account.
	ErrAccount = errors.New("claim belongs to another account")
	// ErrClaims means that no claim can be forgotten yet; the request is to be refused as not run.
	ErrClaims = errors.New("too many claims")
)

// Claims holds claims of keyed requests for routers. It is not safe for concurrent use.
type Claims struct {
	keep time.Duration
	max  int
	held map[ident.RequestID]claim
	// order lists changes from the oldest; an entry is void when the claim changed later.
	order []change
}

type claim struct {
	account ident.AccountID
	attempt ident.RequestID
	agent   ident.ProcessID
	boot    ident.Boot
	at      time.Time
}

type change struct {
	id ident.RequestID
	at time.Time
}

// ClaimOption changes a limit of Claims.
type ClaimOption func(*Claims)

// WithClaimTime sets the time for which a claim is held after its last change.
func WithClaimTime(d time.Duration) ClaimOption { return func(c *Claims) { c.keep = d } }

// WithClaims sets the largest number of claims held.
func WithClaims(n int) ClaimOption { return func(c *Claims) { c.max = n } }

// NewClaims returns an empty set of claims.
func NewClaims(opts ...ClaimOption) *Claims {
	c := &Claims{keep: ClaimTime, max: ClaimsMax, held: map[ident.RequestID]claim{}}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Claim records m, or updates the agent when m is of the attempt that holds the claim. The answer names
// the attempt that holds the claim. Errors: ErrAccount, ErrClaims.
func (c *Claims) Claim(now time.Time, m *wire.Claim) (*wire.ClaimReply, error) {
	c.expire(now)
	h, ok := c.held[m.ID]
	switch {
	case !ok && len(c.held) >= c.max:
		return nil, ErrClaims
	case !ok:
		h = claim{account: m.Account, attempt: m.Attempt}
	case h.account != m.Account:
		return nil, ErrAccount
	}
	if h.attempt == m.Attempt {
		c.put(now, m, h)
		h = c.held[m.ID]
	}
	return &wire.ClaimReply{ID: m.ID, Attempt: h.attempt, Agent: h.agent, Boot: h.boot}, nil
}

// Release drops the claim when the attempt holds it and reports whether it did. The router states with
// it that the attempt ended without a dispatch.
func (c *Claims) Release(m *wire.Release) bool {
	h, ok := c.held[m.ID]
	if !ok || h.attempt != m.Attempt {
		return false
	}
	delete(c.held, m.ID)
	return true
}

// Unreceived drops the claim when it names the given run of an agent and that agent reported that it
// never received the body; it reports whether it did. A claim that names another agent is kept.
func (c *Claims) Unreceived(id ident.RequestID, agent ident.ProcessID, boot ident.Boot) bool {
	h, ok := c.held[id]
	if !ok || h.agent == "" || h.agent != agent || h.boot != boot {
		return false
	}
	delete(c.held, id)
	return true
}

// Len returns the number of claims held.
func (c *Claims) Len() int { return len(c.held) }

func (c *Claims) put(now time.Time, m *wire.Claim, h claim) {
	if m.Agent != "" {
		h.agent, h.boot = m.Agent, m.Boot
	}
	h.at = now
	c.held[m.ID] = h
	c.order = append(c.order, change{id: m.ID, at: now})
	if len(c.order) > 4*c.max {
		c.compact()
	}
}

// expire drops the claims whose time is over.
func (c *Claims) expire(now time.Time) {
	n := 0
	for n < len(c.order) && now.Sub(c.order[n].at) >= c.keep {
		if h, ok := c.held[c.order[n].id]; ok && now.Sub(h.at) >= c.keep {
			delete(c.held, c.order[n].id)
		}
		n++
	}
	c.order = c.order[n:]
}

// compact removes void entries, so that repeated updates of a claim do not grow the list without bound.
func (c *Claims) compact() {
	live := make([]change, 0, len(c.held))
	for _, o := range c.order {
		if h, ok := c.held[o.id]; ok && h.at.Equal(o.at) {
			live = append(live, o)
		}
	}
	c.order = live
}
