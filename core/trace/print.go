package trace

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Print writes the result as tables, with the stated outcomes that are missed.
func (h *Header) WriteTables(w io.Writer, r *Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "%s: %s, policy %s, seed %d\n\n", h.Deployment, h.Title, r.Policy, h.Seed)
	fmt.Fprintln(t, "tier\tname\tsent\tgood\tgoodput\trefused\tleft\tcut\tfirst p50\tp95\t")
	for _, x := range r.Tiers {
		fmt.Fprintf(t, "%d\t%s\t%d\t%d\t%.4f\t%d\t%d\t%d\t%v\t%v\t\n", x.Tier, x.Name, x.Sent, x.Good, x.Goodput(),
			x.Refused, x.Disconnected, x.Truncated, x.P50.Round(time.Millisecond), x.P95.Round(time.Millisecond))
	}
	fmt.Fprintln(t, "\ntier\trefused as\trun\tcount\t")
	for _, x := range r.Reasons {
		fmt.Fprintf(t, "%d\t%s\t%s\t%d\t\n", x.Tier, x.Reason, x.Run, x.Count)
	}
	fmt.Fprintf(t, "\nprefill tokens %d, wasted %d (%.2f%%), doubles %d, lies %d, inversions %d, crashes %d\n",
		r.PrefillTokens, r.WastedTokens, 100*r.WastedShare(), r.DuplicateRuns, r.FalseNotRun, r.TierInversions, r.TargetCrashes)
	for _, m := range r.Rollouts {
		fmt.Fprintf(t, "move %s: %s (%s), decided at %v, recorded at %v, %d trials, %d failed, %d sent after the decision\n",
			m.Name, m.State, m.Reason, m.DecidedAt.Round(time.Second), m.RecordedAt.Round(time.Second), m.CanaryRequests, m.CanaryFailures, m.SentAfterRollback)
	}
	if r.Policy == LateBinding {
		for _, m := range h.Missed(r) {
			fmt.Fprintln(t, "MISSED:", m)
		}
	}
	return t.Flush()
}
