package sse

import "time"

// Pace measures the times between the events of one stream. It is not safe for concurrent use.
type Pace struct {
	// goal is the longest time between two events of a stream that is on time; zero means no limit.
	goal time.Duration
	// first and last are the times of the first and last event; zero before the first one.
	first, last time.Time
	count       int
	// Pauses is the number of times between two events that were longer than goal.
	Pauses int
	// Longest is the longest time between two events.
	Longest time.Duration
}

// NewPace returns the Pace of a stream.
func NewPace(goal time.Duration) *Pace { return &Pace{goal: goal} }

// Streamed returns the time since the first event, zero before it, and the longest part of it without an event.
func (p *Pace) Streamed(now time.Time) (streamed, silence time.Duration) {
	if p.count == 0 {
		return 0, 0
	}
	return now.Sub(p.first), max(p.Longest, now.Sub(p.last))
}

// Record records an event and returns the time since the first one.
func (p *Pace) Record(now time.Time) (sinceFirst time.Duration) {
	if p.count > 0 && p.goal > 0 && now.Sub(p.last) > p.goal {
		p.Pauses++
	}
	if p.count == 0 {
		p.first = now
	} else {
		p.Longest = max(p.Longest, now.Sub(p.last))
	}
	p.last = now
	p.count++
	return now.Sub(p.first)
}

// Gap returns the mean time between two events, or zero before the second one.
func (p *Pace) Gap() time.Duration {
	if p.count < 2 {
		return 0
	}
	return p.last.Sub(p.first) / time.Duration(p.count-1)
}
