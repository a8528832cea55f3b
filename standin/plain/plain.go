// Package plain is a stand-in for a plain HTTP service some of whose calls must not run twice.
package plain

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickoryvane.example/standin/reply"
)

// Faults are the test switches; the zero value is a healthy service.
type Faults struct {
	// Route limits the other switches to paths with this prefix.
	Route string `json:"route"`
	// Delay is added to each run, in milliseconds, after it was counted.
	Delay int64 `json:"delay"`
	// Fail is the share of runs that are answered with status 500, from 0 to 1.
	Fail float64 `json:"fail"`
	// Crash is the number of next runs after which the process crashes without an answer.
	Crash int `json:"crash"`
	// Marker makes each run crash whose body contains it.
	Marker string `json:"marker"`
	// Down is the time in milliseconds for which a crash lasts; Exit ends the process instead.
	Down int64 `json:"down"`
	Exit bool  `json:"exit"`
}

// Runs counts the calls that reached the service, including those that failed or crashed it.
type Runs struct {
	// Keys and IDs count by Idempotency-Key and X-Request-Id; Routes by method and path.
	Keys   map[string]int `json:"keys"`
	IDs    map[string]int `json:"ids"`
	Routes map[string]int `json:"routes"`
}

// Answer is what a call returns. Sum lets a caller check that the answer is to its own call.
type Answer struct {
	Route   string `json:"route"`
	Key     string `json:"key"`
	ID      string `json:"id"`
	Sum     string `json:"sum"`
	Version string `json:"version"`
	// Run numbers the runs of this process.
	Run int `json:"run"`
}

// Service is a http.Handler.
type Service struct {
	mux     *http.ServeMux
	version string
	crash   func(down time.Duration, exit bool)

	mu        sync.Mutex
	runs      Runs
	n         int
	faults    Faults
	downUntil time.Time
	rnd       *rand.Rand
}

// Option sets one property of a Service.
type Option func(*Service)

// Version sets the version that answers name.
func Version(v string) Option { return func(s *Service) { s.version = v } }

// OnCrash sets a function that closes the listener and all connections for a time; see host.Host.Crash.
// Without it a crashed service closes each connection that reaches it.
func OnCrash(f func(down time.Duration, exit bool)) Option { return func(s *Service) { s.crash = f } }

// New returns a service whose random choices depend on seed only.
func New(seed uint64, opts ...Option) *Service {
	s := &Service{
		mux: http.NewServeMux(), version: "v1", rnd: rand.New(rand.NewPCG(seed, 3)),
		runs: Runs{Keys: map[string]int{}, IDs: map[string]int{}, Routes: map[string]int{}},
	}
	for _, f := range opts {
		f(s)
	}
	s.mux.HandleFunc("GET /runs", s.getRuns)
	s.mux.HandleFunc("POST /faults", s.postFaults)
	s.mux.HandleFunc("GET /healthz", s.getHealth)
	s.mux.HandleFunc("/", s.serve)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Set replaces the test switches.
func (s *Service) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns a copy of the counters.
func (s *Service) Runs() Runs {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Runs{maps.Clone(s.runs.Keys), maps.Clone(s.runs.IDs), maps.Clone(s.runs.Routes)}
}

// outcome is what the switches make of one run.
type outcome struct {
	answer            Answer
	delay             time.Duration
	down, fail, crash bool
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, ok := reply.Body(w, r)
	if !ok {
		return
	}
	o := s.run(r, body)
	if o.down {
		reply.Abort(w)
		return
	}
	time.Sleep(o.delay) // the run goes on when the caller leaves
	switch {
	case o.crash:
		s.fall()
		reply.Abort(w)
	case o.fail:
		reply.Error(w, http.StatusInternalServerError, "failure as ordered")
	default:
		reply.JSON(w, http.StatusOK, o.answer)
	}
}

// run counts a call and decides how it ends.
func (s *Service) run(r *http.Request, body []byte) (o outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.downUntil) {
		return outcome{down: true}
	}
	o.answer = s.count(r, body)
	f := &s.faults
	if !strings.HasPrefix(r.URL.Path, f.Route) {
		return o
	}
	o.delay = time.Duration(f.Delay) * time.Millisecond
	o.fail = s.rnd.Float64() < f.Fail
	if f.Crash > 0 {
		f.Crash--
		o.crash = f.Crash == 0
	}
	if f.Marker != "" && strings.Contains(string(body), f.Marker) {
		o.crash = true
	}
	return o
}

func (s *Service) count(r *http.Request, body []byte) Answer {
	a := Answer{
		Route: r.Method + " " + r.URL.Path, Key: r.Header.Get("Idempotency-Key"), ID: r.Header.Get("X-Request-Id"),
		Sum: fmt.Sprintf("%016x", xxhash.Sum64(body)), Version: s.version,
	}
	s.n++
	a.Run = s.n
	s.runs.Routes[a.Route]++
	if a.Key != "" {
		s.runs.Keys[a.Key]++
	}
	if a.ID != "" {
		s.runs.IDs[a.ID]++
	}
	return a
}

// fall begins a crash. The counters stay, for tests to read.
func (s *Service) fall() {
	s.mu.Lock()
	down, exit := time.Duration(s.faults.Down)*time.Millisecond, s.faults.Exit
	s.downUntil = time.Now().Add(down)
	s.mu.Unlock()
	if s.crash != nil {
		s.crash(down, exit)
	}
}

func (s *Service) getRuns(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, http.StatusOK, s.Runs())
}

func (s *Service) getHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	down := time.Now().Before(s.downUntil)
	s.mu.Unlock()
	if down {
		reply.Abort(w)
		return
	}
	reply.JSON(w, http.StatusOK, map[string]string{"status": "ok"})
}

func (s *Service) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if reply.Read(w, r, &f) {
		s.Set(f)
		reply.JSON(w, http.StatusOK, f)
	}
}
