package conf

import (
	"cmp"
	"slices"
	"strings"

	"hickoryvane.example/core/ident"
)

// Index is a lookup index over one configuration. It is immutable and therefore safe for concurrent use.
// Callers must not modify what it returns.
type Index struct {
	cfg               Config
	accounts          map[ident.AccountID]*Account
	accountsByKeyHash map[string]*Account
	services          map[ident.Service]*Service
	// servicesByModel holds the names by which callers address model services.
	servicesByModel map[string]*Service
	// plainRoutes holds the routes of all plain services, the most specific first.
	plainRoutes []plainRoute
	tiers       map[string]*Tier
	// tiersByRank holds the tiers in the order of their ranks, rank 0 first.
	tiersByRank      []Tier
	targets          map[ident.TargetID]*Target
	targetsByVM      map[ident.ProcessID]*Target
	targetsByService map[ident.Service][]Target
	regions          map[ident.DataCentre]ident.Region
	rollouts         map[ident.Service][]Rollout
}

type plainRoute struct {
	service *Service
	route   *Route
}

// NewIndex returns the index of a checked configuration.
func NewIndex(cfg Config) *Index {
	x := &Index{
		cfg:               cfg,
		accounts:          map[ident.AccountID]*Account{},
		accountsByKeyHash: map[string]*Account{},
		services:          map[ident.Service]*Service{},
		servicesByModel:   map[string]*Service{},
		tiers:             map[string]*Tier{},
		targets:           map[ident.TargetID]*Target{},
		targetsByVM:       map[ident.ProcessID]*Target{},
		targetsByService:  map[ident.Service][]Target{},
		regions:           map[ident.DataCentre]ident.Region{},
		rollouts:          map[ident.Service][]Rollout{},
	}
	x.addRegionsAndTiers()
	x.addAccounts()
	x.addServices()
	x.addTargets()
	return x
}

func (x *Index) addRegionsAndTiers() {
	for _, r := range x.cfg.Regions {
		for _, c := range r.Centres {
			x.regions[c] = r.Name
		}
	}
	for i := range x.cfg.Tiers {
		x.tiers[x.cfg.Tiers[i].Name] = &x.cfg.Tiers[i]
	}
	x.tiersByRank = slices.SortedFunc(slices.Values(x.cfg.Tiers), func(a, b Tier) int { return cmp.Compare(a.Rank, b.Rank) })
}

func (x *Index) addAccounts() {
	for i := range x.cfg.Accounts {
		a := &x.cfg.Accounts[i]
		x.accounts[a.Name] = a
		for _, k := range a.Keys {
			x.accountsByKeyHash[k] = a
		}
	}
}

func (x *Index) addServices() {
	for i := range x.cfg.Services {
		s := &x.cfg.Services[i]
		x.services[s.Name] = s
		if s.Kind == ModelService {
			x.servicesByModel[string(s.Name)] = s
			for _, m := range s.Models {
				x.servicesByModel[m] = s
			}
			continue
		}
		for j := range s.Routes {
			x.plainRoutes = append(x.plainRoutes, plainRoute{service: s, route: &s.Routes[j]})
		}
	}
	slices.SortStableFunc(x.plainRoutes, func(a, b plainRoute) int { return compareSpecificity(a.route, b.route) })
	byDeadline := func(a, b Rollout) int { return a.Deadline.Compare(b.Deadline) }
	for _, m := range slices.SortedStableFunc(slices.Values(x.cfg.Rollouts), byDeadline) {
		x.rollouts[m.Service] = append(x.rollouts[m.Service], m)
	}
}

func (x *Index) addTargets() {
	for i := range x.cfg.Targets {
		t := &x.cfg.Targets[i]
		x.targets[t.Name] = t
		x.targetsByVM[t.VM] = t
		x.targetsByService[t.Service] = append(x.targetsByService[t.Service], *t)
	}
}

// Config returns the configuration.
func (x *Index) Config() Config { return x.cfg }

// Generation returns the generation of the configuration.
func (x *Index) Generation() ident.Generation { return x.cfg.Generation }

// Account returns the account with the given name.
func (x *Index) Account(name ident.AccountID) (Account, bool) { return deref(x.accounts[name]) }

// AccountByKeyHash returns the account of the key with the given hash (ident.HashKey).
func (x *Index) AccountByKeyHash(hash string) (Account, bool) {
	return deref(x.accountsByKeyHash[hash])
}

// Service returns the service with the given name.
func (x *Index) Service(name ident.Service) (Service, bool) { return deref(x.services[name]) }

// ServiceByModel returns the model service with the given model name.
func (x *Index) ServiceByModel(name string) (Service, bool) { return deref(x.servicesByModel[name]) }

// Tier returns the tier with the given name.
func (x *Index) Tier(name string) (Tier, bool) { return deref(x.tiers[name]) }

// Tiers returns all tiers in the order of their ranks, rank 0 first.
func (x *Index) Tiers() []Tier { return x.tiersByRank }

// Target returns the target with the given name.
func (x *Index) Target(name ident.TargetID) (Target, bool) { return deref(x.targets[name]) }

// TargetByVM returns the target beside the agent on the given VM.
func (x *Index) TargetByVM(vm ident.ProcessID) (Target, bool) { return deref(x.targetsByVM[vm]) }

// Pool returns the targets of a service in the order of the declarations.
func (x *Index) Pool(name ident.Service) []Target { return x.targetsByService[name] }

// Region returns the region of a data centre.
func (x *Index) Region(centre ident.DataCentre) (ident.Region, bool) {
	r, ok := x.regions[centre]
	return r, ok
}

// Rollouts returns the rollouts of a service in the order in which they run, which is that of their deadlines.
func (x *Index) Rollouts(name ident.Service) []Rollout { return x.rollouts[name] }

// MatchPlain returns the plain service and the route of a call; the most specific path wins.
func (x *Index) MatchPlain(method, path string) (s Service, r Route, ok bool) {
	for _, m := range x.plainRoutes {
		if m.route.matches(method, path) {
			return *m.service, *m.route, true
		}
	}
	return s, r, false
}

// Route returns the route of a call to a service; model is empty for plain services.
// The most specific path wins; for equal paths, a route for the model name wins.
func (x *Index) Route(name ident.Service, method, path, model string) (r Route, ok bool) {
	s := x.services[name]
	if s == nil {
		return r, false
	}
	for _, c := range s.Routes {
		if !c.matches(method, path) || (c.Model != "" && c.Model != model) {
			continue
		}
		if !ok || compareSpecificity(&c, &r) < 0 {
			r, ok = c, true
		}
	}
	return r, ok
}

// HasModelRoute reports whether a model service has a route for the method and path. If so, the body of the
// request must be read to find the service.
func (x *Index) HasModelRoute(method, path string) bool {
	for _, s := range x.cfg.Services {
		if s.Kind == ModelService && slices.ContainsFunc(s.Routes, func(r Route) bool { return r.matches(method, path) }) {
			return true
		}
	}
	return false
}

// matches reports whether the route matches a call; a path that ends in "/" is a prefix.
func (r *Route) matches(method, path string) bool {
	if r.Method != method {
		return false
	}
	return r.Path == path || (strings.HasSuffix(r.Path, "/") && strings.HasPrefix(path, r.Path))
}

// compareSpecificity orders routes: longer paths first, then routes for one model name.
func compareSpecificity(a, b *Route) int {
	if c := cmp.Compare(len(b.Path), len(a.Path)); c != 0 {
		return c
	}
	return cmp.Compare(min(len(b.Model), 1), min(len(a.Model), 1))
}

func deref[T any](p *T) (v T, ok bool) {
	if p == nil {
		return v, false
	}
	return *p, true
}
