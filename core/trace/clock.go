package trace

import (
	"container/heap"
	"time"
)

// epoch is the virtual time at which every replay starts.
var epoch = time.Date(2026, time.January, 5, 8, 0, 0, 0, time.UTC)

// clock is a virtual clock with a queue of scheduled calls. Calls due at the same time run in the order in which
// they were scheduled.
type clock struct {
	now   time.Time
	seq   uint64
	queue callHeap
}

type call struct {
	at  time.Time
	seq uint64
	f   func()
}

type callHeap []call

func (q callHeap) Len() int { return len(q) }
func (q callHeap) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q callHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callHeap) Push(x any)   { *q = append(*q, x.(call)) }
func (q *callHeap) Pop() any {
	old := *q
	c := old[len(old)-1]
	old[len(old)-1] = call{}
	*q = old[:len(old)-1]
	return c
}

// after schedules f to run after d. A negative d counts as 0.
func (c *clock) after(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.queue, call{at: c.now.Add(max(0, d)), seq: c.seq, f: f})
}

// every schedules f to run first after delay and then every d, until running reports false.
func (c *clock) every(delay, d time.Duration, running func() bool, f func()) {
	c.after(delay, func() {
		if !running() {
			return
		}
		f()
		c.every(d, d, running, f)
	})
}

// run executes scheduled calls in order of time until the queue is empty.
func (c *clock) run() {
	for len(c.queue) > 0 {
		next := heap.Pop(&c.queue).(call)
		c.now = next.at
		next.f()
	}
}
