package lease_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/lease"
	"hickoryvane.example/core/prop"
	"hickoryvane.example/core/store"
	"hickoryvane.example/core/wire"
)

const (
	term = 12 * time.Second
	name = "moves"
)

var start = time.Unix(1_800_000_000, 0)

// shelf is a store with one object, whose answers get lost and whose writes may take effect late.
type shelf struct {
	obj  *store.Object
	rev  int
	late []lease.Call
}

func (s *shelf) do(c lease.Call) (store.Object, error) {
	switch {
	case c.Verb == lease.Read && s.obj == nil:
		return store.Object{}, store.ErrNotFound
	case c.Verb == lease.Read:
		return *s.obj, nil
	case c.Verb == lease.Create && s.obj != nil:
		return store.Object{}, store.ErrExists
	case c.Verb == lease.Update && (s.obj == nil || s.obj.Rev != c.Object.Rev):
		return store.Object{}, store.ErrConflict
	}
	s.rev++
	o := c.Object
	o.Rev = store.Rev(fmt.Sprint(s.rev))
	s.obj = &o
	return o, nil
}

// vm is a candidate with its own clock, which runs at most 10% fast or slow.
type vm struct {
	m    *lease.Machine
	base time.Time // own clock at the true time since
	pace float64
	// paused machines take no step; their calls and orders stay in transit.
	paused bool
}

type answer struct {
	vm  int
	m   *lease.Machine
	seq ident.Seq
	o   store.Object
	err error
}

// order is an order in transit to the agent. valid counts from its sending.
type order struct {
	o  wire.Command
	vm int
}

// world joins candidates, a store, an agent and its target in true time.
type world struct {
	t       *rapid.T
	now     time.Time
	s       *shelf
	vms     []*vm
	answers []answer
	orders  []order
	fence   *lease.Fence
	// ready lists accepted orders that the agent has not sent yet.
	ready []ident.RequestID
	// obeyed is the highest fencing number that took effect at the target, and sent numbers orders.
	obeyed ident.Fence
	sent   int
	boot   ident.Boot
	plant  plant
	// quiet stops store faults.
	quiet bool
}

// plant switches planted faults on.
type plant struct {
	// blind agents treat the lease as read at their start.
	blind bool
	// early candidates wait for a sixth of the term, and do not see that of the record.
	early bool
}

func newWorld(t *rapid.T, p plant) *world {
	w := &world{t: t, now: start, s: &shelf{}, plant: p}
	for i := range 3 {
		w.vms = append(w.vms, &vm{base: start.Add(time.Duration(i) * time.Hour), pace: 0.95 + 0.05*float64(i)})
		w.crash(i)
	}
	w.replace()
	return w
}

func (w *world) clock(i int) time.Time {
	v := w.vms[i]
	return v.base.Add(time.Duration(float64(w.now.Sub(start)) * v.pace))
}

func (w *world) crash(i int) {
	w.boot++
	d := term
	if w.plant.early {
		d = term / time.Duration(1+5*(i%2))
	}
	w.vms[i].m = lease.New(name, ident.ProcessID(fmt.Sprint(i)), w.boot, lease.WithTerm(d))
	w.vms[i].paused = false
}

// replace starts a new agent beside the target.
func (w *world) replace() {
	w.fence, w.ready = lease.NewFence(false), nil
	if w.plant.blind {
		w.fence.Read(name, lease.Record{})
	}
}

func (w *world) step(i int) {
	if w.vms[i].paused {
		return
	}
	for _, c := range w.vms[i].m.Tick(w.clock(i)) {
		w.answers = append(w.answers, w.call(i, c))
	}
}

func (w *world) call(i int, c lease.Call) answer {
	a := answer{vm: i, m: w.vms[i].m, seq: c.Seq}
	fault := ""
	if !w.quiet {
		fault = rapid.SampledFrom([]string{"", "", "", "", "out", "lost before", "lost after", "late"}).Draw(w.t, "fault")
	}
	switch fault {
	case "out":
		a.err = store.ErrUnavailable
	case "lost before":
		a.err = store.ErrOutcomeUnknown
	case "lost after":
		_, _ = w.s.do(c)
		a.err = store.ErrOutcomeUnknown
	case "late":
		if c.Verb != lease.Read {
			w.s.late = append(w.s.late, c)
		}
		a.err = store.ErrOutcomeUnknown
	default:
		a.o, a.err = w.s.do(c)
	}
	if r, err := lease.Decode(a.o.Value); w.plant.early && c.Verb == lease.Read && err == nil {
		r.Term = 0
		a.o.Value = r.Encode()
	}
	return a
}

func (w *world) take(k int) {
	a := w.answers[k]
	if w.vms[a.vm].paused {
		return
	}
	w.answers = append(w.answers[:k], w.answers[k+1:]...)
	if a.m == w.vms[a.vm].m {
		a.m.Result(w.clock(a.vm), a.seq, a.o, a.err)
	}
}

// give lets a holder send an order, which may stay in transit for any time and arrive twice.
func (w *world) give(i int) {
	f, valid, ok := w.vms[i].m.Held(w.clock(i))
	if !ok || w.vms[i].paused {
		return
	}
	w.sent++
	o := wire.Command{ID: ident.RequestID(fmt.Sprint(w.sent)), Lease: name, Fence: f, ValidMillis: valid.Milliseconds()}
	w.orders = append(w.orders, order{o, i})
}

func (w *world) arrive(k int) {
	o := w.orders[k].o
	w.orders = append(w.orders[:k], w.orders[k+1:]...)
	if w.fence.Order(w.now, &o) == nil {
		w.ready = append(w.ready, o.ID)
	}
}

// forward lets the agent send an accepted order to the target, and checks what the target gets.
func (w *world) forward() {
	id := w.ready[0]
	w.ready = w.ready[1:]
	fw, _ := w.fence.Send(w.now, id)
	if fw == nil {
		return
	}
	f := fw.Order.Fence
	if f < w.obeyed {
		w.t.Fatalf("order under fence %d after one under %d", f, w.obeyed)
	}
	w.obeyed = f
}

// holders checks that at most one process believes that it holds the lease.
func (w *world) holders() {
	n := 0
	for i, v := range w.vms {
		if _, _, ok := v.m.Held(w.clock(i)); ok {
			n++
		}
	}
	if n > 1 {
		w.t.Fatalf("%d holders", n)
	}
}

func fencing(p plant) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newWorld(t, p)
		one := func(t *rapid.T, n int, f func(int)) {
			if n > 0 {
				f(rapid.IntRange(0, n-1).Draw(t, "i"))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"step":   func(t *rapid.T) { w.t = t; one(t, 3, w.step) },
			"calm 2": func(t *rapid.T) { w.t = t; w.calm() },
			"calm":   func(t *rapid.T) { w.t = t; w.calm() },
			"answer": func(t *rapid.T) { one(t, len(w.answers), w.take) },
			"late": func(*rapid.T) {
				if len(w.s.late) > 0 {
					_, _ = w.s.do(w.s.late[0])
					w.s.late = w.s.late[1:]
				}
			},
			"order":  func(t *rapid.T) { one(t, 3, w.give) },
			"arrive": func(t *rapid.T) { w.t = t; one(t, len(w.orders), w.arrive) },
			"again": func(t *rapid.T) {
				one(t, len(w.orders), func(k int) { w.orders = append(w.orders, w.orders[k]) })
			},
			"forward": func(t *rapid.T) { w.t = t; one(t, len(w.ready), func(int) { w.forward() }) },
			"read": func(*rapid.T) {
				if w.s.obj != nil {
					r, _ := lease.Decode(w.s.obj.Value)
					w.fence.Read(name, r)
				}
			},
			"agent":  func(*rapid.T) { w.replace() },
			"crash":  func(t *rapid.T) { one(t, 3, w.crash) },
			"pause":  func(t *rapid.T) { one(t, 3, func(i int) { w.vms[i].paused = true }) },
			"resume": func(t *rapid.T) { one(t, 3, func(i int) { w.vms[i].paused = false }) },
			"time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(100, 6000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) { w.t = t; w.holders() },
		})
		w.quiet = true
		for i, v := range w.vms {
			v.paused = false
			w.crash(i)
		}
		for range 5 {
			w.calm()
		}
		for i, v := range w.vms {
			if _, _, ok := v.m.Held(w.clock(i)); ok {
				return
			}
		}
		t.Fatalf("no holder after a quiet time")
	}
}

// calm runs ten seconds in which all that is up works, and the holder gives an order.
func (w *world) calm() {
	for range 20 {
		w.now = w.now.Add(500 * time.Millisecond)
		for i := range w.vms {
			w.step(i)
		}
		for k := len(w.answers) - 1; k >= 0; k-- {
			w.take(k)
		}
		w.holders()
	}
	for i := range w.vms {
		w.give(i)
	}
}

// Guards against two holders at a time, and against an order that takes effect after one of a later
// holder, for a target that ignores fencing numbers: with lost answers, late writes, pauses, crashes,
// replaced agents, repeated orders and clocks that run 5% apart. Also against a lease that nobody gets
// after the faults.
func TestFencing(t *testing.T) {
	rapid.Check(t, fencing(plant{}))
}

// Guards against a test of fencing that cannot fail.
func TestFencingFaultsAreCaught(t *testing.T) {
	g := NewWithT(t)
	g.Expect(prop.Catches(t, fencing(plant{blind: true}))).To(BeTrue(), "an agent that did not read the lease")
	g.Expect(prop.Catches(t, fencing(plant{early: true}))).To(BeTrue(), "a candidate that waits too short")
}
