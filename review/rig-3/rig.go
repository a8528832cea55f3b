// Command rig-3 runs one case of the review with script: it starts the routers as processes, and is the platform, the
// engines and the clients itself.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment (brunner-wind).
const (
	memoryMB    = 134
	files       = 4100
	heartbeat   = 1200 * time.Millisecond
	headerBytes = 16384
)

// errHeld is returned by a case whose rule held, errBroken by one whose rule was broken.
var errBroken = errors.New("rule broken")

// rig is what a case runs in.
type rig struct {
	dir, repo string
	trouble   bool
	store     *store
	engines   []*engine
	routers   []*router
	closers   []io.Closer
	began     time.Time

	mu     sync.Mutex
	record *os.File
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// freeAddr returns a loopback address that nobody listens on.
func freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// router is a process of the role router.
type router struct {
	name, listen, ready, admin, beacon, settings string
	cmd                                          *exec.Cmd
	done                                         chan error
}

// startRouter starts a router with the command of the deploy file and settings by its template.
func (r *rig) startRouter(name string) (*router, error) {
	p := &router{name: name, listen: freeAddr(), ready: freeAddr(), admin: freeAddr(), beacon: freeAddr(), settings: filepath.Join(r.dir, name+".json")}
	text := fmt.Sprintf(`{"name": %q, "region": "west", "centre": "west-a", "centres": [{"name": "west-a", "region": "west"}, {"name": "west-b", "region": "west"}, {"name": "east-a", "region": "east"}],
"listen": %q, "ready": %q, "admin": %q, "beacon": %q, "store": %q, "memory": %d, "files": %d, "grace": 8, "drain": 2500, "stable": 3000,
"ratio": 0.2, "spare": 52, "span": 10,
"terms": ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","rollout","platform"],
"prefix": false, "expose": 0.1, "leeway": 50}`, name, p.listen, p.ready, p.admin, p.beacon, r.store.addr, memoryMB, files)
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return p, r.start(p)
}

func (r *rig) start(p *router) error {
	out, err := os.OpenFile(filepath.Join(r.dir, p.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	p.cmd = exec.Command(filepath.Join(r.repo, "target/platform"), "serve", "--settings", p.settings)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = r.repo, out, out
	p.cmd.Env = append(os.Environ(), "HICKORYVANE_BOOT="+p.settings)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan error, 1)
	go func(c *exec.Cmd, done chan error) { done <- c.Wait() }(p.cmd, p.done)
	r.routers = append(r.routers, p)
	r.note("router %s started, pid %d", p.name, p.cmd.Process.Pid)
	return nil
}

// awaitReady waits until a router answers 200 at its ready address.
func (r *rig) awaitReady(p *router) error {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		res, err := http.Get("http://" + p.ready + "/hickoryvane/readiness")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			r.note("router %s is ready", p.name)
			return nil
		}
	}
	return fmt.Errorf("router %s is not ready", p.name)
}

// readyRouter starts a router and waits until it is ready. An address may have been taken meanwhile, so it tries again.
func (r *rig) readyRouter(name string) (p *router, err error) {
	for range 3 {
		if p, err = r.startRouter(name); err != nil {
			return nil, err
		}
		if err = r.awaitReady(p); err == nil {
			return p, nil
		}
		_ = p.cmd.Process.Kill() // it may have ended
	}
	return nil, err
}

// stop ends all processes that the rig started.
func (r *rig) stop() {
	for _, p := range r.routers {
		_ = p.cmd.Process.Kill() // it may have ended
	}
	for _, p := range r.routers {
		select {
		case <-p.done:
		case <-time.After(5 * time.Second):
		}
	}
	for _, e := range r.engines {
		e.stop()
	}
	for _, c := range r.closers {
		_ = c.Close()
	}
	if r.store != nil {
		r.store.close()
	}
}

// request is what an engine is asked.
type request struct {
	*http.Request
	id string
	at time.Time
}

// answer is what an engine answers.
type answer struct {
	status int
	header map[string]string
	body   string
	work   time.Duration
}

// engine is a stand-in for an engine that answers one request at a time on a connection.
type engine struct {
	rig                       *rig
	id, service, name, addr   string
	zone                      string
	slots                     int
	born                      int64
	ln                        net.Listener
	handle                    func(request) answer
	mu                        sync.Mutex
	arrivals                  []time.Time
	conns                     map[net.Conn]bool
	silentToStore, registered bool
	ended                     chan struct{}
}

// startEngine starts an engine that registers itself and says so again every heartbeat.
func (r *rig) startEngine(name, service, zone string, slots int, handle func(request) answer) (*engine, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{rig: r, id: "i-" + name, name: name, service: service, zone: zone, addr: ln.Addr().String(), slots: slots, born: time.Now().UnixMilli(), ln: ln, handle: handle, conns: map[net.Conn]bool{}, ended: make(chan struct{})}
	r.engines = append(r.engines, e)
	go e.accept()
	e.register()
	r.note("engine %s of %s registered", e.id, service)
	return e, nil
}

func (e *engine) register() {
	e.rig.store.put("servers", e.id, map[string]any{
		"service": e.service, "address": e.addr, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready",
		"cold-remaining-ms": 0, "sequence": 0, "born": e.born,
	})
}

func (e *engine) accept() {
	for {
		c, err := e.ln.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go e.serve(c)
	}
}

func (e *engine) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.conns, c)
	}()
	in := bufio.NewReaderSize(c, 64<<10)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		q := request{Request: req, id: req.Header.Get("Request-Id"), at: time.Now()}
		a := answer{status: http.StatusMisdirectedRequest}
		if want := req.Header.Get("Expect-Instance"); want == "" || want == e.id {
			e.mu.Lock()
			e.arrivals = append(e.arrivals, q.at)
			e.mu.Unlock()
			a = e.handle(q)
			_ = body
		}
		time.Sleep(a.work)
		var b strings.Builder
		fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nInstance-Id: %s\r\n", a.status, http.StatusText(a.status), q.id, e.id)
		if a.header["Not-Run"] == "" && a.status != http.StatusMisdirectedRequest {
			fmt.Fprintf(&b, "Server-Stamp: %s.%s\r\n", e.id, q.id)
		}
		for k, v := range a.header {
			fmt.Fprintf(&b, "%s: %s\r\n", k, v)
		}
		fmt.Fprintf(&b, "Keep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s", len(a.body), a.body)
		if _, err = io.WriteString(c, b.String()); err != nil {
			return
		}
	}
}

func (e *engine) stop() {
	_ = e.ln.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		_ = c.Close()
	}
}

// arrivalsBetween returns the number of requests that reached the engine in a time.
func (e *engine) arrivalsBetween(from, to time.Time) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, t := range e.arrivals {
		if !t.Before(from) && t.Before(to) {
			n++
		}
	}
	return n
}

// config returns a configuration in the form of PROTOCOL.md with a safe, an unsafe and a streaming route.
func config(version int) map[string]any {
	route := func(name, prefix, kind, service string, timeout, target, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "a.example", "path-prefix": prefix, "kind": kind, "timeout-ms": timeout, "answer-target-ms": target,
			"priority": 1, "service": service, "attempts": attempts, "public": true, "sticky": false, "resumable": false, "gap-target-ms": 400,
		}
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{route("r-safe", "/safe/", "safe", "desk", 2000, 200, 2), route("r-unsafe", "/unsafe/", "unsafe", "desk", 2000, 200, 1), route("r-status", "/status/", "safe", "desk", 2000, 200, 1)},
		"services": []any{map[string]any{"name": "desk", "health-path": "/health", "max-conns": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"header-bytes": headerBytes, "body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []any{},
	}
}

// result is what a client got.
type result struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends a request on a new connection as the given bytes and reads the answer.
func send(addr, text string, timeout time.Duration) (r result) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(timeout))
	if _, err = io.WriteString(c, text); err != nil {
		return result{err: err}
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return result{err: err}
	}
	b, err := io.ReadAll(res.Body)
	return result{status: res.StatusCode, header: res.Header, body: string(b), err: err}
}

func plainRequest(method, path, id string) string {
	s := method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 2000\r\n"
	if method == http.MethodPost {
		s += "Content-Length: 0\r\n"
	}
	return s + "\r\n"
}

var cases = map[string]func(*rig) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	repo, err := os.Getwd()
	if err != nil {
		return 2
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "rig-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		}
	}()
	r := &rig{dir: dir, repo: repo, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	r.note("case %s, with the disruption: %v", name, r.trouble)
	if r.store, err = newStore(); err == nil {
		err = cases[name](r)
	}
	r.stop()
	switch {
	case err == nil:
		r.note("the rule held")
		return 0
	case errors.Is(err, errBroken):
		r.note("%v", err)
		fmt.Println(err)
		return 1
	}
	r.note("the case could not run: %v", err)
	fmt.Println(err)
	return 2
}

func status(r result) string {
	if r.err != nil {
		return r.err.Error()
	}
	return strconv.Itoa(r.status)
}

func jsonText(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(b)
}
