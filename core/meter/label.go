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
	// labelSetsMax bounds the label sets of tier, account and service, and the names of accounts and services.
	labelSetsMax = 1000
	// tierMax is the lowest tier with a label of its own; deployments have about five tiers.
	tierMax = 15
	// reasonMax bounds the reasons; package fault defines fewer.
	reasonMax = 32
	// shedSetsMax bounds the label sets of tier and reason.
	shedSetsMax = reasonMax * (tierMax + 2)
	// other is the label value for everything beyond the bounds or outside the configuration.
	other = "other"
)

type requestLabels struct {
	tier    ident.Tier
	account ident.AccountID
	service ident.Service
}

type shedLabels struct {
	tier   ident.Tier
	reason fault.Reason
}

// labelSet is a label set as options for instruments; the options are built once.
type labelSet struct {
	record []metric.RecordOption
	add    []metric.AddOption
}

func newLabelSet(kv ...attribute.KeyValue) *labelSet {
	o := metric.WithAttributeSet(attribute.NewSet(kv...))
	return &labelSet{record: []metric.RecordOption{o}, add: []metric.AddOption{o}}
}

// labelSets builds label sets on first use, at most size of them; further keys share the label set of fallback.
type labelSets[K comparable] struct {
	size  int
	build func(K) *labelSet
	// fallback maps a key beyond the bound to one of few keys that are always accepted.
	fallback func(K) K

	mu    sync.RWMutex
	byKey map[K]*labelSet
	// fallbacks counts the label sets of fallback keys, which do not count towards size.
	fallbacks int
}

func newLabelSets[K comparable](size int, build func(K) *labelSet, fallback func(K) K) *labelSets[K] {
	return &labelSets[K]{size: size, build: build, fallback: fallback, byKey: map[K]*labelSet{}}
}

func (s *labelSets[K]) get(k K) *labelSet {
	s.mu.RLock()
	v := s.byKey[k]
	if v == nil && s.full() {
		v = s.byKey[s.fallback(k)]
	}
	s.mu.RUnlock()
	if v != nil {
		return v
	}
	return s.add(k)
}

func (s *labelSets[K]) add(k K) *labelSet {
	s.mu.Lock()
	defer s.mu.Unlock()
	fallback := s.fallback(k)
	if s.byKey[k] == nil && s.full() {
		k = fallback
	}
	if s.byKey[k] == nil {
		s.byKey[k] = s.build(k)
		if k == fallback {
			s.fallbacks++
		}
	}
	return s.byKey[k]
}

func (s *labelSets[K]) full() bool { return len(s.byKey)-s.fallbacks >= s.size }

// names holds the accounts and services of the configuration.
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

// Configure sets the accounts and services that have label values of their own, at most 1,000 of each. Label sets of
// names that were removed stay until the process stops and count towards the bound.
func (m *Meter) Configure(accounts []ident.AccountID, services []ident.Service) {
	m.names.accounts.Store(index(accounts))
	m.names.services.Store(index(services))
}

func index[T comparable](names []T) *map[T]bool {
	m := map[T]bool{}
	for _, v := range names[:min(len(names), labelSetsMax)] {
		m[v] = true
	}
	return &m
}

func (m *Meter) labels(t ident.Tier, a ident.AccountID, s ident.Service) *labelSet {
	return m.requests.get(requestLabels{boundTier(t), m.names.account(a), m.names.service(s)})
}

func (m *Meter) makeLabelSets(size int) {
	m.requests = newLabelSets(size, func(l requestLabels) *labelSet {
		return newLabelSet(tierLabel(l.tier), accountLabel(l.account), attribute.String("service", string(l.service)))
	}, func(l requestLabels) requestLabels { return requestLabels{l.tier, other, other} })
	m.tiers = newLabelSets(tierMax+2, func(t ident.Tier) *labelSet { return newLabelSet(tierLabel(t)) },
		func(ident.Tier) ident.Tier { return tierMax + 1 })
	m.reasons = newLabelSets(reasonMax, func(r fault.Reason) *labelSet { return newLabelSet(reasonLabel(r)) },
		func(fault.Reason) fault.Reason { return other })
	m.sheds = newLabelSets(shedSetsMax, func(s shedLabels) *labelSet {
		return newLabelSet(tierLabel(s.tier), reasonLabel(s.reason))
	}, func(s shedLabels) shedLabels { return shedLabels{s.tier, other} })
	m.accounts = newLabelSets(labelSetsMax, func(a ident.AccountID) *labelSet { return newLabelSet(accountLabel(a)) },
		func(ident.AccountID) ident.AccountID { return other })
	m.services = newLabelSets(labelSetsMax, func(s ident.Service) *labelSet { return newLabelSet(attribute.String("service", string(s))) },
		func(ident.Service) ident.Service { return other })
	m.resends = newLabelSets(labelSetsMax, func(r resendLabels) *labelSet {
		return newLabelSet(attribute.String("service", string(r.service)), attribute.String("after", r.after))
	}, func(resendLabels) resendLabels { return resendLabels{other, other} })
}

// resendLabels are the labels of a request that is sent again; after is its result at the previous target.
type resendLabels struct {
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
