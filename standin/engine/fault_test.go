package engine_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/standin/engine"
)

// Guards against injected failures on other routes or below the given number of requests in flight, and against
// failed calls that are missing from the run counts.
func TestFailureIsLimitedByRouteAndLoad(t *testing.T) {
	runEngine(t, func(g *WithT, e *engine.Engine) {
		e.SetFaults(engine.Faults{FailureRatio: 1, FailureMinInFlight: 1})
		done := make(chan int)
		go func() { done <- postChat(e, "a", "q", 50).Code }()
		time.Sleep(100 * time.Millisecond)
		g.Expect(postChat(e, "b", "q", 1).Code).To(Equal(500))
		g.Expect(<-done).To(Equal(200))
		g.Expect(postChat(e, "c", "q", 1).Code).To(Equal(200))
		e.SetFaults(engine.Faults{FailureRatio: 1, FailureRoutePrefix: "/load"})
		g.Expect(call(e, "GET", "/load", "", "").Code).To(Equal(500))
		g.Expect(postChat(e, "d", "q", 1).Code).To(Equal(200))
		g.Expect(e.Runs()).To(Equal(map[ident.RequestID]int{"a": 1, "b": 1, "c": 1, "d": 1}))
	})
}

// Guards against a hung engine that still answers or processes requests, and one that stays hung after the fault is
// cleared.
func TestHangEndsWhenFaultsAreCleared(t *testing.T) {
	runEngine(t, func(g *WithT, e *engine.Engine) {
		e.SetFaults(engine.Faults{Hang: true})
		done := make(chan int, 1)
		go func() { done <- postChat(e, "a", "q", 1).Code }()
		time.Sleep(time.Hour)
		g.Expect(done).To(BeEmpty())
		g.Expect(call(e, "GET", "/runs", "", "").Code).To(Equal(200))
		call(e, "POST", "/faults", "", `{}`)
		g.Expect(<-done).To(Equal(200))
	})
}

// Guards against a crash at another request than the chosen one, and one of which the crash handler is not told.
func TestCrashAtChosenRequest(t *testing.T) {
	var crashes []time.Duration
	runEngine(t, func(g *WithT, e *engine.Engine) {
		e.SetFaults(engine.Faults{CrashAtRequest: 2, DownMillis: 5})
		g.Expect(postChat(e, "a", "q", 1).Code).To(Equal(200))
		g.Expect(crashes).To(BeEmpty())
		g.Expect(postChat(e, "b", "q", 1).Code).To(Equal(500))
		g.Expect(crashes).To(Equal([]time.Duration{5 * time.Millisecond}))
	}, engine.WithCrashHandler(func(down time.Duration, _ bool) { crashes = append(crashes, down) }))
}

// Guards against exported blocks that another engine cannot use, and against imports that accept damaged blocks or
// blocks of another version.
func TestExportedKVIsUsableByAnotherEngine(t *testing.T) {
	runEngine(t, func(g *WithT, e *engine.Engine) {
		long := strings.Repeat("coating ", 100)
		postChat(e, "a", long, 1)
		var all engine.CacheContents
		g.Expect(json.Unmarshal(call(e, "GET", "/cache/all", "", "").Body.Bytes(), &all)).To(Succeed())
		g.Expect(all.Blocks).To(HaveLen(3))
		list := strings.Trim(strings.ReplaceAll(fmt.Sprint(all.Blocks), " ", ","), "[]")
		kv := call(e, "GET", "/kv/export?blocks=1,"+list, "", "").Body.String()

		other := engine.New(2)
		ctx, cancel := context.WithCancel(context.Background())
		done := other.Start(ctx)
		g.Expect(call(other, "POST", "/kv/import", "", kv).Body.String()).To(MatchJSON(`{"imported":3}`))
		_, usage, _, _ := readStream(g, postChat(other, "b", long, 1).Body)
		g.Expect(usage.Details.Cached).To(Equal(ident.Tokens(192)))
		damaged := strings.Replace(kv, `"data":"`, `"data":"AAAA`, 1)
		g.Expect(call(other, "POST", "/kv/import", "", damaged).Code).To(Equal(400))
		call(other, "POST", "/orders", "", `{"verb":"load","version":"v2"}`)
		g.Expect(call(other, "POST", "/kv/import", "", kv).Code).To(Equal(409))
		cancel()
		<-done
	})
}

// Guards against an engine that accepts commands of unknown issuers, serves without a loaded version or does not
// change its role.
func TestCommandsCheckIssuerAndApplyRoleAndUnload(t *testing.T) {
	runEngine(t, func(g *WithT, e *engine.Engine) {
		command := func(verb, issuer string) int {
			body := fmt.Sprintf(`{"verb":%q,"version":"v1","value":"decode","issuer":%q}`, verb, issuer)
			return call(e, "POST", "/orders", "", body).Code
		}
		g.Expect(command("unload", "stranger")).To(Equal(403))
		g.Expect(command("erase", "agent")).To(Equal(400))
		g.Expect(command("role", "agent")).To(Equal(200))
		g.Expect(load(g, e).Role).To(Equal("decode"))
		g.Expect(command("unload", "agent")).To(Equal(200))
		g.Expect(postChat(e, "a", "q", 1).Code).To(Equal(503))
		var accepted []engine.Command
		g.Expect(json.Unmarshal(call(e, "GET", "/orders", "", "").Body.Bytes(), &accepted)).To(Succeed())
		g.Expect(accepted).To(HaveLen(2))
	}, engine.WithIssuers("agent"), engine.WithReportLag(0))
}

// Guards against load reports without the configured lag: tests would then not show how the scheduler copes with it.
func TestLoadReportsAreDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := engine.New(1, engine.WithReportLag(time.Second), engine.WithDecodeSpeed(10, 1))
		done := e.Start(t.Context())
		t.Cleanup(func() { <-done })
		ended := make(chan *httptest.ResponseRecorder)
		go func() { ended <- postChat(e, "a", "q", 50) }()
		time.Sleep(900 * time.Millisecond)
		g.Expect(load(g, e).Running).To(Equal(0))
		time.Sleep(200 * time.Millisecond)
		g.Expect(load(g, e).Running).To(Equal(1))
		<-ended
		time.Sleep(time.Second)
		g.Expect(load(g, e).RemainingTokens).To(Equal(ident.Tokens(0)))
	})
}

// Guards against a slowdown that applies only to some of the work, such as prefill but not decode.
func TestSlowdownAppliesToAllWork(t *testing.T) {
	measure := func(f engine.Faults) (d time.Duration) {
		runEngine(t, func(_ *WithT, e *engine.Engine) {
			e.SetFaults(f)
			start := time.Now()
			postChat(e, "a", strings.Repeat("q", 40000), 20)
			d = time.Since(start)
		})
		return d
	}
	g := NewWithT(t)
	g.Expect(measure(engine.Faults{Slowdown: 3})).To(BeNumerically("~", 3*measure(engine.Faults{}), time.Millisecond))
}
