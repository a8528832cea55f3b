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
func setBackground(w *network) {
	for i, m := range w.gossipers {
		for _, k := range []string{"a", "b", "c"} {
			m.Set(w.now, "evidence", k, fmt.Appendf(nil, "%s of %d, some sixty bytes as of one route on one class.", k, i))
		}
	}
	w.gossipers[0].Set(w.now, facts.KindConfig, "", config(1, configSize))
	w.run(60*time.Second, nil)
}

// cost is what the processes sent: bytes and messages of each on average, most bytes of one, bytes over the link.
type cost struct{ bytes, messages, bytesMax, linkBytes float64 }

// take returns the cost since the last call.
func (w *network) takeCost() (c cost) {
	n := float64(len(w.gossipers))
	for i, b := range w.bytes {
		c.bytes, c.messages, c.bytesMax = c.bytes+float64(b)/n, c.messages+float64(w.messages[i])/n, max(c.bytesMax, float64(b))
	}
	c.linkBytes = float64(w.linkBytes)
	clear(w.bytes)
	clear(w.messages)
	w.linkBytes = 0
	return c
}

// spread sets configurations at one process and returns how long each took to reach all.
func (w *network) measureSpread(changes int, each time.Duration) (took []time.Duration) {
	for gen := uint64(2); gen < uint64(changes)+2; gen++ {
		from := w.now
		i := w.rnd.IntN(len(w.gossipers))
		w.gossipers[i].Set(w.now, facts.KindConfig, "", config(gen, configSize))
		w.send(i, w.gossipers[i].PushUrgent(w.now))
		if !w.run(each, func() bool { return w.generationEverywhere(gen) }) {
			return append(took, each)
		}
		took = append(took, w.now.Sub(from))
		w.run(from.Add(each).Sub(w.now), nil)
	}
	return took
}

// Guards against a configuration that is not in force everywhere within 7 s, and shows the cost. The
// cost at 690 changes a day is worked out from that of the changes made here and that of idling.
func TestConfigSpreadTimeAndCost(t *testing.T) {
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
			setBackground(w)
			w.loss = loss
			w.takeCost()
			w.run(idle, nil)
			a, took := w.takeCost(), w.measureSpread(changes, each)
			b, s := w.takeCost(), idle.Seconds()
			k := (each * changes).Seconds() / s
			part := func(idle, busy float64) float64 { return idle/s + (busy-k*idle)/changes*perSec }
			worst, sum := slices.Max(took), time.Duration(0)
			for _, d := range took {
				sum += d
			}
			t.Logf("%9d %4.0f%% | %7.2f %7.2f | %8.0f %8.0f %6.1f | %10.0f %10.0f | %8.0f %6.1f %9.0f", n, loss*100,
				worst.Seconds(), sum.Seconds()/float64(len(took)), a.bytes/s, a.bytesMax/s, a.messages/s, (b.bytes-k*a.bytes)/changes,
				(b.bytesMax-k*a.bytesMax)/changes, part(a.bytes, b.bytes), part(a.messages, b.messages), part(a.linkBytes, b.linkBytes))
			g.Expect(took).To(HaveLen(changes))
			g.Expect(worst).To(BeNumerically("<=", 7*time.Second))
		}
	}
}

// Guards against a verdict that reaches processes later than 2 s after the evidence, as long as no
// message is lost.
func TestVerdictSpreadTime(t *testing.T) {
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
				w.gossipers[i].Set(w.now, facts.KindBadVersion, key, []byte("verdict"))
				w.send(i, w.gossipers[i].PushUrgent(w.now))
				w.run(30*time.Second, func() bool { return w.heldEverywhere(facts.KindBadVersion, key, name(i)) })
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

func (w *network) heldEverywhere(sort, key string, origin ident.ProcessID) bool {
	return !slices.ContainsFunc(w.gossipers, func(m *facts.Gossiper) bool {
		_, ok := m.FromOrigin(sort, key, origin)
		return !ok
	})
}
