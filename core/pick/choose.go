package pick

import (
	"cmp"
	"slices"
	"time"
)

// candidatesMax bounds the targets compared per request.
const candidatesMax = 2*samples + holdersMax

// selection is the state of one call of Pick; it lives on the stack.
type selection struct {
	picker     *Picker
	now        time.Time
	request    *Request
	candidates [candidatesMax]candidate
	n          int
}

// Pick appends up to OffersMax targets for the request to dst, the best first. It does not allocate when
// dst has enough capacity.
func (p *Picker) Pick(now time.Time, r Request, dst []Choice) []Choice {
	pl := p.pools[poolKey{r.Service, r.Version}]
	if pl == nil {
		return dst
	}
	s := selection{picker: p, now: now, request: &r}
	useRemote := len(pl.remote) > 0 && p.link.admits(now, linkBytes(&r))
	if len(r.UnprovenClasses) > 0 && len(r.Tried) == 0 {
		s.considerCanary(pl, useRemote)
	}
	if s.n > 0 {
		return s.appendBest(dst)
	}
	s.sample(pl.local, samples)
	for _, t := range pl.longestPrefixHolders(r.Blocks) {
		if t != nil && t.listIndex >= 0 && (useRemote || !t.remote) && s.n > 0 {
			s.consider(t, true)
		}
	}
	switch {
	case useRemote && s.n > 0:
		s.sample(pl.remote, remoteSamples)
	case useRemote:
		s.sample(pl.remote, samples)
	}
	return s.appendBest(dst)
}

// sample considers up to n random members of a list. When none of them is admitted, it adds the first
// target after a random position that is not excluded, whatever its trust, so that a request finds a slow
// target if there is no other.
func (s *selection) sample(list []*target, n int) {
	if len(list) == 0 {
		return
	}
	before, start := s.n, s.picker.rnd.IntN(len(list))
	if len(list) <= n {
		for i := range list {
			s.consider(list[(start+i)%len(list)], true)
		}
	}
	for tries := 2 * n; len(list) > n && tries > 0 && s.n-before < n; tries-- {
		s.consider(list[s.picker.rnd.IntN(len(list))], true)
	}
	for i := 0; i < len(list) && s.n == before; i++ {
		s.consider(list[(start+i)%len(list)], false)
	}
}

// consider adds a target to the candidates unless it is excluded or already among them. When gated, the
// target is admitted with a probability equal to its trust.
func (s *selection) consider(t *target, gated bool) {
	if s.n >= candidatesMax || s.excluded(t) {
		return
	}
	for i := range s.n {
		if s.candidates[i].target == t {
			return
		}
	}
	if gated && t.trust < 1 && s.picker.rnd.Float64() >= t.trust {
		return
	}
	s.candidates[s.n] = s.picker.estimate(t, s.request)
	s.n++
}

// excluded reports whether a target refused an offer recently or was already tried for the request.
func (s *selection) excluded(t *target) bool {
	return s.now.Before(t.excludedUntil) || slices.Contains(s.request.Tried, t.ID)
}

// appendBest appends the candidates with the lowest estimates.
func (s *selection) appendBest(dst []Choice) []Choice {
	first, second := -1, -1
	for i := range s.n {
		switch {
		case first < 0 || s.candidates[i].estimate < s.candidates[first].estimate:
			first, second = i, first
		case second < 0 || s.candidates[i].estimate < s.candidates[second].estimate:
			second = i
		}
	}
	for _, i := range [OffersMax]int{first, second} {
		if i >= 0 {
			dst = append(dst, s.candidates[i].choice())
		}
	}
	return dst
}

func (c *candidate) choice() Choice {
	t := c.target
	return Choice{
		Target: t.ID, Agent: t.Agent, Estimate: c.estimate, Cached: c.cached,
		LowestWaitingTier: t.lowestWaitingTier, Remote: t.remote,
	}
}

// PickLowerTier appends all usable targets of the request's pool whose lowest waiting tier is below the
// request's, the best estimate first. The request is offered to them, OffersMax at a time, before it is
// shed; an offer to all at once would count as waiting work at every target.
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
			c := p.estimate(t, r)
			dst = append(dst, c.choice())
		}
	}
	return dst
}
