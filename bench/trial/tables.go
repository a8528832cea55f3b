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
	firstTier = 0.99
	// wastedPart is the largest number of wasted tokens relative to that of the best baseline.
	wastedPart = 0.5
)

// Print writes the cells and the verdicts in Markdown. It returns the number of missed targets.
func Print(w io.Writer, p Plan, cells []Cell) (missed int, err error) {
	var b strings.Builder
	b.WriteString("| load | policy | goodput by tier | tier 0, worst seed | tier 0 first token p95 (s) | good answers | " +
		"tokens of good answers | wasted prefill tokens | wasted part | doubles | lies | inversions |\n")
	b.WriteString("|--:|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n")
	for _, c := range cells {
		var shares []string
		for _, s := range c.Shares {
			shares = append(shares, fmt.Sprintf("%.4f", s))
		}
		fmt.Fprintf(&b, "| %g | %s | %s | %.4f | %.2f | %.0f | %.0f | %.0f | %.4f | %d | %d | %d |\n",
			c.Load, c.Policy, strings.Join(shares, " "), c.Least, c.First, c.Good, c.Tokens, c.Wasted, c.Part,
			c.Doubles, c.Lies, c.Inversions)
	}
	b.WriteString("\n| load | target | figure | limit | met |\n|--:|---|--:|--:|---|\n")
	for _, load := range p.Loads {
		missed += verdicts(&b, cells, p.Easy, load)
	}
	_, err = io.WriteString(w, b.String())
	return missed, err
}

func verdicts(b *strings.Builder, cells []Cell, easy, load float64) (missed int) {
	late, good, tokens, wasted := pick(cells, load, trace.LateBinding), 0.0, 0.0, -1.0
	for _, c := range cells {
		if c.Load != load || c.Policy == trace.LateBinding {
			continue
		}
		good, tokens = max(good, c.Good), max(tokens, c.Tokens)
		if wasted < 0 || c.Wasted < wasted {
			wasted = c.Wasted
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
	share := late.Shares[0] / pick(cells, easy, trace.LateBinding).Shares[0]
	line("goodput of tier 0 relative to no overload, at least", share, firstTier, share >= firstTier)
	line("good answers, no lower than the best baseline", late.Good, good, late.Good >= good)
	line("wasted prefill tokens, at most half of the best baseline", late.Wasted, wasted*wastedPart,
		late.Wasted <= wasted*wastedPart)
	fmt.Fprintf(b, "| %g | tokens of good answers (no target), best baseline | %.4g | %.4g | |\n", load, late.Tokens, tokens)
	return missed
}

func pick(cells []Cell, load float64, p trace.Policy) Cell {
	for _, c := range cells {
		if c.Load == load && c.Policy == p {
			return c
		}
	}
	return Cell{Shares: make([]float64, 1)}
}
