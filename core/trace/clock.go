package trace

import (
	"container/heap"
	"time"
)

// epoch is the wall-clock time at which every replay starts.
var epoch = time.Date(2026, time.January, 5, 8, 0, 0, 0, time.UTC)

// clock is virtual time with a queue of calls. Calls of one moment run in the order of their scheduling.
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

// after schedules f to run d from now.
func (c *clock) after(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.queue, call{at: c.now.Add(max(0, d)), seq: c.seq, f: f})
}

// every schedules f to run each d, first after delay, while running reports true.
func (c *clock) every(delay, d time.Duration, running func() bool, f func()) {
	c.after(delay, func() {
		if !running() {
			return
		}
		f()
		c.every(d, d, running, f)
	})
}

// run calls what is scheduled until nothing is left.
func (c *clock) run() {
	for len(c.queue) > 0 {
		next := heap.Pop(&c.queue).(call)
		c.now = next.at
		next.f()
	}
}
