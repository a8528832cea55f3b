package load

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"hickoryvane.example/core/fault"
)

// Report is the result of a load.
type Report struct {
	Planned  int       `json:"planned"`
	Skipped  int       `json:"skipped"`
	Sent     int       `json:"sent"`
	Good     int       `json:"good"`
	Tiers    []*Group  `json:"tiers"`
	Accounts []*Group  `json:"accounts"`
	Refusals []Refusal `json:"refusals"`
	// Doubles are request ids that ran more than once; Runs is false when no stand-in was asked.
	Runs    bool     `json:"runs"`
	Doubles []string `json:"doubles"`
	// Lies are the ids of requests that were refused as "not run" but ran.
	Lies   []string `json:"lies"`
	Broken []string `json:"broken"`
}

// Refusal counts problem documents and error events.
type Refusal struct {
	Tier   string       `json:"tier"`
	End    End          `json:"end"`
	Reason fault.Reason `json:"reason"`
	Run    string       `json:"run"`
	Count  int          `json:"count"`
}

// NewReport summarises results. runs counts runs by request id; nil when no stand-in was asked.
func NewReport(results []Result, skipped int, runs map[string]int) *Report {
	rep := &Report{Planned: len(results) + skipped, Skipped: skipped, Sent: len(results), Runs: runs != nil}
	rep.Accounts, rep.Tiers = groups(results)
	for _, g := range rep.Tiers {
		rep.Good += g.Good
	}
	rep.Refusals = refusals(results)
	rep.judgeRuns(results, runs)
	return rep
}

func refusals(results []Result) (list []Refusal) {
	m := map[Refusal]int{}
	for _, r := range results {
		if r.End == Refused || r.End == Cut {
			m[Refusal{Tier: r.Shot.Tier, End: r.End, Reason: r.Reason, Run: r.Run}]++
		}
	}
	for k, n := range m {
		k.Count = n
		list = append(list, k)
	}
	slices.SortFunc(list, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.End, b.End),
			cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Run, b.Run))
	})
	return list
}

func (rep *Report) judgeRuns(results []Result, runs map[string]int) {
	for id, n := range runs {
		if n > 1 {
			rep.Doubles = append(rep.Doubles, id)
		}
	}
	for _, r := range results {
		// A keyed request that was sent twice may have run for the other send.
		if r.Run == fault.NotRun.String() && r.ID != "" && r.Shot.Idem == "" && runs[r.ID] > 0 {
			rep.Lies = append(rep.Lies, r.ID)
		}
	}
	slices.Sort(rep.Doubles)
	slices.Sort(rep.Lies)
}

// Print writes the report as tables.
func (rep *Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "planned %d, skipped %d, sent %d, good %d\n\n", rep.Planned, rep.Skipped, rep.Sent, rep.Good)
	fmt.Fprintln(t, "tier\taccount\tsent\tgood\twhole\tcut\ttorn\trefused\tfailed\tunfinished\t"+
		"first p50\tp95\tp99 ms\tgap p50\tp95\tp99 ms\ttotal p50\tp95 ms\t")
	for _, g := range append(slices.Clone(rep.Tiers), rep.Accounts...) {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t\n",
			g.Tier, cmp.Or(g.Account, "all"), g.Sent, g.Good, g.Ends[Whole], g.Ends[Cut], g.Ends[Torn],
			g.Ends[Refused], g.Ends[Failed], g.Ends[Unfinished], g.First.P50, g.First.P95, g.First.P99,
			g.Gap.P50, g.Gap.P95, g.Gap.P99, g.Total.P50, g.Total.P95)
	}
	fmt.Fprintln(t, "\ntier\tend\treason\trun\tcount\t")
	for _, r := range rep.Refusals {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t\n", r.Tier, r.End, r.Reason, r.Run, r.Count)
	}
	if rep.Runs {
		fmt.Fprintf(t, "\ndoubles %d, refused as not run but ran %d\n", len(rep.Doubles), len(rep.Lies))
	}
	for _, b := range rep.Broken {
		fmt.Fprintln(t, "BROKEN:", b)
	}
	return t.Flush()
}
