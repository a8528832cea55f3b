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
	// plantedFaultRuns bounds the event sequences that are tried to find a planted fault.
	plantedFaultRuns = 100
)

// holder is the interface of conf.Holder, so that a faulty one can take its place.
type holder interface {
	OfferFromStore(time.Time, conf.Config) (conf.OfferResult, []conf.Problem)
	OfferFromPeer(time.Time, ident.ProcessID, conf.Config) (conf.OfferResult, []conf.Problem)
	SetStoreUnreachable(time.Time)
	SetStoreEmpty()
	Ready() bool
	Index() *conf.Index
}

func newSoundHolder() holder { return conf.NewHolder("demo") }

// revertingHolder is a planted fault: it accepts every configuration that a peer sends, also a lower generation.
type revertingHolder struct{ *conf.Holder }

func (r *revertingHolder) OfferFromPeer(now time.Time, peer ident.ProcessID, cfg conf.Config) (conf.OfferResult, []conf.Problem) {
	r.Holder = conf.NewHolder("demo")
	return r.Holder.OfferFromPeer(now, peer, cfg)
}

// event is one event of a run: the next call of an operator, a process that reads the object API, receives the
// configuration of a peer or restarts, or delayed writes that take effect.
type event struct {
	kind, actor int
	result      callResult
}

var (
	// eventGen lets most calls succeed, and runGen draws long runs, so that runs reach several generations.
	eventGen = rapid.Custom(func(t *rapid.T) event {
		result := callResult(rapid.IntRange(0, int(callResultCount)+5).Draw(t, "way"))
		if result >= callResultCount {
			result = succeeds
		}
		return event{rapid.IntRange(0, 9).Draw(t, "what"), rapid.IntRange(0, 5).Draw(t, "who"), result}
	})
	runGen = rapid.SliceOfN(eventGen, 60, 150)
)

// simulation is a deployment in which operators race and processes read, restart and exchange configurations.
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

func newSimulation(base conf.Config, newHolder func() holder, ignoresRevisions bool) *simulation {
	s := &simulation{now: start, base: base, newHolder: newHolder, finished: map[string]conf.Outcome{}, store: fakeStore{ignoresRevisions: ignoresRevisions}}
	for i := range s.holders {
		s.holders[i] = newHolder()
	}
	return s
}

// nextCall makes the next call of an operator, who starts a new apply when the last one has finished.
func (s *simulation) nextCall(operator int, result callResult) {
	if s.applies[operator] == nil {
		s.attempts++
		cfg := s.base
		cfg.Limits.ClaimsPerSecond = s.attempts
		s.applies[operator] = conf.NewApply(s.now, cfg, strconv.Itoa(s.attempts))
	}
	a := s.applies[operator]
	step := a.Step()
	s.now = s.now.Add(step.Wait)
	s.store.results = []callResult{result}
	var o store.Object
	var err error
	if step.Op == conf.Read {
		o, err = s.store.Get(context.Background(), "", "")
	} else {
		o, err = s.store.Update(context.Background(), step.Object)
	}
	if a.HandleResult(s.now, o, err); a.Step().Op == conf.Finished {
		s.finished[a.Attempt()] = a.Outcome()
		s.applies[operator] = nil
	}
}

func (s *simulation) apply(e event) {
	p := e.actor % processes
	switch {
	case e.kind < 4:
		s.nextCall(e.actor%operators, e.result)
	case e.kind < 6:
		s.readStore(p, e.result)
	case e.kind < 8:
		if x := s.holders[(p+1)%processes].Index(); x != nil {
			s.holders[p].OfferFromPeer(s.now, "peer", x.Config())
		}
	case e.kind == 8:
		s.holders[p], s.highest[p] = s.newHolder(), 0
	default:
		s.store.commitDelayed()
	}
}

// readStore lets process p read the configuration from the object API.
func (s *simulation) readStore(p int, result callResult) {
	s.store.results = []callResult{result}
	o, err := s.store.Get(context.Background(), "", "")
	switch {
	case errors.Is(err, store.ErrNotFound):
		s.holders[p].SetStoreEmpty()
	case err != nil:
		s.holders[p].SetStoreUnreachable(s.now)
	default:
		cfg, _ := conf.Decode(o.Value)
		s.holders[p].OfferFromStore(s.now, cfg)
	}
}

// checkGenerations returns an error if a process has a lower generation than before.
func (s *simulation) checkGenerations() error {
	for i, h := range s.holders {
		if x := h.Index(); x != nil {
			if x.Generation() < s.highest[i] {
				return errors.Errorf("process %d reverts from %d to %d", i, s.highest[i], x.Generation())
			}
			s.highest[i] = x.Generation()
		}
	}
	return nil
}

// checkOutcomes returns an error if a generation or attempt was accepted twice, or if the outcome reported to an
// operator is wrong.
func (s *simulation) checkOutcomes() error {
	accepted := map[string]ident.Generation{}
	for i, cfg := range s.store.accepted {
		if cfg.Generation != ident.Generation(i+1) || accepted[cfg.Attempt] != 0 {
			return errors.Errorf("write %d has generation %d of attempt %s", i+1, cfg.Generation, cfg.Attempt)
		}
		accepted[cfg.Attempt] = cfg.Generation
	}
	for attempt, out := range s.finished {
		got, reported := accepted[attempt], out.Result
		if reported == conf.Applied && got != out.Config.Generation || reported != conf.Applied && reported != conf.Unknown && got != 0 {
			return errors.Errorf("attempt %s is generation %d, but the operator was told %s", attempt, got, reported)
		}
	}
	return nil
}

// run applies a sequence of events, then lets all applies finish and all processes read. It returns an error for
// the first violated property.
func (s *simulation) run(list []event) error {
	for _, e := range list {
		s.apply(e)
		if err := s.checkGenerations(); err != nil {
			return err
		}
	}
	s.store.commitDelayed()
	for i := range operators {
		for s.applies[i] != nil {
			s.nextCall(i, succeeds)
		}
	}
	for i := range processes {
		s.readStore(i, succeeds)
		if s.store.rev > 0 && (!s.holders[i].Ready() || s.holders[i].Index().Generation() != ident.Generation(s.store.rev)) {
			return errors.Errorf("process %d does not have the accepted generation", i)
		}
	}
	return s.checkOutcomes()
}

// fixSeed sets the seed of rapid to 1 unless one is given, so that the test is reproducible.
func fixSeed(t *testing.T) {
	t.Helper()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		NewWithT(t).Expect(f.Value.Set("1")).To(Succeed())
	}
}

// Guards against a process whose configuration reverts to a lower generation, for example when it reads an old one
// from a peer, and against a wrong outcome reported to an operator after lost answers.
func TestConfigurationNeverReverts(t *testing.T) {
	fixSeed(t)
	base := mergeValid(t)
	rapid.Check(t, func(t *rapid.T) {
		if err := newSimulation(base, newSoundHolder, false).run(runGen.Draw(t, "run")); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against two concurrent applies of which both or neither are accepted.
func TestOneOfTwoRacingOperatorsIsAccepted(t *testing.T) {
	fixSeed(t)
	base := mergeValid(t)
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(base, newSoundHolder, false)
		s.nextCall(0, succeeds)
		s.nextCall(1, succeeds)
		for _, e := range rapid.SliceOfN(eventGen, 0, 6).Draw(t, "faults") {
			if operator := e.actor % operators; s.applies[operator] != nil {
				s.nextCall(operator, e.result)
			}
		}
		s.store.commitDelayed()
		for i := range operators {
			for s.applies[i] != nil {
				s.nextCall(i, succeeds)
			}
		}
		results := []conf.Result{s.finished["1"].Result, s.finished["2"].Result}
		if err := s.checkOutcomes(); err != nil || len(s.store.accepted) != 1 {
			t.Fatal(err, results, len(s.store.accepted))
		}
		NewWithT(t).Expect(results).To(ConsistOf(conf.Applied, conf.Conflict))
	})
}

// Guards against property tests that detect nothing: each planted fault must violate a property.
func TestPlantedFaultsAreFound(t *testing.T) {
	base := mergeValid(t)
	for name, newFaulty := range map[string]func() *simulation{
		"holder accepts a lower generation": func() *simulation {
			return newSimulation(base, func() holder { return &revertingHolder{conf.NewHolder("demo")} }, false)
		},
		"object API ignores revisions of updates": func() *simulation { return newSimulation(base, newSoundHolder, true) },
	} {
		t.Run(name, func(t *testing.T) {
			var err error
			i := 0
			for ; err == nil && i < plantedFaultRuns; i++ {
				err = newFaulty().run(runGen.Example(i))
			}
			NewWithT(t).Expect(err).To(HaveOccurred())
			t.Log(fmt.Sprintf("found with sequence %d: %v", i-1, err))
		})
	}
}
