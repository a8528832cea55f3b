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
	Policy  Policy      `json:"policy"`
	Tiers   []TierSum   `json:"tiers"`
	Reasons []ReasonSum `json:"reasons"`
	Sent    int         `json:"sent"`
	Good    int         `json:"good"`
	// Prefill counts prompt tokens that engines computed, Wasted those of requests that are not good.
	Prefill ident.Tokens `json:"prefill"`
	Wasted  ident.Tokens `json:"wasted"`
	// Tokens counts the prompt and answer tokens of good requests.
	Tokens     ident.Tokens `json:"tokens"`
	Doubles    int          `json:"doubles"`
	Lies       int          `json:"lies"`
	Inversions int          `json:"inversions"`
	// Crashes counts targets crashed by fatal requests.
	Crashes int       `json:"crashes"`
	Moves   []MoveEnd `json:"moves"`
	Slices  []Slice   `json:"slices"`
}

// TierSum is the sum of a tier.
type TierSum struct {
	Tier    ident.Tier `json:"tier"`
	Name    string     `json:"name"`
	Sent    int        `json:"sent"`
	Good    int        `json:"good"`
	Refused int        `json:"refused"`
	// Left counts callers that left without a first token in time, Cut answers that are not whole.
	Left int `json:"left"`
	Cut  int `json:"cut"`
	// P50 and P95 are times to the first token of answered requests.
	P50 time.Duration `json:"p50"`
	P95 time.Duration `json:"p95"`
}

// Share returns the goodput as a share of the requests sent.
func (t TierSum) Share() float64 { return float64(t.Good) / float64(max(1, t.Sent)) }

// ReasonSum counts refusals.
type ReasonSum struct {
	Tier   ident.Tier   `json:"tier"`
	Reason fault.Reason `json:"reason"`
	Run    string       `json:"run"`
	Count  int          `json:"count"`
}

// MoveEnd is the end of a move.
type MoveEnd struct {
	Name   ident.Rollout `json:"name"`
	State  string        `json:"state"`
	Reason string        `json:"reason"`
	// At is the time of the decision, Recorded that of its record, from the start of the trace.
	At       time.Duration `json:"at"`
	Recorded time.Duration `json:"recorded"`
	// Trials counts the requests that ran on the new version, Failed those of them that failed, and Late the
	// requests that were sent there after the decision to take the move back.
	Trials int `json:"trials"`
	Failed int `json:"failed"`
	Late   int `json:"late"`
}

// Slice is a part of the time, by the arrival of requests.
type Slice struct {
	Start time.Duration `json:"start"`
	// Sent, Good and Wait (mean time to the first token) are by tier.
	Sent []int           `json:"sent"`
	Good []int           `json:"good"`
	Wait []time.Duration `json:"wait"`
	// Trial and All count the requests that ran on a new version and on any version of a moving service.
	Trial int `json:"trial"`
	All   int `json:"all"`
}

// Prefilled returns the wasted share of the prefill tokens.
func (r *Result) Prefilled() float64 { return float64(r.Wasted) / float64(max(1, r.Prefill)) }

func (w *world) summarise() {
	warm := epoch.Add(w.h.Warm.Duration())
	w.jobs = slices.DeleteFunc(w.jobs, func(j *job) bool { return j.start.Before(warm) })
	tiers := slices.Clone(w.h.Tiers)
	slices.SortFunc(tiers, func(a, b tierOf) int { return cmp.Compare(a.Rank, b.Rank) })
	for _, t := range tiers {
		w.res.Tiers = append(w.res.Tiers, w.tier(t))
	}
	for _, j := range w.jobs {
		w.sum(j)
	}
	w.res.Reasons = w.reasons()
	w.res.Slices = w.slices(len(tiers))
	w.res.Moves = w.policy.ends()
	for i := range w.res.Moves {
		w.trials(&w.res.Moves[i])
	}
}

func (w *world) sum(j *job) {
	r := w.res
	r.Sent++
	r.Prefill += j.prefill
	if j.good {
		r.Good++
		r.Tokens += j.Prompt + j.Output
	} else {
		r.Wasted += j.prefill
	}
	if j.runs > 1 {
		r.Doubles++
	}
	if j.fault != nil && j.fault.Run == fault.NotRun && j.runs > 0 {
		r.Lies++
	}
	if j.inversion {
		r.Inversions++
	}
}

func (w *world) tier(t tierOf) TierSum {
	s := TierSum{Tier: t.Rank, Name: t.Name}
	var waits []time.Duration
	for _, j := range w.jobs {
		if j.Tier != t.Rank {
			continue
		}
		s.add(j)
		if !j.first.IsZero() {
			waits = append(waits, j.first.Sub(j.start))
		}
	}
	slices.Sort(waits)
	if n := len(waits); n > 0 {
		s.P50, s.P95 = waits[n/2], waits[n*95/100]
	}
	return s
}

func (t *TierSum) add(j *job) {
	t.Sent++
	switch {
	case j.good:
		t.Good++
	case j.left:
		t.Left++
	case j.fault != nil:
		t.Refused++
	default:
		t.Cut++
	}
}

func (w *world) reasons() (list []ReasonSum) {
	m := map[ReasonSum]int{}
	for _, j := range w.jobs {
		if j.fault != nil {
			m[ReasonSum{Tier: j.Tier, Reason: j.fault.Reason, Run: j.fault.Run.String()}]++
		}
	}
	for k, n := range m {
		k.Count = n
		list = append(list, k)
	}
	slices.SortFunc(list, func(a, b ReasonSum) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Run, b.Run))
	})
	return list
}

func (w *world) trials(m *MoveEnd) {
	for _, d := range w.moves {
		if d.Name != m.Name {
			continue
		}
		for _, j := range w.jobs {
			if j.trial && j.Service == d.Service && j.version == d.To {
				m.Trials++
				if !j.whole && !j.left {
					m.Failed++
				}
			}
		}
	}
}
