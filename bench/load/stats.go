package load

import (
	"cmp"
	"slices"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histMax is the largest recorded time in microseconds; longer ones count as this.
	histMax = int64(10 * time.Minute / time.Microsecond)
	// histDigits is the number of significant decimal digits of a histogram.
	histDigits = 3
)

// Times summarises a histogram, in milliseconds.
type Times struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

func times(h *hdr.Histogram) Times {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Times{
		Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P95: ms(h.ValueAtQuantile(95)),
		P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()),
	}
}

// Group is the summary of the requests of one tier and account.
type Group struct {
	Tier    string      `json:"tier"`
	Account string      `json:"account"`
	Sent    int         `json:"sent"`
	Good    int         `json:"good"`
	Ends    map[End]int `json:"ends"`
	First   Times       `json:"first"`
	Gap     Times       `json:"gap"`
	Total   Times       `json:"total"`

	first, gap, total *hdr.Histogram
}

// Share returns the goodput as a share of the requests sent.
func (g *Group) Share() float64 { return float64(g.Good) / float64(max(1, g.Sent)) }

func newGroup(tier, account string) *Group {
	h := func() *hdr.Histogram { return hdr.New(1, histMax, histDigits) }
	return &Group{Tier: tier, Account: account, Ends: map[End]int{}, first: h(), gap: h(), total: h()}
}

func (g *Group) add(r Result) {
	g.Sent++
	g.Ends[r.End]++
	if r.Good() {
		g.Good++
	}
	if r.First > 0 {
		record(g.first, r.First)
	}
	for _, d := range r.Gaps {
		record(g.gap, d)
	}
	if r.End == Whole {
		record(g.total, r.Total)
	}
}

func record(h *hdr.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), histMax)) // the value is within the range
}

func (g *Group) close() { g.First, g.Gap, g.Total = times(g.first), times(g.gap), times(g.total) }

// groups returns the summaries by tier and account, then by tier, in the order of their names.
func groups(results []Result) (byAccount, byTier []*Group) {
	type key struct {
		tier, account string
		// all marks the sum over the accounts of a tier; an account's name may be empty.
		all bool
	}
	m := map[key]*Group{}
	at := func(k key) *Group {
		if m[k] == nil {
			m[k] = newGroup(k.tier, k.account)
		}
		return m[k]
	}
	for _, r := range results {
		at(key{tier: r.Shot.Tier, account: r.Shot.Account}).add(r)
		at(key{tier: r.Shot.Tier, all: true}).add(r)
	}
	for k, g := range m {
		g.close()
		if k.all {
			byTier = append(byTier, g)
		} else {
			byAccount = append(byAccount, g)
		}
	}
	order := func(a, b *Group) int { return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Account, b.Account)) }
	slices.SortFunc(byAccount, order)
	slices.SortFunc(byTier, order)
	return byAccount, byTier
}
