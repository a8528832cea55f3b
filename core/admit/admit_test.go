package admit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/admit"
	"hickoryvane.example/core/ident"
)

const (
	step = 250 * time.Millisecond
	// reportAge is the largest age of a report.
	reportAge = 2 * time.Second
)

// centre simulates the routers of a data centre, which hear of each other late.
type centre struct {
	rnd     *rand.Rand
	now     time.Time
	routers []*admit.Admission
	// out are the routers that are not ready for other reasons, short those whose resources are short.
	out, short map[int]bool
	// reports holds, by router, what it reported in the last steps.
	reports [][]admit.Peer
	ready   []bool
}

func newCentre(n int) *centre {
	c := &centre{rnd: rand.New(rand.NewPCG(1, uint64(n))), now: time.Unix(1_700_000_000, 0), out: map[int]bool{}, short: map[int]bool{}, reports: make([][]admit.Peer, n), ready: make([]bool, n)}
	for i := range n {
		c.routers = append(c.routers, &admit.Admission{Self: ident.ProcessID(fmt.Sprintf("r%02d", i))})
		c.reports[i] = []admit.Peer{{ID: c.routers[i].Self, Ready: true}}
		c.ready[i] = true
	}
	return c
}

// advance runs one step and returns the number of ready routers.
func (c *centre) advance(n int) (ready int) {
	for i, a := range c.routers {
		if (n+i)%4 == 0 { // samples are a second apart and not at the same time
			s := admit.Sample{}
			if c.short[i] {
				s.Delay = 300 * time.Millisecond
			}
			a.Observe(c.now, s)
		}
		var peers []admit.Peer
		for k, l := range c.reports {
			if k != i {
				peers = append(peers, l[max(0, len(l)-1-c.rnd.IntN(int(reportAge/step)))])
			}
		}
		c.ready[i] = !a.Withdraw(c.now, peers) && !c.out[i]
	}
	for i, a := range c.routers {
		c.reports[i] = append(c.reports[i], admit.Peer{ID: a.Self, Ready: c.ready[i], Short: a.Shortage() != admit.None})
		if c.ready[i] {
			ready++
		}
	}
	c.now = c.now.Add(step)
	return ready
}

// Load pattern: a peak in which all small routers run short at the same time. Guards against a data centre that is left
// with less than half of its routers, and against small routers that never withdraw.
func TestAtLeastHalfOfTheRoutersStayReady(t *testing.T) {
	for n := 1; n <= 12; n++ {
		for _, small := range []int{n / 3, n * 2 / 3, n} {
			g, c := NewWithT(t), newCentre(n)
			ready := n
			for i := range 240 {
				if i == 20 {
					for k := range small {
						c.short[k] = true
					}
				}
				if i == 140 {
					clear(c.short)
				}
				ready = c.advance(i)
				g.Expect(2*ready).To(BeNumerically(">=", n), "%d routers, %d small, step %d", n, small, i)
				if i == 100 {
					g.Expect(ready).To(Equal(n-min(small, n/2)), "%d routers, %d small", n, small)
				}
			}
			g.Expect(ready).To(Equal(n), "%d routers, %d small", n, small)
		}
	}
}

// Guards against routers that stay withdrawn when others of their data centre stop.
func TestWithdrawnRoutersReturnForOnesThatStop(t *testing.T) {
	g, c := NewWithT(t), newCentre(8)
	ready := 0
	for i := range 120 {
		for k := range 4 {
			c.short[k] = true
		}
		if i == 60 {
			g.Expect(ready).To(Equal(4))
			c.out[6], c.out[7] = true, true
		}
		ready = c.advance(i)
	}
	g.Expect(ready).To(Equal(4), "two of the four that had withdrawn")
}

// Guards against a withdrawal after one pause of the process, and against one that does not tell its resource.
func TestOnlyLastingShortageCounts(t *testing.T) {
	g := NewWithT(t)
	var a admit.Admission
	now := time.Unix(1_700_000_000, 0)
	peers := []admit.Peer{{ID: "b", Ready: true}, {ID: "c", Ready: true}}
	second := func(s admit.Sample) bool {
		now = now.Add(time.Second)
		a.Observe(now, s)
		return a.Withdraw(now, peers)
	}
	for range 10 {
		g.Expect(second(admit.Sample{Delay: time.Second})).To(BeFalse())
		for range 2 {
			g.Expect(second(admit.Sample{Delay: 100 * time.Millisecond, Memory: 0.8, Bandwidth: 0.8})).To(BeFalse())
		}
	}
	g.Expect(a.Shortage()).To(Equal(admit.None))
	for range 6 {
		g.Expect(second(admit.Sample{Memory: 0.9})).To(BeFalse(), "others have to hear of it first")
	}
	g.Expect(a.Shortage()).To(Equal(admit.Memory))
	g.Expect(second(admit.Sample{Memory: 0.9})).To(BeTrue())
	for range 5 {
		second(admit.Sample{})
	}
	g.Expect(a.Shortage()).To(Equal(admit.None))
	for range 5 {
		second(admit.Sample{Bandwidth: 0.95})
	}
	g.Expect(a.Shortage()).To(Equal(admit.Bandwidth))
}
