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
	tokenEvent  = `data: {"choices":[{"index":0,"delta":{"role":"assistant","content":"x"},"finish_reason":null}]}` + "\n\n"
	finishEvent = `data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}` + "\n\n"
	doneEvent   = "data: [DONE]\n\n"
	errorEvent  = `event: error` + "\n" + `data: {"run":"ran","reason":"target"}` + "\n\n"
)

// Guards against a truncated answer that is counted as complete, and a truncation with an error event that is
// counted as a violation of the protocol.
func TestClientClassifiesAnswers(t *testing.T) {
	g := NewWithT(t)
	for body, want := range map[string]load.Outcome{
		tokenEvent + tokenEvent + finishEvent + doneEvent: load.Complete,
		tokenEvent + doneEvent:                            load.Malformed,
		tokenEvent + tokenEvent:                           load.Malformed,
		tokenEvent + "data: {":                            load.Malformed,
		tokenEvent + errorEvent:                           load.Truncated,
	} {
		r := send(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, body)
		})
		g.Expect(r.Outcome).To(Equal(want), body)
	}
	r := send(t, func(w http.ResponseWriter, _ *http.Request) { fault.Write(w, fault.NotRunf(fault.Shed, "full"), "r1") })
	g.Expect([]any{r.Outcome, r.RunState, r.Reason, r.RequestID}).To(Equal([]any{load.Refused, "not run", fault.Shed, "r1"}))
}

func send(t *testing.T, h http.HandlerFunc) load.Result {
	srv := httptest.NewServer(h)
	defer srv.Close()
	req := plan.Request{Method: http.MethodPost, Path: "/v1/chat/completions"}
	return load.NewClient(1).Send(t.Context(), strings.TrimPrefix(srv.URL, "http://"), req, "")
}

// delayedSender answers after a fixed time.
type delayedSender time.Duration

func (s delayedSender) Send(ctx context.Context, addr string, req plan.Request, session string) load.Result {
	r := load.Result{Request: req, Router: addr, Outcome: load.Complete, FirstToken: time.Duration(s), Session: session + "+"}
	select {
	case <-ctx.Done():
		r.Outcome = load.Unfinished
	case <-time.After(time.Duration(s)):
	}
	return r
}

// Guards against a closed loop, in which the runner waits for answers and so hides overload, and against a run that
// does not end after the drain time.
func TestRunnerIsOpenLoopAndBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		requests := []plan.Request{{}, {At: time.Second}, {At: 2 * time.Second}, {At: 3 * time.Second}}
		start := time.Now()
		r := load.NewRunner(delayedSender(time.Hour), []string{"a", "b"}, load.WithMaxInflight(3), load.WithDrain(10*time.Second))
		results, skipped := r.Run(t.Context(), requests)
		g.Expect(results).To(HaveLen(3))
		g.Expect(skipped).To(Equal(1))
		g.Expect(time.Since(start)).To(Equal(13 * time.Second))
		g.Expect(results[0].Outcome).To(Equal(load.Unfinished))
	})
}

// Guards against a runner that does not send the session value returned by the router with the next request of
// the session.
func TestRunnerReturnsSessionValueToRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		requests := []plan.Request{{Session: "s"}, {At: time.Second, Session: "s"}, {At: 2 * time.Second, Session: "s"}}
		results, _ := load.NewRunner(delayedSender(time.Millisecond), []string{"a"}).Run(t.Context(), requests)
		g.Expect(results[2].Session).To(Equal("+++"))
	})
}

// Guards against a report that omits a broken promise.
func TestReportListsBrokenPromises(t *testing.T) {
	g := NewWithT(t)
	req := plan.Request{Tier: "urgent", Deadline: 100}
	results := []load.Result{
		{Request: req, Outcome: load.Complete, FirstToken: 50 * time.Millisecond},
		{Request: req, Outcome: load.Complete, FirstToken: 150 * time.Millisecond},
		{Request: req, Outcome: load.Malformed},
		{Request: req, Outcome: load.Refused, RunState: "not run", Reason: fault.Shed, RequestID: "r1"},
	}
	rep := load.NewReport(results, 0, map[string]int{"r1": 1, "r2": 2})
	g.Expect(rep.Good).To(Equal(1))
	g.Expect(rep.CheckPromises(load.Promises{MinGoodput: map[string]float64{"urgent": 0.5}})).To(HaveLen(4))
	var b strings.Builder
	g.Expect(rep.WriteTables(&b)).To(Succeed())
	g.Expect(b.String()).To(ContainSubstring("BROKEN: P5: 1 requests"))
}
