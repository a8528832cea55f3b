// Package route holds the routes, services and client accounts of one configuration for routers that
// dispatch to targets themselves, and finds the route and the account of a request.
package route

import (
	"strings"
	"time"

	"hickoryvane.example/core/ident"
)

// Kind says how often a request of a route may run.
type Kind uint8

// Kinds. The zero value is the strictest.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered by events and run at most once, unless the route can be resumed.
	Stream
)

var kindNames = [...]string{Unsafe: "unsafe", Safe: "safe", Stream: "stream"}

// String returns the name used in log lines.
func (k Kind) String() string { return kindNames[k] }

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service ident.Service
	// Weight is relative to the sum over the shares of the route; not negative.
	Weight float64
}

// Route is a route of the configuration.
type Route struct {
	Name ident.Route
	// Host is the lower-case name in the Host header, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time until the end of an answer; zero means no limit.
	Timeout time.Duration
	// Aim is the time until the answer, or the first event of a stream, that the operator wants.
	FirstEventGoal time.Duration
	// Gap is the longest pause between two events that the operator wants; zero means no limit.
	EventGapGoal time.Duration
	// Attempts is the largest number of targets that may run one request, at least 1.
	Attempts int
	Tier     ident.Tier
	// Public routes need no key.
	Public bool
	// Resume means that a stream may be taken up at another target after the last event received.
	Resumable bool
	// Shares is not empty.
	Shares []Share
}

// Repeatable reports whether a request of the route may be sent again after it may have run.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Service chooses the service of a request by a number in [0, 1) that is stable for the request.
func (r *Route) ChooseService(at float64) ident.Service {
	var sum float64
	for _, s := range r.Shares {
		sum += s.Weight
	}
	at *= sum
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Service is a pool of targets.
type Service struct {
	Name ident.Service
	// Slots is the number of requests that each target runs at a time; zero when each target declares it.
	Slots int
	// Stride is the number of tokens in one event of a stream; zero for plain services.
	TokensPerEvent int
}

// Account is a client account.
type Account struct {
	Name ident.AccountID
	Keys []string
	// Tier replaces the tier of the route when Ranked is true.
	Tier    ident.Tier
	HasTier bool
	// Rate and Burst limit the tokens of the account over all routers; a zero rate means no limit.
	Rate  ident.Tokens
	Burst ident.Tokens
	// Plain is the number of tokens charged for a request that states none.
	DefaultTokens ident.Tokens
}

// Limits bound what a caller may send.
type Limits struct {
	// Body is the largest body of a request; zero if none is declared.
	BodyBytesMax ident.Bytes
}

// Plan is one configuration. It is not changed after New.
type Table struct {
	Generation    ident.Generation
	Limits        Limits
	Services      map[ident.Service]Service
	Accounts      []Account
	routesByHost  map[string][]*Route
	accountsByKey map[string]*Account
}

// New returns the plan of a configuration.
func New(g ident.Generation, routes []Route, services []Service, accounts []Account, l Limits) *Table {
	p := &Table{
		Generation: g, Limits: l, Accounts: accounts,
		Services:     make(map[ident.Service]Service, len(services)),
		routesByHost: map[string][]*Route{}, accountsByKey: map[string]*Account{},
	}
	for i := range routes {
		r := &routes[i]
		p.routesByHost[r.Host] = append(p.routesByHost[r.Host], r)
	}
	for _, s := range services {
		p.Services[s.Name] = s
	}
	for i := range accounts {
		for _, k := range accounts[i].Keys {
			p.accountsByKey[k] = &accounts[i]
		}
	}
	return p
}

// Match returns the route of the host with the longest prefix that begins the path, or nil.
func (p *Table) Match(host, path string) (best *Route) {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i > 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range p.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Account returns the account that holds the key, or nil.
func (p *Table) Account(key string) *Account { return p.accountsByKey[key] }

// Keyed reports whether routes that are not public need a key.
func (p *Table) RequiresKey() bool { return len(p.Accounts) > 0 }
