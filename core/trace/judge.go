package trace

import "fmt"

// Judge returns a sentence for each stated outcome that the result misses.
func (h *Header) Judge(r *Result) (missed []string) {
	for _, o := range h.Outcomes {
		if m := o.judge(r); m != "" {
			missed = append(missed, m)
		}
	}
	return missed
}

func (o Outcome) judge(r *Result) string {
	if o.Measure == End {
		return o.judgeEnd(r)
	}
	v, ok := o.value(r)
	name := string(o.Measure)
	switch o.Measure {
	case Goodput:
		name = fmt.Sprintf("goodput of tier %d", o.Tier)
	case Trials, Failed:
		name = fmt.Sprintf("%s of move %s", o.Measure, o.Name)
	}
	switch {
	case !ok:
		return fmt.Sprintf("%s: no such figure", name)
	case o.Least != nil && v < *o.Least:
		return fmt.Sprintf("%s is %.4g, stated at least %.4g", name, v, *o.Least)
	case o.Most != nil && v > *o.Most:
		return fmt.Sprintf("%s is %.4g, stated at most %.4g", name, v, *o.Most)
	}
	return ""
}

func (o Outcome) judgeEnd(r *Result) string {
	for _, m := range r.Moves {
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

func (o Outcome) value(r *Result) (v float64, ok bool) {
	switch o.Measure {
	case Goodput:
		for _, t := range r.Tiers {
			if t.Tier == o.Tier {
				return t.Share(), true
			}
		}
		return 0, false
	case Wasted:
		return r.Prefilled(), true
	case Doubles:
		return float64(r.Doubles), true
	case Lies:
		return float64(r.Lies), true
	case Inversions:
		return float64(r.Inversions), true
	case Crashes:
		return float64(r.Crashes), true
	case Trials, Failed:
		return o.ofMove(r)
	}
	return 0, false
}

func (o Outcome) ofMove(r *Result) (v float64, ok bool) {
	for _, m := range r.Moves {
		switch {
		case m.Name != o.Name:
		case o.Measure == Failed:
			return float64(m.Failed), true
		default:
			return float64(m.Trials), true
		}
	}
	return 0, false
}
