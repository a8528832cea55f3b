package load

import (
	"cmp"
	"slices"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histMax is the largest recorded time in microseconds; longer ones count as this.
	histMaxMicros = int64(10 * time.Minute / time.Microsecond)
	// histDigits is the number of significant decimal digits of a histogram.
	histSignificantDigits = 3
)

// Times summarises a histogram, in milliseconds.
type LatencySummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

func summariseLatency(h *hdr.Histogram) LatencySummary {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return LatencySummary{
		Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P95: ms(h.ValueAtQuantile(95)),
		P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()),
	}
}

// Group is the summary of the requests of one tier and account.
type Group struct {
	Tier       string          `json:"tier"`
	Account    string          `json:"account"`
	Sent       int             `json:"sent"`
	Good       int             `json:"good"`
	Outcomes   map[Outcome]int `json:"ends"`
	FirstToken LatencySummary  `json:"first"`
	TokenGap   LatencySummary  `json:"gap"`
	Total      LatencySummary  `json:"total"`

	firstTokenHist, tokenGapHist, totalHist *hdr.Histogram
}

// Share returns the goodput as a share of the requests sent.
func (g *Group) Goodput() float64 { return float64(g.Good) / float64(max(1, g.Sent)) }

func newGroup(tier, account string) *Group {
	h := func() *hdr.Histogram { return hdr.New(1, histMaxMicros, histSignificantDigits) }
	return &Group{Tier: tier, Account: account, Outcomes: map[Outcome]int{}, firstTokenHist: h(), tokenGapHist: h(), totalHist: h()}
}

func (g *Group) add(r Result) {
	g.Sent++
	g.Outcomes[r.Outcome]++
	if r.Good() {
		g.Good++
	}
	if r.FirstToken > 0 {
		recordLatency(g.firstTokenHist, r.FirstToken)
	}
	for _, d := range r.TokenGaps {
		recordLatency(g.tokenGapHist, d)
	}
	if r.Outcome == Complete {
		recordLatency(g.totalHist, r.Total)
	}
}

func recordLatency(h *hdr.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), histMaxMicros)) // the value is within the range
}

func (g *Group) summarise() {
	g.FirstToken, g.TokenGap, g.Total = summariseLatency(g.firstTokenHist), summariseLatency(g.tokenGapHist), summariseLatency(g.totalHist)
}

// groups returns the summaries by tier and account, then by tier, in the order of their names.
func groupResults(results []Result) (byAccount, byTier []*Group) {
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
		at(key{tier: r.Request.Tier, account: r.Request.Account}).add(r)
		at(key{tier: r.Request.Tier, all: true}).add(r)
	}
	for k, g := range m {
		g.summarise()
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
