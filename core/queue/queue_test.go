package queue_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/queue"
)

var t0 = time.Unix(1_800_000_000, 0)

func after(d time.Duration) time.Time { return t0.Add(d) }

func item(id ident.RequestID, a ident.AccountID, tier ident.Tier, n ident.Tokens) queue.Item {
	return queue.Item{ID: id, Account: a, Tier: tier, Deadline: after(time.Hour), Prompt: n}
}

func push(g Gomega, q *queue.Queue, items ...queue.Item) {
	for _, it := range items {
		_, err := q.Push(t0, it)
		g.Expect(err).To(BeNil())
	}
}

// granted takes all offers for which there is room, in order.
func granted(q *queue.Queue, now time.Time) (ids []ident.RequestID) {
	for it, _, ok := q.Next(now); ok; it, _, ok = q.Next(now) {
		ids = append(ids, it.ID)
	}
	return ids
}

// Guards against a lower tier or a later deadline that is granted first.
func TestNextFollowsTierThenDeadline(t *testing.T) {
	g := NewWithT(t)
	q := queue.New()
	late, early := item("late", "a", 1, 1), item("early", "a", 1, 1)
	early.Deadline = after(time.Minute)
	push(g, q, item("low", "b", 2, 1), late, early, item("high", "a", 0, 1))
	g.Expect(granted(q, t0)).To(Equal([]ident.RequestID{"high", "early", "late", "low"}))
}

// Guards against an account that gets more than its weight by sending more or longer requests.
func TestNextDividesServiceByWeightAndLength(t *testing.T) {
	g := NewWithT(t)
	q := queue.New(queue.WithWindow(1, 1<<20))
	for i := range 80 {
		n := strconv.Itoa(i)
		heavy := item(ident.RequestID("heavy"+n), "heavy", 1, 100)
		heavy.Weight = 2
		push(g, q, item(ident.RequestID("long"+n), "long", 1, 400), item(ident.RequestID("short"+n), "short", 1, 100), heavy)
	}
	served := map[ident.AccountID]int{}
	for range 70 {
		it, _, ok := q.Next(t0)
		g.Expect(ok).To(BeTrue())
		served[it.Account] += int(it.Charge())
		q.Started(t0, it.ID)
		q.Finished(t0, it.ID, queue.Outcome{})
	}
	g.Expect(served["long"]).To(BeNumerically("~", served["short"], 400))
	g.Expect(served["heavy"]).To(BeNumerically("~", 2*served["short"], 500))
}

// Guards against room that is lost when a grant is not used, and against a lapse of one that is used.
func TestUnusedGrantsFreeTheirRoom(t *testing.T) {
	g := NewWithT(t)
	q := queue.New(queue.WithWindow(2, 1<<20))
	push(g, q, item("a", "x", 0, 1), item("b", "x", 0, 1), item("c", "x", 0, 1))
	g.Expect(granted(q, t0)).To(HaveLen(2))
	g.Expect(q.Started(t0, "a")).To(BeTrue())
	_, lapsed := q.Expire(after(queue.GrantTimeout))
	g.Expect(lapsed).To(ConsistOf(HaveField("ID", ident.RequestID("b"))))
	g.Expect(granted(q, t0)).To(Equal([]ident.RequestID{"c"}))
	g.Expect(q.Remove(t0, "c")).To(BeTrue())
	g.Expect(q.Remove(t0, "a")).To(BeFalse())
	g.Expect(q.Load()).To(And(HaveField("Running", 1), HaveField("Held", ident.Tokens(1))))
}

// Guards against prefill that is wasted on a request whose deadline is out of reach.
func TestInfeasibleOffersAreRefusedBeforePrefill(t *testing.T) {
	g := NewWithT(t)
	q := queue.New()
	push(g, q, item("learn", "a", 0, 1000))
	granted(q, t0)
	q.Started(t0, "learn")
	q.FirstToken(after(time.Second), "learn")
	q.Finished(after(time.Second), "learn", queue.Outcome{Prompt: 1000})
	g.Expect(q.Load().PrefillRate).To(BeNumerically("~", 1000, 1))

	it := item("r", "a", 0, 2000) // needs 2 s of prefill
	it.Deadline = after(4 * time.Second)
	_, err := q.Push(after(2100*time.Millisecond), it)
	g.Expect(err).To(And(HaveField("Reason", fault.Deadline), HaveField("Run", fault.NotRun)))
	_, err = q.Push(after(time.Second), it)
	g.Expect(err).To(BeNil())
	refused, _ := q.Expire(after(1900 * time.Millisecond))
	g.Expect(refused).To(BeEmpty())
	_, refused, ok := q.Next(after(2100 * time.Millisecond))
	g.Expect(ok).To(BeFalse())
	g.Expect(refused).To(HaveLen(1))
}

// Guards against offers that wait behind more work than can end before their deadline, and against
// one account whose long line makes another's offer appear out of reach.
func TestPushRefusesOffersWithTooLongExpectedWait(t *testing.T) {
	g := NewWithT(t)
	q := queue.New(queue.WithWindow(1, 1<<20))
	for i := range 40 { // 100 tokens per second drain
		now, id := after(time.Duration(i)*time.Second), ident.RequestID(strconv.Itoa(i))
		push(g, q, item(id, "flood", 1, 40), item(id+"w", "flood", 1, 60))
		for range 2 {
			it, _, _ := q.Next(now)
			q.Started(now, it.ID)
			q.Expire(now)
			q.Finished(now, it.ID, queue.Outcome{})
		}
	}
	now := after(40 * time.Second)
	for i := range 100 {
		push(g, q, item(ident.RequestID("x"+strconv.Itoa(i)), "flood", 1, 100))
	}
	granted(q, now)
	mine := item("mine", "flood", 1, 100)
	mine.Deadline = now.Add(20 * time.Second)
	mine.Tier = 2
	_, err := q.Push(now, mine)
	g.Expect(err).To(HaveField("Reason", fault.Deadline))
	mine.Account, mine.Tier = "other", 1
	_, err = q.Push(now, mine)
	g.Expect(err).To(BeNil())
}

// Guards against a suspected request that takes others with it when it crashes the target, and against
// one that never gets its turn.
func TestSuspectsRunAlone(t *testing.T) {
	g := NewWithT(t)
	q := queue.New()
	bad := item("bad", "a", 0, 1)
	bad.Alone, bad.Deadline = true, after(10*time.Second)
	push(g, q, item("run", "a", 0, 1))
	granted(q, t0)
	push(g, q, bad, item("next", "b", 0, 1))
	g.Expect(granted(q, t0)).To(Equal([]ident.RequestID{"next"}))
	push(g, q, item("later", "c", 1, 1))
	g.Expect(granted(q, after(5*time.Second))).To(BeEmpty())
	for _, id := range []ident.RequestID{"run", "next"} {
		q.Started(t0, id)
		q.Finished(t0, id, queue.Outcome{})
	}
	g.Expect(granted(q, t0)).To(Equal([]ident.RequestID{"bad"}))
	q.Started(t0, "bad")
	q.Finished(t0, "bad", queue.Outcome{})
	g.Expect(granted(q, t0)).To(Equal([]ident.RequestID{"later"}))
}

// engine is a model engine: its token gap grows with the number of running requests.
type engine struct {
	q        *queue.Queue
	now      time.Time
	slowdown time.Duration // factor on the gap
	streams  []*stream
	sent     int
}

type stream struct {
	id        ident.RequestID
	remaining int
	next      time.Time
}

// work lets the engine run for d with a queue that never runs empty.
func (e *engine) advance(d time.Duration) {
	for end := e.now.Add(d); e.now.Before(end); e.now = e.now.Add(time.Millisecond) {
		for e.q.Len() < 4 {
			e.sent++
			it := item(ident.RequestID(strconv.Itoa(e.sent)), "a", 1, 1000)
			it.Output, it.Deadline = 100, e.now.Add(time.Hour)
			_, _ = e.q.Push(e.now, it)
		}
		e.q.Expire(e.now)
		for it, _, ok := e.q.Next(e.now); ok; it, _, ok = e.q.Next(e.now) {
			e.q.Started(e.now, it.ID)
			e.streams = append(e.streams, &stream{id: it.ID, remaining: 100, next: e.now.Add(100 * time.Millisecond)})
		}
		for _, r := range slices.Clone(e.streams) {
			if !r.next.After(e.now) {
				e.token(r)
			}
		}
	}
}

func (e *engine) token(r *stream) {
	e.q.Progress(e.now, r.id, 1)
	r.next = e.now.Add(e.slowdown * (10*time.Millisecond + time.Duration(len(e.streams))*time.Millisecond))
	if r.remaining--; r.remaining == 0 {
		e.streams = slices.DeleteFunc(e.streams, func(o *stream) bool { return o == r })
		e.q.Finished(e.now, r.id, queue.Outcome{Prompt: 1000, Output: 100})
	}
}

// Guards against a window that overfills a slow engine, leaves a fast one idle, or jumps back after
// slowness. The gap is 36 ms with 26 requests at normal speed, and with 2 at a third of it.
func TestWindowFollowsTheEngine(t *testing.T) {
	g := NewWithT(t)
	e := &engine{q: queue.New(), now: t0, slowdown: 1}
	e.advance(90 * time.Second)
	g.Expect(e.q.Load().Window).To(BeNumerically("~", 23, 5))
	e.slowdown = 3
	e.advance(60 * time.Second)
	g.Expect(e.q.Load().Window).To(BeNumerically("<=", 5))
	e.slowdown = 1
	e.advance(3 * time.Second)
	g.Expect(e.q.Load().Window).To(BeNumerically("<=", 16))
	e.advance(60 * time.Second)
	g.Expect(e.q.Load().Window).To(BeNumerically("~", 23, 5))
}
