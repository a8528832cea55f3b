package conf_test

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/store"
)

// way says what happens to one call of the fake object API.
type callResult int

const (
	succeeds callResult = iota
	storeDown
	// lost takes effect without an answer, dropped has neither, late takes effect only when land is called.
	answerLost
	callLost
	writeDelayed
	callResultCount
)

// objects is an object API in memory that holds the configuration.
type fakeStore struct {
	current store.Object
	rev     int
	results []callResult
	delayed []store.Object
	// loose is a planted fault: updates do not depend on the version.
	ignoresRevisions bool
	// accepted are the configurations that took effect.
	accepted []conf.Config
}

func (s *fakeStore) nextResult() callResult {
	if len(s.results) == 0 {
		return succeeds
	}
	w := s.results[0]
	s.results = s.results[1:]
	return w
}

func (s *fakeStore) Get(context.Context, string, string) (store.Object, error) {
	switch w := s.nextResult(); {
	case w != succeeds:
		return store.Object{}, store.ErrUnavailable
	case s.current.Rev == "":
		return store.Object{}, store.ErrNotFound
	}
	return s.current, nil
}

func (s *fakeStore) Create(_ context.Context, o store.Object) (store.Object, error) {
	return s.write(o, store.ErrExists)
}

func (s *fakeStore) Update(_ context.Context, o store.Object) (store.Object, error) {
	return s.write(o, store.ErrConflict)
}

func (s *fakeStore) write(o store.Object, conflict error) (store.Object, error) {
	switch s.nextResult() {
	case storeDown:
		return o, store.ErrUnavailable
	case answerLost:
		s.commit(o)
		return o, errors.WithMessage(store.ErrOutcomeUnknown, "update")
	case callLost:
		return o, store.ErrOutcomeUnknown
	case writeDelayed:
		s.delayed = append(s.delayed, o)
		return o, store.ErrOutcomeUnknown
	}
	if !s.commit(o) {
		return o, conflict
	}
	return s.current, nil
}

func (s *fakeStore) commit(o store.Object) bool {
	if o.Rev != s.current.Rev && !s.ignoresRevisions {
		return false
	}
	s.rev++
	s.current = o
	s.current.Rev = store.Rev(strconv.Itoa(s.rev))
	cfg, _ := conf.Decode(o.Value)
	s.accepted = append(s.accepted, cfg)
	return true
}

// land lets delayed writes take effect.
func (s *fakeStore) commitDelayed() {
	for _, o := range s.delayed {
		s.commit(o)
	}
	s.delayed = nil
}

func runApply(s *fakeStore, a *conf.Apply) conf.Outcome { return runApplyAt(start, s, a) }

func runApplyAt(now time.Time, s *fakeStore, a *conf.Apply) conf.Outcome {
	return conf.RunApply(context.Background(), s, a, func() time.Time { return now }, func(_ context.Context, d time.Duration) { now = now.Add(d) })
}

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// Guards against a second write without reading back, and against a wrong statement of the outcome.
func TestApplyReportsTheOutcomeDespiteLostAnswers(t *testing.T) {
	cfg := mergeValid(t)
	more := clone(t, cfg)
	more.Accounts[0].Rate = 7
	for _, c := range []struct {
		name  string
		path  []callResult
		want  conf.Result
		wrote int
	}{
		{"fine", nil, conf.Applied, 1},
		{"lost answer", []callResult{succeeds, answerLost}, conf.Applied, 1},
		{"lost answer and outage", []callResult{succeeds, answerLost, storeDown, storeDown}, conf.Applied, 1},
		{"no effect", []callResult{succeeds, callLost}, conf.Applied, 1},
		{"outage at first", []callResult{storeDown, storeDown, succeeds, storeDown}, conf.Applied, 1},
		{"long outage", []callResult{storeDown, storeDown, storeDown, storeDown, storeDown, storeDown, storeDown, storeDown, storeDown, storeDown}, conf.Unavailable, 0},
		{"long outage after a lost answer", []callResult{succeeds, answerLost, storeDown, storeDown, storeDown, storeDown, storeDown, storeDown, storeDown, storeDown}, conf.Unknown, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := &fakeStore{results: c.path}
			out := runApply(s, conf.NewApply(start, cfg, "one"))
			g.Expect(out.Result).To(Equal(c.want))
			g.Expect(s.accepted).To(HaveLen(c.wrote))
			if c.want != conf.Applied {
				return
			}
			g.Expect(out.Config.Generation).To(BeEquivalentTo(1))
			g.Expect(runApply(s, conf.NewApply(start, cfg, "two")).Result).To(Equal(conf.Unchanged))
			out = runApply(s, conf.NewApply(start, more, "three", conf.WithExpectedGeneration(0)))
			g.Expect(out.Result).To(Equal(conf.Conflict))
			g.Expect(out.Changes).To(ConsistOf(conf.Change{Action: conf.Changed, Key: "accounts[north].rate", Old: "7", New: "100"}))
			out = runApply(s, conf.NewApply(start, more, "four", conf.WithExpectedGeneration(1)))
			g.Expect(out.Config.Generation).To(BeEquivalentTo(2))
			g.Expect(out.Config.PastAttempts).To(Equal([]string{"one"}))
		})
	}
}

// Guards against an apply that no process takes, after the object was lost or set back.
func TestApplyAfterLossOfTheObject(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{}
	cfg := mergeValid(t)
	for want := ident.Generation(8); want < 10; want++ {
		out := runApply(s, conf.NewApply(start, cfg, fmt.Sprint(want), conf.WithMinGeneration(want-1)))
		g.Expect(out.Result).To(Equal(conf.Applied))
		g.Expect(out.Config.Generation).To(Equal(want))
		cfg.Limits.LoadsPerMinute++
	}
	cfg.Limits.LoadsPerMinute--
	g.Expect(runApply(s, conf.NewApply(start, cfg, "again", conf.WithMinGeneration(9))).Result).To(Equal(conf.Unchanged))
	g.Expect(runApply(s, conf.NewApply(start, cfg, "higher", conf.WithMinGeneration(20))).Config.Generation).To(BeEquivalentTo(21))
}

// Guards against an apply that harms a running move, or a deadline that has passed when it is accepted.
func TestApplyRefusesHarmToARunningRollout(t *testing.T) {
	g := NewWithT(t)
	cfg := mergeValid(t, `{"moves": [`+rolloutJSON("up", "v1", "v2", nextDay)+`]}`)
	refused := func(out conf.Outcome) []string {
		g.Expect(out.Result).To(Equal(conf.Refused))
		return problemTexts(out.Problems)
	}
	after := cfg.Rollouts[0].Deadline
	g.Expect(refused(runApplyAt(after, &fakeStore{}, conf.NewApply(after, cfg, "late")))).To(ConsistOf("moves[up].deadline: has passed already"))
	s := &fakeStore{}
	g.Expect(runApply(s, conf.NewApply(start, cfg, "one")).Result).To(Equal(conf.Applied))
	next := clone(t, cfg)
	next.Rollouts = nil
	g.Expect(refused(runApply(s, conf.NewApply(start, next, "two")))).To(ConsistOf(ContainSubstring("moves[up]: is removed")))
	next.Services = nil
	g.Expect(refused(runApply(s, conf.NewApply(start, next, "three")))).To(ContainElement("services: is missing"))
	next = clone(t, cfg)
	next.Rollouts = nil
	ended := conf.RolloutStatus{Name: "up", Service: "llm", From: "v1", To: "v2", State: conf.RolledBack, Recorded: true}
	known := conf.WithRolloutStatuses([]conf.RolloutStatus{ended})
	g.Expect(runApply(s, conf.NewApply(start, next, "four", known)).Result).To(Equal(conf.Applied))
	g.Expect(refused(runApply(s, conf.NewApply(start, cfg, "five", known)))).To(ConsistOf(ContainSubstring("moves[up].name: is the name of a move that has ended")))
}

// Guards against a process that serves while it cannot know the configuration, or never serves.
func TestHolderReady(t *testing.T) {
	g := NewWithT(t)
	cfg := mergeValid(t)
	cfg.Generation, cfg.Attempt = 3, "three"
	f := conf.NewHolder("demo")
	f.RecordAsked("p1")
	f.RecordAsked("p2")
	g.Expect(f.OfferFromPeer(start, "p1", cfg)).To(Equal(conf.Accepted))
	g.Expect(f.Ready()).To(BeFalse(), "the object API was not asked")
	f.SetStoreUnreachable(start)
	g.Expect(f.Ready()).To(BeFalse(), "a peer has not answered")
	newer := clone(t, cfg)
	newer.Generation, newer.Attempt = 4, "four"
	g.Expect(f.OfferFromPeer(start, "p2", newer)).To(Equal(conf.Accepted))
	g.Expect(f.Ready()).To(BeTrue())
	g.Expect(f.OfferFromStore(start, cfg)).To(Equal(conf.Older))
	g.Expect(f.OfferFromStore(start, newer)).To(Equal(conf.Same))
	newer.Attempt = "other"
	g.Expect(f.OfferFromStore(start, newer)).To(Equal(conf.Clash))
	newer.Generation, newer.Deployment = 5, "else"
	v, _ := f.OfferFromStore(start, newer)
	g.Expect(v).To(Equal(conf.Invalid))
	g.Expect(f.Generation()).To(BeEquivalentTo(4))

	f = conf.NewHolder("demo")
	f.RecordAsked("p1")
	f.RecordAsked("p2")
	f.SetStoreUnreachable(start)
	g.Expect(f.OfferFromPeer(start, "p1", cfg)).To(Equal(conf.Accepted))
	f.Tick(start.Add(conf.PeerAnswerTimeout))
	g.Expect(f.Ready()).To(BeTrue(), "silent peers do not hold up a start for ever")
	f = conf.NewHolder("demo")
	g.Expect(f.OfferFromPeer(start, "p1", cfg)).To(Equal(conf.Accepted))
	f.Tick(start.Add(time.Hour))
	g.Expect(f.Ready()).To(BeFalse(), "the object API may hold a newer configuration")
	f = conf.NewHolder("demo")
	f.SetStoreEmpty()
	f.SetStoreUnreachable(start)
	f.Tick(start.Add(time.Hour))
	g.Expect(f.Ready()).To(BeFalse(), "there is no configuration")
	g.Expect(f.OfferFromStore(start, cfg)).To(Equal(conf.Accepted))
	g.Expect(f.Ready()).To(BeTrue())
}
