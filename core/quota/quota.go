// Package quota limits the tokens per second of client accounts over all routers. Each router holds a
// bucket per account with a part of the rate in proportion to its share of the account's demand.
package quota

import (
	"cmp"
	"slices"
	"time"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
)

const (
	// DemandTime is the time constant with which demand is averaged.
	DemandTimeConstant = 5 * time.Second
	// Round is the interval at which demand is announced.
	AnnounceInterval = time.Second
	// Settle is the time within which an announcement reaches all routers. A higher demand raises the
	// own share only after it, a lower one lowers it at once.
	SettleTime = 2 * time.Second
	// DemandKeep is the time after which the demand fact of another router no longer counts.
	DemandTTL = 5 * time.Second
	// Reserve is the part of the rate that is divided equally, so that an account that turns to a
	// router without recent demand is served there at once.
	ReservedFraction = 0.05
	// BurstMin is the smallest capacity of a router's bucket in tokens, a few requests, as far as the
	// burst of the account allows. An account whose requests are spread over many routers reaches each
	// only now and then; without it two requests in a row would be refused below the limit. N routers
	// may hold N x BurstMin together.
	BurstMin = 1024
	// AccountsMax bounds the accounts held.
	AccountsMax = 4096
)

// Limit is the declared limit of an account.
type Limit struct {
	// Rate is in tokens per second over all routers; zero means no limit.
	Rate ident.Tokens
	// Burst is the number of tokens that may be used at once over all routers.
	Burst ident.Tokens
}

// Demand is the fact that one router spreads about one account once a second.
type Demand struct {
	Account ident.AccountID
	Router  ident.ProcessID
	// Rate is the recent demand in tokens per second, refused requests included.
	Rate float64
}

// Quota holds the buckets of one router. It is not safe for concurrent use.
type Quota struct {
	self     ident.ProcessID
	routers  int
	accounts map[ident.AccountID]*bucket
}

// New returns a Quota without accounts for the router self, which is at first the only one.
func New(self ident.ProcessID) *Quota {
	return &Quota{self: self, routers: 1, accounts: map[ident.AccountID]*bucket{}}
}

// SetRouters sets the number of live routers, this one included.
func (q *Quota) SetRouterCount(n int) { q.routers = max(n, 1) }

// Set declares the limit of an account. A new account starts with a full bucket; a changed limit keeps
// the level as far as the new burst allows.
func (q *Quota) SetLimit(now time.Time, a ident.AccountID, l Limit) {
	b, ok := q.accounts[a]
	if !ok {
		if len(q.accounts) >= AccountsMax {
			return
		}
		b = &bucket{filledAt: now}
		q.accounts[a] = b
		b.limit = l
		b.level = b.capacity(now, q.routers)
		return
	}
	b.refill(now, q.routers)
	b.limit = l
}

// Drop removes an account.
func (q *Quota) Drop(a ident.AccountID) { delete(q.accounts, a) }

// Take charges n tokens to the account, or returns an error with reason fault.Quota and the time after
// which a new try makes sense. An account without a declared limit is not limited. A request larger
// than the bucket passes when the bucket is full and leaves a debt.
func (q *Quota) Take(now time.Time, a ident.AccountID, n ident.Tokens) *fault.Error {
	b, ok := q.accounts[a]
	if !ok || b.limit.Rate <= 0 {
		return nil
	}
	b.refill(now, q.routers)
	b.addDemand(now, n)
	need := min(float64(n), b.capacity(now, q.routers))
	if b.level >= need {
		b.level -= float64(n)
		return nil
	}
	err := fault.NotRunf(fault.Quota, "account is over its limit of %d tokens per second", b.limit.Rate)
	err.RetryAfter = b.timeUntil(now, q.routers, need)
	return err
}

// Correct charges the difference between the tokens used and those taken; a negative n gives back.
func (q *Quota) Adjust(now time.Time, a ident.AccountID, n ident.Tokens) {
	b, ok := q.accounts[a]
	if !ok || b.limit.Rate <= 0 {
		return
	}
	b.refill(now, q.routers)
	b.level = min(b.level-float64(n), b.capacity(now, q.routers))
}

// Demands returns the facts to spread: one for each account with recent demand at this router, in the
// order of accounts. It is called once per Round.
func (q *Quota) AnnounceDemands(now time.Time) (out []Demand) {
	for a, b := range q.accounts {
		if r := b.announce(now, q.routers); r > 0 {
			out = append(out, Demand{Account: a, Router: q.self, Rate: r})
		}
	}
	slices.SortFunc(out, func(a, b Demand) int { return cmp.Compare(a.Account, b.Account) })
	return out
}

// Merge takes in the demand fact of another router, received at now.
func (q *Quota) Merge(now time.Time, d Demand) {
	b, ok := q.accounts[d.Account]
	if !ok || d.Router == q.self {
		return
	}
	b.refill(now, q.routers)
	b.mergeDemand(now, d)
}

// Share returns the part of the account's rate that this router holds now, from 0 to 1.
func (q *Quota) Share(now time.Time, a ident.AccountID) float64 {
	b, ok := q.accounts[a]
	if !ok {
		return 0
	}
	return b.share(now, q.routers)
}
