package quota

import (
	"time"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
)

const (
	// SilentAfter is the time without a report after which a router's use is estimated. Reports come
	// several times a second.
	SilentAfter = time.Second
	// SilentMax is the time after which a silent router no longer counts as running: the platform starts
	// a process again sooner, and one that is cut off keeps its callers no longer than their deadlines.
	PresumedStoppedAfter = 30 * time.Second
)

// Tally limits accounts by a copy of one bucket per account at each router. Each router reports the
// tokens that it has taken since its start, and takes those of the others from its copy. The overrun is
// what the others take within the delay of a report. For a silent router its equal part of the rate is
// taken. It is not safe for concurrent use.
type Replicated struct {
	accounts map[ident.AccountID]*replica
	routers  map[ident.ProcessID]*routerUsage
}

// copied is the copy of one account's bucket.
type replica struct {
	limit Limit
	// level is in tokens; a debt is negative.
	level    float64
	filledAt time.Time
	// used counts the tokens taken by this router since its start.
	used ident.Tokens
}

type routerUsage struct {
	boot       ident.Boot
	receivedAt time.Time
	used       map[ident.AccountID]ident.Tokens
}

// NewTally returns a Tally without accounts and other routers.
func NewReplicated() *Replicated {
	return &Replicated{accounts: map[ident.AccountID]*replica{}, routers: map[ident.ProcessID]*routerUsage{}}
}

// Set declares the limit of an account. A new account starts with the given part of its burst; what the
// other routers took before is not known.
func (t *Replicated) SetLimit(now time.Time, a ident.AccountID, l Limit, part float64) {
	c, ok := t.accounts[a]
	if !ok {
		if len(t.accounts) >= AccountsMax {
			return
		}
		t.accounts[a] = &replica{limit: l, level: part * float64(l.Burst), filledAt: now}
		return
	}
	t.refill(now, c)
	c.limit = l
	c.level = min(c.level, float64(l.Burst))
}

// Take charges n tokens to the account, or returns an error with reason fault.Quota and the time after
// which the tokens are there. A request larger than the burst passes when the bucket is full.
func (t *Replicated) Take(now time.Time, a ident.AccountID, n ident.Tokens) *fault.Error {
	c, ok := t.accounts[a]
	if !ok || c.limit.Rate <= 0 {
		return nil
	}
	t.refill(now, c)
	need := min(float64(n), float64(c.limit.Burst))
	if c.level < need {
		err := fault.NotRunf(fault.Quota, "account is over its limit of %d tokens per second", c.limit.Rate)
		err.RetryAfter = min(time.Duration((need-c.level)/float64(c.limit.Rate)*float64(time.Second)), retryAfterMax)
		return err
	}
	c.level -= float64(n)
	c.used += n
	return nil
}

// Give returns the tokens of a request that did not run.
func (t *Replicated) Refund(now time.Time, a ident.AccountID, n ident.Tokens) {
	if c, ok := t.accounts[a]; ok && c.limit.Rate > 0 {
		t.refill(now, c)
		c.level = min(c.level+float64(n), float64(c.limit.Burst))
		c.used -= n
	}
}

// Used returns the tokens taken here since the start, by account, without accounts that took none.
func (t *Replicated) Used() map[ident.AccountID]ident.Tokens {
	out := make(map[ident.AccountID]ident.Tokens, len(t.accounts))
	for a, c := range t.accounts {
		if c.used != 0 {
			out[a] = c.used
		}
	}
	return out
}

// Level returns the tokens that the account may use at once, for log lines.
func (t *Replicated) Level(now time.Time, a ident.AccountID) ident.Tokens {
	c, ok := t.accounts[a]
	if !ok {
		return 0
	}
	t.refill(now, c)
	return ident.Tokens(c.level)
}

// Merge takes in the report of another router. What a new router reports first is not charged, because
// this router may itself be the one that was started again.
func (t *Replicated) Merge(now time.Time, from ident.ProcessID, boot ident.Boot, used map[ident.AccountID]ident.Tokens) {
	r, ok := t.routers[from]
	if !ok || r.boot != boot {
		t.routers[from] = &routerUsage{boot: boot, receivedAt: now, used: used}
		return
	}
	for a, c := range t.accounts {
		t.refill(now, c) // before r.at changes, so that the time of a silence is charged as such
		if now.Sub(r.receivedAt) < SilentAfter {
			c.level = min(c.level-float64(used[a]-r.used[a]), float64(c.limit.Burst))
		}
	}
	r.receivedAt, r.used = now, used
}

// Forget drops another router, which takes its tokens from limits of its own.
func (t *Replicated) RemoveRouter(id ident.ProcessID) { delete(t.routers, id) }

// fill adds what accrued since the last change, less the parts of silent routers.
func (t *Replicated) refill(now time.Time, c *replica) {
	d := now.Sub(c.filledAt).Seconds()
	if d <= 0 {
		return
	}
	known, silent := 1, 0
	for _, r := range t.routers {
		switch age := now.Sub(r.receivedAt); {
		case age >= PresumedStoppedAfter:
		case age >= SilentAfter:
			known++
			silent++
		default:
			known++
		}
	}
	rate := float64(c.limit.Rate) * (1 - float64(silent)/float64(known))
	c.level = min(c.level+d*rate, float64(c.limit.Burst))
	c.filledAt = now
}
