package direct_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/event"
	"hickoryvane.example/core/fleet"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/meter"
	"hickoryvane.example/core/moves"
	"hickoryvane.example/core/prefix"
	"hickoryvane.example/core/prop"
	"hickoryvane.example/core/route"
	"hickoryvane.example/core/sched"
	"hickoryvane.example/core/store"
	"hickoryvane.example/core/store/memory"
	"hickoryvane.example/router/direct"
)

// dialect implements direct.Dialect with a small set of headers.
type dialect struct{}

func (dialect) Call(h http.Header) direct.Call {
	c := direct.Call{ID: ident.RequestID(h.Get("X-Id")), Key: h.Get("X-Key")}
	if n, err := strconv.Atoi(h.Get("X-Left")); err == nil {
		c.Timeout = time.Duration(n) * time.Millisecond
	}
	if n, err := strconv.Atoi(h.Get("X-Length")); err == nil {
		c.OutputHint = ident.Tokens(n)
	}
	if n, err := strconv.Atoi(h.Get("X-Tokens")); err == nil {
		c.HasTokenCounts, c.Prompt = true, ident.Tokens(n)
	}
	for _, p := range strings.Fields(h.Get("X-Parts")) {
		c.Parts = append(c.Parts, prefix.Part{ID: ident.PromptPart(p), Tokens: 100})
	}
	return c
}

func (dialect) StatePath() string { return statePath }

// State reads a state as two numbers: those of TargetState.Waiting and Free.
func (dialect) State(_ int, body []byte) (s sched.TargetState) {
	n, err := fmt.Sscan(string(body), &s.Waiting, &s.Free)
	s.Known = err == nil && n == 2
	return s
}

func (dialect) SetForwardHeaders(h http.Header, f direct.Forward) {
	h.Del("X-Key")
	h.Set("X-Left", strconv.FormatInt(f.Remaining.Milliseconds(), 10))
	h.Set("X-Target", string(f.Target))
	if f.LastEventID != "" {
		h.Set("Last-Event-Id", f.LastEventID)
	}
}

func (dialect) Answer(status int, h http.Header) direct.Answer {
	a := direct.Answer{ID: ident.RequestID(h.Get("X-Id")), NotRun: h.Get("X-Refused") != "", Misdirected: status == 421}
	a.Leaving = h.Get("X-Leaving") != ""
	if n, err := strconv.ParseFloat(h.Get("X-Pause"), 64); err == nil && status == 503 {
		a.Pause = time.Duration(n * float64(time.Second))
	}
	if n, err := strconv.Atoi(h.Get("X-Cold")); err == nil {
		a.Cold = time.Duration(n) * time.Millisecond
	}
	if n, err := strconv.ParseFloat(h.Get("X-Rate"), 64); err == nil {
		a.HasRate, a.Rate = true, n
	}
	return a
}

// catalogue implements direct.Catalogue; routing tables and targets are JSON of their Go types.
type catalogue struct{}

type config struct {
	Generation ident.Generation
	Routes     []route.Route
	Services   []route.Service
	Accounts   []route.Account
	Limits     route.Limits
}

func (catalogue) ConfigObject() (kind, name string) { return "config", "main" }
func (catalogue) TargetKind() string                { return "targets" }

func (catalogue) DecodeTable(o store.Object) (*route.Table, error) {
	var c config
	if err := json.Unmarshal(o.Value, &c); err != nil {
		return nil, err
	}
	return route.New(c.Generation, c.Routes, c.Services, c.Accounts, c.Limits), nil
}

func (catalogue) DecodeTarget(o store.Object) (t fleet.Target, err error) {
	err = json.Unmarshal(o.Value, &t)
	t.Rev = o.Rev
	return t, err
}

func (catalogue) RolloutKind() string { return "orders" }

func (catalogue) DecodeRollout(o store.Object) (req moves.Request, s moves.State, err error) {
	err = json.Unmarshal(o.Value, &req)
	if state, ok := strings.CutPrefix(string(o.Status), string(req.To)+": "); ok {
		s = moves.State(state)
	}
	return req, s, err
}

func (catalogue) EvacuationKind() string { return "evacuations" }

func (catalogue) DecodeEvacuation(o store.Object) (ident.DataCentre, error) {
	return ident.DataCentre(o.Name), nil
}

func (catalogue) EncodeState(req moves.Request, s moves.State) []byte {
	return []byte(string(req.To) + ": " + string(s))
}

// env is a router with a store in memory and scripted targets.
type env struct {
	g     *WithT
	store *memory.Store
	cfg   conf.Direct
	stop  context.CancelFunc
	done  chan error
	log   *safeBuffer
	// targets are those that startRouter registered.
	targets []*scriptedTarget
}

type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *safeBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// freeAddr returns an address on which nothing listens.
func freeAddr(g *WithT) string {
	addr, err := prop.FreeAddr()
	g.Expect(err).NotTo(HaveOccurred())
	return addr
}

func routes() []route.Route {
	share := []route.Share{{Service: "s", Weight: 1}}
	r := func(name string, k route.Kind, attempts int, resume bool) route.Route {
		return route.Route{
			Name: ident.Route(name), Host: "h.example", Prefix: "/" + name + "/", Kind: k, Attempts: attempts, Resumable: resume,
			Timeout: 3 * time.Second, FirstEventGoal: 300 * time.Millisecond, EventGapGoal: 100 * time.Millisecond, Shares: share, Public: true,
		}
	}
	return []route.Route{
		r("safe", route.Safe, 2, false), r("unsafe", route.Unsafe, 1, false),
		r("stream", route.Stream, 1, false), r("resume", route.Stream, 2, true),
	}
}

// startRouter runs a router in front of the targets and waits until it is ready.
func startRouter(t *testing.T, targets ...*scriptedTarget) *env {
	e := newEnv(t)
	e.targets = targets
	for _, x := range targets {
		e.registerTarget(x, false)
	}
	e.runRouter(t, e.store)
	return e
}

// newEnv returns an environment without a router; its store has a configuration.
func newEnv(t *testing.T) *env {
	g := NewWithT(t)
	e := &env{g: g, store: memory.New(), done: make(chan error, 1), log: &safeBuffer{}}
	e.cfg = conf.Direct{
		Name: "r1", Region: "a", Centre: "a1", Centres: []conf.Centre{{Name: "a1", Region: "a"}},
		Listen: freeAddr(g), Ready: freeAddr(g), Admin: freeAddr(g), Heartbeat: freeAddr(g),
		GraceSeconds: 1.2, DrainMillis: 2500, RetryRatio: 0.5, ExtraRetries: 20, RetryPeriodSeconds: 10, RecoveryMillis: 3000, ExposureRatio: 0.1, ExtraExposedRequests: 50, ColdRatio: 1.5, ExtraColdRequests: 5,
	}
	e.putObject("config", "main", config{Generation: 1, Routes: routes()})
	return e
}

// runRouter starts a router with the store st and waits until it is ready. The router ends with the test.
func (e *env) runRouter(t *testing.T, st store.StatusStore) {
	m, err := meter.New()
	e.g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	r := direct.New(e.cfg, st, catalogue{}, dialect{}, event.New(e.log, log.InfoLevel), m)
	go func() { e.done <- r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		e.g.Eventually(e.done, 6*time.Second).Should(Receive(BeNil()))
	})
	e.awaitReady()
}

func (e *env) awaitReady() {
	e.g.Eventually(func() int {
		res, err := http.Get("http://" + e.cfg.Ready + "/x")
		if err != nil {
			return 0
		}
		defer func() { _ = res.Body.Close() }()
		return res.StatusCode
	}, 3*time.Second).Should(Equal(200))
}

func (e *env) putObject(kind, name string, v any) {
	b, err := json.Marshal(v)
	e.g.Expect(err).NotTo(HaveOccurred())
	ctx := context.Background()
	old, err := e.store.Get(ctx, kind, name)
	if err != nil {
		_, err = e.store.Create(ctx, store.Object{Kind: kind, Name: name, Value: b})
	} else {
		_, err = e.store.Update(ctx, store.Object{Kind: kind, Name: name, Rev: old.Rev, Value: b})
	}
	e.g.Expect(err).NotTo(HaveOccurred())
}

// registerIn registers a target of a data centre.
func (e *env) registerIn(x *scriptedTarget, c ident.DataCentre) {
	e.putObject("targets", x.id, fleet.Target{ID: ident.TargetID(x.id), Service: "s", Address: x.addr, Centre: c, Slots: 4, Boot: 1})
}

func (e *env) registerTarget(x *scriptedTarget, leaving bool) {
	e.putObject("targets", x.id, fleet.Target{
		ID: ident.TargetID(x.id), Service: "s", Address: x.addr, Centre: "a1", Slots: 4, Leaving: leaving, Boot: 1,
	})
}

// answer is what a caller received.
type answer struct {
	code   int
	header http.Header
	body   string
	err    error
}

var requestIDs struct {
	mu sync.Mutex
	n  int
}

// request sends one request on a new connection.
func (e *env) request(method, path, body string, header ...string) answer {
	requestIDs.mu.Lock()
	requestIDs.n++
	id := fmt.Sprint("id", requestIDs.n)
	requestIDs.mu.Unlock()
	req, err := http.NewRequest(method, "http://"+e.cfg.Listen+path, strings.NewReader(body))
	e.g.Expect(err).NotTo(HaveOccurred())
	req.Host = "h.example"
	req.Header.Set("X-Id", id)
	req.Header.Set("X-Left", "3000")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	res, err := c.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	return answer{code: res.StatusCode, header: res.Header, body: string(b), err: err}
}

// scriptedTarget is a target that records its requests; a script writes the answers.
type scriptedTarget struct {
	id, addr string
	ln       net.Listener
	mu       sync.Mutex
	seen     []*http.Request
	bodies   []string
	// conns counts the connections, usedConns those that carried a request: the router also opens some to check the target.
	conns, usedConns int
	open             []net.Conn
	// state is the answer to a call for the target's state; without one, such a call is not answered.
	state string
}

// statePath is the path of the call for a target's state, which scripts do not see.
const statePath = "/state"

// startTarget starts a target that calls script for each request, with the number of requests so far; it closes
// the connection when script returns false.
func startTarget(t *testing.T, id string, script func(n int, r *http.Request, c net.Conn) (more bool)) *scriptedTarget {
	return startTargetAt(t, id, "127.0.0.1:0", script)
}

// startTargetAt starts a target at an address.
func startTargetAt(t *testing.T, id, addr string, script func(n int, r *http.Request, c net.Conn) (more bool)) *scriptedTarget {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", addr)
	g.Expect(err).NotTo(HaveOccurred())
	x := &scriptedTarget{id: id, addr: ln.Addr().String(), ln: ln}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			x.mu.Lock()
			x.conns++
			x.open = append(x.open, c)
			x.mu.Unlock()
			go x.serveConn(c, script)
		}
	}()
	return x
}

// closeConns closes all connections, as the end of a process does.
func (x *scriptedTarget) closeConns() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.open {
		_ = c.Close()
	}
}

func (x *scriptedTarget) serveConn(c net.Conn, script func(int, *http.Request, net.Conn) bool) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for first := true; ; first = false {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		b, _ := io.ReadAll(req.Body)
		if req.URL.Path == statePath {
			x.answerState(c)
			return
		}
		x.mu.Lock()
		if first {
			x.usedConns++
		}
		x.seen = append(x.seen, req)
		x.bodies = append(x.bodies, string(b))
		n := len(x.seen)
		x.mu.Unlock()
		if !script(n, req, c) {
			return
		}
	}
}

func (x *scriptedTarget) answerState(c net.Conn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.state != "" {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(x.state), x.state)
	}
}

func (x *scriptedTarget) requests() []*http.Request {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]*http.Request(nil), x.seen...)
}

// writeAnswer writes an answer with a Content-Length.
func writeAnswer(c net.Conn, r *http.Request, status int, body string, header ...string) bool {
	h := ""
	for i := 0; i+1 < len(header); i += 2 {
		h += header[i] + ": " + header[i+1] + "\r\n"
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("X-Id"), h, len(body), body)
	return err == nil
}

// writeStreamHead writes the status and headers of a chunked stream.
func writeStreamHead(c net.Conn, r *http.Request) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Id"))
}

func writeChunk(c net.Conn, s string) { _, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(s), s) }

func streamEvent(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }
