// Package plain is a stand-in for a plain HTTP service, some of whose calls must not run twice.
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

// Faults are the injected faults; the zero value is a healthy service.
type Faults struct {
	// RoutePrefix limits the other faults to paths with this prefix.
	RoutePrefix string `json:"route"`
	// DelayMillis delays the answer of each run; the run is counted before the delay.
	DelayMillis int64 `json:"delay"`
	// FailureRatio is the share of runs that are answered with status 500, from 0 to 1.
	FailureRatio float64 `json:"fail"`
	// CrashAtRun makes the process crash instead of answering this run, counted from 1 since the faults were set; 0
	// means never.
	CrashAtRun int `json:"crash"`
	// CrashMarker makes the process crash in each run whose body contains it.
	CrashMarker string `json:"marker"`
	// DownMillis is how long the service is down after a crash; with ExitOnCrash the process ends instead.
	DownMillis  int64 `json:"down"`
	ExitOnCrash bool  `json:"exit"`
}

// RunCounts counts the calls that reached the service, including those that failed or crashed it.
type RunCounts struct {
	// ByKey and ByID count by the headers Idempotency-Key and X-Request-Id, ByRoute by method and path.
	ByKey   map[string]int `json:"keys"`
	ByID    map[string]int `json:"ids"`
	ByRoute map[string]int `json:"routes"`
}

// Answer is the answer to a call. BodyHash, the hash of the body of the call, lets a client check that the answer
// belongs to its own call.
type Answer struct {
	Route    string `json:"route"`
	Key      string `json:"key"`
	ID       string `json:"id"`
	BodyHash string `json:"sum"`
	Version  string `json:"version"`
	// RunNumber counts the runs of this process, from 1.
	RunNumber int `json:"run"`
}

// Service is an http.Handler that counts its runs.
type Service struct {
	mux     *http.ServeMux
	version string
	onCrash func(down time.Duration, exit bool)

	mu        sync.Mutex
	counts    RunCounts
	runCount  int
	faults    Faults
	downUntil time.Time
	rnd       *rand.Rand
}

// Option sets one property of a Service.
type Option func(*Service)

// WithVersion sets the version that is given in answers.
func WithVersion(v string) Option { return func(s *Service) { s.version = v } }

// WithCrashHandler sets the function that is called at a crash to close the listener and all connections for a time;
// see host.Host.Crash. Without it a crashed service closes each connection that reaches it.
func WithCrashHandler(f func(down time.Duration, exit bool)) Option {
	return func(s *Service) { s.onCrash = f }
}

// New returns a service whose random choices depend on seed only.
func New(seed uint64, opts ...Option) *Service {
	s := &Service{
		mux: http.NewServeMux(), version: "v1", rnd: rand.New(rand.NewPCG(seed, 3)),
		counts: RunCounts{ByKey: map[string]int{}, ByID: map[string]int{}, ByRoute: map[string]int{}},
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

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns a copy of the counters.
func (s *Service) Runs() RunCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return RunCounts{maps.Clone(s.counts.ByKey), maps.Clone(s.counts.ByID), maps.Clone(s.counts.ByRoute)}
}

// outcome is how one run ends under the injected faults.
type outcome struct {
	answer            Answer
	delay             time.Duration
	down, fail, crash bool
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	reply.EchoID(w, r)
	body, ok := reply.ReadBody(w, r)
	if !ok {
		return
	}
	o := s.decideOutcome(r, body)
	if o.down {
		reply.Abort(w)
		return
	}
	time.Sleep(o.delay) // the run continues if the client disconnects
	switch {
	case o.crash:
		s.beginCrash()
		reply.Abort(w)
	case o.fail:
		reply.Error(w, http.StatusInternalServerError, "failure as ordered")
	default:
		reply.JSON(w, http.StatusOK, o.answer)
	}
}

// decideOutcome counts a call and decides how it ends.
func (s *Service) decideOutcome(r *http.Request, body []byte) (o outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.downUntil) {
		return outcome{down: true}
	}
	o.answer = s.countRun(r, body)
	f := &s.faults
	if !strings.HasPrefix(r.URL.Path, f.RoutePrefix) {
		return o
	}
	o.delay = time.Duration(f.DelayMillis) * time.Millisecond
	o.fail = s.rnd.Float64() < f.FailureRatio
	if f.CrashAtRun > 0 {
		f.CrashAtRun--
		o.crash = f.CrashAtRun == 0
	}
	if f.CrashMarker != "" && strings.Contains(string(body), f.CrashMarker) {
		o.crash = true
	}
	return o
}

func (s *Service) countRun(r *http.Request, body []byte) Answer {
	a := Answer{
		Route: r.Method + " " + r.URL.Path, Key: r.Header.Get("Idempotency-Key"), ID: r.Header.Get("X-Request-Id"),
		BodyHash: fmt.Sprintf("%016x", xxhash.Sum64(body)), Version: s.version,
	}
	s.runCount++
	a.RunNumber = s.runCount
	s.counts.ByRoute[a.Route]++
	if a.Key != "" {
		s.counts.ByKey[a.Key]++
	}
	if a.ID != "" {
		s.counts.ByID[a.ID]++
	}
	return a
}

// beginCrash starts a crash. The counters are kept, so that tests can read them.
func (s *Service) beginCrash() {
	s.mu.Lock()
	down, exit := time.Duration(s.faults.DownMillis)*time.Millisecond, s.faults.ExitOnCrash
	s.downUntil = time.Now().Add(down)
	s.mu.Unlock()
	if s.onCrash != nil {
		s.onCrash(down, exit)
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
	if reply.ReadJSON(w, r, &f) {
		s.SetFaults(f)
		reply.JSON(w, http.StatusOK, f)
	}
}
