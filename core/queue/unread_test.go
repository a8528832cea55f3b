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
type reader struct {
	q     *queue.Queue
	now   time.Time
	speed ident.Tokens // per second
	sent  int
}

// send grants and starts a request with n prompt tokens.
func (r *reader) send(g Gomega, n ident.Tokens) ident.RequestID {
	r.sent++
	it := item(ident.RequestID(strconv.Itoa(r.sent)), "a", 0, n)
	it.Deadline = r.now.Add(time.Hour)
	_, err := r.q.Push(r.now, it)
	g.Expect(err).To(BeNil())
	g.Expect(granted(r.q, r.now)).To(HaveLen(1))
	g.Expect(r.q.Started(r.now, it.ID)).To(BeTrue())
	return it.ID
}

// read lets the engine read the n prompt tokens of a request and end it.
func (r *reader) read(id ident.RequestID, n ident.Tokens) {
	r.now = r.now.Add(time.Duration(n) * time.Second / time.Duration(r.speed))
	r.q.FirstToken(r.now, id)
	r.q.Finished(r.now, id, queue.Outcome{Prompt: n, Output: 1})
}

// newReader returns an engine whose speed of 1,000 prompt tokens per second was learnt.
func newReader(g Gomega) *reader {
	r := &reader{q: queue.New(), now: t0, speed: 1000}
	for range 5 {
		r.read(r.send(g, 1000), 1000)
	}
	g.Expect(r.q.Load().Prefill).To(BeNumerically("~", 1000, 1))
	r.q.Lapse(r.now)
	return r
}

// Guards against a question behind an assessment that is taken for slowness and shrinks the window.
func TestPromptsReadBeforeDoNotShrinkTheWindow(t *testing.T) {
	g := NewWithT(t)
	r := newReader(g)
	window := r.q.Load().Window
	long, short := r.send(g, 8000), r.send(g, 100)
	for range 8 {
		r.now = r.now.Add(900 * time.Millisecond)
		r.q.Lapse(r.now)
	}
	r.now = r.now.Add(800*time.Millisecond - 8*time.Second)
	r.read(long, 8000)
	r.read(short, 100)
	r.q.Lapse(r.now.Add(time.Second))
	g.Expect(r.q.Load().Window).To(Equal(window))
}

// Guards against an engine that reads slowly and keeps its window.
func TestSlowFirstTokensShrinkTheWindow(t *testing.T) {
	g := NewWithT(t)
	r := newReader(g)
	window := r.q.Load().Window
	r.speed = 200
	for range 4 {
		r.read(r.send(g, 1000), 1000)
		r.q.Lapse(r.now)
	}
	g.Expect(r.q.Load().Window).To(BeNumerically("<", window))
}

// Guards against a learnt prompt speed that falls with the prompts before a request.
func TestLearntSpeedCountsPromptsReadBefore(t *testing.T) {
	g := NewWithT(t)
	r := newReader(g)
	for range 10 {
		long, short := r.send(g, 4000), r.send(g, 100)
		r.read(long, 4000)
		r.read(short, 100)
	}
	g.Expect(r.q.Load().Prefill).To(BeNumerically("~", 1000, 20))
}

// Guards against an offer that is granted although the prompts before it leave no time to read its own.
func TestUnreadPromptsCountAgainstTheDeadline(t *testing.T) {
	g := NewWithT(t)
	r := newReader(g)
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
	r := newReader(g)
	for range 10 {
		gone, next := r.send(g, 8000), r.send(g, 1000)
		r.q.Finished(r.now, gone, queue.Outcome{Failed: true})
		r.read(next, 1000)
	}
	g.Expect(r.q.Load().Prefill).To(BeNumerically("~", 1000, 20))
	it := item("soon", "a", 0, 1000)
	it.Deadline = r.now.Add(1100 * time.Millisecond)
	_, err := r.q.Push(r.now, it)
	g.Expect(err).To(BeNil())
}
