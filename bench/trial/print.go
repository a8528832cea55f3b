package trial

import (
	"fmt"
	"io"
	"strings"

	"hickoryvane.example/core/trace"
)

// Limits of the measurement (see docs/BENCH.md).
const (
	// firstTier is the least goodput of tier 0 relative to its figure without overload.
	tier0GoodputRatioMin = 0.99
	// wastedPart is the largest number of wasted tokens relative to that of the best baseline.
	wastedRatioMax = 0.5
)

// Print writes the cells and the verdicts in Markdown. It returns the number of missed targets.
func WriteTables(w io.Writer, p Sweep, cells []Summary) (missed int, err error) {
	var b strings.Builder
	b.WriteString("| load | policy | goodput by tier | tier 0, worst seed | tier 0 first token p95 (s) | good answers | " +
		"tokens of good answers | wasted prefill tokens | wasted part | doubles | lies | inversions |\n")
	b.WriteString("|--:|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n")
	for _, c := range cells {
		var shares []string
		for _, s := range c.Goodput {
			shares = append(shares, fmt.Sprintf("%.4f", s))
		}
		fmt.Fprintf(&b, "| %g | %s | %s | %.4f | %.2f | %.0f | %.0f | %.0f | %.4f | %d | %d | %d |\n",
			c.Load, c.Policy, strings.Join(shares, " "), c.WorstGoodput, c.FirstTokenP95Seconds, c.GoodAnswers, c.GoodTokens, c.WastedTokens, c.WastedShare,
			c.DuplicateRuns, c.FalseNotRun, c.TierInversions)
	}
	b.WriteString("\n| load | target | figure | limit | met |\n|--:|---|--:|--:|---|\n")
	for _, load := range p.Overloads {
		missed += writeVerdicts(&b, cells, p.BaseLoad, load)
	}
	_, err = io.WriteString(w, b.String())
	return missed, err
}

func writeVerdicts(b *strings.Builder, cells []Summary, easy, load float64) (missed int) {
	late, good, tokens, wasted := findSummary(cells, load, trace.LateBinding), 0.0, 0.0, -1.0
	for _, c := range cells {
		if c.Load != load || c.Policy == trace.LateBinding {
			continue
		}
		good, tokens = max(good, c.GoodAnswers), max(tokens, c.GoodTokens)
		if wasted < 0 || c.WastedTokens < wasted {
			wasted = c.WastedTokens
		}
	}
	line := func(name string, v, limit float64, met bool) {
		word := "yes"
		if !met {
			missed++
			word = "NO"
		}
		fmt.Fprintf(b, "| %g | %s | %.4g | %.4g | %s |\n", load, name, v, limit, word)
	}
	share := late.Goodput[0] / findSummary(cells, easy, trace.LateBinding).Goodput[0]
	line("goodput of tier 0 relative to no overload, at least", share, tier0GoodputRatioMin, share >= tier0GoodputRatioMin)
	line("good answers, no lower than the best baseline", late.GoodAnswers, good, late.GoodAnswers >= good)
	line("wasted prefill tokens, at most half of the best baseline", late.WastedTokens, wasted*wastedRatioMax,
		late.WastedTokens <= wasted*wastedRatioMax)
	fmt.Fprintf(b, "| %g | tokens of good answers (no target), best baseline | %.4g | %.4g | |\n", load, late.GoodTokens, tokens)
	return missed
}

func findSummary(cells []Summary, load float64, p trace.Policy) Summary {
	for _, c := range cells {
		if c.Load == load && c.Policy == p {
			return c
		}
	}
	return Summary{Goodput: make([]float64, 1)}
}
