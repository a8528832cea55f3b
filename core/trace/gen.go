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

// Shape tells what trace to generate.
type Spec struct {
	// Deployment is "rekkverk" or "brunner".
	Deployment string
	Title      string
	Seed       uint64
	// Length is the time of arrivals, Load the rate of arrivals relative to the engines' capacity.
	Length conf.Millis
	Load   float64
	// Warm is the time from the start in which the load is Easy and requests are not counted.
	WarmUp     conf.Millis
	WarmUpLoad float64
	// Engines replaces the deployment's number of engines unless zero.
	Engines int
	// Trial gives every second engine a new version; these engines take no part in the capacity.
	AlternateVersions bool
	// Sessions is the number of sessions to which requests belong; zero for none.
	Sessions     int
	Expectations []Expectation
	// Extra are further events, such as bursts and faults.
	ExtraEvents []Event
}

// ErrShape means that a trace cannot be generated.
var ErrSpec = errors.New("wrong shape of a trace")

// Version returns the version of the engine with the given number. Neighbours are of one hardware class.
func (s Spec) EngineVersion(i int) ident.Version {
	if s.AlternateVersions && i%2 == 1 {
		return newVersion
	}
	return oldVersion
}

// Generate returns the trace of a shape. The same shape gives the same trace. Errors wrap ErrShape.
func Generate(s Spec) (*Trace, error) {
	m, ok := mixes[s.Deployment]
	if !ok {
		return nil, errors.Wrapf(ErrSpec, "unknown deployment %q", s.Deployment)
	}
	if s.Load <= 0 || s.Length <= 0 || s.WarmUp > 0 && s.WarmUpLoad <= 0 {
		return nil, errors.Wrap(ErrSpec, "load or length is not above 0")
	}
	t := &Trace{Header: m.header(s)}
	for i, k := range m.kinds {
		t.Events = append(t.Events, k.drawArrivals(s, &t.Header, ident.Tier(i))...)
	}
	t.Events = append(t.Events, s.ExtraEvents...)
	slices.SortStableFunc(t.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return t, errors.WithMessage(t.check(), "generate trace")
}

// arrivals draws a Poisson process.
func (k requestKind) drawArrivals(s Spec, h *Header, tier ident.Tier) (list []Event) {
	g := rand.New(rand.NewPCG(s.Seed, uint64(tier)+10))
	// gap draws the time to the next arrival in milliseconds.
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
