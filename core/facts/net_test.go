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
	arrival time.Time
	seq     int
	from    int
	facts.Envelope
}

type queue []packet

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].arrival.Before(q[j].arrival) || q[i].arrival.Equal(q[j].arrival) && q[i].seq < q[j].seq
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
	now       time.Time
	rnd       *rand.Rand
	gossipers []*facts.Gossiper
	opts      []facts.Option
	// down machines take part in nothing.
	down  []bool
	queue queue
	seq   int
	loss  float64
	// duplicate is the chance that a message arrives twice, the second time up to 5 s later.
	duplicate float64
	// drop is a planted fault: messages for which it returns true are lost.
	drop func(*wire.Gossip) bool
	// bytes and count are what each machine sent; link is what crossed the region link.
	bytes, messages []int64
	linkBytes       int64
	nextStep        time.Time
}

func name(i int) ident.ProcessID { return ident.ProcessID("vm-" + strconv.Itoa(1000+i)) }

func newNetwork(n int, seed uint64, opts ...facts.Option) *network {
	w := &network{
		now: start, nextStep: start, rnd: rand.New(rand.NewPCG(seed, 1)), opts: opts,
		gossipers: make([]*facts.Gossiper, n), down: make([]bool, n), bytes: make([]int64, n), messages: make([]int64, n),
	}
	for i := range n {
		w.restart(i)
	}
	return w
}

func (w *network) restart(i int) {
	opts := append([]facts.Option{facts.WithRank(facts.KindConfig, rank)}, w.opts...)
	w.gossipers[i] = facts.New(name(i), ident.BootAt(w.now), rand.New(rand.NewPCG(w.rnd.Uint64(), uint64(i))), opts...)
}

func (w *network) peers(i int) (p facts.Peers) {
	for j := i % 2; j < len(w.gossipers); j += 2 {
		p.SameRegion = append(p.SameRegion, name(j))
	}
	if i < 4 && i^1 < len(w.gossipers) {
		p.OtherRegions, p.Backup = []ident.ProcessID{name(i ^ 1)}, i >= 2
	}
	return p
}

func (w *network) send(from int, out []facts.Envelope) {
	for _, s := range out {
		to := index(s.To)
		w.measure(from, to, s.Message)
		if w.rnd.Float64() < w.loss || w.drop != nil && w.drop(s.Message) {
			continue
		}
		w.post(from, s, w.delay(from, to))
		if w.rnd.Float64() < w.duplicate {
			w.post(from, s, time.Duration(w.rnd.IntN(5000))*time.Millisecond)
		}
	}
}

func (w *network) post(from int, s facts.Envelope, d time.Duration) {
	w.seq++
	heap.Push(&w.queue, packet{arrival: w.now.Add(d), seq: w.seq, from: from, Envelope: s})
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
	w.messages[from]++
	if from%2 != to%2 {
		w.linkBytes += int64(len(b))
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
		w.now = w.nextStep
		slot := int(w.now.Sub(start)/(facts.RoundInterval/slots)) % slots
		w.deliver()
		for i := slot; i < len(w.gossipers); i += slots {
			if !w.down[i] {
				w.send(i, w.gossipers[i].Tick(w.now, w.peers(i)))
			}
		}
		w.nextStep = w.now.Add(facts.RoundInterval / slots)
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
	for len(w.queue) > 0 && w.queue[0].arrival.Before(w.nextStep.Add(facts.RoundInterval/10)) {
		p := heap.Pop(&w.queue).(packet)
		if p.arrival.After(w.now) {
			w.now = p.arrival
		}
		if to := index(p.To); !w.down[to] {
			w.send(to, w.gossipers[to].Handle(w.now, name(p.from), p.Message))
		}
	}
	w.now = base
}

// everywhere reports whether all machines that are up hold generation gen.
func (w *network) generationEverywhere(gen uint64) bool {
	return !slices.ContainsFunc(w.gossipers, func(m *facts.Gossiper) bool {
		f, _ := m.Get(facts.KindConfig, "")
		return f.Seq < gen && !w.down[slices.Index(w.gossipers, m)]
	})
}
