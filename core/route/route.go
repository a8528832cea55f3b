// Package route implements the routing table of routers that dispatch to targets without agents: the routes,
// services and client accounts of one configuration, with the lookup of the route and account of a request.
// platform/names builds the table from the platform's catalogue, router/direct looks up each request in it.
package route

import (
	"strings"
	"time"

	"hickoryvane.example/core/ident"
)

// Kind is the type of a route, which determines how often one of its requests may run.
type Kind uint8

// Kinds. The zero value is the strictest.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered by a stream of events and run at most once, unless the route is resumable.
	Stream
)

var kindNames = [...]string{Unsafe: "unsafe", Safe: "safe", Stream: "stream"}

// String returns the name used in log lines.
func (k Kind) String() string { return kindNames[k] }

// Share is the share of a route's requests that is sent to a service.
type Share struct {
	Service ident.Service
	// Weight is relative to the sum of the weights of the route; not negative.
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
	// Timeout bounds the time until the end of an answer; zero means no limit.
	Timeout time.Duration
	// FirstEventGoal is the intended time to the answer, or to the first event of a stream.
	FirstEventGoal time.Duration
	// EventGapGoal is the intended maximum gap between two events; zero means no limit.
	EventGapGoal time.Duration
	// Attempts is the maximum number of targets that may run one request, at least 1.
	Attempts int
	Tier     ident.Tier
	// Public is true for routes that require no key.
	Public bool
	// Resumable is true if a stream may continue at another target after the last event received.
	Resumable bool
	// HomeRegions are the regions in which requests may be served; empty means anywhere.
	HomeRegions []ident.Region
	// Shares is not empty.
	Shares []Share
}

// Repeatable reports whether a request of the route may be sent again after it may have run.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// ChooseService returns the service of a request in proportion to the weights; point is a number in [0, 1) that is
// the same each time the request is sent.
func (r *Route) ChooseService(point float64) ident.Service {
	var sum float64
	for _, s := range r.Shares {
		sum += s.Weight
	}
	point *= sum
	for _, s := range r.Shares {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Service is a pool of targets.
type Service struct {
	Name ident.Service
	// Slots is the number of concurrent requests per target; zero if each target declares its own.
	Slots int
	// Memory is the number of tokens that the requests running at a target may take; zero if it is not known.
	Memory ident.Tokens
	// TokensPerEvent is the number of tokens in one event of a stream; zero for plain services.
	TokensPerEvent int
	// MaxConns is the number of connections that each target accepts from all callers together; zero means no limit.
	MaxConns int
	// ColdTime is the time for which a target is cold after its start, ColdRate the number of requests a second that it
	// gets from all routers meanwhile; zero if the service states none.
	ColdTime time.Duration
	ColdRate float64
}

// Account is a client account.
type Account struct {
	Name ident.AccountID
	Keys []string
	// Tier replaces the tier of the route if HasTier is true.
	Tier    ident.Tier
	HasTier bool
	// Rate and Burst limit the tokens of the account over all routers; a zero rate means no limit.
	Rate  ident.Tokens
	Burst ident.Tokens
	// DefaultTokens is the number of tokens charged for a request that states none.
	DefaultTokens ident.Tokens
	// HomeRegions are the regions in which requests of the account may be served; empty means anywhere.
	HomeRegions []ident.Region
}

// Limits bounds the requests of callers.
type Limits struct {
	// BodyBytesMax and HeaderBytesMax bound a request; zero means that the router's own limit applies.
	BodyBytesMax, HeaderBytesMax ident.Bytes
	// IdleTimeout is the time for which a caller's connection may rest; zero means the router's own limit.
	IdleTimeout time.Duration
	// HeaderTimeout is the time in which the header section of a request has to arrive; zero means the router's own limit.
	HeaderTimeout time.Duration
}

// Table is the routing table of one configuration. It is immutable after New.
type Table struct {
	Generation    ident.Generation
	Limits        Limits
	Services      map[ident.Service]Service
	Accounts      []Account
	routesByHost  map[string][]*Route
	accountsByKey map[string]*Account
}

// New returns the routing table of a configuration.
func New(g ident.Generation, routes []Route, services []Service, accounts []Account, l Limits) *Table {
	t := &Table{
		Generation: g, Limits: l, Accounts: accounts,
		Services:     make(map[ident.Service]Service, len(services)),
		routesByHost: map[string][]*Route{}, accountsByKey: map[string]*Account{},
	}
	for i := range routes {
		r := &routes[i]
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for i := range accounts {
		for _, k := range accounts[i].Keys {
			t.accountsByKey[k] = &accounts[i]
		}
	}
	return t
}

// Match returns the route of the host with the longest prefix of the path, or nil.
func (t *Table) Match(host, path string) (best *Route) {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i > 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range t.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Account returns the account that holds the key, or nil.
func (t *Table) Account(key string) *Account { return t.accountsByKey[key] }

// RequiresKey reports whether routes that are not public require a key.
func (t *Table) RequiresKey() bool { return len(t.Accounts) > 0 }
