// Package poison finds out what requests that crash targets have in common, and which requests to refuse for it.
//
// Load pattern: some requests crash each target that begins to answer them. No two of them need be alike: they may
// have only a part of their prompts in common, and share their other parts with sound requests. Many sound requests
// run on a target when it crashes, and targets crash for other reasons, too, many at a time.
//
// Each request has features: its content, and each part of its prompt that others may have. A feature is suspected if
// requests with it were running at several crashes and none with it passed since. What is blocked is a set of features
// that could not be told apart: a request is refused only if it has all of them. A request that passes clears its
// features, so that the set shrinks to the cause, and a block on sound requests ends.
//
// Each router holds one Detector and reports to the others which requests ran at a crash, which suspected features
// passed, and what it blocks.
package poison

import (
	"cmp"
	"slices"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/recent"
)

const (
	// crashTTL is the time for which a crash counts; crashesMax bounds the crashes held, the oldest is dropped first.
	crashTTL   = 10 * time.Minute
	crashesMax = 64
	// sameCrash is the time within which reports of different routers on one target mean the same crash.
	sameCrash = 2 * time.Second
	// SilentTime is the time for which the silence of a target counts, unless it is found to have ended.
	SilentTime = 10 * time.Second
	// episodeGap is the time within which crashes count as one: targets that end together have a cause in common that
	// is no request.
	episodeGap = 250 * time.Millisecond
	// massTargets targets that crash within massGap of each other accuse only what requests on all of them had.
	massTargets = 3
	massGap     = 100 * time.Millisecond
	// settleTime is the time after a crash in which all routers report what ran there; until then it accuses nobody.
	settleTime = 250 * time.Millisecond
	// targetsMin is the least number of different targets of a suspicion.
	targetsMin = 2
	// A crash counts earlyWeight against the requests whose answers had just begun or were still to begin. Only if
	// there are none, it counts lateWeight against the others.
	earlyWeight = 2
	lateWeight  = 1
	// A feature is blocked at blockWeight, or at passedWeight if requests with it passed before the crashes.
	blockWeight  = 3 * earlyWeight
	passedWeight = 5 * earlyWeight
	// firstBlock is the duration of a block. If a request crashes a target after its end, the block is renewed at once
	// for twice the time, at most longestBlock.
	firstBlock   = 2 * time.Minute
	longestBlock = 30 * time.Minute
	// RenewTime is the time after the end of a block in which another crash renews it.
	RenewTime = longestBlock
)

// Request is a request that ran on a target when it crashed.
type Request struct {
	// Features are those of the request; the first one is its content.
	Features []ident.Fingerprint
	// Late is true if a part of the answer had come well before the crash.
	Late bool
	// Trial is true if the request was sent as a trial.
	Trial bool
}

// Crash is what one router knows of the crash of a target.
type Crash struct {
	Target ident.TargetID
	// At is the time of the crash.
	At time.Time
	// Requests are the router's own that ran on the target.
	Requests []Request
	// Silent is true if the target is not known to have ended: it has been silent since At.
	Silent bool
}

// Block refuses the requests that have all its features.
type Block struct {
	Features []ident.Fingerprint
	// At is the time of the block, Until its end.
	At, Until time.Time
	// Own is true if a request of this router was among those that led to the block.
	Own bool
}

// crash is a crash as all routers report it.
type crash struct {
	target   ident.TargetID
	at       time.Time
	requests []runner
	// silent is true until a router found that the target ended; wasSilent is true from then on, too.
	silent, wasSilent bool
}

// runner is a request that ran at a crash; own is true if it was this router's.
type runner struct {
	Request
	own bool
}

// block is a block, in force or expired.
type block struct {
	Block
	// duration is the time from the last crash to the end.
	duration time.Duration
}

// Detector holds what one router knows. It is not safe for concurrent use.
type Detector struct {
	// crashes are in the order of their times.
	crashes []*crash
	// passes are those of parts, and of contents that were running at a crash; contents those of other contents.
	passes, contents recent.Times[ident.Fingerprint]
	// blocks has no block whose features contain all those of another one in force. Expired ones are kept to be renewed.
	blocks []*block
	// due is the time of the next look at the crashes; zero if there is nothing new.
	due time.Time
	// accused are the features that were running at more than one crash, as of the last Step.
	accused []ident.Fingerprint
	// weighed are the suspicions as of the last Step that looked at the crashes.
	weighed []Suspicion
	// onTrial is derived from the crashes, and anew if suspectsChanged is true. cleared are features that passed a trial.
	onTrial         []suspect
	suspectsChanged bool
	cleared         []ident.Fingerprint
	lifted          []Block
	// toldTrials and toldSuspicions are those as of the last call of NewTrials and NewSuspicions.
	toldTrials     []Trial
	toldSuspicions []Suspicion
}

// Suspicion is what counts against a feature that was running when several targets crashed and did not pass since.
type Suspicion struct {
	Feature ident.Fingerprint
	// Targets is the number of targets that crashed, Events the number of times at which some did.
	Targets, Events int
	// Weight is the weight of the events; the feature is blocked from Needed on.
	Weight, Needed int
	// counted is the number of targets whose crashes have a weight.
	counted int
}

// suffices reports whether the feature is to be blocked.
func (s Suspicion) suffices() bool { return s.Weight >= s.Needed && s.counted >= targetsMin }

// Suspicions returns the suspicions as of the last Step, in the order of their features.
func (d *Detector) Suspicions() []Suspicion {
	slices.SortFunc(d.weighed, func(a, b Suspicion) int { return cmp.Compare(a.Feature, b.Feature) })
	return d.weighed
}

// NewSuspicions returns the suspicions that changed since the last call.
func (d *Detector) NewSuspicions() (out []Suspicion) {
	for _, s := range d.Suspicions() {
		if !slices.Contains(d.toldSuspicions, s) {
			out = append(out, s)
		}
	}
	d.toldSuspicions = slices.Clone(d.weighed)
	return out
}

// New returns a detector that suspects nothing.
func New() *Detector {
	return &Detector{passes: recent.NewTimes[ident.Fingerprint](partPassesMax), contents: recent.NewTimes[ident.Fingerprint](contentPassesMax)}
}

// RecordCrash records a crash that this router observed.
func (d *Detector) RecordCrash(c Crash) { d.merge(c, true) }

// MergeCrash records a crash that another router observed. Repeated reports have no effect.
func (d *Detector) MergeCrash(c Crash) { d.merge(c, false) }

func (d *Detector) merge(c Crash, own bool) {
	k := d.crashOf(c)
	if k.silent && !c.Silent {
		k.silent, d.suspectsChanged = false, true
		d.look(k.at.Add(settleTime))
	}
	for _, r := range c.Requests {
		if len(r.Features) == 0 {
			continue
		}
		i := slices.IndexFunc(k.requests, func(o runner) bool { return o.Features[0] == r.Features[0] })
		switch {
		case i < 0:
			k.requests = append(k.requests, runner{Request: r, own: own})
		case r.Trial && !k.requests[i].Trial:
			k.requests[i].Trial = true
		default:
			continue
		}
		d.suspectsChanged = true
		d.look(k.at.Add(settleTime))
	}
}

// look makes Step look at the crashes at the given time or earlier.
func (d *Detector) look(at time.Time) {
	if d.due.IsZero() || at.Before(d.due) {
		d.due = at
	}
}

// crashOf returns what is known of a crash that a router reports.
func (d *Detector) crashOf(c Crash) *crash {
	for _, k := range d.crashes {
		within := sameCrash
		if k.wasSilent || c.Silent {
			within = SilentTime
		}
		if k.target == c.Target && c.At.Sub(k.at).Abs() < within {
			return k
		}
	}
	k := &crash{target: c.Target, at: c.At, silent: c.Silent, wasSilent: c.Silent}
	i, _ := slices.BinarySearchFunc(d.crashes, c.At, func(k *crash, at time.Time) int { return k.at.Compare(at) })
	d.crashes = slices.Insert(d.crashes, i, k)
	if len(d.crashes) > crashesMax {
		d.crashes = slices.Delete(d.crashes, 0, 1)
	}
	return k
}

// inBlock reports whether a block has the feature.
func (d *Detector) inBlock(f ident.Fingerprint) bool {
	return slices.ContainsFunc(d.blocks, func(b *block) bool { return slices.Contains(b.Features, f) })
}

// clear takes a feature that passed out of a block. A block is lifted when no feature that never passed remains.
func (d *Detector) clear(b *block, f ident.Fingerprint) {
	d.removeBlock(b)
	left := slices.DeleteFunc(slices.Clone(b.Features), func(g ident.Fingerprint) bool { return g == f })
	if slices.ContainsFunc(left, func(g ident.Fingerprint) bool { return d.lastPass(g).IsZero() }) {
		if n := *b; d.covering(left) == nil {
			n.Features = left
			d.insert(&n)
		}
		return
	}
	d.lifted = append(d.lifted, b.Block)
}

func (d *Detector) removeBlock(b *block) {
	d.blocks = slices.DeleteFunc(d.blocks, func(o *block) bool { return o == b })
}

// covering returns a block, which may have expired, that refuses all that one on the features would refuse.
func (d *Detector) covering(features []ident.Fingerprint) *block {
	for _, b := range d.blocks {
		if contains(features, b.Features) {
			return b
		}
	}
	return nil
}

// insert adds a block in place of those that refuse less.
func (d *Detector) insert(b *block) {
	d.blocks = slices.DeleteFunc(d.blocks, func(o *block) bool { return contains(o.Features, b.Features) })
	d.blocks = append(d.blocks, b)
}

// contains reports whether all of some are in all.
func contains(all, some []ident.Fingerprint) bool {
	for _, f := range some {
		if !slices.Contains(all, f) {
			return false
		}
	}
	return true
}

// MergeBlock adds a block of another router or of an earlier process, unless its features have passed since.
func (d *Detector) MergeBlock(now time.Time, b Block) {
	if len(b.Features) == 0 || now.Sub(b.Until) >= RenewTime {
		return
	}
	b.Own = false
	if latest := now.Add(longestBlock); b.Until.After(latest) {
		b.Until = latest
	}
	if o := d.covering(b.Features); o != nil {
		if len(o.Features) == len(b.Features) && b.Until.After(o.Until) {
			o.At, o.Until = b.At, b.Until
		}
		return
	}
	n := &block{Block: b, duration: firstBlock}
	d.insert(n)
	for _, f := range b.Features {
		if d.lastPass(f).After(b.At) {
			d.clear(n, f)
			return
		}
	}
}

// Match returns the block in force that refuses a request with the features.
func (d *Detector) Match(now time.Time, features []ident.Fingerprint) (Block, bool) {
	for _, b := range d.blocks {
		if now.Before(b.Until) && contains(features, b.Features) {
			return b.Block, true
		}
	}
	return Block{}, false
}

// Blocks returns the blocks in force.
func (d *Detector) Blocks(now time.Time) (out []Block) {
	for _, b := range d.blocks {
		if now.Before(b.Until) {
			out = append(out, b.Block)
		}
	}
	return out
}
