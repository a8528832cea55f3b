package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickoryvane.example/core/ident"
)

// Whether the prompts and answers of all requests at a target fit into its memory.
//
// Load pattern: 22 routers that send prompts of up to 54,600 tokens to targets with memory for 182,000, while each
// knows of the others what they held up to 2 s ago, which is about as long as a request runs. A target whose requests
// exceed its memory terminates. So each router has a right to a part of the memory of each target, and the rights add
// up to the usable memory: the bound holds whatever the age of the reports. What other routers report is counted as
// well, for requests of routers that are no longer known and for the time in which the routers learn of a new one.

const (
	// memoryFraction is the fraction of the memory of a target that requests are placed in. The rest is for answers
	// that are longer than expected.
	memoryFraction = 0.9
	// firstRight is the least part of the usable memory that the first router of a target has a right to. With the unused
	// tenth it is enough for the longest prompt with its answer at the smallest target; equal rights of 22 routers would
	// fit none beyond 7,400 tokens. With 0.4, routers refused more long prompts of the highest tier, as the next ranks
	// had less.
	firstRight = 0.225
	// longShare is the part of the usable memory per slot beyond which a job is long. A long job takes any free slot of a
	// target at which this router is among the first longRanks: it fits at few others, and waits there behind shorter jobs
	// of lower tiers. In a replay of 22 routers at 1.4 times the slots of targets with memory for 182,000 tokens, 120
	// instead of 177 of 1,600 requests of the highest tier were refused, and 29% instead of 17% of the placements were
	// beyond the slots; 22% were without a limit of the memory.
	longShare = 0.5
	longRanks = 3
)

// tokens returns the memory that the job takes at a target.
func (j *Job) tokens() ident.Tokens { return j.Prompt + j.Output }

// sharer is another router that uses the memory of the targets.
type sharer struct {
	id   ident.ProcessID
	hash uint64
}

func compareSharers(a, b sharer) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
}

func newSharer(id ident.ProcessID) sharer {
	return sharer{id: id, hash: xxhash.Sum64String(string(id))}
}

// SetSharers sets the routers between which the memory of the targets is divided. Those that fell silent are among them
// for as long as they may still have requests at the targets. A router that reports is added.
func (p *Pool) SetSharers(ids []ident.ProcessID) {
	others := make([]sharer, 0, len(ids))
	for _, id := range ids {
		if id != p.self {
			others = append(others, newSharer(id))
		}
	}
	slices.SortFunc(others, compareSharers)
	if !slices.Equal(others, p.sharers) {
		p.sharers = others
		p.sharersVersion++
	}
}

// addSharer adds a router that reports to those between which the memory is divided.
func (p *Pool) addSharer(id ident.ProcessID) {
	s := newSharer(id)
	if i, ok := slices.BinarySearchFunc(p.sharers, s, compareSharers); !ok {
		p.sharers = slices.Insert(p.sharers, i, s)
		p.sharersVersion++
	}
}

// limitsMemory reports whether the target's requests have to fit into its memory.
func (t *target) limitsMemory() bool { return t.MemoryLimited && t.Memory > 0 }

// fits reports whether the job fits into the memory of the target. A job beyond the right of the router goes only to a
// target without other jobs, from the first of its routers: the unused tenth of the memory is then its own.
func (p *Pool) fits(t *target, j *Job) bool {
	n := j.tokens()
	if !t.limitsMemory() || n == 0 {
		return true
	}
	memory := float64(t.Memory) * t.rateShare()
	usable := memoryFraction * memory
	right := usable * p.memoryShare(t)
	if float64(t.held+n) <= right {
		return float64(t.held+t.peerHeld+n) <= usable
	}
	return t.memoryRank == 0 && t.jobs() == 0 && float64(n) <= right+memory-usable
}

// isLong reports whether the job needs so much memory that few routers may place it on the target.
func (t *target) isLong(j *Job) bool {
	return t.limitsMemory() && float64(j.tokens()) > longShare*memoryFraction*float64(t.Memory)*t.rateShare()/float64(t.Slots)
}

// mayPlaceLong reports whether this router may place a long job on the target whatever its share of the slots.
func (p *Pool) mayPlaceLong(now time.Time, t *target) bool {
	if !t.limitsMemory() || t.freeSlots() <= 0 || !p.takes(now, t) || !p.withinRate(now, t) {
		return false
	}
	p.memoryShare(t) // updates the rank
	return t.memoryRank < longRanks
}

// memoryShare returns this router's part of the usable memory of a target, and updates its rank. The parts decrease with
// the rank, so that a router can place long prompts on some targets and short ones on most.
func (p *Pool) memoryShare(t *target) float64 {
	if t.rankedVersion == p.sharersVersion && t.rankedSlots == t.Slots && t.memoryPart > 0 {
		return t.memoryPart
	}
	t.rankedVersion, t.rankedSlots, t.memoryRank = p.sharersVersion, t.Slots, p.rankAt(t)
	sum := 0.0
	for rank := range len(p.sharers) + 1 {
		sum += 1 / float64(rank+1)
	}
	first := max(1/sum, firstRight)
	t.memoryPart = first
	if t.memoryRank > 0 {
		t.memoryPart = (1 - first) / (sum - 1) / float64(t.memoryRank+1)
	}
	return t.memoryPart
}

// rankAt returns the rank of this router among those that use a target, from 0. Routers that have a slot of the target
// when all demands are equal precede the others: with ranks by a hash alone, 33 instead of 6 of
// 3,500 requests were refused when 22 routers used nine tenths of the slots of 41 targets with memory for 182,000 tokens.
func (p *Pool) rankAt(t *target) (rank int) {
	self, _ := slices.BinarySearchFunc(p.sharers, newSharer(p.self), compareSharers)
	n, slots := float64(len(p.sharers)+1), float64(t.Slots)
	hasSlot := func(i int) bool {
		return math.Floor(float64(i+1)/n*slots+t.offset) > math.Floor(float64(i)/n*slots+t.offset)
	}
	own := hasSlot(self)
	for i, s := range p.sharers {
		if i >= self {
			i++ // the place among all routers, this one included
		}
		if has := hasSlot(i); has != own {
			if has {
				rank++
			}
			continue
		}
		if h := xxhash.Sum64String(string(s.id) + "/" + string(t.ID)); h < t.hash || h == t.hash && s.id < p.self {
			rank++
		}
	}
	return rank
}
