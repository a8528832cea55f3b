package queue

import (
	"time"

	"hickoryvane.example/core/ident"
)

const (
	// requestsStart and tokensStart are the window of a new queue.
	initialRequests = 8
	initialTokens   = 1 << 15
	// requestsMax and tokensMax bound the window.
	requestsMax = 512
	tokensMax   = 1 << 22
	// tokensMin is the smallest token window.
	tokensMin = 1 << 12
	// evalTime is the interval at which the window is adapted.
	evalInterval = 250 * time.Millisecond
	// shrinkHold is the time after a reduction without growth, so that recovery is gentle.
	shrinkHold = 2 * time.Second
	// plateauHold is the time without growth after a step that did not raise the throughput.
	plateauHold = time.Second
	// stallFactor is the multiple of the gap target after which a silent answer counts as a gap.
	stallFactor = 4
	// growSettle is the time after a growth before the next step, in which its effect shows in the rate.
	growSettle = 2 * evalInterval
	// growMargin is the part of the gap target above which the window does not grow. Without it the
	// window swings between the target and three quarters of it, and after each reduction nothing is
	// granted, not even a high tier, until a quarter of the running requests has ended.
	growGapFraction = 0.9
	// rateNoise is the part of the earlier throughput below which a growth counts as useless. With 1 and
	// without growSettle, noise made useful steps look useless: recovery after slowness took 56 s
	// instead of 20 s in the model engine of the tests.
	throughputNoise = 0.99
	// rateFade is the part of the earlier throughput that is kept with each interval.
	throughputDecay = 0.5
)

// window is the number of requests and tokens that the engine is given, and what was seen of the engine
// since the last evaluation.
type window struct {
	requests         int
	tokens           ident.Tokens
	gapTarget        time.Duration
	firstTokenTarget time.Duration

	evaluatedAt time.Time
	// gapTime and gapTokens add up to the mean token gap; late of firsts first tokens were too late.
	gapTime         time.Duration
	gapTokens       ident.Tokens
	firstTokens     int
	lateFirstTokens int
	// work counts output tokens, ended the charges of requests that ended.
	outputTokens ident.Tokens
	endedCharge  ident.Tokens
	// requestBound and tokenBound are true when an offer waited for that kind of room.
	requestBound bool
	tokenBound   bool

	// rate is the averaged throughput in tokens per second, and before its value at the last growth.
	throughput       float64
	throughputBefore float64
	// undo is the growth that is taken back when the throughput does not rise.
	undoRequests int
	undoTokens   ident.Tokens
	holdUntil    time.Time
}

func newWindow() window {
	return window{
		requests:         initialRequests,
		tokens:           initialTokens,
		gapTarget:        GapTarget,
		firstTokenTarget: FirstTokenTarget,
	}
}

// observe adapts the window once per interval.
func (q *Queue) observe(now time.Time) {
	w := &q.window
	if w.evaluatedAt.IsZero() {
		w.evaluatedAt = now
		return
	}
	d := now.Sub(w.evaluatedAt)
	if d < evalInterval {
		return
	}
	q.countStalled(now)
	bound := w.requestBound || w.tokenBound
	if bound || len(q.active) >= w.requests {
		q.rates.learnDrain(w.endedCharge, d)
	}
	w.throughput = w.throughput*throughputDecay + (1-throughputDecay)*float64(w.outputTokens)/d.Seconds()
	switch {
	case w.slow():
		w.shrink(now, len(q.active))
	case bound && w.hasHeadroom() && !now.Before(w.holdUntil):
		w.grow(now, q.held/ident.Tokens(max(len(q.active), 1)))
	}
	w.reset(now)
}

// addSilence counts requests that have been waiting for a token for too long, so that a stalled engine
// is noticed before it answers.
func (q *Queue) countStalled(now time.Time) {
	w := &q.window
	for _, r := range q.active {
		switch {
		case !r.started:
		case r.firstTokenAt.IsZero():
			if now.Sub(r.startedAt) > q.firstTokenLimit(r) {
				w.firstTokens++
				w.lateFirstTokens++
			}
		case r.output > 0 && now.Sub(r.lastTokenAt) > stallFactor*w.gapTarget:
			w.gapTime += now.Sub(r.lastTokenAt)
			w.gapTokens++
		}
	}
}

// slow reports whether the mean gap or most first tokens exceeded their target.
func (w *window) slow() bool {
	return w.gapTime > time.Duration(w.gapTokens)*w.gapTarget || 2*w.lateFirstTokens > w.firstTokens
}

// easy reports whether there is evidence that the engine is well within its targets.
func (w *window) hasHeadroom() bool {
	gap := time.Duration(growGapFraction * float64(w.gapTarget))
	return w.lateFirstTokens == 0 && w.gapTime <= time.Duration(w.gapTokens)*gap && w.firstTokens+int(w.gapTokens+w.endedCharge) > 0
}

// shrink reduces the window by a quarter. While the engine still holds more than the window, a further
// reduction would have no effect and only delay the recovery.
func (w *window) shrink(now time.Time, running int) {
	w.holdUntil = now.Add(shrinkHold)
	w.throughputBefore, w.undoRequests, w.undoTokens = 0, 0, 0
	if running > w.requests {
		return
	}
	w.requests = max(min(w.requests, running)*3/4, 1)
	w.tokens = max(w.tokens*3/4, tokensMin)
}

// grow adds room for one request when the last growth raised the throughput; otherwise it takes the last
// growth back and waits. charge is the mean charge of the running requests.
func (w *window) grow(now time.Time, charge ident.Tokens) {
	if w.throughputBefore > 0 && w.throughput < w.throughputBefore*throughputNoise {
		w.requests -= w.undoRequests
		w.tokens -= w.undoTokens
		w.throughputBefore, w.undoRequests, w.undoTokens = 0, 0, 0
		w.holdUntil = now.Add(plateauHold)
		return
	}
	w.throughputBefore, w.undoRequests, w.undoTokens = w.throughput, 0, 0
	w.holdUntil = now.Add(growSettle)
	if w.requestBound && w.requests < requestsMax {
		w.undoRequests = 1
	}
	if w.tokenBound && w.tokens+charge <= tokensMax {
		w.undoTokens = charge
	}
	w.requests += w.undoRequests
	w.tokens += w.undoTokens
}

func (w *window) reset(now time.Time) {
	w.evaluatedAt = now
	w.gapTime, w.gapTokens, w.firstTokens, w.lateFirstTokens, w.outputTokens, w.endedCharge = 0, 0, 0, 0, 0, 0
	w.requestBound, w.tokenBound = false, false
}
