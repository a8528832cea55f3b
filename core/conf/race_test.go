package conf_test

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/store"
)

const (
	operators = 2
	processes = 3
	// rounds bounds the sequences tried with a planted fault.
	rounds = 100
)

// holder is what a process uses to hold its configuration.
type holder interface {
	FromStore(time.Time, conf.Config) (conf.Verdict, []conf.Problem)
	FromPeer(time.Time, ident.ProcessID, conf.Config) (conf.Verdict, []conf.Problem)
	StoreOut(time.Time)
	StoreEmpty()
	Ready() bool
	Index() *conf.Index
}

func sound() holder { return conf.NewForce("demo") }

// reverting is a planted fault: it takes every configuration that a peer sends.
type reverting struct{ *conf.Force }

func (r *reverting) FromPeer(now time.Time, peer ident.ProcessID, cfg conf.Config) (conf.Verdict, []conf.Problem) {
	r.Force = conf.NewForce("demo")
	return r.Force.FromPeer(now, peer, cfg)
}

// deed is one event of a run: an operator's next call, a process that reads, asks a peer or restarts, or a
// delayed write that takes effect.
type deed struct {
	what, who int
	way       way
}

var (
	// oneDeed lets most calls succeed, and runs are long, so that runs reach several generations.
	oneDeed = rapid.Custom(func(t *rapid.T) deed {
		how := way(rapid.IntRange(0, int(ways)+5).Draw(t, "way"))
		if how >= ways {
			how = fine
		}
		return deed{rapid.IntRange(0, 9).Draw(t, "what"), rapid.IntRange(0, 5).Draw(t, "who"), how}
	})
	runs = rapid.SliceOfN(oneDeed, 60, 150)
)

// world is a deployment in which operators race and processes read, restart and ask each other.
type world struct {
	now     time.Time
	base    conf.Config
	store   objects
	applies [operators]*conf.Apply
	count   int
	ended   map[string]conf.Outcome
	fresh   func() holder
	holders [processes]holder
	highest [processes]ident.Generation
}

func newWorld(base conf.Config, fresh func() holder, loose bool) *world {
	w := &world{now: start, base: base, fresh: fresh, ended: map[string]conf.Outcome{}, store: objects{loose: loose}}
	for i := range w.holders {
		w.holders[i] = fresh()
	}
	return w
}

// call makes the next call of an operator, who begins a new apply when the last one has ended.
func (w *world) call(who int, how way) {
	if w.applies[who] == nil {
		w.count++
		cfg := w.base
		cfg.Limits.Claims = w.count
		w.applies[who] = conf.NewApply(w.now, cfg, strconv.Itoa(w.count))
	}
	a := w.applies[who]
	s := a.Step()
	w.now = w.now.Add(s.Wait)
	w.store.path = []way{how}
	var o store.Object
	var err error
	if s.Op == conf.Read {
		o, err = w.store.Get(context.Background(), "", "")
	} else {
		o, err = w.store.Update(context.Background(), s.Object)
	}
	if a.Answer(w.now, o, err); a.Step().Op == conf.End {
		w.ended[a.Attempt()] = a.Outcome()
		w.applies[who] = nil
	}
}

func (w *world) do(d deed) {
	p := d.who % processes
	switch {
	case d.what < 4:
		w.call(d.who%operators, d.way)
	case d.what < 6:
		w.fetch(p, d.way)
	case d.what < 8:
		if x := w.holders[(p+1)%processes].Index(); x != nil {
			w.holders[p].FromPeer(w.now, "peer", x.Config())
		}
	case d.what == 8:
		w.holders[p], w.highest[p] = w.fresh(), 0
	default:
		w.store.land()
	}
}

func (w *world) fetch(p int, how way) {
	w.store.path = []way{how}
	o, err := w.store.Get(context.Background(), "", "")
	switch {
	case errors.Is(err, store.ErrNotFound):
		w.holders[p].StoreEmpty()
	case err != nil:
		w.holders[p].StoreOut(w.now)
	default:
		cfg, _ := conf.Decode(o.Value)
		w.holders[p].FromStore(w.now, cfg)
	}
}

// forces returns an error when a process has a lower generation than before.
func (w *world) forces() error {
	for i, h := range w.holders {
		if x := h.Index(); x != nil {
			if x.Generation() < w.highest[i] {
				return errors.Errorf("process %d reverts from %d to %d", i, w.highest[i], x.Generation())
			}
			w.highest[i] = x.Generation()
		}
	}
	return nil
}

// outcomes returns an error when a generation was accepted twice or an operator was told wrongly.
func (w *world) outcomes() error {
	accepted := map[string]ident.Generation{}
	for i, cfg := range w.store.accepted {
		if cfg.Generation != ident.Generation(i+1) || accepted[cfg.Attempt] != 0 {
			return errors.Errorf("write %d has generation %d of attempt %s", i+1, cfg.Generation, cfg.Attempt)
		}
		accepted[cfg.Attempt] = cfg.Generation
	}
	for attempt, out := range w.ended {
		got, told := accepted[attempt], out.Result
		if told == conf.Applied && got != out.Config.Generation || told != conf.Applied && told != conf.Unsure && got != 0 {
			return errors.Errorf("attempt %s is generation %d, but the operator was told %s", attempt, got, told)
		}
	}
	return nil
}

// run plays a sequence, lets everything come to rest and returns the first broken promise.
func (w *world) run(list []deed) error {
	for _, d := range list {
		w.do(d)
		if err := w.forces(); err != nil {
			return err
		}
	}
	w.store.land()
	for i := range operators {
		for w.applies[i] != nil {
			w.call(i, fine)
		}
	}
	for i := range processes {
		w.fetch(i, fine)
		if w.store.rev > 0 && (!w.holders[i].Ready() || w.holders[i].Index().Generation() != ident.Generation(w.store.rev)) {
			return errors.Errorf("process %d does not have the accepted generation", i)
		}
	}
	return w.outcomes()
}

func seeded(t *testing.T) {
	t.Helper()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		NewWithT(t).Expect(f.Value.Set("1")).To(Succeed())
	}
}

// Guards against a configuration that reverts, and against an operator who is told a wrong outcome.
func TestConfigurationNeverReverts(t *testing.T) {
	seeded(t)
	base := valid(t)
	rapid.Check(t, func(t *rapid.T) {
		if err := newWorld(base, sound, false).run(runs.Draw(t, "run")); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against two racing operators who are both accepted, or both rejected.
func TestOneOfTwoRacingOperatorsIsAccepted(t *testing.T) {
	seeded(t)
	base := valid(t)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(base, sound, false)
		w.call(0, fine)
		w.call(1, fine)
		for _, d := range rapid.SliceOfN(oneDeed, 0, 6).Draw(t, "faults") {
			if who := d.who % operators; w.applies[who] != nil {
				w.call(who, d.way)
			}
		}
		w.store.land()
		for i := range operators {
			for w.applies[i] != nil {
				w.call(i, fine)
			}
		}
		results := []conf.Result{w.ended["1"].Result, w.ended["2"].Result}
		if err := w.outcomes(); err != nil || len(w.store.accepted) != 1 {
			t.Fatal(err, results, len(w.store.accepted))
		}
		NewWithT(t).Expect(results).To(ConsistOf(conf.Applied, conf.Conflict))
	})
}

// Guards against a property test that finds nothing: each planted fault must break a promise.
func TestPlantedFaultsAreFound(t *testing.T) {
	base := valid(t)
	for name, plant := range map[string]func() *world{
		"holder accepts a lower generation": func() *world {
			return newWorld(base, func() holder { return &reverting{conf.NewForce("demo")} }, false)
		},
		"object API ignores versions of updates": func() *world { return newWorld(base, sound, true) },
	} {
		t.Run(name, func(t *testing.T) {
			var err error
			i := 0
			for ; err == nil && i < rounds; i++ {
				err = plant().run(runs.Example(i))
			}
			NewWithT(t).Expect(err).To(HaveOccurred())
			t.Log(fmt.Sprintf("found with sequence %d: %v", i-1, err))
		})
	}
}
