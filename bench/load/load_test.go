package load_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/bench/load"
	"hickoryvane.example/bench/plan"
	"hickoryvane.example/core/fault"
)

const (
	token  = `data: {"choices":[{"index":0,"delta":{"role":"assistant","content":"x"},"finish_reason":null}]}` + "\n\n"
	finish = `data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}` + "\n\n"
	done   = "data: [DONE]\n\n"
	broken = `event: error` + "\n" + `data: {"run":"ran","reason":"target"}` + "\n\n"
)

// Guards against a cut answer that counts as whole, and a stated cut that counts as torn.
func TestClientTellsHowAnswersEnd(t *testing.T) {
	g := NewWithT(t)
	for body, want := range map[string]load.End{
		token + token + finish + done: load.Whole,
		token + done:                  load.Torn,
		token + token:                 load.Torn,
		token + "data: {":             load.Torn,
		token + broken:                load.Cut,
	} {
		r := send(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, body)
		})
		g.Expect(r.End).To(Equal(want), body)
	}
	r := send(t, func(w http.ResponseWriter, _ *http.Request) { fault.Write(w, fault.NotRunf(fault.Shed, "full"), "r1") })
	g.Expect([]any{r.End, r.Run, r.Reason, r.ID}).To(Equal([]any{load.Refused, "not run", fault.Shed, "r1"}))
}

func send(t *testing.T, h http.HandlerFunc) load.Result {
	srv := httptest.NewServer(h)
	defer srv.Close()
	shot := plan.Shot{Method: http.MethodPost, Path: "/v1/chat/completions"}
	return load.NewClient(1).Send(t.Context(), strings.TrimPrefix(srv.URL, "http://"), shot, "")
}

// sleeper answers after a fixed time.
type sleeper time.Duration

func (s sleeper) Send(ctx context.Context, addr string, shot plan.Shot, session string) load.Result {
	r := load.Result{Shot: shot, Router: addr, End: load.Whole, First: time.Duration(s), Session: session + "+"}
	select {
	case <-ctx.Done():
		r.End = load.Unfinished
	case <-time.After(time.Duration(s)):
	}
	return r
}

// Guards against a closed loop, which would hide overload, and against a load without end.
func TestRunnerIsOpenLoopAndBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		shots := []plan.Shot{{}, {At: time.Second}, {At: 2 * time.Second}, {At: 3 * time.Second}}
		start := time.Now()
		r := load.NewRunner(sleeper(time.Hour), []string{"a", "b"}, load.WithInflight(3), load.WithDrain(10*time.Second))
		results, skipped := r.Run(t.Context(), shots)
		g.Expect(results).To(HaveLen(3))
		g.Expect(skipped).To(Equal(1))
		g.Expect(time.Since(start)).To(Equal(13 * time.Second))
		g.Expect(results[0].End).To(Equal(load.Unfinished))
	})
}

// Guards against a session whose value is not sent back to the router.
func TestRunnerCarriesSessions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		shots := []plan.Shot{{Session: "s"}, {At: time.Second, Session: "s"}, {At: 2 * time.Second, Session: "s"}}
		results, _ := load.NewRunner(sleeper(time.Millisecond), []string{"a"}).Run(t.Context(), shots)
		g.Expect(results[2].Session).To(Equal("+++"))
	})
}

// Guards against broken promises that go unnoticed.
func TestReportNamesBrokenPromises(t *testing.T) {
	g := NewWithT(t)
	shot := plan.Shot{Tier: "urgent", Deadline: 100}
	results := []load.Result{
		{Shot: shot, End: load.Whole, First: 50 * time.Millisecond},
		{Shot: shot, End: load.Whole, First: 150 * time.Millisecond},
		{Shot: shot, End: load.Torn},
		{Shot: shot, End: load.Refused, Run: "not run", Reason: fault.Shed, ID: "r1"},
	}
	rep := load.NewReport(results, 0, map[string]int{"r1": 1, "r2": 2})
	g.Expect(rep.Good).To(Equal(1))
	g.Expect(rep.Judge(load.Promises{Shares: map[string]float64{"urgent": 0.5}})).To(HaveLen(4))
	var b strings.Builder
	g.Expect(rep.Print(&b)).To(Succeed())
	g.Expect(b.String()).To(ContainSubstring("BROKEN: P5: 1 requests"))
}
