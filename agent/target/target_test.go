package target_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/agent/target"
	"hickoryvane.example/core/fault"
)

// lossy serves one good answer per connection and breaks the connection at the next request on it,
// after the request was read.
func newConnBreakingServer(runs *atomic.Int64) *httptest.Server {
	seen := make(map[string]bool)
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		if seen[r.RemoteAddr] {
			panic(http.ErrAbortHandler)
		}
		seen[r.RemoteAddr] = true
		_, _ = w.Write([]byte("ok"))
	}))
}

// Guards against a call that net/http sends a second time by itself when a reused connection breaks.
func TestPlainCallsAreNeverSentTwice(t *testing.T) {
	g := NewWithT(t)
	var runs atomic.Int64
	srv := newConnBreakingServer(&runs)
	defer srv.Close()
	p := target.NewPlain(strings.TrimPrefix(srv.URL, "http://"))
	for i, r := range []target.Request{
		{ID: "a", Method: http.MethodPost, Path: "/orders", Data: []byte("{}"), IdempotencyKey: "k"},
		{ID: "b", Method: http.MethodPost, Path: "/orders", IdempotencyKey: "k"},
		{ID: "c", Method: http.MethodGet, Path: "/orders"},
	} {
		out := p.Run(context.Background(), r, func(target.Part) {})
		g.Expect(out.Complete).To(BeTrue())
		g.Expect(runs.Load()).To(Equal(int64(i + 1)))
	}
}

// Guards against the same for a request to an engine, whose connections are reused.
func TestEngineRequestsAreNeverSentTwice(t *testing.T) {
	g := NewWithT(t)
	var runs atomic.Int64
	srv := newConnBreakingServer(&runs)
	defer srv.Close()
	e := target.NewEngine(strings.TrimPrefix(srv.URL, "http://"))
	r := target.Request{ID: "a", Method: http.MethodPost, Path: "/v1/chat/completions", Data: []byte("{}"), IdempotencyKey: "k"}
	g.Expect(e.Run(context.Background(), r, func(target.Part) {}).Complete).To(BeTrue())
	out := e.Run(context.Background(), r, func(target.Part) {})
	g.Expect(out.Complete).To(BeFalse())
	g.Expect(out.Run).To(Equal(fault.Unknown))
	g.Expect(runs.Load()).To(Equal(int64(2)), "one for each Run")
}

// Guards against "unknown" for a request that never left the agent.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	addr := ln.Addr().String()
	g.Expect(ln.Close()).To(Succeed())
	out := target.NewEngine(addr).Run(context.Background(), target.Request{ID: "a", Method: http.MethodPost, Path: "/"}, func(target.Part) {})
	g.Expect(out.Run).To(Equal(fault.NotRun))
}
