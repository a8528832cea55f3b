// Command rig plays one case of the review: it starts the project's program with stand-ins of its own for the platform,
// the engines and the clients, on loopback addresses and the real clock.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// outcome is how a case ended; its value is the exit code.
type outcome int

const (
	held   outcome = 0
	broken outcome = 1
	failed outcome = 2
)

// cases are the cases by name. trouble is false for a run without the disruption.
var cases = map[string]func(s *site, trouble bool) outcome{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(int(failed))
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(failed))
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(failed))
	}
	s := &site{dir: dir, rec: rec, clients: map[string]*client{}}
	trouble := os.Getenv("TROUBLE") != "0"
	out := cases[os.Args[1]](s, trouble)
	s.close()
	rec.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	fmt.Printf("%s, TROUBLE=%v: %s\n", os.Args[1], trouble, [...]string{"the rule held", "the rule was broken", "the case could not run"}[out])
	os.Exit(int(out))
}

// site is a small deployment like brunner-wind.
type site struct {
	dir     string
	rec     *record
	store   *objectStore
	engines []*engine
	fronts  []*front
	ingress *ingress
	clients map[string]*client
	version int
	stop    chan struct{}
	wg      sync.WaitGroup

	mu      sync.Mutex
	results []result
	sent    int
}

const (
	host   = "desk.example"
	apiKey = "k3y0fth3f1rstt3nant"
)

var zones = []struct{ zone, region string }{{"west-a", "west"}, {"east-a", "east"}, {"west-b", "west"}}

// say prints a line and records it.
func (s *site) say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	s.rec.add(format, args...)
}

// configure writes the next configuration: the five kinds of requests of brunner-wind.
func (s *site) configure(idleTimeoutMs int) {
	s.version += 3
	route := func(name, kind, service string, timeout, aim, attempts, priority int, resumable bool) map[string]any {
		r := map[string]any{
			"name": name, "host": host, "path-prefix": "/" + name + "/", "kind": kind, "service": service, "timeout-ms": timeout,
			"answer-target-ms": aim, "attempts": attempts, "priority": priority,
		}
		if kind == "streaming" {
			r["gap-target-ms"], r["sticky"], r["resumable"] = 400, true, resumable
		}
		return r
	}
	s.store.put("config", "main", map[string]any{
		"version": s.version,
		"routes": []any{
			route("site-assessment", "streaming", "model-pool", 15_000, 600, 1, 0, false),
			route("hire-answer", "streaming", "model-pool", 12_000, 400, 2, 1, true),
			route("photo-tag", "streaming", "model-pool", 3000, 500, 1, 2, false),
			route("book-charge", "unsafe", "rental-desk", 1000, 200, 1, 2, false),
			route("stock-lookup", "safe", "rental-desk", 1000, 200, 2, 2, false),
		},
		"services": []any{
			map[string]any{"name": "model-pool", "max-conns": 360, "engine": map[string]any{"slots": 11, "stride": 6}},
			map[string]any{"name": "rental-desk", "max-conns": 96},
		},
		"limits":  map[string]any{"header-bytes": 65536, "body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": idleTimeoutMs},
		"tenants": []any{map[string]any{"name": "hule930", "api-keys": []string{apiKey}, "unit": "tokens", "rate-per-s": 0, "burst": 0, "plain-tokens": 200}},
	})
}

// addEngines starts n engines of a service and registers them.
func (s *site) addEngines(service string, n, slots int, set func(i int, e *engine)) error {
	for i := range n {
		e, err := newEngine(fmt.Sprintf("i-%s-%d", service[:5], i), service, zones[i%len(zones)].zone, slots, s.rec)
		if err != nil {
			return err
		}
		set(i, e)
		s.engines = append(s.engines, e)
		s.store.put("servers", e.id, e.registration("ready"))
	}
	return nil
}

// begin starts the store and the engines, and writes the configuration.
func (s *site) begin() (err error) {
	s.stop = make(chan struct{})
	if s.store, err = newStore(); err == nil {
		err = s.addSheetEngines()
	}
	s.configure(30_000)
	return err
}

// startFronts starts one front in each zone and waits until all are in rotation.
func (s *site) startFronts(memoryMB float64) bool {
	for i, z := range zones {
		f := newFront(s.dir, "front-"+z.zone+"-1", z.zone, z.region, s.store.addr, memoryMB, s.rec)
		f.core = os.Getpid() + i // other cases may run at the same time
		s.fronts = append(s.fronts, f)
	}
	s.ingress = &ingress{fronts: s.fronts}
	for _, f := range s.fronts {
		if err := f.start(); err != nil {
			s.say("start: %v", err)
			return false
		}
	}
	go s.ingress.run(s.stop)
	for _, z := range zones {
		s.clients[z.zone] = &client{zone: z.zone, g: s.ingress, rec: s.rec}
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if s.ingress.ready() {
			return true
		}
	}
	s.say("the fronts are not ready")
	return false
}

// send sends a request in the background.
func (s *site) send(zone string, q request) {
	s.wg.Go(func() {
		res := s.clients[zone].do(q)
		s.mu.Lock()
		s.results = append(s.results, res)
		s.mu.Unlock()
	})
}

// runOf returns the run of a request and its engine.
func (s *site) runOf(id string) (x run, e *engine) {
	for _, e := range s.engines {
		e.mu.Lock()
		r, ok := e.runs[id]
		if ok {
			x = *r
		}
		e.mu.Unlock()
		if ok {
			return x, e
		}
	}
	return run{}, nil
}

func (s *site) close() {
	if s.stop != nil {
		close(s.stop)
	}
	for _, f := range s.fronts {
		f.close()
	}
	for _, e := range s.engines {
		_ = e.srv.Close()
	}
	if s.store != nil {
		_ = s.store.srv.Close()
	}
	for _, f := range s.fronts {
		if os.Getenv("KEEP") != "" {
			fmt.Println(filepath.Base(f.log), "peak MB", f.peakMB)
		}
	}
}
