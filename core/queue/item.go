package queue

import (
	"time"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// Item is one offer in the queue.
type Item struct {
	ID      ident.RequestID
	Account ident.AccountID
	// Weight is the account's share relative to the others; values below 1 count as 1.
	Weight int
	Tier   ident.Tier
	// Deadline is the latest time of the first byte of the answer.
	Deadline time.Time
	// Prompt and Output are the estimated lengths.
	Prompt ident.Tokens
	Output ident.Tokens
	// Cached is the part of Prompt that the engine is expected to take from its prefix cache.
	Cached      ident.Tokens
	Fingerprint ident.Fingerprint
	// Router sent the offer.
	Router ident.ProcessID
	// Alone is true when the request is suspected of crashing targets: it runs while nothing else runs.
	Alone bool
	// Arrived is set by Push.
	Arrived time.Time
}

// ItemOf returns the item for an offer received at now.
func ItemFromOffer(now time.Time, o *wire.Offer, from ident.ProcessID, weight int, alone bool) Item {
	return Item{
		ID:          o.ID,
		Account:     o.Account,
		Weight:      weight,
		Tier:        o.Tier,
		Deadline:    now.Add(time.Duration(o.WaitMillis) * time.Millisecond),
		Prompt:      o.Prompt,
		Output:      o.ExpectedOutput,
		Fingerprint: o.Fingerprint,
		Router:      from,
		Alone:       alone,
	}
}

// Charge returns the length for which the item is charged: prompt and expected output.
func (it *Item) Charge() ident.Tokens { return max(it.Prompt, 0) + max(it.Output, 0) }

// unread returns the part of the prompt that the engine has to compute.
func (it *Item) uncachedPrompt() ident.Tokens { return max(it.Prompt-it.Cached, 0) }

// inOrder returns the prompt tokens for which later prompts wait in the engine. Plain services serve calls
// side by side; their calls are offered with an output of 1.
func (it *Item) sequentialPrompt() ident.Tokens {
	if it.Output <= 1 {
		return 0
	}
	return it.uncachedPrompt()
}

// Refusal is an offer that left the queue without a grant; its router is to be told.
type Refusal struct {
	Item Item
	// Fault has run state fault.NotRun.
	Fault *fault.Error
}

// Outcome is the end of a running request.
type Outcome struct {
	// Prompt and Output are the lengths as the target reported them; zero if unknown.
	Prompt ident.Tokens
	Output ident.Tokens
	// Cached is the part of Prompt that came from the prefix cache.
	Cached ident.Tokens
	// Failed is true when the target failed or the caller left; speeds are not learnt from it.
	Failed bool
}

// Summary is the part of wire.Load that the queue knows.
type Summary struct {
	// Waiting counts queued tokens by tier, up to the lowest tier that waits.
	Waiting []ident.Tokens
	// Running and Held count what the engine holds or has reserved.
	Running int
	Held    ident.Tokens
	// Window is the number of requests that the engine is given at a time.
	Window int
	// Prefill is the learnt prompt speed of one request. Decode is the speed at which charged tokens
	// (prompt and expected output) end while the window is full, so that Waiting and Held divided by it
	// give a time. Both are in tokens per second; zero if not learnt yet.
	PrefillRate float64
	DrainRate   float64
	// Floor is the lowest tier that waits; NoFloor when nothing waits.
	LowestWaitingTier ident.Tier
}

// Fill copies the summary into a load report.
func (s Summary) Fill(l *wire.Load) {
	l.WaitingByTier, l.Running, l.HeldTokens = s.Waiting, s.Running, s.Held
	l.Window, l.PrefillRate, l.DrainRate, l.LowestWaitingTier = s.Window, s.PrefillRate, s.DrainRate, s.LowestWaitingTier
}
