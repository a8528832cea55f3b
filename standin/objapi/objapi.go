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
const defaultWatchDuration = 5 * time.Minute

// Faults are the test switches.
type Faults struct {
	// Outage answers all calls with status 503 and ends watches.
	Outage bool `json:"outage"`
	// Closed closes connections without an answer and without effect.
	CloseConnections bool `json:"closed"`
	// Delay is added before each call takes effect, in milliseconds, even if its caller leaves.
	DelayMillis int64 `json:"delay"`
	// Lost is the number of next writes that take effect but are not answered.
	UnansweredWrites int `json:"lost"`
	// Forget drops the history once, so that older watches are answered with status 410.
	DropHistory bool `json:"forget"`
}

// API is a http.Handler.
type API struct {
	store                     *memory.Store
	mux                       *http.ServeMux
	readLimiter, writeLimiter *rate.Limiter

	mu     sync.Mutex
	faults Faults
	// stats counts calls by verb and kind of object; the verb "limited" counts answers 429.
	callCounts map[string]map[string]int
}

// Option sets one property of an API.
type Option func(*API)

// Limits sets the calls allowed per second, which are also the bursts.
func WithRateLimits(reads, writes int) Option {
	return func(a *API) {
		a.readLimiter = rate.NewLimiter(rate.Limit(reads), reads)
		a.writeLimiter = rate.NewLimiter(rate.Limit(writes), writes)
	}
}

// New returns an empty API that allows 2,000 reads/s and 400 writes/s.
func New(opts ...Option) *API {
	a := &API{store: memory.New(), mux: http.NewServeMux(), callCounts: map[string]map[string]int{}}
	WithRateLimits(2000, 400)(a)
	for _, f := range opts {
		f(a)
	}
	const all, one = store.GroupPath + "/{sort}", store.GroupPath + "/{sort}/{name}"
	a.mux.HandleFunc("GET "+one, a.withFaults("get", a.readLimiter, a.get))
	a.mux.HandleFunc("GET "+all, a.listOrWatch())
	a.mux.HandleFunc("POST "+all, a.withFaults("create", a.writeLimiter, a.create))
	a.mux.HandleFunc("PUT "+one, a.withFaults("update", a.writeLimiter, a.update))
	a.mux.HandleFunc("DELETE "+one, a.withFaults("delete", a.writeLimiter, a.remove))
	a.mux.HandleFunc("GET /stats", a.getStats)
	a.mux.HandleFunc("GET /faults", a.getFaults)
	a.mux.HandleFunc("POST /faults", a.postFaults)
	return a
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

// counted applies limits and faults to a call.
func (a *API) withFaults(verb string, limit *rate.Limiter, f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		sort := r.PathValue("sort")
		a.countCall(verb, sort)
		a.mu.Lock()
		faults := a.faults
		a.mu.Unlock()
		switch {
		case faults.CloseConnections:
			reply.Abort(w)
			return
		case faults.Outage:
			answerFailure(w, http.StatusServiceUnavailable, "ServiceUnavailable")
			return
		case !limit.Allow():
			a.countCall("limited", sort)
			w.Header().Set("Retry-After", "1")
			answerFailure(w, http.StatusTooManyRequests, "TooManyRequests")
			return
		}
		time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
		f(w, r)
	}
}

func (a *API) countCall(verb, sort string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.callCounts[verb] == nil {
		a.callCounts[verb] = map[string]int{}
	}
	a.callCounts[verb][sort]++
}

func (a *API) get(w http.ResponseWriter, r *http.Request) {
	o, err := a.store.Get(r.Context(), r.PathValue("sort"), r.PathValue("name"))
	answerObject(w, http.StatusOK, o, err)
}

func (a *API) create(w http.ResponseWriter, r *http.Request) {
	if o, ok := readObject(w, r); ok {
		o, err := a.store.Create(r.Context(), o)
		a.answerWrite(w, http.StatusCreated, o, err)
	}
}

func (a *API) update(w http.ResponseWriter, r *http.Request) {
	if o, ok := readObject(w, r); ok {
		o.Name = r.PathValue("name")
		o, err := a.store.Update(r.Context(), o)
		a.answerWrite(w, http.StatusOK, o, err)
	}
}

func (a *API) remove(w http.ResponseWriter, r *http.Request) {
	var body store.DeleteOptions
	if !reply.ReadJSON(w, r, &body) {
		return
	}
	o := store.Object{Kind: r.PathValue("sort"), Name: r.PathValue("name"), Rev: body.Preconditions.Rev}
	a.answerWrite(w, http.StatusOK, o, a.store.Delete(r.Context(), o))
}

// wrote answers a write, unless its answer is to be lost.
func (a *API) answerWrite(w http.ResponseWriter, code int, o store.Object, err error) {
	a.mu.Lock()
	lose := err == nil && a.faults.UnansweredWrites > 0
	if lose {
		a.faults.UnansweredWrites--
	}
	a.mu.Unlock()
	if lose {
		reply.Abort(w)
		return
	}
	answerObject(w, code, o, err)
}

// read returns the object in a body.
func readObject(w http.ResponseWriter, r *http.Request) (o store.Object, ok bool) {
	var i store.Item
	if !reply.ReadJSON(w, r, &i) {
		return o, false
	}
	o = i.Object()
	o.Kind = r.PathValue("sort")
	if len(o.Value) > store.ValueBytesMax {
		answerFailure(w, http.StatusRequestEntityTooLarge, "RequestEntityTooLarge")
		return o, false
	}
	return o, true
}

func answerObject(w http.ResponseWriter, code int, o store.Object, err error) {
	switch {
	case err == nil:
		reply.JSON(w, code, store.ItemOf(o))
	case errors.Is(err, store.ErrNotFound):
		answerFailure(w, http.StatusNotFound, "NotFound")
	case errors.Is(err, store.ErrExists):
		answerFailure(w, http.StatusConflict, store.ReasonExists)
	case errors.Is(err, store.ErrConflict):
		answerFailure(w, http.StatusConflict, store.ReasonConflict)
	case errors.Is(err, store.ErrRevTooOld):
		answerFailure(w, http.StatusGone, "Expired")
	default:
		answerFailure(w, http.StatusServiceUnavailable, "ServiceUnavailable")
	}
}

func answerFailure(w http.ResponseWriter, code int, reason string) {
	reply.JSON(w, code, failureStatus(code, reason))
}

func failureStatus(code int, reason string) store.Status {
	return store.Status{Kind: "Status", Status: "Failure", Reason: reason, Message: http.StatusText(code), Code: code}
}

func (a *API) getStats(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	b, _ := json.Marshal(a.callCounts) // maps of counters always encode
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
	if reply.ReadJSON(w, r, &f) {
		a.SetFaults(f)
		reply.JSON(w, http.StatusOK, f)
	}
}

// Set replaces the test switches.
func (a *API) SetFaults(f Faults) {
	if f.DropHistory {
		a.store.DropHistory()
	}
	a.mu.Lock()
	a.faults = f
	a.mu.Unlock()
	a.store.SetOutage(f.Outage || f.CloseConnections)
}

func watchDuration(r *http.Request) time.Duration {
	n, err := strconv.Atoi(r.URL.Query().Get("timeoutSeconds"))
	if err != nil || n <= 0 {
		return defaultWatchDuration
	}
	return time.Duration(n) * time.Second
}
