package meter

import (
	"strconv"
	"sync"
	"sync/atomic"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
)

const (
	// setsMax bounds the label sets of tier, account and service, and the names of accounts.
	setsMax = 1000
	// tierMax is the lowest tier with a label of its own; deployments have about five tiers.
	tierMax = 15
	// reasonMax bounds the reasons; package fault has fewer.
	reasonMax = 32
	// shedMax bounds the sets of tier and reason.
	shedMax = reasonMax * (tierMax + 2)
	// other is the label of everything beyond the bounds or outside the configuration.
	other = "other"
)

type labels struct {
	tier    ident.Tier
	account ident.AccountID
	service ident.Service
}

type shedding struct {
	tier   ident.Tier
	reason fault.Reason
}

// set is a label set in the forms that instruments take; they are built once.
type set struct {
	record []metric.RecordOption
	add    []metric.AddOption
}

func newSet(kv ...attribute.KeyValue) *set {
	o := metric.WithAttributeSet(attribute.NewSet(kv...))
	return &set{record: []metric.RecordOption{o}, add: []metric.AddOption{o}}
}

// sets builds label sets on first use, at most size of them; further keys share the set of rest.
type sets[K comparable] struct {
	size  int
	build func(K) *set
	// rest maps a key beyond the bound to one of few keys that are always accepted.
	rest func(K) K

	mu  sync.RWMutex
	all map[K]*set
	// extra counts the sets of rest, which do not count towards size.
	extra int
}

func newSets[K comparable](size int, build func(K) *set, rest func(K) K) *sets[K] {
	return &sets[K]{size: size, build: build, rest: rest, all: map[K]*set{}}
}

func (s *sets[K]) get(k K) *set {
	s.mu.RLock()
	v := s.all[k]
	if v == nil && s.full() {
		v = s.all[s.rest(k)]
	}
	s.mu.RUnlock()
	if v != nil {
		return v
	}
	return s.add(k)
}

func (s *sets[K]) add(k K) *set {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rest(k)
	if s.all[k] == nil && s.full() {
		k = r
	}
	if s.all[k] == nil {
		s.all[k] = s.build(k)
		if k == r {
			s.extra++
		}
	}
	return s.all[k]
}

func (s *sets[K]) full() bool { return len(s.all)-s.extra >= s.size }

// names are the accounts and services of the configuration.
type names struct {
	accounts atomic.Pointer[map[ident.AccountID]bool]
	services atomic.Pointer[map[ident.Service]bool]
}

func (n *names) account(a ident.AccountID) ident.AccountID {
	if m := n.accounts.Load(); m != nil && (*m)[a] {
		return a
	}
	return other
}

func (n *names) service(s ident.Service) ident.Service {
	if m := n.services.Load(); m != nil && (*m)[s] {
		return s
	}
	return other
}

// Configure sets the accounts and services that have labels of their own, at most 1,000 of each.
// Label sets of names that were removed stay until the process ends and count towards the bound.
func (m *Meter) Configure(accounts []ident.AccountID, services []ident.Service) {
	m.names.accounts.Store(index(accounts))
	m.names.services.Store(index(services))
}

func index[T comparable](all []T) *map[T]bool {
	m := map[T]bool{}
	for _, v := range all[:min(len(all), setsMax)] {
		m[v] = true
	}
	return &m
}

func (m *Meter) labels(t ident.Tier, a ident.AccountID, s ident.Service) *set {
	return m.requests.get(labels{boundTier(t), m.names.account(a), m.names.service(s)})
}

func (m *Meter) makeSets(size int) {
	m.requests = newSets(size, func(l labels) *set {
		return newSet(tierLabel(l.tier), accountLabel(l.account), attribute.String("service", string(l.service)))
	}, func(l labels) labels { return labels{l.tier, other, other} })
	m.tiers = newSets(tierMax+2, func(t ident.Tier) *set { return newSet(tierLabel(t)) },
		func(ident.Tier) ident.Tier { return tierMax + 1 })
	m.reasons = newSets(reasonMax, func(r fault.Reason) *set { return newSet(reasonLabel(r)) },
		func(fault.Reason) fault.Reason { return other })
	m.sheds = newSets(shedMax, func(s shedding) *set {
		return newSet(tierLabel(s.tier), reasonLabel(s.reason))
	}, func(s shedding) shedding { return shedding{s.tier, other} })
	m.accounts = newSets(setsMax, func(a ident.AccountID) *set { return newSet(accountLabel(a)) },
		func(ident.AccountID) ident.AccountID { return other })
	m.services = newSets(setsMax, func(r repeat) *set {
		return newSet(attribute.String("service", string(r.service)), attribute.String("after", r.after))
	}, func(repeat) repeat { return repeat{other, other} })
}

// repeat labels a request that is sent again: after is the end at the target before.
type repeat struct {
	service ident.Service
	after   string
}

// boundTier maps all tiers beyond tierMax to one value.
func boundTier(t ident.Tier) ident.Tier { return min(t, tierMax+1) }

func tierLabel(t ident.Tier) attribute.KeyValue {
	if t > tierMax {
		return attribute.String("tier", other)
	}
	return attribute.String("tier", strconv.Itoa(int(t)))
}

func accountLabel(a ident.AccountID) attribute.KeyValue {
	return attribute.String("account", string(a))
}

func reasonLabel(r fault.Reason) attribute.KeyValue {
	return attribute.String("reason", string(r))
}
