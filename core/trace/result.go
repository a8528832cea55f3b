package trace

import (
	"cmp"
	"slices"
	"time"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
)

// Result is the outcome of a replay.
type Result struct {
	Policy  Policy         `json:"policy"`
	Tiers   []TierSummary  `json:"tiers"`
	Reasons []RefusalCount `json:"reasons"`
	Sent    int            `json:"sent"`
	Good    int            `json:"good"`
	// Prefill counts prompt tokens that engines computed, Wasted those of requests that are not good.
	PrefillTokens ident.Tokens `json:"prefill"`
	WastedTokens  ident.Tokens `json:"wasted"`
	// Tokens counts the prompt and answer tokens of good requests.
	GoodTokens     ident.Tokens `json:"tokens"`
	DuplicateRuns  int          `json:"doubles"`
	FalseNotRun    int          `json:"lies"`
	TierInversions int          `json:"inversions"`
	// Crashes counts targets crashed by fatal requests.
	TargetCrashes int              `json:"crashes"`
	Rollouts      []RolloutSummary `json:"moves"`
	Intervals     []Interval       `json:"slices"`
}

// TierSum is the sum of a tier.
type TierSummary struct {
	Tier    ident.Tier `json:"tier"`
	Name    string     `json:"name"`
	Sent    int        `json:"sent"`
	Good    int        `json:"good"`
	Refused int        `json:"refused"`
	// Left counts callers that left without a first token in time, Cut answers that are not whole.
	Disconnected int `json:"left"`
	Truncated    int `json:"cut"`
	// P50 and P95 are times to the first token of answered requests.
	P50 time.Duration `json:"p50"`
	P95 time.Duration `json:"p95"`
}

// Share returns the goodput as a share of the requests sent.
func (t TierSummary) Goodput() float64 { return float64(t.Good) / float64(max(1, t.Sent)) }

// ReasonSum counts refusals.
type RefusalCount struct {
	Tier   ident.Tier   `json:"tier"`
	Reason fault.Reason `json:"reason"`
	Run    string       `json:"run"`
	Count  int          `json:"count"`
}

// MoveEnd is the end of a move.
type RolloutSummary struct {
	Name   ident.Rollout `json:"name"`
	State  string        `json:"state"`
	Reason string        `json:"reason"`
	// At is the time of the decision, Recorded that of its record, from the start of the trace.
	DecidedAt  time.Duration `json:"at"`
	RecordedAt time.Duration `json:"recorded"`
	// Trials counts the requests that ran on the new version, Failed those of them that failed, and Late the
	// requests that were sent there after the decision to take the move back.
	CanaryRequests    int `json:"trials"`
	CanaryFailures    int `json:"failed"`
	SentAfterRollback int `json:"late"`
}

// Slice is a part of the time, by the arrival of requests.
type Interval struct {
	Start time.Duration `json:"start"`
	// Sent, Good and Wait (mean time to the first token) are by tier.
	Sent []int           `json:"sent"`
	Good []int           `json:"good"`
	Wait []time.Duration `json:"wait"`
	// Trial and All count the requests that ran on a new version and on any version of a moving service.
	NewVersion  int `json:"trial"`
	AllVersions int `json:"all"`
}

// Prefilled returns the wasted share of the prefill tokens.
func (r *Result) WastedShare() float64 {
	return float64(r.WastedTokens) / float64(max(1, r.PrefillTokens))
}

func (w *world) summarise() {
	warm := epoch.Add(w.h.WarmUp.Duration())
	w.jobs = slices.DeleteFunc(w.jobs, func(j *job) bool { return j.arrivedAt.Before(warm) })
	tiers := slices.Clone(w.h.Tiers)
	slices.SortFunc(tiers, func(a, b declaredTier) int { return cmp.Compare(a.Rank, b.Rank) })
	for _, t := range tiers {
		w.result.Tiers = append(w.result.Tiers, w.tierSummary(t))
	}
	for _, j := range w.jobs {
		w.addToResult(j)
	}
	w.result.Reasons = w.refusalCounts()
	w.result.Intervals = w.intervals(len(tiers))
	w.result.Rollouts = w.policy.rolloutSummaries()
	for i := range w.result.Rollouts {
		w.countCanaries(&w.result.Rollouts[i])
	}
}

func (w *world) addToResult(j *job) {
	r := w.result
	r.Sent++
	r.PrefillTokens += j.prefilledTokens
	if j.good {
		r.Good++
		r.GoodTokens += j.Prompt + j.Output
	} else {
		r.WastedTokens += j.prefilledTokens
	}
	if j.runCount > 1 {
		r.DuplicateRuns++
	}
	if j.refusal != nil && j.refusal.Run == fault.NotRun && j.runCount > 0 {
		r.FalseNotRun++
	}
	if j.inversion {
		r.TierInversions++
	}
}

func (w *world) tierSummary(t declaredTier) TierSummary {
	s := TierSummary{Tier: t.Rank, Name: t.Name}
	var waits []time.Duration
	for _, j := range w.jobs {
		if j.Tier != t.Rank {
			continue
		}
		s.add(j)
		if !j.firstByteAt.IsZero() {
			waits = append(waits, j.firstByteAt.Sub(j.arrivedAt))
		}
	}
	slices.Sort(waits)
	if n := len(waits); n > 0 {
		s.P50, s.P95 = waits[n/2], waits[n*95/100]
	}
	return s
}

func (t *TierSummary) add(j *job) {
	t.Sent++
	switch {
	case j.good:
		t.Good++
	case j.disconnected:
		t.Disconnected++
	case j.refusal != nil:
		t.Refused++
	default:
		t.Truncated++
	}
}

func (w *world) refusalCounts() (list []RefusalCount) {
	m := map[RefusalCount]int{}
	for _, j := range w.jobs {
		if j.refusal != nil {
			m[RefusalCount{Tier: j.Tier, Reason: j.refusal.Reason, Run: j.refusal.Run.String()}]++
		}
	}
	for k, n := range m {
		k.Count = n
		list = append(list, k)
	}
	slices.SortFunc(list, func(a, b RefusalCount) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Run, b.Run))
	})
	return list
}

func (w *world) countCanaries(m *RolloutSummary) {
	for _, d := range w.rollouts {
		if d.Name != m.Name {
			continue
		}
		for _, j := range w.jobs {
			if j.ranNewVersion && j.Service == d.Service && j.version == d.To {
				m.CanaryRequests++
				if !j.complete && !j.disconnected {
					m.CanaryFailures++
				}
			}
		}
	}
}
