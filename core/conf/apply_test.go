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
type way int

const (
	fine way = iota
	down
	// lost takes effect without an answer, dropped has neither, late takes effect only when land is called.
	lost
	dropped
	late
	ways
)

// objects is an object API in memory that holds the configuration.
type objects struct {
	cur  store.Object
	rev  int
	path []way
	late []store.Object
	// loose is a planted fault: updates do not depend on the version.
	loose bool
	// accepted are the configurations that took effect.
	accepted []conf.Config
}

func (s *objects) next() way {
	if len(s.path) == 0 {
		return fine
	}
	w := s.path[0]
	s.path = s.path[1:]
	return w
}

func (s *objects) Get(context.Context, string, string) (store.Object, error) {
	switch w := s.next(); {
	case w != fine:
		return store.Object{}, store.ErrUnavailable
	case s.cur.Rev == "":
		return store.Object{}, store.ErrNotFound
	}
	return s.cur, nil
}

func (s *objects) Create(_ context.Context, o store.Object) (store.Object, error) {
	return s.write(o, store.ErrExists)
}

func (s *objects) Update(_ context.Context, o store.Object) (store.Object, error) {
	return s.write(o, store.ErrConflict)
}

func (s *objects) write(o store.Object, conflict error) (store.Object, error) {
	switch s.next() {
	case down:
		return o, store.ErrUnavailable
	case lost:
		s.put(o)
		return o, errors.WithMessage(store.ErrOutcomeUnknown, "update")
	case dropped:
		return o, store.ErrOutcomeUnknown
	case late:
		s.late = append(s.late, o)
		return o, store.ErrOutcomeUnknown
	}
	if !s.put(o) {
		return o, conflict
	}
	return s.cur, nil
}

func (s *objects) put(o store.Object) bool {
	if o.Rev != s.cur.Rev && !s.loose {
		return false
	}
	s.rev++
	s.cur = o
	s.cur.Rev = store.Rev(strconv.Itoa(s.rev))
	cfg, _ := conf.Decode(o.Value)
	s.accepted = append(s.accepted, cfg)
	return true
}

// land lets delayed writes take effect.
func (s *objects) land() {
	for _, o := range s.late {
		s.put(o)
	}
	s.late = nil
}

func drive(s *objects, a *conf.Apply) conf.Outcome { return driveAt(start, s, a) }

func driveAt(now time.Time, s *objects, a *conf.Apply) conf.Outcome {
	return conf.Drive(context.Background(), s, a, func() time.Time { return now }, func(_ context.Context, d time.Duration) { now = now.Add(d) })
}

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// Guards against a second write without reading back, and against a wrong statement of the outcome.
func TestApply(t *testing.T) {
	cfg := valid(t)
	more := clone(t, cfg)
	more.Accounts[0].Rate = 7
	for _, c := range []struct {
		name  string
		path  []way
		want  conf.Result
		wrote int
	}{
		{"fine", nil, conf.Applied, 1},
		{"lost answer", []way{fine, lost}, conf.Applied, 1},
		{"lost answer and outage", []way{fine, lost, down, down}, conf.Applied, 1},
		{"no effect", []way{fine, dropped}, conf.Applied, 1},
		{"outage at first", []way{down, down, fine, down}, conf.Applied, 1},
		{"long outage", []way{down, down, down, down, down, down, down, down, down, down}, conf.Unavailable, 0},
		{"long outage after a lost answer", []way{fine, lost, down, down, down, down, down, down, down, down}, conf.Unsure, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := &objects{path: c.path}
			out := drive(s, conf.NewApply(start, cfg, "one"))
			g.Expect(out.Result).To(Equal(c.want))
			g.Expect(s.accepted).To(HaveLen(c.wrote))
			if c.want != conf.Applied {
				return
			}
			g.Expect(out.Config.Generation).To(BeEquivalentTo(1))
			g.Expect(drive(s, conf.NewApply(start, cfg, "two")).Result).To(Equal(conf.Unchanged))
			out = drive(s, conf.NewApply(start, more, "three", conf.Expect(0)))
			g.Expect(out.Result).To(Equal(conf.Conflict))
			g.Expect(out.Changes).To(ConsistOf(conf.Change{Action: conf.Changed, Key: "accounts[north].rate", Old: "7", New: "100"}))
			out = drive(s, conf.NewApply(start, more, "four", conf.Expect(1)))
			g.Expect(out.Config.Generation).To(BeEquivalentTo(2))
			g.Expect(out.Config.Past).To(Equal([]string{"one"}))
		})
	}
}

// Guards against an apply that no process takes, after the object was lost or set back.
func TestApplyAfterALostObject(t *testing.T) {
	g := NewWithT(t)
	s := &objects{}
	cfg := valid(t)
	for want := ident.Generation(8); want < 10; want++ {
		out := drive(s, conf.NewApply(start, cfg, fmt.Sprint(want), conf.Floor(want-1)))
		g.Expect(out.Result).To(Equal(conf.Applied))
		g.Expect(out.Config.Generation).To(Equal(want))
		cfg.Limits.Loads++
	}
	cfg.Limits.Loads--
	g.Expect(drive(s, conf.NewApply(start, cfg, "again", conf.Floor(9))).Result).To(Equal(conf.Unchanged))
	g.Expect(drive(s, conf.NewApply(start, cfg, "higher", conf.Floor(20))).Config.Generation).To(BeEquivalentTo(21))
}

// Guards against an apply that harms a running move, or a deadline that has passed when it is accepted.
func TestApplyRefuses(t *testing.T) {
	g := NewWithT(t)
	cfg := valid(t, `{"moves": [`+move("up", "v1", "v2", day)+`]}`)
	refused := func(out conf.Outcome) []string {
		g.Expect(out.Result).To(Equal(conf.Refused))
		return lines(out.Problems)
	}
	after := cfg.Moves[0].Deadline
	g.Expect(refused(driveAt(after, &objects{}, conf.NewApply(after, cfg, "late")))).To(ConsistOf("moves[up].deadline: has passed already"))
	s := &objects{}
	g.Expect(drive(s, conf.NewApply(start, cfg, "one")).Result).To(Equal(conf.Applied))
	next := clone(t, cfg)
	next.Moves = nil
	g.Expect(refused(drive(s, conf.NewApply(start, next, "two")))).To(ConsistOf(ContainSubstring("moves[up]: is removed")))
	next.Services = nil
	g.Expect(refused(drive(s, conf.NewApply(start, next, "three")))).To(ContainElement("services: is missing"))
	next = clone(t, cfg)
	next.Moves = nil
	ended := conf.MoveStatus{Name: "up", Service: "llm", From: "v1", To: "v2", State: conf.TakenBack, Recorded: true}
	known := conf.Known([]conf.MoveStatus{ended})
	g.Expect(drive(s, conf.NewApply(start, next, "four", known)).Result).To(Equal(conf.Applied))
	g.Expect(refused(drive(s, conf.NewApply(start, cfg, "five", known)))).To(ConsistOf(ContainSubstring("moves[up].name: is the name of a move that has ended")))
}

// Guards against a process that serves while it cannot know the configuration, or never serves.
func TestForceReady(t *testing.T) {
	g := NewWithT(t)
	cfg := valid(t)
	cfg.Generation, cfg.Attempt = 3, "three"
	f := conf.NewForce("demo")
	f.Ask("p1")
	f.Ask("p2")
	g.Expect(f.FromPeer(start, "p1", cfg)).To(Equal(conf.Accepted))
	g.Expect(f.Ready()).To(BeFalse(), "the object API was not asked")
	f.StoreOut(start)
	g.Expect(f.Ready()).To(BeFalse(), "a peer has not answered")
	newer := clone(t, cfg)
	newer.Generation, newer.Attempt = 4, "four"
	g.Expect(f.FromPeer(start, "p2", newer)).To(Equal(conf.Accepted))
	g.Expect(f.Ready()).To(BeTrue())
	g.Expect(f.FromStore(start, cfg)).To(Equal(conf.Older))
	g.Expect(f.FromStore(start, newer)).To(Equal(conf.Same))
	newer.Attempt = "other"
	g.Expect(f.FromStore(start, newer)).To(Equal(conf.Clash))
	newer.Generation, newer.Deployment = 5, "else"
	v, _ := f.FromStore(start, newer)
	g.Expect(v).To(Equal(conf.Invalid))
	g.Expect(f.Generation()).To(BeEquivalentTo(4))

	f = conf.NewForce("demo")
	f.Ask("p1")
	f.Ask("p2")
	f.StoreOut(start)
	g.Expect(f.FromPeer(start, "p1", cfg)).To(Equal(conf.Accepted))
	f.Tick(start.Add(conf.SettleTime))
	g.Expect(f.Ready()).To(BeTrue(), "silent peers do not hold up a start for ever")
	f = conf.NewForce("demo")
	g.Expect(f.FromPeer(start, "p1", cfg)).To(Equal(conf.Accepted))
	f.Tick(start.Add(time.Hour))
	g.Expect(f.Ready()).To(BeFalse(), "the object API may hold a newer configuration")
	f = conf.NewForce("demo")
	f.StoreEmpty()
	f.StoreOut(start)
	f.Tick(start.Add(time.Hour))
	g.Expect(f.Ready()).To(BeFalse(), "there is no configuration")
	g.Expect(f.FromStore(start, cfg)).To(Equal(conf.Accepted))
	g.Expect(f.Ready()).To(BeTrue())
}
