package quota

import (
	"time"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
)

const (
	// SilentAfter is the time without a report after which a router counts as silent and its usage is estimated.
	// Reports arrive several times a second.
	SilentAfter = time.Second
	// PresumedStoppedAfter is the time without a report after which a router no longer counts as running: the
	// platform restarts a process sooner, and a partitioned router serves its clients no longer than their
	// deadlines.
	PresumedStoppedAfter = 30 * time.Second
)

// Replicated limits accounts by a replica of one bucket per account at each router. Each router reports the
// tokens that it has taken since its start, and charges those of the others to its replica. The limit can be
// exceeded by what the others take within the delay of a report. A silent router is charged with an equal share
// of the rate. It is not safe for concurrent use.
type Replicated struct {
	accounts map[ident.AccountID]*replica
	routers  map[ident.ProcessID]*routerUsage
}

// replica is this router's replica of one account's bucket.
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

// NewReplicated returns a Replicated without accounts and other routers.
func NewReplicated() *Replicated {
	return &Replicated{accounts: map[ident.AccountID]*replica{}, routers: map[ident.ProcessID]*routerUsage{}}
}

// SetLimit declares the limit of an account. A new account starts with the given fraction of its burst; how much
// the other routers took before is not known.
func (q *Replicated) SetLimit(now time.Time, a ident.AccountID, l Limit, fraction float64) {
	b, ok := q.accounts[a]
	if !ok {
		if len(q.accounts) >= AccountsMax {
			return
		}
		q.accounts[a] = &replica{limit: l, level: fraction * float64(l.Burst), filledAt: now}
		return
	}
	q.refill(now, b)
	b.limit = l
	b.level = min(b.level, float64(l.Burst))
}

// Take charges n tokens to the account, or returns an error with reason fault.Quota and the time after
// which the tokens are available. A request larger than the burst is admitted when the bucket is full.
func (q *Replicated) Take(now time.Time, a ident.AccountID, n ident.Tokens) *fault.Error {
	b, ok := q.accounts[a]
	if !ok || b.limit.Rate <= 0 {
		return nil
	}
	q.refill(now, b)
	need := min(float64(n), float64(b.limit.Burst))
	if b.level < need {
		err := fault.NotRunf(fault.Quota, "account is over its limit of %d tokens per second", b.limit.Rate)
		err.RetryAfter = min(time.Duration((need-b.level)/float64(b.limit.Rate)*float64(time.Second)), retryAfterMax)
		return err
	}
	b.level -= float64(n)
	b.used += n
	return nil
}

// Refund returns the tokens of a request that did not run to the bucket.
func (q *Replicated) Refund(now time.Time, a ident.AccountID, n ident.Tokens) {
	if b, ok := q.accounts[a]; ok && b.limit.Rate > 0 {
		q.refill(now, b)
		b.level = min(b.level+float64(n), float64(b.limit.Burst))
		b.used -= n
	}
}

// Used returns the tokens taken at this router since its start, by account; accounts without any are omitted.
func (q *Replicated) Used() map[ident.AccountID]ident.Tokens {
	out := make(map[ident.AccountID]ident.Tokens, len(q.accounts))
	for a, b := range q.accounts {
		if b.used != 0 {
			out[a] = b.used
		}
	}
	return out
}

// Level returns the tokens that the account may use at once, for logging.
func (q *Replicated) Level(now time.Time, a ident.AccountID) ident.Tokens {
	b, ok := q.accounts[a]
	if !ok {
		return 0
	}
	q.refill(now, b)
	return ident.Tokens(b.level)
}

// Merge applies the usage report of another router. The first report of a router or of a boot is not charged,
// because this router may itself be the one that restarted.
func (q *Replicated) Merge(
	now time.Time, from ident.ProcessID, boot ident.Boot, used map[ident.AccountID]ident.Tokens,
) {
	r, ok := q.routers[from]
	if !ok || r.boot != boot {
		q.routers[from] = &routerUsage{boot: boot, receivedAt: now, used: used}
		return
	}
	for a, b := range q.accounts {
		q.refill(now, b) // before the receipt time changes, so that silent time is charged as such
		if now.Sub(r.receivedAt) < SilentAfter {
			b.level = min(b.level-float64(used[a]-r.used[a]), float64(b.limit.Burst))
		}
	}
	r.receivedAt, r.used = now, used
}

// RemoveRouter removes a router that now belongs to another cell. Each cell is allotted its own share of the limits,
// so the usage of that router is no longer charged here.
func (q *Replicated) RemoveRouter(id ident.ProcessID) { delete(q.routers, id) }

// refill adds the tokens accrued since the last refill, less the equal shares of silent routers.
func (q *Replicated) refill(now time.Time, b *replica) {
	d := now.Sub(b.filledAt).Seconds()
	if d <= 0 {
		return
	}
	known, silent := 1, 0
	for _, r := range q.routers {
		switch age := now.Sub(r.receivedAt); {
		case age >= PresumedStoppedAfter:
		case age >= SilentAfter:
			known++
			silent++
		default:
			known++
		}
	}
	rate := float64(b.limit.Rate) * (1 - float64(silent)/float64(known))
	b.level = min(b.level+d*rate, float64(b.limit.Burst))
	b.filledAt = now
}
