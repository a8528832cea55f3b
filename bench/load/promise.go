package load

import "fmt"

// Promises are the limits that the report of a load is checked against.
type Promises struct {
	// MinGoodput is the required share of good answers among the requests of a tier, by tier name.
	MinGoodput map[string]float64
}

// CheckPromises sets and returns the broken promises of rep. P1 to P6 in their texts number the promises of the
// design.
func (rep *Report) CheckPromises(p Promises) []string {
	rep.BrokenPromises = nil
	if n := rep.countOutcome(Malformed); n > 0 {
		rep.addBrokenPromise("P4: %d answers ended early without an error event", n)
	}
	if n := len(rep.FalseNotRun); n > 0 {
		rep.addBrokenPromise("P5: %d requests were refused as not run but ran, first %s", n, rep.FalseNotRun[0])
	}
	if n := len(rep.DuplicateRuns); n > 0 {
		rep.addBrokenPromise("P1, P6: %d requests ran more than once, first %s", n, rep.DuplicateRuns[0])
	}
	for _, g := range rep.Tiers {
		if want, ok := p.MinGoodput[g.Tier]; ok && g.Goodput() < want {
			rep.addBrokenPromise("goodput of tier %q is %.4f, below %.4f", g.Tier, g.Goodput(), want)
		}
	}
	return rep.BrokenPromises
}

func (rep *Report) countOutcome(o Outcome) (n int) {
	for _, g := range rep.Tiers {
		n += g.Outcomes[o]
	}
	return n
}

func (rep *Report) addBrokenPromise(format string, args ...any) {
	rep.BrokenPromises = append(rep.BrokenPromises, fmt.Sprintf(format, args...))
}
