package load

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"hickoryvane.example/core/fault"
)

// Report summarises the results of a load.
type Report struct {
	Planned  int            `json:"planned"`
	Skipped  int            `json:"skipped"`
	Sent     int            `json:"sent"`
	Good     int            `json:"good"`
	Tiers    []*Group       `json:"tiers"`
	Accounts []*Group       `json:"accounts"`
	Refusals []RefusalCount `json:"refusals"`
	// RunsChecked is false when no stand-in was asked for the runs; then DuplicateRuns and FalseNotRun are empty.
	RunsChecked bool `json:"runs"`
	// DuplicateRuns are the ids of requests that ran more than once; for idempotency keys "key " and the key.
	DuplicateRuns []string `json:"doubles"`
	// FalseNotRun are the ids of requests that were refused as "not run" but ran.
	FalseNotRun    []string `json:"lies"`
	BrokenPromises []string `json:"broken"`
}

// RefusalCount counts the problem documents or error events with the same properties.
type RefusalCount struct {
	Tier     string       `json:"tier"`
	Outcome  Outcome      `json:"end"`
	Reason   fault.Reason `json:"reason"`
	RunState string       `json:"run"`
	Count    int          `json:"count"`
}

// NewReport summarises results. runs are the numbers of runs as FetchRuns returns them, nil when no
// stand-in was asked.
func NewReport(results []Result, skipped int, runs map[string]int) *Report {
	rep := &Report{Planned: len(results) + skipped, Skipped: skipped, Sent: len(results), RunsChecked: runs != nil}
	rep.Accounts, rep.Tiers = groupResults(results)
	for _, g := range rep.Tiers {
		rep.Good += g.Good
	}
	rep.Refusals = countRefusals(results)
	rep.checkRuns(results, runs)
	return rep
}

func countRefusals(results []Result) (list []RefusalCount) {
	m := map[RefusalCount]int{}
	for _, r := range results {
		if r.Outcome == Refused || r.Outcome == Truncated {
			m[RefusalCount{Tier: r.Request.Tier, Outcome: r.Outcome, Reason: r.Reason, RunState: r.RunState}]++
		}
	}
	for k, n := range m {
		k.Count = n
		list = append(list, k)
	}
	slices.SortFunc(list, func(a, b RefusalCount) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Outcome, b.Outcome),
			cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.RunState, b.RunState))
	})
	return list
}

func (rep *Report) checkRuns(results []Result, runs map[string]int) {
	for id, n := range runs {
		if n > 1 {
			rep.DuplicateRuns = append(rep.DuplicateRuns, id)
		}
	}
	for _, r := range results {
		// A request with an idempotency key that was sent twice may have run for the other sending.
		if r.RunState == fault.NotRun.String() && r.RequestID != "" && r.Request.IdempotencyKey == "" && runs[r.RequestID] > 0 {
			rep.FalseNotRun = append(rep.FalseNotRun, r.RequestID)
		}
	}
	slices.Sort(rep.DuplicateRuns)
	slices.Sort(rep.FalseNotRun)
}

// WriteTables writes the report as text tables.
func (rep *Report) WriteTables(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "planned %d, skipped %d, sent %d, good %d\n\n", rep.Planned, rep.Skipped, rep.Sent, rep.Good)
	fmt.Fprintln(t, "tier\taccount\tsent\tgood\twhole\tcut\ttorn\trefused\tfailed\tunfinished\t"+
		"first p50\tp95\tp99 ms\tgap p50\tp95\tp99 ms\ttotal p50\tp95 ms\t")
	for _, g := range append(slices.Clone(rep.Tiers), rep.Accounts...) {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t\n",
			g.Tier, cmp.Or(g.Account, "all"), g.Sent, g.Good, g.Outcomes[Complete], g.Outcomes[Truncated], g.Outcomes[Malformed],
			g.Outcomes[Refused], g.Outcomes[Failed], g.Outcomes[Unfinished], g.FirstToken.P50, g.FirstToken.P95, g.FirstToken.P99,
			g.TokenGap.P50, g.TokenGap.P95, g.TokenGap.P99, g.Total.P50, g.Total.P95)
	}
	fmt.Fprintln(t, "\ntier\tend\treason\trun\tcount\t")
	for _, r := range rep.Refusals {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t\n", r.Tier, r.Outcome, r.Reason, r.RunState, r.Count)
	}
	if rep.RunsChecked {
		fmt.Fprintf(t, "\ndoubles %d, refused as not run but ran %d\n", len(rep.DuplicateRuns), len(rep.FalseNotRun))
	}
	for _, b := range rep.BrokenPromises {
		fmt.Fprintln(t, "BROKEN:", b)
	}
	return t.Flush()
}
