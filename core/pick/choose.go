package pick

import (
	"cmp"
	"slices"
	"time"
)

// candidatesMax bounds the targets compared per request.
const candidatesMax = 2*samples + holdersMax

// round is one choice; it lives on the stack.
type selection struct {
	picker     *Picker
	now        time.Time
	request    *Request
	candidates [candidatesMax]candidate
	n          int
}

// Pick appends up to OffersMax targets for the request to dst, the best first. It does not allocate when
// dst has room.
func (p *Picker) Pick(now time.Time, r Request, dst []Choice) []Choice {
	pl := p.pools[poolKey{r.Service, r.Version}]
	if pl == nil {
		return dst
	}
	c := selection{picker: p, now: now, request: &r}
	far := len(pl.remote) > 0 && p.link.admits(now, linkBytes(&r))
	if len(r.UnprovenClasses) > 0 && len(r.Tried) == 0 {
		c.considerCanary(pl, far)
	}
	if c.n > 0 {
		return c.appendBest(dst)
	}
	c.sample(pl.local, samples)
	for _, t := range pl.longestPrefixHolders(r.Blocks) {
		if t != nil && t.listIndex >= 0 && (far || !t.remote) && c.n > 0 {
			c.consider(t, true)
		}
	}
	switch {
	case far && c.n > 0:
		c.sample(pl.remote, remoteSamples)
	case far:
		c.sample(pl.remote, samples)
	}
	return c.appendBest(dst)
}

// sample considers up to n random members of a list. When none of them is admitted, it takes the first
// admissible one after a random position, so that a request finds a slow target if there is no other.
func (c *selection) sample(list []*target, n int) {
	if len(list) == 0 {
		return
	}
	before, start := c.n, c.picker.rnd.IntN(len(list))
	if len(list) <= n {
		for i := range list {
			c.consider(list[(start+i)%len(list)], true)
		}
	}
	for tries := 2 * n; len(list) > n && tries > 0 && c.n-before < n; tries-- {
		c.consider(list[c.picker.rnd.IntN(len(list))], true)
	}
	for i := 0; i < len(list) && c.n == before; i++ {
		c.consider(list[(start+i)%len(list)], false)
	}
}

// consider adds a target unless it is excluded, was considered before, or, when gated, its trust does
// not admit it this time.
func (c *selection) consider(t *target, gated bool) {
	if c.n >= candidatesMax || c.excluded(t) {
		return
	}
	for i := range c.n {
		if c.candidates[i].target == t {
			return
		}
	}
	if gated && t.trust < 1 && c.picker.rnd.Float64() >= t.trust {
		return
	}
	c.candidates[c.n] = c.picker.estimate(t, c.request)
	c.n++
}

// excluded reports whether a target refused lately or was tried.
func (c *selection) excluded(t *target) bool {
	return c.now.Before(t.excludedUntil) || slices.Contains(c.request.Tried, t.ID)
}

// best appends the candidates with the lowest estimates.
func (c *selection) appendBest(dst []Choice) []Choice {
	first, second := -1, -1
	for i := range c.n {
		switch {
		case first < 0 || c.candidates[i].estimate < c.candidates[first].estimate:
			first, second = i, first
		case second < 0 || c.candidates[i].estimate < c.candidates[second].estimate:
			second = i
		}
	}
	for _, i := range [OffersMax]int{first, second} {
		if i >= 0 {
			dst = append(dst, c.candidates[i].choice())
		}
	}
	return dst
}

func (s *candidate) choice() Choice {
	t := s.target
	return Choice{
		Target: t.ID, Agent: t.Agent, Estimate: s.estimate, Cached: s.cached, LowestWaitingTier: t.lowestWaitingTier, Remote: t.remote,
	}
}

// Lower appends all usable targets of the request's pool whose lowest waiting tier is lower than the
// request's, the best estimate first. The request is offered to them, OffersMax at a time, before it is
// shed; an offer to all at once would count as waiting work everywhere.
func (p *Picker) PickLowerTier(now time.Time, r Request, dst []Choice) []Choice {
	pl := p.pools[poolKey{r.Service, r.Version}]
	if pl == nil {
		return dst
	}
	n := len(dst)
	dst = p.appendLowerTier(pl.local, &r, dst)
	if p.link.admits(now, linkBytes(&r)) {
		dst = p.appendLowerTier(pl.remote, &r, dst)
	}
	slices.SortStableFunc(dst[n:], func(a, b Choice) int { return cmp.Compare(a.Estimate, b.Estimate) })
	return dst
}

func (p *Picker) appendLowerTier(list []*target, r *Request, dst []Choice) []Choice {
	for _, t := range list {
		if t.lowestWaitingTier > r.Tier && !slices.Contains(r.Tried, t.ID) {
			s := p.estimate(t, r)
			dst = append(dst, s.choice())
		}
	}
	return dst
}
