package trace

import "fmt"

// Missed returns a sentence for each expectation that the result does not meet.
func (h *Header) Missed(r *Result) (missed []string) {
	for _, e := range h.Expectations {
		if m := e.judge(r); m != "" {
			missed = append(missed, m)
		}
	}
	return missed
}

func (e Expectation) judge(r *Result) string {
	if e.Measure == Conclusion {
		return e.judgeConclusion(r)
	}
	v, ok := e.value(r)
	name := string(e.Measure)
	switch e.Measure {
	case Goodput:
		name = fmt.Sprintf("goodput of tier %d", e.Tier)
	case CanaryRequests, CanaryFailures:
		name = fmt.Sprintf("%s of move %s", e.Measure, e.Name)
	}
	switch {
	case !ok:
		return fmt.Sprintf("%s: no such figure", name)
	case e.Min != nil && v < *e.Min:
		return fmt.Sprintf("%s is %.4g, stated at least %.4g", name, v, *e.Min)
	case e.Max != nil && v > *e.Max:
		return fmt.Sprintf("%s is %.4g, stated at most %.4g", name, v, *e.Max)
	}
	return ""
}

func (e Expectation) judgeConclusion(r *Result) string {
	for _, m := range r.Rollouts {
		if m.Name != e.Name {
			continue
		}
		if m.State == e.State {
			return ""
		}
		return fmt.Sprintf("move %s is %q (%s), stated %q", e.Name, m.State, m.Reason, e.State)
	}
	return fmt.Sprintf("move %s has no end, stated %q", e.Name, e.State)
}

func (e Expectation) value(r *Result) (v float64, ok bool) {
	switch e.Measure {
	case Goodput:
		for _, t := range r.Tiers {
			if t.Tier == e.Tier {
				return t.Goodput(), true
			}
		}
		return 0, false
	case WastedPrefill:
		return r.WastedShare(), true
	case DuplicateRuns:
		return float64(r.DuplicateRuns), true
	case FalseNotRun:
		return float64(r.FalseNotRun), true
	case TierInversions:
		return float64(r.TierInversions), true
	case TargetCrashes:
		return float64(r.TargetCrashes), true
	case CanaryRequests, CanaryFailures:
		return e.rolloutValue(r)
	}
	return 0, false
}

func (e Expectation) rolloutValue(r *Result) (v float64, ok bool) {
	for _, m := range r.Rollouts {
		switch {
		case m.Name != e.Name:
		case e.Measure == CanaryFailures:
			return float64(m.CanaryFailures), true
		default:
			return float64(m.CanaryRequests), true
		}
	}
	return 0, false
}
