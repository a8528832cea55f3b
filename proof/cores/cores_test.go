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

// randomAction draws one action and applies it.
func (w *world) randomAction(t *rapid.T) {
	i, j := rapid.IntRange(0, 1).Draw(t, "router"), rapid.IntRange(0, 2).Draw(t, "agent")
	c := w.conns[i][j]
	switch rapid.IntRange(0, 19).Draw(t, "action") {
	default:
		w.beginCall(t, i)
	case 6:
		w.disconnectCaller(t)
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
		w.store.unavailable, w.store.lostReplies = !w.store.unavailable && rapid.Bool().Draw(t, "out"), 1
	case 14:
		w.drainProcess(t, i, j)
	case 15:
		w.resumeAnswer(t, i)
	case 16, 17:
		w.clearFaults()
	}
}

// beginCall sends a request, either with an idempotency key that other calls share or without one.
func (w *world) beginCall(t *rapid.T, i int) {
	served := rapid.SampledFrom(w.cfg.Targets).Draw(t, "target").Service
	s := w.cfg.Services[slices.IndexFunc(w.cfg.Services, func(s conf.Service) bool { return s.Name == served })]
	route := s.Routes[rapid.IntRange(0, len(s.Routes)-1).Draw(t, "route")]
	k := &call{id: entry.CallID(len(w.checker.calls) + 1), router: i, idempotent: route.Idempotent, plain: s.Kind == conf.PlainService}
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
	w.submit(k, func(c *entry.Core) { c.BeginCall(w.now, k.id, r) })
}

func (w *world) submit(k *call, apply func(*entry.Core)) {
	p := w.routers[k.router]
	k.disconnected = w.now.Before(p.downUntil)
	w.checker.calls = append(w.checker.calls, k)
	if _, ok := w.checker.firstSent[k.tag]; !ok {
		w.checker.firstSent[k.tag] = w.now
	}
	if !k.disconnected {
		p.enqueue(w.now, apply)
	}
}

func (w *world) disconnectCaller(t *rapid.T) {
	if len(w.checker.calls) == 0 {
		return
	}
	k := rapid.SampledFrom(w.checker.calls).Draw(t, "caller")
	if !k.done && !k.disconnected {
		k.disconnected = true
		w.routers[k.router].enqueue(w.now, func(c *entry.Core) { c.HandleClientDisconnect(w.now, k.id) })
	}
}

func (w *world) drainProcess(t *rapid.T, i, j int) {
	if rapid.Bool().Draw(t, "drain router") {
		w.routers[i].draining = true
		w.routers[i].enqueue(w.now, func(c *entry.Core) { c.Drain(w.now) })
		return
	}
	w.checker.lastLost[j] = w.now // a draining agent owns no claims
	p := w.agents[j]
	p.draining = true
	p.core.Drain(w.now)
}

// resumeAnswer sends a request to resume the stored answer of an earlier call.
func (w *world) resumeAnswer(t *rapid.T, i int) {
	if len(w.checker.calls) == 0 {
		return
	}
	earlier := rapid.SampledFrom(w.checker.calls).Draw(t, "old")
	if earlier.head == nil {
		return
	}
	k := &call{
		id: entry.CallID(len(w.checker.calls) + 1), router: i, tag: earlier.tag, resumed: true, plain: earlier.plain, idempotent: earlier.idempotent,
		attempt: earlier.head.RequestID, lastSeq: earlier.lastSeq,
	}
	h := earlier.head
	r := entry.Request{Account: w.cfg.Accounts[0], Service: conf.Service{Name: h.Service}, Wait: 10 * time.Second}
	w.submit(k, func(c *entry.Core) { c.ResumeAnswer(w.now, k.id, r, h.RequestID, h.Agent, h.Boot, k.lastSeq) })
}

// clearFaults ends the store outage, all pauses and all stalls.
func (w *world) clearFaults() {
	w.store.unavailable, w.store.lostReplies = false, 0
	for i := range w.conns {
		w.routers[i].paused = false
		for j, c := range w.conns[i] {
			c.stalled, w.agents[j].paused = false, false
		}
	}
}

// invariants returns the property that no sequence of actions violates the guarantees to callers.
func invariants(p injectedFault) func(*rapid.T) {
	return func(t *rapid.T) {
		layout := rapid.SampledFrom([]string{"mmm", "sss", "mms"}).Draw(t, "layout")
		w := newWorld(rapid.Uint64().Draw(t, "seed"), layout, p)
		w.advance(50)
		for range rapid.IntRange(5, 40).Draw(t, "actions") {
			w.randomAction(t)
			w.advance(rapid.SampledFrom([]int{0, 1, 3, 10, 30, 200}).Draw(t, "steps"))
		}
		w.clearFaults()
		for n := 0; n < 60*50 && w.checker.hasOpenCalls(); n += 10 {
			w.advance(10)
		}
		w.checker.checkFinalState()
		if len(w.checker.violations) > 0 {
			t.Fatalf("%s", strings.Join(w.checker.violations, "\n"))
		}
	}
}

// Guards against a violation of the guarantees of section 1.1 under any mixture of lost connections, delays,
// pauses, restarts and repeated requests.
func TestInvariantsHold(t *testing.T) { rapid.Check(t, invariants(injectedFault{})) }

// failureRecorder is a testing.TB that records the failure of a property that is expected to fail.
type failureRecorder struct {
	testing.TB
	failed bool
	text   string
}

func (s *failureRecorder) Logf(string, ...any) {}
func (s *failureRecorder) Errorf(f string, args ...any) {
	s.failed, s.text = true, s.text+fmt.Sprintf(f, args...)
}
func (s *failureRecorder) Fatalf(f string, args ...any) { s.Errorf(f, args...); runtime.Goexit() }
func (s *failureRecorder) FailNow()                     { s.failed = true; runtime.Goexit() }
func (s *failureRecorder) Fail()                        { s.failed = true }
func (s *failureRecorder) Failed() bool                 { return s.failed }

// Guards against checks that detect nothing: each injected fault must be caught by the check that is meant for it.
func TestInjectedFaultsAreDetected(t *testing.T) {
	for name, c := range map[string]struct {
		inject injectedFault
		text   string
	}{
		"written twice":         {injectedFault{writeTwice: true}, "was written twice"},
		"claim overridden":      {injectedFault{acceptAllClaims: true}, "was run twice"},
		"owners confirm both":   {injectedFault{rewriteFrame: confirmLastClaim()}, "was run twice"},
		"end says not run":      {injectedFault{rewriteFrame: reportEndsAsNotRun}, "was run twice|reported as not run"},
		"false not run":         {injectedFault{reportNotRun: true}, "reported as not run"},
		"foreign chunk":         {injectedFault{rewriteFrame: replaceChunk}, "instead of"},
		"truncated is complete": {injectedFault{rewriteFrame: markTruncatedComplete}, "is marked complete with"},
		"end is lost":           {injectedFault{rewriteFrame: dropEnds}, "never ended"},
	} {
		t.Run(name, func(t *testing.T) {
			s, done := &failureRecorder{TB: t}, make(chan struct{})
			go func() {
				defer close(done)
				rapid.Check(s, invariants(c.inject))
			}()
			<-done
			if !regexp.MustCompile(c.text).MatchString(s.text) {
				t.Errorf("fault not detected, got: %s", s.text)
			}
		})
	}
}

// confirmLastClaim rewrites each confirmation of a claim so that it names the attempt that claimed last.
func confirmLastClaim() func(*world, wire.Message) wire.Message {
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

func reportEndsAsNotRun(_ *world, m wire.Message) wire.Message {
	if e, ok := m.(*wire.End); ok && !e.Complete {
		x := *e
		x.Run = fault.NotRun
		return &x
	}
	return m
}

func replaceChunk(_ *world, m wire.Message) wire.Message {
	if c, ok := m.(*wire.Chunk); ok && c.Seq == 2 {
		x := *c
		x.Data = []byte("other:2")
		return &x
	}
	return m
}

func markTruncatedComplete(_ *world, m wire.Message) wire.Message {
	if e, ok := m.(*wire.End); ok && !e.Complete {
		x := *e
		x.Complete = true
		return &x
	}
	return m
}

func dropEnds(_ *world, m wire.Message) wire.Message {
	if _, ok := m.(*wire.End); ok {
		return nil
	}
	return m
}
