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
	term      = 12 * time.Second
	leaseName = "moves"
)

var start = time.Unix(1_800_000_000, 0)

// fakeStore is a store with one object. Its answers may be lost and its writes may take effect late.
type fakeStore struct {
	obj           *store.Object
	rev           int
	delayedWrites []lease.Call
}

func (s *fakeStore) do(c lease.Call) (store.Object, error) {
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

// candidate is a lease machine with its own clock, which runs up to 5% fast or slow; two clocks
// differ by up to 10%.
type candidate struct {
	machine   *lease.Machine
	clockBase time.Time // what its clock shows at the time start
	clockRate float64
	// paused candidates do nothing; their calls and commands stay in transit.
	paused bool
}

type storeAnswer struct {
	candidate int
	machine   *lease.Machine
	seq       ident.Seq
	object    store.Object
	err       error
}

// sentCommand is a command in transit to the agent. Its validity counts from its arrival there.
type sentCommand struct {
	command   wire.Command
	candidate int
}

// simulation connects candidates, a store, an agent and its target; now is the time of an exact clock.
type simulation struct {
	t          *rapid.T
	now        time.Time
	store      *fakeStore
	candidates []*candidate
	answers    []storeAnswer
	commands   []sentCommand
	gate       *lease.CommandGate
	// admitted lists commands that the agent has admitted but not forwarded yet.
	admitted []ident.RequestID
	// executed is the highest fencing token that took effect at the target, and sent is the number of commands
	// sent.
	executed ident.Fence
	sent     int
	boot     ident.Boot
	faults   injectedFaults
	// noStoreFaults makes all store calls succeed.
	noStoreFaults bool
}

// injectedFaults switches on faults of the code under test.
type injectedFaults struct {
	// skipRead makes agents treat the lease as read at their start.
	skipRead bool
	// shortWait makes candidates wait for a sixth of the term and ignore the term in the record.
	shortWait bool
}

func newSimulation(t *rapid.T, faults injectedFaults) *simulation {
	s := &simulation{t: t, now: start, store: &fakeStore{}, faults: faults}
	for i := range 3 {
		s.candidates = append(s.candidates, &candidate{clockBase: start.Add(time.Duration(i) * time.Hour), clockRate: 0.95 + 0.05*float64(i)})
		s.crash(i)
	}
	s.replaceAgent()
	return s
}

// clock returns the time that the clock of candidate i shows.
func (s *simulation) clock(i int) time.Time {
	c := s.candidates[i]
	return c.clockBase.Add(time.Duration(float64(s.now.Sub(start)) * c.clockRate))
}

// crash starts a new boot of candidate i, which knows nothing of the earlier one.
func (s *simulation) crash(i int) {
	s.boot++
	d := term
	if s.faults.shortWait {
		d = term / time.Duration(1+5*(i%2))
	}
	s.candidates[i].machine = lease.New(leaseName, ident.ProcessID(fmt.Sprint(i)), s.boot, lease.WithTerm(d))
	s.candidates[i].paused = false
}

// replaceAgent starts a new agent for the target.
func (s *simulation) replaceAgent() {
	s.gate, s.admitted = lease.NewCommandGate(false), nil
	if s.faults.skipRead {
		s.gate.HandleRecord(leaseName, lease.Record{})
	}
}

func (s *simulation) step(i int) {
	if s.candidates[i].paused {
		return
	}
	for _, c := range s.candidates[i].machine.Tick(s.clock(i)) {
		s.answers = append(s.answers, s.call(i, c))
	}
}

func (s *simulation) call(i int, c lease.Call) storeAnswer {
	a := storeAnswer{candidate: i, machine: s.candidates[i].machine, seq: c.Seq}
	fault := ""
	if !s.noStoreFaults {
		fault = rapid.SampledFrom([]string{"", "", "", "", "out", "lost before", "lost after", "late"}).Draw(s.t, "fault")
	}
	switch fault {
	case "out":
		a.err = store.ErrUnavailable
	case "lost before":
		a.err = store.ErrOutcomeUnknown
	case "lost after":
		_, _ = s.store.do(c)
		a.err = store.ErrOutcomeUnknown
	case "late":
		if c.Verb != lease.Read {
			s.store.delayedWrites = append(s.store.delayedWrites, c)
		}
		a.err = store.ErrOutcomeUnknown
	default:
		a.object, a.err = s.store.do(c)
	}
	if r, err := lease.Decode(a.object.Value); s.faults.shortWait && c.Verb == lease.Read && err == nil {
		r.TermMillis = 0
		a.object.Value = r.Encode()
	}
	return a
}

func (s *simulation) deliverAnswer(k int) {
	a := s.answers[k]
	if s.candidates[a.candidate].paused {
		return
	}
	s.answers = append(s.answers[:k], s.answers[k+1:]...)
	if a.machine == s.candidates[a.candidate].machine {
		a.machine.HandleResult(s.clock(a.candidate), a.seq, a.object, a.err)
	}
}

// sendCommand lets a holder send a command, which may stay in transit for any time and arrive twice.
func (s *simulation) sendCommand(i int) {
	token, valid, ok := s.candidates[i].machine.Held(s.clock(i))
	if !ok || s.candidates[i].paused {
		return
	}
	s.sent++
	c := wire.Command{ID: ident.RequestID(fmt.Sprint(s.sent)), Lease: leaseName, Fence: token, ValidMillis: valid.Milliseconds()}
	s.commands = append(s.commands, sentCommand{c, i})
}

func (s *simulation) deliverCommand(k int) {
	c := s.commands[k].command
	s.commands = append(s.commands[:k], s.commands[k+1:]...)
	if s.gate.Admit(s.now, &c) == nil {
		s.admitted = append(s.admitted, c.ID)
	}
}

// forwardCommand lets the agent forward an admitted command, and checks that the tokens at the target never
// decrease.
func (s *simulation) forwardCommand() {
	id := s.admitted[0]
	s.admitted = s.admitted[1:]
	forward, _ := s.gate.Recheck(s.now, id)
	if forward == nil {
		return
	}
	token := forward.Command.Fence
	if token < s.executed {
		s.t.Fatalf("command with fencing token %d executed after one with token %d", token, s.executed)
	}
	s.executed = token
}

// checkHolders checks that at most one candidate believes that it holds the lease.
func (s *simulation) checkHolders() {
	n := 0
	for i, c := range s.candidates {
		if _, _, ok := c.machine.Held(s.clock(i)); ok {
			n++
		}
	}
	if n > 1 {
		s.t.Fatalf("%d candidates hold the lease at the same time", n)
	}
}

func fencingProperty(faults injectedFaults) func(*rapid.T) {
	return func(t *rapid.T) {
		s := newSimulation(t, faults)
		oneOf := func(t *rapid.T, n int, f func(int)) {
			if n > 0 {
				f(rapid.IntRange(0, n-1).Draw(t, "i"))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"step":   func(t *rapid.T) { s.t = t; oneOf(t, 3, s.step) },
			"calm 2": func(t *rapid.T) { s.t = t; s.runActive() },
			"calm":   func(t *rapid.T) { s.t = t; s.runActive() },
			"answer": func(t *rapid.T) { oneOf(t, len(s.answers), s.deliverAnswer) },
			"late": func(*rapid.T) {
				if len(s.store.delayedWrites) > 0 {
					_, _ = s.store.do(s.store.delayedWrites[0])
					s.store.delayedWrites = s.store.delayedWrites[1:]
				}
			},
			"order":  func(t *rapid.T) { oneOf(t, 3, s.sendCommand) },
			"arrive": func(t *rapid.T) { s.t = t; oneOf(t, len(s.commands), s.deliverCommand) },
			"again": func(t *rapid.T) {
				oneOf(t, len(s.commands), func(k int) { s.commands = append(s.commands, s.commands[k]) })
			},
			"forward": func(t *rapid.T) { s.t = t; oneOf(t, len(s.admitted), func(int) { s.forwardCommand() }) },
			"read": func(*rapid.T) {
				if s.store.obj != nil {
					r, _ := lease.Decode(s.store.obj.Value)
					s.gate.HandleRecord(leaseName, r)
				}
			},
			"agent":  func(*rapid.T) { s.replaceAgent() },
			"crash":  func(t *rapid.T) { oneOf(t, 3, s.crash) },
			"pause":  func(t *rapid.T) { oneOf(t, 3, func(i int) { s.candidates[i].paused = true }) },
			"resume": func(t *rapid.T) { oneOf(t, 3, func(i int) { s.candidates[i].paused = false }) },
			"time": func(t *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.IntRange(100, 6000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) { s.t = t; s.checkHolders() },
		})
		s.noStoreFaults = true
		for i, c := range s.candidates {
			c.paused = false
			s.crash(i)
		}
		for range 5 {
			s.runActive()
		}
		for i, c := range s.candidates {
			if _, _, ok := c.machine.Held(s.clock(i)); ok {
				return
			}
		}
		t.Fatalf("no candidate holds the lease after 50 s without faults")
	}
}

// runActive runs ten seconds in which all candidates that are not paused work, and the holder then sends a command.
func (s *simulation) runActive() {
	for range 20 {
		s.now = s.now.Add(500 * time.Millisecond)
		for i := range s.candidates {
			s.step(i)
		}
		for k := len(s.answers) - 1; k >= 0; k-- {
			s.deliverAnswer(k)
		}
		s.checkHolders()
	}
	for i := range s.candidates {
		s.sendCommand(i)
	}
}

// Guards against two holders at the same time, and against a command that takes effect after one of a later
// holder at a target that does not check fencing tokens. Lost answers, delayed writes, pauses, crashes, replaced
// agents, repeated commands and clocks that run 5% fast or slow must not cause this. Also guards against a lease
// that no candidate acquires once the faults are over.
func TestFencing(t *testing.T) {
	rapid.Check(t, fencingProperty(injectedFaults{}))
}

// Guards against a property test that cannot fail: it must detect faults injected into agents and candidates.
func TestFencingDetectsInjectedFaults(t *testing.T) {
	g := NewWithT(t)
	g.Expect(prop.Fails(t, fencingProperty(injectedFaults{skipRead: true}))).To(BeTrue(), "agents that admit commands without reading the lease")
	g.Expect(prop.Fails(t, fencingProperty(injectedFaults{shortWait: true}))).To(BeTrue(), "candidates that wait for less than a term")
}

// Guards against a fencing token that is given out twice, or is lower than agents require, because the store was restored
// from a copy with an older record.
func TestTokenNeverGoesBackWithTheStore(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{}
	m := lease.New(leaseName, "a", 1, lease.WithTerm(term))
	now := start
	run := func() (token ident.Fence, held bool) {
		for range 20 {
			now = now.Add(term / 4)
			for _, c := range m.Tick(now) {
				o, err := s.do(c)
				m.HandleResult(now, c.Seq, o, err)
			}
			if token, _, held = m.Held(now); held {
				return token, held
			}
		}
		return token, held
	}
	first, held := run()
	g.Expect(held).To(BeTrue())
	old := *s.obj
	other := lease.Record{Holder: "b", Boot: 1, FencingToken: first + 6, WriteCount: 9, TermMillis: term.Milliseconds()}
	s.obj = &store.Object{Rev: "other", Value: other.Encode()}
	for range 3 { // it reads the record of the other
		now = now.Add(term / 4)
		for _, c := range m.Tick(now) {
			o, err := s.do(c)
			m.HandleResult(now, c.Seq, o, err)
		}
	}
	old.Rev = "restored"
	s.obj = &old
	token, held := run()
	g.Expect(held).To(BeTrue())
	g.Expect(token).To(BeNumerically(">", other.FencingToken))
	m.LearnToken(token + 5) // an agent refused a command
	token2, held := run()
	g.Expect(held).To(BeTrue())
	g.Expect(token2).To(BeNumerically(">", token+5))
}
