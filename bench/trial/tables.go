package trial

import (
	"fmt"
	"io"
	"strings"

	"hickoryvane.example/core/trace"
)

// Limits of the verdicts (see docs/BENCH.md).
const (
	// tier0GoodputRatioMin bounds the goodput of tier 0 under overload relative to that without overload.
	tier0GoodputRatioMin = 0.99
	// wastedRatioMax bounds the wasted tokens relative to those of the best baseline policy.
	wastedRatioMax = 0.5
)

// WriteTables writes the summaries and the verdicts in Markdown. It returns the number of missed limits.
func WriteTables(w io.Writer, sweep Sweep, summaries []Summary) (missed int, err error) {
	var b strings.Builder
	b.WriteString("| load | policy | goodput by tier | tier 0, worst seed | tier 0 first token p95 (s) | good answers | " +
		"tokens of good answers | wasted prefill tokens | wasted part | doubles | lies | inversions |\n")
	b.WriteString("|--:|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n")
	for _, sum := range summaries {
		var shares []string
		for _, s := range sum.Goodput {
			shares = append(shares, fmt.Sprintf("%.4f", s))
		}
		fmt.Fprintf(&b, "| %g | %s | %s | %.4f | %.2f | %.0f | %.0f | %.0f | %.4f | %d | %d | %d |\n",
			sum.Load, sum.Policy, strings.Join(shares, " "), sum.WorstGoodput, sum.FirstTokenP95Seconds, sum.GoodAnswers, sum.GoodTokens,
			sum.WastedTokens, sum.WastedShare, sum.DuplicateRuns, sum.FalseNotRun, sum.TierInversions)
	}
	b.WriteString("\n| load | target | figure | limit | met |\n|--:|---|--:|--:|---|\n")
	for _, load := range sweep.Overloads {
		missed += writeVerdicts(&b, summaries, sweep.BaseLoad, load)
	}
	_, err = io.WriteString(w, b.String())
	return missed, err
}

func writeVerdicts(b *strings.Builder, summaries []Summary, baseLoad, load float64) (missed int) {
	lateBinding, good, tokens, wasted := findSummary(summaries, load, trace.LateBinding), 0.0, 0.0, -1.0
	for _, sum := range summaries {
		if sum.Load != load || sum.Policy == trace.LateBinding {
			continue
		}
		good, tokens = max(good, sum.GoodAnswers), max(tokens, sum.GoodTokens)
		if wasted < 0 || sum.WastedTokens < wasted {
			wasted = sum.WastedTokens
		}
	}
	writeLine := func(name string, v, limit float64, met bool) {
		verdict := "yes"
		if !met {
			missed++
			verdict = "NO"
		}
		fmt.Fprintf(b, "| %g | %s | %.4g | %.4g | %s |\n", load, name, v, limit, verdict)
	}
	goodputRatio := lateBinding.Goodput[0] / findSummary(summaries, baseLoad, trace.LateBinding).Goodput[0]
	writeLine("goodput of tier 0 relative to no overload, at least", goodputRatio, tier0GoodputRatioMin,
		goodputRatio >= tier0GoodputRatioMin)
	writeLine("good answers, no lower than the best baseline", lateBinding.GoodAnswers, good,
		lateBinding.GoodAnswers >= good)
	writeLine("wasted prefill tokens, at most half of the best baseline", lateBinding.WastedTokens, wasted*wastedRatioMax,
		lateBinding.WastedTokens <= wasted*wastedRatioMax)
	fmt.Fprintf(b, "| %g | tokens of good answers (no target), best baseline | %.4g | %.4g | |\n", load,
		lateBinding.GoodTokens, tokens)
	return missed
}

func findSummary(summaries []Summary, load float64, policy trace.Policy) Summary {
	for _, sum := range summaries {
		if sum.Load == load && sum.Policy == policy {
			return sum
		}
	}
	return Summary{Goodput: make([]float64, 1)}
}
