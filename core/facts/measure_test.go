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

// configSize is the size of a configuration as expected in two years: 640 targets, 540 accounts and 18 services
// of about 250 bytes each.
const configSize = 300_000

// setBackground gives each process a few entries that do not change, and a configuration.
func setBackground(w *network) {
	for i, node := range w.gossipers {
		for _, k := range []string{"a", "b", "c"} {
			node.Set(w.now, "evidence", k, fmt.Appendf(nil, "%s of %d, some sixty bytes as of one route on one class.", k, i))
		}
	}
	w.gossipers[0].Set(w.now, facts.KindConfig, "", config(1, configSize))
	w.run(60*time.Second, nil)
}

// cost is what the processes sent: bytes and messages of each on average, the most bytes sent by one process,
// and the bytes over the region link.
type cost struct{ bytes, messages, bytesMax, linkBytes float64 }

// takeCost returns the cost since the last call.
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

// measureSpread sets configurations at one process each and returns how long each took to reach all processes.
func (w *network) measureSpread(changes int, interval time.Duration) (times []time.Duration) {
	for gen := uint64(2); gen < uint64(changes)+2; gen++ {
		began := w.now
		i := w.rnd.IntN(len(w.gossipers))
		w.gossipers[i].Set(w.now, facts.KindConfig, "", config(gen, configSize))
		w.send(i, w.gossipers[i].PushUrgent(w.now))
		if !w.run(interval, func() bool { return w.generationEverywhere(gen) }) {
			return append(times, interval)
		}
		times = append(times, w.now.Sub(began))
		w.run(began.Add(interval).Sub(w.now), nil)
	}
	return times
}

// Guards against a configuration that takes more than 7 s to reach all processes, and logs the cost. The cost
// at 690 changes a day is derived from the cost of the changes made here and the cost while idle.
func TestConfigSpreadTimeAndCost(t *testing.T) {
	g := NewWithT(t)
	const (
		changes       = 10
		interval      = 10 * time.Second
		idle          = 50 * time.Second
		changesPerSec = 690.0 / 86400
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
			idleCost, times := w.takeCost(), w.measureSpread(changes, interval)
			busyCost, idleSeconds := w.takeCost(), idle.Seconds()
			busyToIdle := (interval * changes).Seconds() / idleSeconds
			perSecond := func(idle, busy float64) float64 {
				return idle/idleSeconds + (busy-busyToIdle*idle)/changes*changesPerSec
			}
			worst, sum := slices.Max(times), time.Duration(0)
			for _, d := range times {
				sum += d
			}
			t.Logf("%9d %4.0f%% | %7.2f %7.2f | %8.0f %8.0f %6.1f | %10.0f %10.0f | %8.0f %6.1f %9.0f", n, loss*100,
				worst.Seconds(), sum.Seconds()/float64(len(times)), idleCost.bytes/idleSeconds, idleCost.bytesMax/idleSeconds,
				idleCost.messages/idleSeconds, (busyCost.bytes-busyToIdle*idleCost.bytes)/changes,
				(busyCost.bytesMax-busyToIdle*idleCost.bytesMax)/changes, perSecond(idleCost.bytes, busyCost.bytes),
				perSecond(idleCost.messages, busyCost.messages), perSecond(idleCost.linkBytes, busyCost.linkBytes))
			g.Expect(times).To(HaveLen(changes))
			g.Expect(worst).To(BeNumerically("<=", 7*time.Second))
		}
	}
}

// Guards against an entry of KindBadVersion that takes more than 2 s to reach all processes when no message is lost.
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
			for change := range changes {
				began, key, i := w.now, fmt.Sprint(change), w.rnd.IntN(n)
				w.gossipers[i].Set(w.now, facts.KindBadVersion, key, []byte("verdict"))
				w.send(i, w.gossipers[i].PushUrgent(w.now))
				w.run(30*time.Second, func() bool { return w.heldEverywhere(facts.KindBadVersion, key, name(i)) })
				took := w.now.Sub(began)
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

func (w *network) heldEverywhere(kind, key string, origin ident.ProcessID) bool {
	return !slices.ContainsFunc(w.gossipers, func(node *facts.Gossiper) bool {
		_, ok := node.FromOrigin(kind, key, origin)
		return !ok
	})
}
