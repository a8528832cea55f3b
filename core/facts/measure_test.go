package facts_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/facts"
	"hickoryvane.example/core/ident"
)

// configSize is the size of a configuration at the size in two years: 640 targets, 540 accounts, 18
// services, about 250 bytes each.
const configSize = 300_000

// background gives each process a few facts that do not change, and a configuration.
func background(w *network) {
	for i, m := range w.all {
		for _, k := range []string{"a", "b", "c"} {
			m.Set(w.now, "evidence", k, fmt.Appendf(nil, "%s of %d, some sixty bytes as of one route on one class.", k, i))
		}
	}
	w.all[0].Set(w.now, facts.SortConfig, "", config(1, configSize))
	w.run(60*time.Second, nil)
}

// cost is what the processes sent: bytes and messages of each on average, most bytes of one, bytes over the link.
type cost struct{ bytes, msgs, most, link float64 }

// take returns the cost since the last call.
func (w *network) take() (c cost) {
	n := float64(len(w.all))
	for i, b := range w.bytes {
		c.bytes, c.msgs, c.most = c.bytes+float64(b)/n, c.msgs+float64(w.count[i])/n, max(c.most, float64(b))
	}
	c.link = float64(w.link)
	clear(w.bytes)
	clear(w.count)
	w.link = 0
	return c
}

// spread sets configurations at one process and returns how long each took to reach all.
func (w *network) spread(changes int, each time.Duration) (took []time.Duration) {
	for gen := uint64(2); gen < uint64(changes)+2; gen++ {
		from := w.now
		i := w.rnd.IntN(len(w.all))
		w.all[i].Set(w.now, facts.SortConfig, "", config(gen, configSize))
		w.send(i, w.all[i].Push(w.now))
		if !w.run(each, func() bool { return w.everywhere(gen) }) {
			return append(took, each)
		}
		took = append(took, w.now.Sub(from))
		w.run(from.Add(each).Sub(w.now), nil)
	}
	return took
}

// Guards against a configuration that is not in force everywhere within 7 s, and shows the cost. The
// cost at 690 changes a day is worked out from that of the changes made here and that of idling.
func TestMeasureSpread(t *testing.T) {
	g := NewWithT(t)
	const (
		changes = 10
		each    = 10 * time.Second
		idle    = 50 * time.Second
		perSec  = 690.0 / 86400
	)
	t.Logf("%9s %5s | %7s %7s | %8s %8s %6s | %10s %10s | %8s %6s %9s", "processes", "loss", "worst s", "mean s",
		"idle B/s", "highest", "msg/s", "B/change", "highest", "busy B/s", "msg/s", "link B/s")
	for _, n := range []int{10, 50, 200} {
		for _, loss := range []float64{0, 0.05, 0.2} {
			w := newNetwork(n, uint64(n))
			background(w)
			w.loss = loss
			w.take()
			w.run(idle, nil)
			a, took := w.take(), w.spread(changes, each)
			b, s := w.take(), idle.Seconds()
			k := (each * changes).Seconds() / s
			part := func(idle, busy float64) float64 { return idle/s + (busy-k*idle)/changes*perSec }
			worst, sum := slices.Max(took), time.Duration(0)
			for _, d := range took {
				sum += d
			}
			t.Logf("%9d %4.0f%% | %7.2f %7.2f | %8.0f %8.0f %6.1f | %10.0f %10.0f | %8.0f %6.1f %9.0f", n, loss*100,
				worst.Seconds(), sum.Seconds()/float64(len(took)), a.bytes/s, a.most/s, a.msgs/s, (b.bytes-k*a.bytes)/changes,
				(b.most-k*a.most)/changes, part(a.bytes, b.bytes), part(a.msgs, b.msgs), part(a.link, b.link))
			g.Expect(took).To(HaveLen(changes))
			g.Expect(worst).To(BeNumerically("<=", 7*time.Second))
		}
	}
}

// Guards against a verdict that reaches processes later than 2 s after the evidence, as long as no
// message is lost.
func TestMeasureVerdict(t *testing.T) {
	g := NewWithT(t)
	const changes = 10
	t.Logf("%9s %5s | %7s %7s", "processes", "loss", "worst s", "mean s")
	for _, n := range []int{10, 50, 200} {
		for _, loss := range []float64{0, 0.05, 0.2} {
			w := newNetwork(n, uint64(n))
			w.run(5*time.Second, nil)
			w.loss = loss
			var worst, sum time.Duration
			for k := range changes {
				from, key, i := w.now, fmt.Sprint(k), w.rnd.IntN(n)
				w.all[i].Set(w.now, facts.SortBad, key, []byte("verdict"))
				w.send(i, w.all[i].Push(w.now))
				w.run(30*time.Second, func() bool { return w.have(facts.SortBad, key, name(i)) })
				took := w.now.Sub(from)
				worst, sum = max(worst, took), sum+took
				w.run(3*time.Second, nil)
			}
			t.Logf("%9d %4.0f%% | %7.2f %7.2f", n, loss*100, worst.Seconds(), sum.Seconds()/changes)
			if loss == 0 {
				g.Expect(worst).To(BeNumerically("<=", 2*time.Second))
			}
		}
	}
}

func (w *network) have(sort, key string, origin ident.ProcessID) bool {
	return !slices.ContainsFunc(w.all, func(m *facts.Machine) bool {
		_, ok := m.From(sort, key, origin)
		return !ok
	})
}
