package trace

import (
	"fmt"
	"time"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
)

// job is one request of a caller.
type job struct {
	Event
	arrivedAt time.Time
	deadline  time.Time
	blocks    []ident.Block
	// version serves the request; set when the policy has chosen it.
	version ident.Version
	engine  *engine
	// runs counts how often engines accepted the request.
	runCount int
	// prefill is the number of prompt tokens that engines computed for it.
	prefilledTokens ident.Tokens
	firstByteAt     time.Time
	ended           bool
	good            bool
	complete        bool
	disconnected    bool
	refusal         *fault.Error
	// inversion is set when it was shed while a lower tier waited in the pool.
	inversion bool
	// trial is set when it ran on the new version of a move.
	ranNewVersion bool
}

func (w *world) newJob(e Event) *job {
	j := &job{Event: e, arrivedAt: w.now}
	wait := e.Deadline.Duration()
	if wait == 0 {
		wait = w.h.tierWait(e.Tier)
	}
	j.deadline = w.now.Add(wait)
	if j.Fingerprint == 0 {
		j.Fingerprint = ident.FingerprintOf(e.Service, []byte(e.ID))
	}
	j.blocks = blocksOf(e)
	return j
}

// blocksOf returns block hashes that are equal for the common part of prompts with the same prefix.
func blocksOf(e Event) (blocks []ident.Block) {
	for n := ident.Tokens(blockTokens); n <= e.Prompt && len(blocks) < ident.BlocksMax; n += blockTokens {
		name := string(e.ID)
		if n <= e.Shared {
			name = e.Prefix
		}
		blocks = append(blocks, ident.Block(ident.RendezvousWeight(name, fmt.Sprint(n))))
	}
	return blocks
}

// Arrivals returns all arrivals in the order of their events, with those of bursts.
func (t *Trace) Arrivals() (list []Event) {
	for _, e := range t.Events {
		switch e.Kind {
		case Arrival:
			list = append(list, e)
		case Burst:
			list = append(list, e.expandBurst()...)
		}
	}
	return list
}

// expand returns the arrivals of a burst, spread evenly over its span.
func (e Event) expandBurst() (list []Event) {
	for i := range e.Count {
		x := e
		x.Kind, x.Span, x.Count = Arrival, 0, 0
		x.At += e.Span * conf.Millis(i) / conf.Millis(e.Count)
		x.ID = ident.RequestID(fmt.Sprintf("%s-%d", e.ID, i))
		list = append(list, x)
	}
	return list
}

// usual returns the mean prompt length of each route in tokens.
func (t *Trace) meanPrompts() map[ident.Route]float64 {
	sum, n := map[ident.Route]float64{}, map[ident.Route]float64{}
	for _, e := range t.Arrivals() {
		sum[e.Route] += float64(e.Prompt)
		n[e.Route]++
	}
	for r := range sum {
		sum[r] /= n[r]
	}
	return sum
}
