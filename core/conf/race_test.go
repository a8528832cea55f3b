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
	plantedFaultRuns = 100
)

// holder is what a process uses to hold its configuration.
type holder interface {
	OfferFromStore(time.Time, conf.Config) (conf.Verdict, []conf.Problem)
	OfferFromPeer(time.Time, ident.ProcessID, conf.Config) (conf.Verdict, []conf.Problem)
	SetStoreUnreachable(time.Time)
	SetStoreEmpty()
	Ready() bool
	Index() *conf.Index
}

func newSoundHolder() holder { return conf.NewHolder("demo") }

// reverting is a planted fault: it takes every configuration that a peer sends.
type revertingHolder struct{ *conf.Holder }

func (r *revertingHolder) OfferFromPeer(now time.Time, peer ident.ProcessID, cfg conf.Config) (conf.Verdict, []conf.Problem) {
	r.Holder = conf.NewHolder("demo")
	return r.Holder.OfferFromPeer(now, peer, cfg)
}

// deed is one event of a run: an operator's next call, a process that reads, asks a peer or restarts, or a
// delayed write that takes effect.
type event struct {
	kind, actor int
	result      callResult
}

var (
	// oneDeed lets most calls succeed, and runs are long, so that runs reach several generations.
	eventGen = rapid.Custom(func(t *rapid.T) event {
		how := callResult(rapid.IntRange(0, int(callResultCount)+5).Draw(t, "way"))
		if how >= callResultCount {
			how = succeeds
		}
		return event{rapid.IntRange(0, 9).Draw(t, "what"), rapid.IntRange(0, 5).Draw(t, "who"), how}
	})
	runGen = rapid.SliceOfN(eventGen, 60, 150)
)

// world is a deployment in which operators race and processes read, restart and ask each other.
type simulation struct {
	now       time.Time
	base      conf.Config
	store     fakeStore
	applies   [operators]*conf.Apply
	attempts  int
	finished  map[string]conf.Outcome
	newHolder func() holder
	holders   [processes]holder
	highest   [processes]ident.Generation
}

func newSimulation(base conf.Config, fresh func() holder, loose bool) *simulation {
	w := &simulation{now: start, base: base, newHolder: fresh, finished: map[string]conf.Outcome{}, store: fakeStore{ignoresRevisions: loose}}
	for i := range w.holders {
		w.holders[i] = fresh()
	}
	return w
}

// call makes the next call of an operator, who begins a new apply when the last one has ended.
func (w *simulation) nextCall(who int, how callResult) {
	if w.applies[who] == nil {
		w.attempts++
		cfg := w.base
		cfg.Limits.ClaimsPerSecond = w.attempts
		w.applies[who] = conf.NewApply(w.now, cfg, strconv.Itoa(w.attempts))
	}
	a := w.applies[who]
	s := a.Step()
	w.now = w.now.Add(s.Wait)
	w.store.results = []callResult{how}
	var o store.Object
	var err error
	if s.Op == conf.Read {
		o, err = w.store.Get(context.Background(), "", "")
	} else {
		o, err = w.store.Update(context.Background(), s.Object)
	}
	if a.HandleResult(w.now, o, err); a.Step().Op == conf.Finished {
		w.finished[a.Attempt()] = a.Outcome()
		w.applies[who] = nil
	}
}

func (w *simulation) apply(d event) {
	p := d.actor % processes
	switch {
	case d.kind < 4:
		w.nextCall(d.actor%operators, d.result)
	case d.kind < 6:
		w.readStore(p, d.result)
	case d.kind < 8:
		if x := w.holders[(p+1)%processes].Index(); x != nil {
			w.holders[p].OfferFromPeer(w.now, "peer", x.Config())
		}
	case d.kind == 8:
		w.holders[p], w.highest[p] = w.newHolder(), 0
	default:
		w.store.commitDelayed()
	}
}

func (w *simulation) readStore(p int, how callResult) {
	w.store.results = []callResult{how}
	o, err := w.store.Get(context.Background(), "", "")
	switch {
	case errors.Is(err, store.ErrNotFound):
		w.holders[p].SetStoreEmpty()
	case err != nil:
		w.holders[p].SetStoreUnreachable(w.now)
	default:
		cfg, _ := conf.Decode(o.Value)
		w.holders[p].OfferFromStore(w.now, cfg)
	}
}

// forces returns an error when a process has a lower generation than before.
func (w *simulation) checkGenerations() error {
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
func (w *simulation) checkOutcomes() error {
	accepted := map[string]ident.Generation{}
	for i, cfg := range w.store.accepted {
		if cfg.Generation != ident.Generation(i+1) || accepted[cfg.Attempt] != 0 {
			return errors.Errorf("write %d has generation %d of attempt %s", i+1, cfg.Generation, cfg.Attempt)
		}
		accepted[cfg.Attempt] = cfg.Generation
	}
	for attempt, out := range w.finished {
		got, told := accepted[attempt], out.Result
		if told == conf.Applied && got != out.Config.Generation || told != conf.Applied && told != conf.Unknown && got != 0 {
			return errors.Errorf("attempt %s is generation %d, but the operator was told %s", attempt, got, told)
		}
	}
	return nil
}

// run plays a sequence, lets everything come to rest and returns the first broken promise.
func (w *simulation) run(list []event) error {
	for _, d := range list {
		w.apply(d)
		if err := w.checkGenerations(); err != nil {
			return err
		}
	}
	w.store.commitDelayed()
	for i := range operators {
		for w.applies[i] != nil {
			w.nextCall(i, succeeds)
		}
	}
	for i := range processes {
		w.readStore(i, succeeds)
		if w.store.rev > 0 && (!w.holders[i].Ready() || w.holders[i].Index().Generation() != ident.Generation(w.store.rev)) {
			return errors.Errorf("process %d does not have the accepted generation", i)
		}
	}
	return w.checkOutcomes()
}

func fixSeed(t *testing.T) {
	t.Helper()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		NewWithT(t).Expect(f.Value.Set("1")).To(Succeed())
	}
}

// Guards against a configuration that reverts, and against an operator who is told a wrong outcome.
func TestConfigurationNeverReverts(t *testing.T) {
	fixSeed(t)
	base := mergeValid(t)
	rapid.Check(t, func(t *rapid.T) {
		if err := newSimulation(base, newSoundHolder, false).run(runGen.Draw(t, "run")); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against two racing operators who are both accepted, or both rejected.
func TestOneOfTwoRacingOperatorsIsAccepted(t *testing.T) {
	fixSeed(t)
	base := mergeValid(t)
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(base, newSoundHolder, false)
		w.nextCall(0, succeeds)
		w.nextCall(1, succeeds)
		for _, d := range rapid.SliceOfN(eventGen, 0, 6).Draw(t, "faults") {
			if who := d.actor % operators; w.applies[who] != nil {
				w.nextCall(who, d.result)
			}
		}
		w.store.commitDelayed()
		for i := range operators {
			for w.applies[i] != nil {
				w.nextCall(i, succeeds)
			}
		}
		results := []conf.Result{w.finished["1"].Result, w.finished["2"].Result}
		if err := w.checkOutcomes(); err != nil || len(w.store.accepted) != 1 {
			t.Fatal(err, results, len(w.store.accepted))
		}
		NewWithT(t).Expect(results).To(ConsistOf(conf.Applied, conf.Conflict))
	})
}

// Guards against a property test that finds nothing: each planted fault must break a promise.
func TestPlantedFaultsAreFound(t *testing.T) {
	base := mergeValid(t)
	for name, plant := range map[string]func() *simulation{
		"holder accepts a lower generation": func() *simulation {
			return newSimulation(base, func() holder { return &revertingHolder{conf.NewHolder("demo")} }, false)
		},
		"object API ignores versions of updates": func() *simulation { return newSimulation(base, newSoundHolder, true) },
	} {
		t.Run(name, func(t *testing.T) {
			var err error
			i := 0
			for ; err == nil && i < plantedFaultRuns; i++ {
				err = plant().run(runGen.Example(i))
			}
			NewWithT(t).Expect(err).To(HaveOccurred())
			t.Log(fmt.Sprintf("found with sequence %d: %v", i-1, err))
		})
	}
}
