package sched

import "time"

// Which requests go to the targets that state a rate.
//
// Load pattern: most targets state rates far below what their slots allow, and the others are nearly full. At the
// former a request costs one of few per second however long it is; at the latter it costs a slot for its duration. So
// long answers go to targets that state a rate and short ones to the others, as long as neither has to wait for it.

const (
	// splitWait is the part of the time until its first event is due for which a request waits for a target of its kind.
	splitWait = 0.75
	// splitFree is the fraction of free slots at the targets without a rate above which requests go to any target.
	splitFree = 0.5
	// durationWeight is the weight of a new request in the mean duration.
	durationWeight = 0.02
)

// rated reports whether the target states a rate.
func (t *target) rated() bool { return t.rate != nil && t.rate.perSecond > 0 }

// updateSplit decides whether long and short answers are separated.
func (p *Pool) updateSplit(now time.Time) {
	rated, slots, free := false, 0, 0
	for _, t := range p.sorted {
		switch {
		case !p.serves(t):
		case t.rated():
			rated = true
		default:
			slots += t.Slots
			if p.takes(now, t) {
				free += max(t.freeSlots(), 0)
			}
		}
	}
	p.split = rated && float64(free) < splitFree*float64(slots)
}

// learnDuration updates the mean duration of answers.
func (p *Pool) learnDuration(j *Job) {
	d, ok := p.StreamDuration(j.Output, j.Stride)
	switch {
	case !ok:
	case p.meanDuration == 0:
		p.meanDuration = d
	default:
		p.meanDuration += time.Duration(durationWeight * float64(d-p.meanDuration))
	}
}

// answerKind tells which targets suit a job while long and short answers are separated.
type answerKind uint8

const (
	anyAnswer answerKind = iota
	shortAnswer
	longAnswer
)

// answerKind returns the kind of the job's answer; anyAnswer while answers are not separated.
func (p *Pool) answerKind(j *Job) answerKind {
	if !p.split {
		return anyAnswer
	}
	d, ok := p.StreamDuration(j.Output, j.Stride)
	switch {
	case !ok:
		return anyAnswer
	case d < p.meanDuration:
		return shortAnswer
	}
	return longAnswer
}

// suits reports whether a job with an answer of the given kind may take the target now.
func (p *Pool) suits(now time.Time, t *target, j *Job, k answerKind) bool {
	if k == anyAnswer || t.rated() == (k == longAnswer) || j.AnswerStarted {
		return true
	}
	waited := float64(now.Sub(j.Arrived)) >= splitWait*float64(j.FirstEventDue.Sub(j.Arrived))
	return waited || t.rated() && t.rate.full(t.rateShare())
}
