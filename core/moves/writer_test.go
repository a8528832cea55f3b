package moves_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/moves"
	"hickoryvane.example/core/prop"
	"hickoryvane.example/core/store"
)

// lossyStore is a store with one object. Its answers may be lost and its writes may take effect late.
type lossyStore struct {
	obj           *store.Object
	delayedWrites []store.Object
}

func (s *lossyStore) create(o store.Object) error {
	if s.obj != nil {
		return store.ErrExists
	}
	s.obj = &o
	return nil
}

func (s *lossyStore) do(t *rapid.T, c moves.Call) (store.Object, error) {
	fault := rapid.SampledFrom([]string{"", "", "out", "lost before", "lost after", "late"}).Draw(t, "fault")
	switch {
	case fault == "out":
		return store.Object{}, store.ErrUnavailable
	case c.Read && fault != "":
		return store.Object{}, store.ErrOutcomeUnknown
	case c.Read && s.obj == nil:
		return store.Object{}, store.ErrNotFound
	case c.Read:
		return *s.obj, nil
	case fault == "late":
		s.delayedWrites = append(s.delayedWrites, c.Object)
		return store.Object{}, store.ErrOutcomeUnknown
	case fault == "lost before":
		return store.Object{}, store.ErrOutcomeUnknown
	}
	err := s.create(c.Object)
	if fault == "lost after" {
		err = store.ErrOutcomeUnknown
	}
	return c.Object, err
}

type storeAnswer struct {
	writer int
	seq    ident.Seq
	object store.Object
	err    error
}

// oneConclusion runs several processes with different decisions, of which more than one may believe that it holds
// the lease, and checks that only one record is written and that all processes report that record. inject may
// change a store call's result or the store, as an injected fault.
func oneConclusion(inject func(*lossyStore, *storeAnswer, moves.Call)) func(*rapid.T) {
	return func(t *rapid.T) {
		s, now := &lossyStore{}, start
		var writers []*moves.ConclusionWriter
		boot := ident.Boot(0)
		newWriter := func(i int) *moves.ConclusionWriter {
			boot++
			c := moves.Conclusion{Rollout: "m", State: moves.Done, DecidedAt: start.Add(time.Duration(i))}
			if i%2 == 0 {
				c.State, c.Reason = moves.RolledBack, moves.ReasonDeadline
			}
			return moves.NewConclusionWriter(ident.ProcessID(fmt.Sprint(i)), boot, c)
		}
		for i := range 3 {
			writers = append(writers, newWriter(i))
		}
		var inTransit []storeAnswer
		first := ""
		check := func() {
			if s.obj == nil {
				return
			}
			if first == "" {
				first = string(s.obj.Value)
			}
			for _, w := range writers {
				if r := w.Recorded(); string(s.obj.Value) != first || r != nil && string(r.Encode()) != first {
					t.Fatalf("two conclusions: %s and %v", first, r)
				}
			}
		}
		tick := func(i int) {
			for _, c := range writers[i].Tick(now, 1, true) {
				a := storeAnswer{writer: i, seq: c.Seq}
				a.object, a.err = s.do(t, c)
				if inject != nil {
					inject(s, &a, c)
				}
				inTransit = append(inTransit, a)
			}
		}
		deliver := func() {
			a := inTransit[0]
			inTransit = inTransit[1:]
			writers[a.writer].HandleResult(now, a.seq, a.object, a.err)
		}
		vm := rapid.IntRange(0, 2)
		t.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) { tick(vm.Draw(t, "vm")) },
			"answer": func(*rapid.T) {
				if len(inTransit) > 0 {
					deliver()
				}
			},
			"late": func(*rapid.T) {
				if len(s.delayedWrites) > 0 {
					_ = s.create(s.delayedWrites[0])
					s.delayedWrites = s.delayedWrites[1:]
				}
			},
			"time":  func(*rapid.T) { now = now.Add(time.Second) },
			"crash": func(t *rapid.T) { i := vm.Draw(t, "vm"); writers[i] = newWriter(i) },
			"":      func(*rapid.T) { check() },
		})
		for range 200 {
			now = now.Add(time.Second)
			tick(0)
			for len(inTransit) > 0 {
				deliver()
			}
		}
		check()
		if writers[0].Recorded() == nil {
			t.Skip("no store call succeeded")
		}
	}
}

// Guards against two recorded conclusions of one rollout, and against a process that reports another conclusion
// than the recorded one. Lost answers, delayed writes, crashes, and two processes that both believe they hold the
// lease must not cause this.
func TestOneConclusionPerRollout(t *testing.T) {
	rapid.Check(t, oneConclusion(nil))
	g := NewWithT(t)
	g.Expect(prop.Fails(t, oneConclusion(func(_ *lossyStore, a *storeAnswer, c moves.Call) {
		if !c.Read && a.err != nil { // injected fault: a writer takes a failed write for its own record
			a.object, a.err = c.Object, nil
		}
	}))).To(BeTrue())
	g.Expect(prop.Fails(t, oneConclusion(func(s *lossyStore, _ *storeAnswer, c moves.Call) {
		if !c.Read { // injected fault: writes are not conditional
			s.obj = &c.Object
		}
	}))).To(BeTrue())
}

// Guards against a record written by a process that does not hold the lease, and against a decision that is lost or
// gets a later time because the store was unavailable when it was made.
func TestConclusionWaitsForLeaseAndStore(t *testing.T) {
	g := NewWithT(t)
	conclusion := moves.Conclusion{Rollout: "m", State: moves.RolledBack, Reason: moves.ReasonDeadline, DecidedAt: start}
	w := moves.NewConclusionWriter("r", 1, conclusion)
	g.Expect(w.Tick(start, 0, false)).To(BeEmpty())
	for i := range 10 {
		now := start.Add(time.Duration(i) * time.Second)
		c := w.Tick(now, 4, true)[0]
		g.Expect(w.HandleResult(now, c.Seq, store.Object{}, store.ErrUnavailable)).To(BeFalse())
	}
	c := w.Tick(start.Add(time.Minute), 5, true)[0]
	g.Expect(w.HandleResult(start.Add(time.Minute), c.Seq, c.Object, nil)).To(BeTrue())
	g.Expect(w.Recorded().DecidedAt).To(BeTemporally("==", start))
	g.Expect(w.Recorded().FencingToken).To(Equal(ident.Fence(5)))
}

// Guards against a rollout that is never concluded, or concluded with another time than that of the decision,
// because the store was unavailable at its start, when it was decided, or at its deadline.
func TestStoreOutageKeepsTheDecision(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		name     string
		from, to time.Duration
		rate     float64
		state    moves.State
		decided  time.Duration
	}{
		{"at the start", 0, 3 * time.Minute, 30, moves.Done, 5 * time.Minute},
		{"at the decision", 4 * time.Minute, 8 * time.Minute, 30, moves.Done, 5 * time.Minute},
		{"from the decision until after the deadline", 4 * time.Minute, 17 * time.Minute, 30, moves.Done, 5 * time.Minute},
		{"at the deadline, unproven", 14 * time.Minute, 17 * time.Minute, 0.05, moves.RolledBack, rolloutDuration},
	} {
		s := newSim(versionKinds[0], 1)
		s.rate = c.rate
		s.storeOut = func(t time.Time) bool { return !t.Before(start.Add(c.from)) && t.Before(start.Add(c.to)) }
		s.runToConclusion()
		g.Expect(s.conclusion).NotTo(BeNil(), c.name)
		g.Expect(s.conclusion.State).To(Equal(c.state), c.name)
		g.Expect(s.conclusion.DecidedAt.Sub(start)).To(BeNumerically("~", c.decided, 30*time.Second), c.name)
		g.Expect(s.now.Sub(start)).To(BeNumerically(">=", c.to), c.name)
		g.Expect(s.store.writes).To(Equal(1), c.name)
	}
}
