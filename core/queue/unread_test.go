package queue_test

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/queue"
)

// reader is an engine that reads prompts one after the other and answers with one token.
type prefillEngine struct {
	q          *queue.Queue
	now        time.Time
	promptRate ident.Tokens // per second
	sent       int
}

// send grants and starts a request with n prompt tokens.
func (r *prefillEngine) send(g Gomega, n ident.Tokens) ident.RequestID {
	r.sent++
	it := item(ident.RequestID(strconv.Itoa(r.sent)), "a", 0, n)
	it.Output, it.Deadline = 10, r.now.Add(time.Hour)
	_, err := r.q.Push(r.now, it)
	g.Expect(err).To(BeNil())
	g.Expect(granted(r.q, r.now)).To(HaveLen(1))
	g.Expect(r.q.Started(r.now, it.ID)).To(BeTrue())
	return it.ID
}

// read lets the engine read the n prompt tokens of a request and end it.
func (r *prefillEngine) read(id ident.RequestID, n ident.Tokens) {
	r.now = r.now.Add(time.Duration(n) * time.Second / time.Duration(r.promptRate))
	r.q.FirstToken(r.now, id)
	r.q.Finished(r.now, id, queue.Outcome{Prompt: n, Output: 1})
}

// newReader returns an engine whose speed of 1,000 prompt tokens per second was learnt, and which is given
// prompts for the time first before those that it holds are read.
func newPrefillEngine(g Gomega, first time.Duration) *prefillEngine {
	r := &prefillEngine{q: queue.New(queue.WithLatencyTargets(queue.GapTarget, first)), now: t0, promptRate: 1000}
	for range 5 {
		r.read(r.send(g, 1000), 1000)
	}
	g.Expect(r.q.Load().PrefillRate).To(BeNumerically("~", 1000, 1))
	r.q.Expire(r.now)
	return r
}

// Guards against a question behind an assessment that is taken for slowness and shrinks the window.
func TestPromptsAheadDoNotShrinkTheWindow(t *testing.T) {
	g := NewWithT(t)
	r := &prefillEngine{q: queue.New(), now: t0, promptRate: 1000}
	window := r.q.Load().Window
	r.q.Expire(r.now)
	long := r.send(g, 8000) // no speed is learnt yet, so that questions are granted behind it
	var short []ident.RequestID
	for range 4 {
		short = append(short, r.send(g, 100))
	}
	r.read(long, 8000)
	for _, id := range short {
		r.read(id, 100)
	}
	r.q.Expire(r.now)
	g.Expect(r.q.Load().Window).To(Equal(window))
}

// Guards against an engine that reads slowly and keeps its window.
func TestSlowFirstTokensShrinkTheWindow(t *testing.T) {
	g := NewWithT(t)
	r := newPrefillEngine(g, queue.FirstTokenTarget)
	window := r.q.Load().Window
	r.promptRate = 200
	for range 4 {
		r.read(r.send(g, 1000), 1000)
		r.q.Expire(r.now)
	}
	g.Expect(r.q.Load().Window).To(BeNumerically("<", window))
}

// Guards against a learnt prompt speed that falls with the prompts before a request.
func TestLearntPrefillRateCountsPromptsAhead(t *testing.T) {
	g := NewWithT(t)
	r := newPrefillEngine(g, 10*time.Second)
	for range 10 {
		long, short := r.send(g, 4000), r.send(g, 100)
		r.read(long, 4000)
		r.read(short, 100)
	}
	g.Expect(r.q.Load().PrefillRate).To(BeNumerically("~", 1000, 20))
}

// Guards against an offer that is granted although the prompts before it leave no time to read its own.
func TestPendingPromptsCountAgainstTheDeadline(t *testing.T) {
	g := NewWithT(t)
	r := newPrefillEngine(g, 10*time.Second)
	long := r.send(g, 4000)
	it := item("late", "a", 0, 1000)
	it.Deadline = r.now.Add(4500 * time.Millisecond)
	_, err := r.q.Push(r.now, it)
	g.Expect(err).To(HaveField("Reason", fault.Deadline))
	r.read(long, 4000)
	it.Deadline = r.now.Add(1500 * time.Millisecond)
	_, err = r.q.Push(r.now, it)
	g.Expect(err).To(BeNil())
}

// Guards against cancelled prompts that count for ever: for the deadline of others, and for the speed
// learnt from requests behind them.
func TestCancelledPromptsAreNotCounted(t *testing.T) {
	g := NewWithT(t)
	r := newPrefillEngine(g, 10*time.Second)
	for range 10 {
		gone, next := r.send(g, 8000), r.send(g, 1000)
		r.q.Finished(r.now, gone, queue.Outcome{Failed: true})
		r.read(next, 1000)
	}
	g.Expect(r.q.Load().PrefillRate).To(BeNumerically("~", 1000, 20))
	it := item("soon", "a", 0, 1000)
	it.Deadline = r.now.Add(1100 * time.Millisecond)
	_, err := r.q.Push(r.now, it)
	g.Expect(err).To(BeNil())
}

// Guards against a question that waits in the engine behind prompts of a lower tier, where it cannot be
// put first.
func TestPendingPromptsKeepLowerTiersWaiting(t *testing.T) {
	g := NewWithT(t)
	r := newPrefillEngine(g, queue.FirstTokenTarget)
	long := r.send(g, 2000)
	low, high := item("low", "a", 2, 2000), item("high", "a", 0, 100)
	push(g, r.q, low)
	g.Expect(granted(r.q, r.now)).To(BeEmpty())
	push(g, r.q, high)
	r.read(long, 2000)
	g.Expect(granted(r.q, r.now)[0]).To(Equal(ident.RequestID("high")))
}

// Guards against calls to a plain service that wait for each other although it serves them side by side.
func TestPlainCallsRunConcurrently(t *testing.T) {
	g := NewWithT(t)
	r := newPrefillEngine(g, queue.FirstTokenTarget)
	for i := range 4 {
		it := item(ident.RequestID("call"+strconv.Itoa(i)), "a", 0, 2000)
		it.Output, it.Deadline = 1, r.now.Add(2500*time.Millisecond)
		_, err := r.q.Push(r.now, it)
		g.Expect(err).To(BeNil())
		g.Expect(granted(r.q, r.now)).To(HaveLen(1))
		g.Expect(r.q.Started(r.now, it.ID)).To(BeTrue())
	}
}

// Guards against an offer that is refused on arrival because the mean wait, which most offers do not have,
// exceeds its deadline, and against one that is taken although half of that wait does.
func TestHalfOfTheExpectedWaitCounts(t *testing.T) {
	g := NewWithT(t)
	q := queue.New(queue.WithWindow(1, 1<<20))
	for i := range 40 { // 100 tokens per second drain
		now, id := after(time.Duration(i)*time.Second), ident.RequestID(strconv.Itoa(i))
		push(g, q, item(id, "a", 1, 40), item(id+"w", "a", 1, 60))
		for range 2 {
			it, _, _ := q.Next(now)
			q.Started(now, it.ID)
			q.Expire(now)
			q.Finished(now, it.ID, queue.Outcome{})
		}
	}
	now := after(40 * time.Second)
	push(g, q, item("runs", "a", 1, 1000))
	granted(q, now)
	it := item("mine", "a", 1, 10) // 10 s of work ahead
	it.Deadline = now.Add(15 * time.Second)
	_, err := q.Push(now, it)
	g.Expect(err).To(BeNil())
	it.ID, it.Deadline = "hopeless", now.Add(4*time.Second)
	_, err = q.Push(now, it)
	g.Expect(err).To(HaveField("Reason", fault.Deadline))
}

// Guards against evidence that takes a question behind an assessment for a slow answer.
func TestPromptAheadCountsPromptsReadBefore(t *testing.T) {
	g := NewWithT(t)
	r := newPrefillEngine(g, 10*time.Second)
	long, short := r.send(g, 4000), r.send(g, 100)
	g.Expect([]ident.Tokens{r.q.PromptAhead(long), r.q.PromptAhead(short), r.q.PromptAhead("x")}).To(Equal([]ident.Tokens{0, 4000, 0}))
	r.read(long, 4000)
	g.Expect(r.q.PromptAhead(short)).To(Equal(ident.Tokens(4000)))
}
