package trace

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/pkg/errors"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
)

const (
	oldVersion ident.Version = "v1"
	newVersion ident.Version = "v2"
)

// Spec holds the parameters of a generated trace.
type Spec struct {
	// Deployment is "rekkverk" or "brunner".
	Deployment string
	Title      string
	Seed       uint64
	// Length is the time in which requests arrive, Load the arrival rate relative to the capacity of the engines.
	Length conf.Millis
	Load   float64
	// WarmUp is the time from the start in which the load is WarmUpLoad and requests are not counted.
	WarmUp     conf.Millis
	WarmUpLoad float64
	// Engines overrides the number of engines of the deployment unless zero.
	Engines int
	// AlternateVersions gives every second engine the new version. These engines don't count in the capacity.
	AlternateVersions bool
	// Sessions is the number of sessions among which requests are divided; zero for requests without sessions.
	Sessions     int
	Expectations []Expectation
	// ExtraEvents are added to the generated arrivals, such as bursts and faults.
	ExtraEvents []Event
}

// ErrSpec is returned for parameters from which no trace can be generated.
var ErrSpec = errors.New("invalid parameters of a trace")

// EngineVersion returns the version of the engine with index i. Engines 2n and 2n+1 are of the same hardware
// class, so that each class has engines of both versions.
func (s Spec) EngineVersion(i int) ident.Version {
	if s.AlternateVersions && i%2 == 1 {
		return newVersion
	}
	return oldVersion
}

// Generate generates a trace. Equal parameters give equal traces. Errors wrap ErrSpec or, for invalid ExtraEvents,
// ErrFormat.
func Generate(s Spec) (*Trace, error) {
	m, ok := mixes[s.Deployment]
	if !ok {
		return nil, errors.Wrapf(ErrSpec, "unknown deployment %q", s.Deployment)
	}
	if s.Load <= 0 || s.Length <= 0 || s.WarmUp > 0 && s.WarmUpLoad <= 0 {
		return nil, errors.Wrap(ErrSpec, "load, length or warm-up load is not above 0")
	}
	t := &Trace{Header: m.header(s)}
	for i, k := range m.kinds {
		t.Events = append(t.Events, k.drawArrivals(s, &t.Header, ident.Tier(i))...)
	}
	t.Events = append(t.Events, s.ExtraEvents...)
	slices.SortStableFunc(t.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return t, errors.WithMessage(t.check(), "generate trace")
}

// drawArrivals draws the arrivals of a Poisson process.
func (k requestKind) drawArrivals(s Spec, h *Header, tier ident.Tier) (list []Event) {
	g := rand.New(rand.NewPCG(s.Seed, uint64(tier)+10))
	// gap draws the time in milliseconds from at to the next arrival.
	gap := func(at float64) float64 {
		load := s.Load
		if at < float64(s.WarmUp) {
			load = s.WarmUpLoad
		}
		return g.ExpFloat64() / (k.ratePerSecond(h) * load / 1000)
	}
	for at := gap(0); at < float64(s.Length); at += gap(at) {
		e := k.drawArrival(g, h)
		e.At, e.Tier = conf.Millis(at), tier
		e.ID = ident.RequestID(fmt.Sprintf("%s-%d", k.route, len(list)+1))
		if s.Sessions > 0 {
			e.Session = fmt.Sprintf("s%d", g.IntN(s.Sessions))
		}
		list = append(list, e)
	}
	return list
}

func (k requestKind) drawArrival(g *rand.Rand, h *Header) Event {
	e := Event{
		Kind: Arrival, Service: poolService, Route: k.route, Account: drawAccount(g, h),
		Router: h.Routers[g.IntN(len(h.Routers))].Name,
		Prompt: drawTokens(g, k.prompt), Output: drawTokens(g, k.output),
	}
	if k.prefixCount > 0 {
		e.Prefix, e.Shared = fmt.Sprintf("%s%d", k.route, g.IntN(k.prefixCount)), k.sharedPrefix
	}
	return e
}

func drawAccount(g *rand.Rand, h *Header) ident.AccountID {
	x := g.Float64()
	for i, p := range accountShares {
		if x -= p; x < 0 {
			return h.Accounts[i].Name
		}
	}
	return h.Accounts[0].Name
}

func drawTokens(g *rand.Rand, r [2]ident.Tokens) ident.Tokens {
	return r[0] + ident.Tokens(g.Int64N(int64(r[1]-r[0])+1))
}
