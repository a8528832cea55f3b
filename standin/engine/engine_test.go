package engine_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/chat"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/standin/engine"
)

// call serves one call without a network, so that it runs in virtual time.
func call(e http.Handler, method, path, id, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("X-Request-Id", id)
	e.ServeHTTP(w, r)
	return w
}

func postChat(e http.Handler, id, text string, limit int) *httptest.ResponseRecorder {
	return call(e, "POST", "/v1/chat/completions", id, prompt(text, limit))
}

func prompt(text string, limit int) string {
	return fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, limit, text)
}

// read returns the text, the last usage, the id of the first event and whether the stream was whole.
func readStream(g *WithT, r io.Reader) (text string, usage *chat.Usage, first string, whole bool) {
	events := chat.NewReader(r)
	for {
		ev, err := events.Next()
		if err == io.EOF {
			return text, usage, first, whole
		}
		g.Expect(err).NotTo(HaveOccurred())
		if first == "" {
			first = ev.ID
		}
		if string(ev.Data) == chat.Done {
			whole = true
			continue
		}
		d, err := chat.ParseDelta(ev.Data)
		g.Expect(err).NotTo(HaveOccurred())
		text += d.Choices[0].Delta.Content
		usage = d.Usage
	}
}

// run starts an engine in a bubble of virtual time and stops it after f.
func runEngine(t *testing.T, f func(*WithT, *engine.Engine), opts ...engine.Option) {
	synctest.Test(t, func(t *testing.T) {
		e := engine.New(1, opts...)
		done := e.Start(t.Context())
		t.Cleanup(func() { <-done })
		f(NewWithT(t), e)
	})
}

// Guards against an answer that a client cannot recognise as its own and whole, a prefix that is not
// reported as cached, and a resumed stream that repeats or loses events.
func TestAnswerIsCompleteAndResumable(t *testing.T) {
	runEngine(t, func(g *WithT, e *engine.Engine) {
		long := strings.Repeat("coating ", 100)
		req, err := chat.Parse([]byte(prompt(long, 20)))
		g.Expect(err).NotTo(HaveOccurred())
		for i, cached := range []ident.Tokens{0, 192} {
			text, usage, first, whole := readStream(g, postChat(e, fmt.Sprint("r", i), long, 20).Body)
			g.Expect(text).To(Equal(engine.Answer(req)))
			g.Expect(usage.Details.Cached).To(Equal(cached))
			g.Expect(usage.Completion).To(Equal(ident.Tokens(20)))
			g.Expect(first).To(Equal("1"))
			g.Expect(whole).To(BeTrue())
		}
		part, _, first, whole := readStream(g, call(e, "GET", "/v1/requests/r0/stream?after=15", "", "").Body)
		g.Expect(part).To(HaveLen(5 * 4))
		g.Expect(engine.Answer(req)).To(HaveSuffix(part))
		g.Expect(first).To(Equal("16"))
		g.Expect(whole).To(BeTrue())
		g.Expect(e.Runs()).To(Equal(map[ident.RequestID]int{"r0": 1, "r1": 1}))
	})
}

// Guards against an engine that gets faster instead of slower under load, or that exceeds its memory.
func TestBatchSharesSpeedAndMemory(t *testing.T) {
	took := func(n int, memory ident.Tokens) (d time.Duration) {
		runEngine(t, func(_ *WithT, e *engine.Engine) {
			start := time.Now()
			done := make(chan int)
			for i := range n {
				go func() { done <- postChat(e, fmt.Sprint(i), "q", 50).Code }()
			}
			for range n {
				<-done
			}
			d = time.Since(start)
		}, engine.WithKVTokens(memory), engine.WithDecodeSpeed(50, 4))
		return d
	}
	g := NewWithT(t)
	one, five, queued := took(1, 1000), took(5, 1000), took(5, 60)
	g.Expect(five).To(BeNumerically("~", 2*one, one/10))
	g.Expect(queued).To(BeNumerically("~", 5*one, one/10))
}

// Guards against work that goes on after a cancel, and against one that ends because its caller left.
func TestOnlyCancelStopsARequest(t *testing.T) {
	runEngine(t, func(g *WithT, e *engine.Engine) {
		done := make(chan *httptest.ResponseRecorder)
		go func() { done <- postChat(e, "a", "q", 100) }()
		time.Sleep(time.Second)
		g.Expect(call(e, "POST", "/v1/requests/a/cancel", "", "").Body.String()).To(ContainSubstring("true"))
		_, _, _, whole := readStream(g, (<-done).Body)
		g.Expect(whole).To(BeFalse())
		g.Expect(load(g, e).KVUsed).To(Equal(ident.Tokens(0)))

		r := httptest.NewRequest("POST", "/v1/chat/completions", strings.NewReader(prompt("q", 100)))
		r.Header.Set("X-Request-Id", "b")
		left, leave := context.WithCancel(context.Background())
		go func() {
			e.ServeHTTP(httptest.NewRecorder(), r.WithContext(left))
			done <- nil
		}()
		time.Sleep(time.Second)
		leave()
		<-done
		_, _, _, whole = readStream(g, call(e, "GET", "/v1/requests/b/stream", "", "").Body)
		g.Expect(whole).To(BeTrue())
	}, engine.WithReportLag(0))
}

func load(g *WithT, e *engine.Engine) (l engine.Load) {
	g.Expect(json.Unmarshal(call(e, "GET", "/load", "", "").Body.Bytes(), &l)).To(Succeed())
	return l
}

// Guards against cache events that come too early, and against evictions that are not announced.
func TestCacheEventsAreDelayedAndReportEvictions(t *testing.T) {
	runEngine(t, func(g *WithT, e *engine.Engine) {
		events := func() (out []engine.CacheEvent) {
			g.Expect(json.Unmarshal(call(e, "GET", "/cache?after=0", "", "").Body.Bytes(), &out)).To(Succeed())
			return out
		}
		postChat(e, "a", strings.Repeat("a", 600), 1)
		g.Expect(events()).To(BeEmpty())
		time.Sleep(time.Minute)
		g.Expect(events()).To(HaveLen(1))
		postChat(e, "b", strings.Repeat("b", 600), 1)
		time.Sleep(time.Minute)
		all := events()
		g.Expect(all).To(HaveLen(2))
		g.Expect(all[1].Removed).To(Equal(all[0].Added[1:]), "the end of the oldest chain goes first")
	}, engine.WithReportLag(time.Minute), engine.WithCacheLoss(0), engine.WithCacheBlocks(3))
}

// Guards against a fenced engine that obeys an old lease holder, and an unfenced one that pretends to check.
func TestFencedEngineRefusesOldFencingToken(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		runEngine(t, func(g *WithT, e *engine.Engine) {
			order := `{"verb":"load","version":"v2","fence":%d,"issuer":"x"}`
			g.Expect(call(e, "POST", "/orders", "", fmt.Sprintf(order, 7)).Code).To(Equal(200))
			code := call(e, "POST", "/orders", "", fmt.Sprintf(order, 6)).Code
			g.Expect(code == 409).To(Equal(fenced))
			g.Expect(load(g, e).Version).To(Equal(ident.Version("v2")))
		}, engine.WithFencing(fenced), engine.WithReportLag(0))
	}
}

// Guards against a crash that spares some requests, and one after which the engine stays down.
func TestCrashOnMarkerLosesAllRequests(t *testing.T) {
	runEngine(t, func(g *WithT, e *engine.Engine) {
		e.SetFaults(engine.Faults{CrashMarker: "boom", DownMillis: 1000})
		done := make(chan *httptest.ResponseRecorder)
		go func() { done <- postChat(e, "a", "fine", 500) }()
		time.Sleep(time.Second)
		g.Expect(postChat(e, "b", "a boom", 5).Code).To(Equal(500))
		_, _, _, whole := readStream(g, (<-done).Body)
		g.Expect(whole).To(BeFalse())
		g.Expect(postChat(e, "c", "fine", 5).Code).To(Equal(500), "the engine is down")
		time.Sleep(time.Second)
		_, _, _, whole = readStream(g, postChat(e, "d", "fine", 5).Body)
		g.Expect(whole).To(BeTrue())
	})
}
