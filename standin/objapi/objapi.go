// Package objapi is a stand-in for the platform's object API: the published conventions of the
// Kubernetes API for custom objects, as far as package store needs them, with limits and faults.
package objapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"hickoryvane.example/core/store"
	"hickoryvane.example/core/store/memory"
	"hickoryvane.example/standin/reply"
)

// watchMax ends watches whose caller states no length.
const watchMax = 5 * time.Minute

// Faults are the test switches.
type Faults struct {
	// Outage answers all calls with status 503 and ends watches.
	Outage bool `json:"outage"`
	// Closed closes connections without an answer and without effect.
	Closed bool `json:"closed"`
	// Delay is added before each call takes effect, in milliseconds, even if its caller leaves.
	Delay int64 `json:"delay"`
	// Lost is the number of next writes that take effect but are not answered.
	Lost int `json:"lost"`
	// Forget drops the history once, so that older watches are answered with status 410.
	Forget bool `json:"forget"`
}

// API is a http.Handler.
type API struct {
	m             *memory.Store
	mux           *http.ServeMux
	reads, writes *rate.Limiter

	mu     sync.Mutex
	faults Faults
	// stats counts calls by verb and kind of object; the verb "limited" counts answers 429.
	stats map[string]map[string]int
}

// Option sets one property of an API.
type Option func(*API)

// Limits sets the calls allowed per second, which are also the bursts.
func Limits(reads, writes int) Option {
	return func(a *API) {
		a.reads = rate.NewLimiter(rate.Limit(reads), reads)
		a.writes = rate.NewLimiter(rate.Limit(writes), writes)
	}
}

// New returns an empty API that allows 2,000 reads/s and 400 writes/s.
func New(opts ...Option) *API {
	a := &API{m: memory.New(), mux: http.NewServeMux(), stats: map[string]map[string]int{}}
	Limits(2000, 400)(a)
	for _, f := range opts {
		f(a)
	}
	const all, one = store.GroupPath + "/{sort}", store.GroupPath + "/{sort}/{name}"
	a.mux.HandleFunc("GET "+one, a.counted("get", a.reads, a.get))
	a.mux.HandleFunc("GET "+all, a.listOrWatch())
	a.mux.HandleFunc("POST "+all, a.counted("create", a.writes, a.create))
	a.mux.HandleFunc("PUT "+one, a.counted("update", a.writes, a.update))
	a.mux.HandleFunc("DELETE "+one, a.counted("delete", a.writes, a.remove))
	a.mux.HandleFunc("GET /stats", a.getStats)
	a.mux.HandleFunc("GET /faults", a.getFaults)
	a.mux.HandleFunc("POST /faults", a.postFaults)
	return a
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

// counted applies limits and faults to a call.
func (a *API) counted(verb string, limit *rate.Limiter, f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		sort := r.PathValue("sort")
		a.count(verb, sort)
		a.mu.Lock()
		faults := a.faults
		a.mu.Unlock()
		switch {
		case faults.Closed:
			reply.Abort(w)
			return
		case faults.Outage:
			fail(w, http.StatusServiceUnavailable, "ServiceUnavailable")
			return
		case !limit.Allow():
			a.count("limited", sort)
			w.Header().Set("Retry-After", "1")
			fail(w, http.StatusTooManyRequests, "TooManyRequests")
			return
		}
		time.Sleep(time.Duration(faults.Delay) * time.Millisecond)
		f(w, r)
	}
}

func (a *API) count(verb, sort string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stats[verb] == nil {
		a.stats[verb] = map[string]int{}
	}
	a.stats[verb][sort]++
}

func (a *API) get(w http.ResponseWriter, r *http.Request) {
	o, err := a.m.Get(r.Context(), r.PathValue("sort"), r.PathValue("name"))
	answer(w, http.StatusOK, o, err)
}

func (a *API) create(w http.ResponseWriter, r *http.Request) {
	if o, ok := read(w, r); ok {
		o, err := a.m.Create(r.Context(), o)
		a.wrote(w, http.StatusCreated, o, err)
	}
}

func (a *API) update(w http.ResponseWriter, r *http.Request) {
	if o, ok := read(w, r); ok {
		o.Name = r.PathValue("name")
		o, err := a.m.Update(r.Context(), o)
		a.wrote(w, http.StatusOK, o, err)
	}
}

func (a *API) remove(w http.ResponseWriter, r *http.Request) {
	var body store.DeleteOptions
	if !reply.Read(w, r, &body) {
		return
	}
	o := store.Object{Kind: r.PathValue("sort"), Name: r.PathValue("name"), Rev: body.Preconditions.Rev}
	a.wrote(w, http.StatusOK, o, a.m.Delete(r.Context(), o))
}

// wrote answers a write, unless its answer is to be lost.
func (a *API) wrote(w http.ResponseWriter, code int, o store.Object, err error) {
	a.mu.Lock()
	lose := err == nil && a.faults.Lost > 0
	if lose {
		a.faults.Lost--
	}
	a.mu.Unlock()
	if lose {
		reply.Abort(w)
		return
	}
	answer(w, code, o, err)
}

// read returns the object in a body.
func read(w http.ResponseWriter, r *http.Request) (o store.Object, ok bool) {
	var i store.Item
	if !reply.Read(w, r, &i) {
		return o, false
	}
	o = i.Object()
	o.Kind = r.PathValue("sort")
	if len(o.Value) > store.ValueBytesMax {
		fail(w, http.StatusRequestEntityTooLarge, "RequestEntityTooLarge")
		return o, false
	}
	return o, true
}

func answer(w http.ResponseWriter, code int, o store.Object, err error) {
	switch {
	case err == nil:
		reply.JSON(w, code, store.ItemOf(o))
	case errors.Is(err, store.ErrNotFound):
		fail(w, http.StatusNotFound, "NotFound")
	case errors.Is(err, store.ErrExists):
		fail(w, http.StatusConflict, store.ReasonExists)
	case errors.Is(err, store.ErrConflict):
		fail(w, http.StatusConflict, store.ReasonConflict)
	case errors.Is(err, store.ErrRevTooOld):
		fail(w, http.StatusGone, "Expired")
	default:
		fail(w, http.StatusServiceUnavailable, "ServiceUnavailable")
	}
}

func fail(w http.ResponseWriter, code int, reason string) {
	reply.JSON(w, code, failure(code, reason))
}

func failure(code int, reason string) store.Status {
	return store.Status{Kind: "Status", Status: "Failure", Reason: reason, Message: http.StatusText(code), Code: code}
}

func (a *API) getStats(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	b, _ := json.Marshal(a.stats) // maps of counters always encode
	a.mu.Unlock()
	reply.JSON(w, http.StatusOK, json.RawMessage(b))
}

func (a *API) getFaults(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	f := a.faults
	a.mu.Unlock()
	reply.JSON(w, http.StatusOK, f)
}

func (a *API) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if reply.Read(w, r, &f) {
		a.Set(f)
		reply.JSON(w, http.StatusOK, f)
	}
}

// Set replaces the test switches.
func (a *API) Set(f Faults) {
	if f.Forget {
		a.m.DropHistory()
	}
	a.mu.Lock()
	a.faults = f
	a.mu.Unlock()
	a.m.SetOutage(f.Outage || f.Closed)
}

func seconds(r *http.Request) time.Duration {
	n, err := strconv.Atoi(r.URL.Query().Get("timeoutSeconds"))
	if err != nil || n <= 0 {
		return watchMax
	}
	return time.Duration(n) * time.Second
}
