package trace

import "fmt"

// Judge returns a sentence for each stated outcome that the result misses.
func (h *Header) Missed(r *Result) (missed []string) {
	for _, o := range h.Expectations {
		if m := o.judge(r); m != "" {
			missed = append(missed, m)
		}
	}
	return missed
}

func (o Expectation) judge(r *Result) string {
	if o.Measure == Conclusion {
		return o.judgeConclusion(r)
	}
	v, ok := o.value(r)
	name := string(o.Measure)
	switch o.Measure {
	case Goodput:
		name = fmt.Sprintf("goodput of tier %d", o.Tier)
	case CanaryRequests, CanaryFailures:
		name = fmt.Sprintf("%s of move %s", o.Measure, o.Name)
	}
	switch {
	case !ok:
		return fmt.Sprintf("%s: no such figure", name)
	case o.Min != nil && v < *o.Min:
		return fmt.Sprintf("%s is %.4g, stated at least %.4g", name, v, *o.Min)
	case o.Max != nil && v > *o.Max:
		return fmt.Sprintf("%s is %.4g, stated at most %.4g", name, v, *o.Max)
	}
	return ""
}

func (o Expectation) judgeConclusion(r *Result) string {
	for _, m := range r.Rollouts {
		if m.Name != o.Name {
			continue
		}
		if m.State == o.State {
			return ""
		}
		return fmt.Sprintf("move %s is %q (%s), stated %q", o.Name, m.State, m.Reason, o.State)
	}
	return fmt.Sprintf("move %s has no end, stated %q", o.Name, o.State)
}

func (o Expectation) value(r *Result) (v float64, ok bool) {
	switch o.Measure {
	case Goodput:
		for _, t := range r.Tiers {
			if t.Tier == o.Tier {
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
		return o.rolloutValue(r)
	}
	return 0, false
}

func (o Expectation) rolloutValue(r *Result) (v float64, ok bool) {
	for _, m := range r.Rollouts {
		switch {
		case m.Name != o.Name:
		case o.Measure == CanaryFailures:
			return float64(m.CanaryFailures), true
		default:
			return float64(m.CanaryRequests), true
		}
	}
	return 0, false
}
