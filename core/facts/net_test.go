package facts_test

import (
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"hickoryvane.example/core/facts"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

var start = time.Unix(1_800_000_000, 0)

// rank reads the generation from the first eight bytes of a value.
func rank(v []byte) (uint64, bool) {
	if len(v) < 8 {
		return 0, false
	}
	return binary.BigEndian.Uint64(v), true
}

func config(gen uint64, size int) []byte {
	b := make([]byte, max(size, 8))
	binary.BigEndian.PutUint64(b, gen)
	return b
}

type packet struct {
	at   time.Time
	seq  int
	from int
	facts.Send
}

type queue []packet

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(packet)) }
func (q *queue) Pop() any {
	p := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return p
}

// network joins machines in memory. Even ones are in one region, odd ones in the other; the first
// two of each are its pair for the link.
type network struct {
	now  time.Time
	rnd  *rand.Rand
	all  []*facts.Machine
	opts []facts.Option
	// down machines take part in nothing.
	down []bool
	q    queue
	seq  int
	loss float64
	// duplicate is the chance that a message arrives twice, the second time up to 5 s later.
	duplicate float64
	// drop is a planted fault: messages for which it returns true are lost.
	drop func(*wire.Gossip) bool
	// bytes and count are what each machine sent; link is what crossed the region link.
	bytes, count []int64
	link         int64
	next         time.Time
}

func name(i int) ident.ProcessID { return ident.ProcessID("vm-" + strconv.Itoa(1000+i)) }

func newNetwork(n int, seed uint64, opts ...facts.Option) *network {
	w := &network{
		now: start, next: start, rnd: rand.New(rand.NewPCG(seed, 1)), opts: opts,
		all: make([]*facts.Machine, n), down: make([]bool, n), bytes: make([]int64, n), count: make([]int64, n),
	}
	for i := range n {
		w.restart(i)
	}
	return w
}

func (w *network) restart(i int) {
	opts := append([]facts.Option{facts.WithRank(facts.SortConfig, rank)}, w.opts...)
	w.all[i] = facts.New(name(i), ident.BootAt(w.now), rand.New(rand.NewPCG(w.rnd.Uint64(), uint64(i))), opts...)
}

func (w *network) peers(i int) (p facts.Peers) {
	for j := i % 2; j < len(w.all); j += 2 {
		p.Near = append(p.Near, name(j))
	}
	if i < 4 && i^1 < len(w.all) {
		p.Far, p.Backup = []ident.ProcessID{name(i ^ 1)}, i >= 2
	}
	return p
}

func (w *network) send(from int, out []facts.Send) {
	for _, s := range out {
		to := index(s.To)
		w.measure(from, to, s.Facts)
		if w.rnd.Float64() < w.loss || w.drop != nil && w.drop(s.Facts) {
			continue
		}
		w.post(from, s, w.delay(from, to))
		if w.rnd.Float64() < w.duplicate {
			w.post(from, s, time.Duration(w.rnd.IntN(5000))*time.Millisecond)
		}
	}
}

func (w *network) post(from int, s facts.Send, d time.Duration) {
	w.seq++
	heap.Push(&w.q, packet{at: w.now.Add(d), seq: w.seq, from: from, Send: s})
}

func (w *network) delay(from, to int) time.Duration {
	if from%2 != to%2 {
		return 10 * time.Millisecond
	}
	return time.Millisecond
}

func (w *network) measure(from, to int, m *wire.Gossip) {
	b, err := wire.Encode(m)
	if err != nil {
		return
	}
	w.bytes[from] += int64(len(b))
	w.count[from]++
	if from%2 != to%2 {
		w.link += int64(len(b))
	}
}

func index(id ident.ProcessID) int {
	n, _ := strconv.Atoi(string(id[3:]))
	return n - 1000
}

// run lets time pass; machines tick at their own offsets within a round.
func (w *network) run(d time.Duration, stop func() bool) bool {
	const slots = 10
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.next
		slot := int(w.now.Sub(start)/(facts.Round/slots)) % slots
		w.deliver()
		for i := slot; i < len(w.all); i += slots {
			if !w.down[i] {
				w.send(i, w.all[i].Tick(w.now, w.peers(i)))
			}
		}
		w.next = w.now.Add(facts.Round / slots)
		w.deliver()
		if stop != nil && stop() {
			return true
		}
	}
	return false
}

// deliver hands over what arrives before the next step.
func (w *network) deliver() {
	base := w.now
	for len(w.q) > 0 && w.q[0].at.Before(w.next.Add(facts.Round/10)) {
		p := heap.Pop(&w.q).(packet)
		if p.at.After(w.now) {
			w.now = p.at
		}
		if to := index(p.To); !w.down[to] {
			w.send(to, w.all[to].Handle(w.now, name(p.from), p.Facts))
		}
	}
	w.now = base
}

// everywhere reports whether all machines that are up hold generation gen.
func (w *network) everywhere(gen uint64) bool {
	return !slices.ContainsFunc(w.all, func(m *facts.Machine) bool {
		f, _ := m.Get(facts.SortConfig, "")
		return f.Seq < gen && !w.down[slices.Index(w.all, m)]
	})
}
