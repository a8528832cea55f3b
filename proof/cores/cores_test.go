package cores_test

import (
	"flag"
	"fmt"
	"os"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
	"hickoryvane.example/router/entry"
)

// TestMain fixes the seed of the property tests, so that every run draws the same sequences.
func TestMain(m *testing.M) {
	flag.Parse()
	for k, v := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.shrinktime": "1s", "rapid.checks": "300"} {
		if f := flag.Lookup(k); f.Value.String() == f.DefValue {
			_ = flag.Set(k, v)
		}
	}
	os.Exit(m.Run())
}

// act does one drawn thing to the world.
func (w *world) act(t *rapid.T) {
	i, j := rapid.IntRange(0, 1).Draw(t, "router"), rapid.IntRange(0, 2).Draw(t, "agent")
	c := w.conns[i][j]
	switch rapid.IntRange(0, 19).Draw(t, "action") {
	default:
		w.begin(t, i)
	case 6:
		w.leave(t)
	case 7:
		w.drop(c)
	case 8:
		c.stalled = !c.stalled
	case 9:
		w.crashRouter(i)
	case 10:
		w.crashAgent(j)
	case 11:
		w.routers[i].paused = !w.routers[i].paused
	case 12:
		w.agents[j].paused = !w.agents[j].paused
	case 13:
		w.store.out, w.store.lose = !w.store.out && rapid.Bool().Draw(t, "out"), 1
	case 14:
		w.drainOne(t, i, j)
	case 15:
		w.resume(t, i)
	case 16, 17:
		w.heal()
	}
}

// begin sends a request, with a key that other sends use as well or with none.
func (w *world) begin(t *rapid.T, i int) {
	served := rapid.SampledFrom(w.cfg.Targets).Draw(t, "target").Service
	s := w.cfg.Services[slices.IndexFunc(w.cfg.Services, func(s conf.Service) bool { return s.Name == served })]
	route := s.Routes[rapid.IntRange(0, len(s.Routes)-1).Draw(t, "route")]
	k := &caller{id: entry.CallID(len(w.book.calls) + 1), router: i, repeat: route.Idempotent, plain: s.Kind == conf.PlainService}
	key := ""
	if n := rapid.IntRange(0, 2).Draw(t, "key"); n > 0 {
		key = fmt.Sprint("k", n)
	}
	k.tag = fmt.Sprint(s.Name, "/", route.Name, "/", key)
	if key == "" {
		k.tag += fmt.Sprint(k.id)
	}
	r := entry.Request{
		Account: w.cfg.Accounts[0], Service: s, Route: route, Tier: w.cfg.Tiers[0], Wait: 5 * time.Second, Key: key,
		Prompt: 10, Output: 10, Body: []byte(k.tag), Fingerprint: ident.Fingerprint(k.id),
	}
	w.send1(k, func(c *entry.Core) { c.BeginCall(w.now, k.id, r) })
}

func (w *world) send1(k *caller, do func(*entry.Core)) {
	p := w.routers[k.router]
	k.left = w.now.Before(p.down)
	w.book.calls = append(w.book.calls, k)
	if _, ok := w.book.first[k.tag]; !ok {
		w.book.first[k.tag] = w.now
	}
	if !k.left {
		p.put(w.now, do)
	}
}

func (w *world) leave(t *rapid.T) {
	if len(w.book.calls) == 0 {
		return
	}
	k := rapid.SampledFrom(w.book.calls).Draw(t, "caller")
	if !k.done && !k.left {
		k.left = true
		w.routers[k.router].put(w.now, func(c *entry.Core) { c.HandleClientDisconnect(w.now, k.id) })
	}
}

func (w *world) drainOne(t *rapid.T, i, j int) {
	if rapid.Bool().Draw(t, "drain router") {
		w.routers[i].drain = true
		w.routers[i].put(w.now, func(c *entry.Core) { c.Drain(w.now) })
		return
	}
	w.book.lost[j] = w.now // a leaving agent is home no more
	p := w.agents[j]
	p.drain = true
	p.core.Drain(w.now)
}

// resume asks for the kept answer of an earlier call.
func (w *world) resume(t *rapid.T, i int) {
	if len(w.book.calls) == 0 {
		return
	}
	old := rapid.SampledFrom(w.book.calls).Draw(t, "old")
	if old.head == nil {
		return
	}
	k := &caller{
		id: entry.CallID(len(w.book.calls) + 1), router: i, tag: old.tag, resumed: true, plain: old.plain, repeat: old.repeat,
		attempt: old.head.RequestID, got: old.got,
	}
	h := old.head
	r := entry.Request{Account: w.cfg.Accounts[0], Service: conf.Service{Name: h.Service}, Wait: 10 * time.Second}
	w.send1(k, func(c *entry.Core) { c.ResumeAnswer(w.now, k.id, r, h.RequestID, h.Agent, h.Boot, k.got) })
}

// heal ends all faults.
func (w *world) heal() {
	w.store.out, w.store.lose = false, 0
	for i := range w.conns {
		w.routers[i].paused = false
		for j, c := range w.conns[i] {
			c.stalled, w.agents[j].paused = false, false
		}
	}
}

// promises returns the property that all sequences of actions keep the promises.
func promises(p plant) func(*rapid.T) {
	return func(t *rapid.T) {
		layout := rapid.SampledFrom([]string{"mmm", "sss", "mms"}).Draw(t, "layout")
		w := newWorld(rapid.Uint64().Draw(t, "seed"), layout, p)
		w.run(50)
		for range rapid.IntRange(5, 40).Draw(t, "actions") {
			w.act(t)
			w.run(rapid.SampledFrom([]int{0, 1, 3, 10, 30, 200}).Draw(t, "steps"))
		}
		w.heal()
		for n := 0; n < 60*50 && w.book.open(); n += 10 {
			w.run(10)
		}
		w.book.finish()
		if len(w.book.faults) > 0 {
			t.Fatalf("%s", strings.Join(w.book.faults, "\n"))
		}
	}
}

// Guards against a broken promise of section 1.1 at any moment of any mixture of losses, delays, pauses,
// restarts and second sends.
func TestPromisesHold(t *testing.T) { rapid.Check(t, promises(plant{})) }

// sink takes the failure of a property that is expected to fail.
type sink struct {
	testing.TB
	failed bool
	text   string
}

func (s *sink) Logf(string, ...any) {}
func (s *sink) Errorf(f string, args ...any) {
	s.failed, s.text = true, s.text+fmt.Sprintf(f, args...)
}
func (s *sink) Fatalf(f string, args ...any) { s.Errorf(f, args...); runtime.Goexit() }
func (s *sink) FailNow()                     { s.failed = true; runtime.Goexit() }
func (s *sink) Fail()                        { s.failed = true }
func (s *sink) Failed() bool                 { return s.failed }

// Guards against checks that find nothing: each planted fault is to be caught by the check it is meant for.
func TestPlantedFaultsAreCaught(t *testing.T) {
	for name, c := range map[string]struct {
		plant plant
		text  string
	}{
		"written twice":    {plant{again: true}, "was written twice"},
		"claim overridden": {plant{blind: true}, "was run twice"},
		"homes agree":      {plant{frame: agree()}, "was run twice"},
		"end says not run": {plant{frame: notRun}, "was run twice|told not to have run"},
		"false not run":    {plant{lie: true}, "told not to have run"},
		"foreign chunk":    {plant{frame: foreign}, "instead of"},
		"cut is whole":     {plant{frame: whole}, "is whole with"},
		"end is lost":      {plant{frame: noEnd}, "waits for ever"},
	} {
		t.Run(name, func(t *testing.T) {
			s, done := &sink{TB: t}, make(chan struct{})
			go func() {
				defer close(done)
				rapid.Check(s, promises(c.plant))
			}()
			<-done
			if !regexp.MustCompile(c.text).MatchString(s.text) {
				t.Errorf("not caught: %s", s.text)
			}
		})
	}
}

// agree lets a home confirm each claim to the send that asked last.
func agree() func(*world, wire.Message) wire.Message {
	asked := make(map[ident.RequestID]*wire.Claim)
	return func(_ *world, m wire.Message) wire.Message {
		switch m := m.(type) {
		case *wire.Claim:
			asked[m.ID] = m
		case *wire.ClaimReply:
			c := asked[m.ID]
			return &wire.ClaimReply{ID: m.ID, Attempt: c.Attempt, Agent: c.Agent, Boot: c.Boot}
		}
		return m
	}
}

func notRun(_ *world, m wire.Message) wire.Message {
	if e, ok := m.(*wire.End); ok && !e.Complete {
		x := *e
		x.Run = fault.NotRun
		return &x
	}
	return m
}

func foreign(_ *world, m wire.Message) wire.Message {
	if c, ok := m.(*wire.Chunk); ok && c.Seq == 2 {
		x := *c
		x.Data = []byte("other:2")
		return &x
	}
	return m
}

func whole(_ *world, m wire.Message) wire.Message {
	if e, ok := m.(*wire.End); ok && !e.Complete {
		x := *e
		x.Complete = true
		return &x
	}
	return m
}

func noEnd(_ *world, m wire.Message) wire.Message {
	if _, ok := m.(*wire.End); ok {
		return nil
	}
	return m
}
