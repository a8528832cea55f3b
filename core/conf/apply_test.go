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

// callResult is what happens to one call to the fake object API.
type callResult int

const (
	succeeds callResult = iota
	storeDown
	// A write with answerLost takes effect, but its answer is lost. With callLost it has no effect and no answer.
	// With writeDelayed it has no answer and takes effect only when commitDelayed is called.
	answerLost
	callLost
	writeDelayed
	callResultCount
)

// fakeStore is an in-memory object API that holds the configuration.
type fakeStore struct {
	current store.Object
	rev     int
	results []callResult
	delayed []store.Object
	// ignoresRevisions is a planted fault: updates are not conditional on the revision.
	ignoresRevisions bool
	// accepted holds the configurations whose write took effect, in order.
	accepted []conf.Config
}

func (s *fakeStore) nextResult() callResult {
	if len(s.results) == 0 {
		return succeeds
	}
	r := s.results[0]
	s.results = s.results[1:]
	return r
}

func (s *fakeStore) Get(context.Context, string, string) (store.Object, error) {
	switch r := s.nextResult(); {
	case r != succeeds:
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

// commitDelayed makes the delayed writes take effect, unless they conflict.
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

// Guards against a wrong outcome when answers or calls are lost, and against a write that is repeated without a
// read-back, by which one apply would be accepted twice.
func TestApplyReportsTheOutcomeDespiteLostAnswers(t *testing.T) {
	cfg := mergeValid(t)
	changed := clone(t, cfg)
	changed.Accounts[0].Rate = 7
	for _, c := range []struct {
		name   string
		calls  []callResult
		want   conf.Result
		writes int
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
			s := &fakeStore{results: c.calls}
			out := runApply(s, conf.NewApply(start, cfg, "one"))
			g.Expect(out.Result).To(Equal(c.want))
			g.Expect(s.accepted).To(HaveLen(c.writes))
			if c.want != conf.Applied {
				return
			}
			g.Expect(out.Config.Generation).To(BeEquivalentTo(1))
			g.Expect(runApply(s, conf.NewApply(start, cfg, "two")).Result).To(Equal(conf.Unchanged))
			out = runApply(s, conf.NewApply(start, changed, "three", conf.WithExpectedGeneration(0)))
			g.Expect(out.Result).To(Equal(conf.Conflict))
			g.Expect(out.Changes).To(ConsistOf(conf.Change{Action: conf.Changed, Key: "accounts[north].rate", Old: "7", New: "100"}))
			out = runApply(s, conf.NewApply(start, changed, "four", conf.WithExpectedGeneration(1)))
			g.Expect(out.Config.Generation).To(BeEquivalentTo(2))
			g.Expect(out.Config.PastAttempts).To(Equal([]string{"one"}))
		})
	}
}

// Guards against an apply that no process puts in force: after the stored object was lost or reverted, its
// generation would start below the one that the processes have.
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

// Guards against an apply that removes what a running rollout needs, against a rollout whose deadline has passed
// when it is accepted, and against the reuse of the name of an ended rollout.
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

// Guards against a process that serves before it can know the newest configuration, and against one that never
// becomes ready because a peer does not answer.
func TestHolderReady(t *testing.T) {
	g := NewWithT(t)
	cfg := mergeValid(t)
	cfg.Generation, cfg.Attempt = 3, "three"
	h := conf.NewHolder("demo")
	h.RecordAsked("p1")
	h.RecordAsked("p2")
	g.Expect(h.OfferFromPeer(start, "p1", cfg)).To(Equal(conf.Accepted))
	g.Expect(h.Ready()).To(BeFalse(), "the object API was not asked")
	h.SetStoreUnreachable(start)
	g.Expect(h.Ready()).To(BeFalse(), "a peer has not answered")
	newer := clone(t, cfg)
	newer.Generation, newer.Attempt = 4, "four"
	g.Expect(h.OfferFromPeer(start, "p2", newer)).To(Equal(conf.Accepted))
	g.Expect(h.Ready()).To(BeTrue())
	g.Expect(h.OfferFromStore(start, cfg)).To(Equal(conf.Older))
	g.Expect(h.OfferFromStore(start, newer)).To(Equal(conf.Same))
	newer.Attempt = "other"
	g.Expect(h.OfferFromStore(start, newer)).To(Equal(conf.Clash))
	newer.Generation, newer.Deployment = 5, "else"
	res, _ := h.OfferFromStore(start, newer)
	g.Expect(res).To(Equal(conf.Invalid))
	g.Expect(h.Generation()).To(BeEquivalentTo(4))

	h = conf.NewHolder("demo")
	h.RecordAsked("p1")
	h.RecordAsked("p2")
	h.SetStoreUnreachable(start)
	g.Expect(h.OfferFromPeer(start, "p1", cfg)).To(Equal(conf.Accepted))
	h.Tick(start.Add(conf.PeerAnswerTimeout))
	g.Expect(h.Ready()).To(BeTrue(), "silent peers do not hold up a start for ever")
	h = conf.NewHolder("demo")
	g.Expect(h.OfferFromPeer(start, "p1", cfg)).To(Equal(conf.Accepted))
	h.Tick(start.Add(time.Hour))
	g.Expect(h.Ready()).To(BeFalse(), "the object API may hold a newer configuration")
	h = conf.NewHolder("demo")
	h.SetStoreEmpty()
	h.SetStoreUnreachable(start)
	h.Tick(start.Add(time.Hour))
	g.Expect(h.Ready()).To(BeFalse(), "there is no configuration")
	g.Expect(h.OfferFromStore(start, cfg)).To(Equal(conf.Accepted))
	g.Expect(h.Ready()).To(BeTrue())
}
