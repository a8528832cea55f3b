package load

import "fmt"

// Promises are the limits that a load is judged by.
type Promises struct {
	// Shares is the least goodput of a tier as a share of its requests, by tier name.
	Shares map[string]float64
}

// Judge sets and returns the broken promises of rep.
func (rep *Report) Judge(p Promises) []string {
	rep.Broken = nil
	if n := rep.count(Torn); n > 0 {
		rep.broke("P4: %d answers ended early without an error event", n)
	}
	if n := len(rep.Lies); n > 0 {
		rep.broke("P5: %d requests were refused as not run but ran, first %s", n, rep.Lies[0])
	}
	if n := len(rep.Doubles); n > 0 {
		rep.broke("P1, P6: %d requests ran more than once, first %s", n, rep.Doubles[0])
	}
	for _, g := range rep.Tiers {
		if want, ok := p.Shares[g.Tier]; ok && g.Share() < want {
			rep.broke("goodput of tier %q is %.4f, below %.4f", g.Tier, g.Share(), want)
		}
	}
	return rep.Broken
}

func (rep *Report) count(e End) (n int) {
	for _, g := range rep.Tiers {
		n += g.Ends[e]
	}
	return n
}

func (rep *Report) broke(format string, args ...any) {
	rep.Broken = append(rep.Broken, fmt.Sprintf(format, args...))
}
