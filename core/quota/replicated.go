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

// StartTime is the time for which the rate of an account is granted, divided over all routers, to routers that start
// without knowing what was taken before. Callers return at once after an outage; the platform measures limits over
// 8 s with a tolerance of a tenth, which is 0.8 s of the rate.
const StartTime = 500 * time.Millisecond

// Replicated limits accounts by a replica of one bucket per account at each router. Each router reports the
// tokens that it has taken since its start, and charges those of the others to its replica. The limit can be
// exceeded by what the others take within the delay of a report. A silent router is charged with an equal share
// of the rate. A router that starts copies the level of one that has been running; if all start at once, nobody knows
// what was taken before, so that they begin with a small part of the limit. It is not safe for concurrent use.
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
	// promised are the tokens of requests that this router refused and told when to return, as of filledAt.
	promised float64
	// unsettled is true until the level was copied from a router that knows what was taken before; granted is true
	// once the account got its share of StartTime.
	unsettled, granted bool
}

// UsageReport is what a router reports of its accounts.
type UsageReport struct {
	Boot ident.Boot
	// Used holds the tokens taken since the start of the router, without accounts that did not change since an
	// earlier report. Levels holds the levels of its buckets, or nothing.
	Used, Levels map[ident.AccountID]ident.Tokens
	// Starting is true for a router that has just started: all it took was taken a moment ago, and its levels
	// show nothing of what was taken before.
	Starting bool
}

type routerUsage struct {
	boot       ident.Boot
	receivedAt time.Time
	// used holds the reported use; an account that is missing was not reported yet. fromZero is true if all of the
	// router's use since its start is charged.
	used     map[ident.AccountID]ident.Tokens
	fromZero bool
}

// NewReplicated returns a Replicated without accounts and other routers.
func NewReplicated() *Replicated {
	return &Replicated{accounts: map[ident.AccountID]*replica{}, routers: map[ident.ProcessID]*routerUsage{}}
}

// SetLimit declares the limit of an account. A new account starts with the given fraction of its burst: that of this
// router if nobody has used the account yet, or zero if that is not known.
func (q *Replicated) SetLimit(now time.Time, a ident.AccountID, l Limit, fraction float64) {
	b, ok := q.accounts[a]
	if !ok {
		if len(q.accounts) >= AccountsMax {
			return
		}
		q.accounts[a] = &replica{limit: l, level: fraction * float64(l.Burst), filledAt: now, unsettled: fraction == 0}
		return
	}
	q.refill(now, b)
	b.limit = l
	b.promised = min(b.promised, promiseMax.Seconds()*float64(l.Rate))
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
		err.RetryAfter = q.promise(now, b, need)
		return err
	}
	b.level -= float64(n)
	b.used += n
	return nil
}

// promiseMax bounds the time over which returns are spread; callers wait no longer.
const promiseMax = 10 * time.Second

// promise returns the time after which a refused request finds its tokens, if those that were refused before it return
// first: all would find the bucket empty again if each was told when it alone would be served. Of the rate, this router
// promises its equal part.
func (q *Replicated) promise(now time.Time, b *replica, need float64) time.Duration {
	rate := float64(b.limit.Rate)
	known, _ := q.counts(now)
	wait := (need-b.level)/rate + b.promised*float64(known)/rate
	if wait < promiseMax.Seconds() {
		b.promised += need
	}
	return min(time.Duration(wait*float64(time.Second)), retryAfterMax)
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

// Levels returns the levels of all limited accounts.
func (q *Replicated) Levels(now time.Time) map[ident.AccountID]ident.Tokens {
	out := make(map[ident.AccountID]ident.Tokens, len(q.accounts))
	for a, b := range q.accounts {
		if b.limit.Rate > 0 {
			q.refill(now, b)
			out[a] = ident.Tokens(b.level)
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

// AddRouter makes another router known that has not reported yet. It counts as silent, so that routers that start at
// once do not each use the whole rate before they hear of each other.
func (q *Replicated) AddRouter(now time.Time, id ident.ProcessID) {
	if _, ok := q.routers[id]; !ok {
		q.routers[id] = &routerUsage{receivedAt: now.Add(-SilentAfter)}
	}
}

// Start grants the accounts whose earlier use is not known the given share of StartTime, once.
func (q *Replicated) Start(now time.Time, share float64) {
	for _, b := range q.accounts {
		if !b.unsettled || b.granted {
			continue
		}
		q.refill(now, b)
		b.level = min(b.level+share*StartTime.Seconds()*float64(b.limit.Rate), float64(b.limit.Burst))
		b.granted = true
	}
}

// Merge applies the report of another router. The first report of a router that has been running is not charged,
// because most of it was taken before this router started.
func (q *Replicated) Merge(now time.Time, from ident.ProcessID, rep UsageReport) {
	r, ok := q.routers[from]
	known := ok && r.boot == rep.Boot
	// The count of a router that has just started, or has started again, began after its last report.
	fromZero := !known && (rep.Starting || ok && r.boot != 0)
	charged := fromZero || known && now.Sub(r.receivedAt) < SilentAfter
	if !known {
		r = &routerUsage{boot: rep.Boot, used: map[ident.AccountID]ident.Tokens{}, fromZero: fromZero}
		q.routers[from] = r
	}
	for a, b := range q.accounts {
		q.refill(now, b) // before the receipt time changes, so that silent time is charged as such
		n, reported := rep.Used[a]
		before, counted := r.used[a]
		if reported && charged && (counted || r.fromZero) {
			b.level = min(b.level-float64(n-before), float64(b.limit.Burst))
		}
		if reported {
			r.used[a] = n
		}
		if l, ok := rep.Levels[a]; ok && b.unsettled && !rep.Starting {
			b.level, b.unsettled = min(float64(l-b.used), float64(b.limit.Burst)), false
		}
	}
	r.receivedAt = now
}

// RemoveRouter removes a router that now belongs to another cell. Each cell is allotted its own share of the limits,
// so the usage of that router is no longer charged here.
func (q *Replicated) RemoveRouter(id ident.ProcessID) { delete(q.routers, id) }

// counts returns the number of routers that may be running, including this one, and of the silent ones among them.
func (q *Replicated) counts(now time.Time) (known, silent int) {
	known = 1
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
	return known, silent
}

// refill adds the tokens accrued since the last refill, less the equal shares of silent routers.
func (q *Replicated) refill(now time.Time, b *replica) {
	d := now.Sub(b.filledAt).Seconds()
	if d <= 0 {
		return
	}
	known, silent := q.counts(now)
	rate := float64(b.limit.Rate) * (1 - float64(silent)/float64(known))
	b.level = min(b.level+d*rate, float64(b.limit.Burst))
	b.promised = max(b.promised-d*rate/float64(known), 0)
	b.filledAt = now
}
