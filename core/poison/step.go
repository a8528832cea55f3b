package poison

import (
	"cmp"
	"slices"
	"time"

	"hickoryvane.example/core/ident"
)

// accusation is a crash with the requests that may have caused it and have a feature.
type accusation struct {
	*crash
	requests []runner
	weight   int
	// trial is true if a request on trial was running.
	trial bool
}

// Step drops what has expired and derives new blocks. It returns the blocks that are new or renewed, and those that
// were lifted since the last call.
func (d *Detector) Step(now time.Time) (blocked, lifted []Block) {
	lifted, d.lifted = d.lifted, nil
	d.expire(now)
	if d.due.IsZero() || now.Before(d.due) {
		return nil, lifted
	}
	d.due = time.Time{}
	blocked = d.renew(now)
	for {
		b := d.strongest(now)
		if b == nil {
			return blocked, lifted
		}
		d.insert(b) // the next round takes it into account
		blocked = append(blocked, b.Block)
	}
}

// strongest returns a new block on the feature that explains most crashes, or nil if none explains enough.
func (d *Detector) strongest(now time.Time) (best *block) {
	accusations := map[ident.Fingerprint][]accusation{}
	for _, k := range d.crashes {
		if k.silent {
			continue
		}
		if now.Sub(k.at) < settleTime {
			d.look(k.at.Add(settleTime))
			continue
		}
		d.accuse(k, accusations)
	}
	d.accused, d.weighed = d.accused[:0], d.weighed[:0]
	most := 0
	for f, list := range accusations {
		if len(list) > 1 {
			d.accused = append(d.accused, f)
		}
		list = d.withoutMassCrashes(list)
		w := d.weigh(f, list)
		if w.Targets >= targetsMin {
			d.weighed = append(d.weighed, w)
		}
		weight := w.Weight
		if !w.suffices() || weight < most {
			continue
		}
		b := d.newBlock(now, f, list)
		if d.covering(b.Features) != nil {
			continue // an expired block is renewed only by another crash
		}
		if weight > most || wider(b, best) {
			best, most = b, weight
		}
	}
	return best
}

// wider orders blocks of the same weight, whatever the order of a map: those on fewer features come first.
func wider(a, b *block) bool { return compareSets(a.Features, b.Features) < 0 }

func compareSets(a, b []ident.Fingerprint) int {
	return cmp.Or(cmp.Compare(len(a), len(b)), slices.Compare(a, b))
}

func (d *Detector) expire(now time.Time) {
	n := len(d.crashes)
	d.crashes = slices.DeleteFunc(d.crashes, func(k *crash) bool {
		return now.Sub(k.at) >= crashTTL || k.silent && now.Sub(k.at) >= SilentTime
	})
	d.suspectsChanged = d.suspectsChanged || len(d.crashes) < n
	d.cleared = slices.DeleteFunc(d.cleared, func(f ident.Fingerprint) bool { return now.Sub(d.lastPass(f)) >= crashTTL })
	d.blocks = slices.DeleteFunc(d.blocks, func(b *block) bool { return now.Sub(b.Until) >= RenewTime })
}

// renew renews the expired blocks whose requests crashed a target again.
func (d *Detector) renew(now time.Time) (out []Block) {
	for _, b := range d.blocks {
		if now.Before(b.Until) {
			continue
		}
		for _, k := range d.crashes {
			own := false
			again := !k.silent && k.at.After(b.Until) && slices.ContainsFunc(k.requests, func(r runner) bool {
				hit := !r.Late && contains(r.Features, b.Features)
				own = own || hit && r.own
				return hit
			})
			if again {
				b.duration = min(2*b.duration, longestBlock)
				b.At, b.Until, b.Own = now, now.Add(b.duration), own
				out = append(out, b.Block)
				break
			}
		}
	}
	return out
}

// accuse adds a crash to the accusations of the features that may have caused it.
func (d *Detector) accuse(k *crash, accusations map[ident.Fingerprint][]accusation) {
	suspects, weight := d.suspects(k)
	of := map[ident.Fingerprint][]runner{}
	for _, r := range suspects {
		features := r.Features
		if r.Late {
			features = features[:1] // the others have passed
		}
		for _, f := range features {
			if !d.lastPass(f).After(k.at) {
				of[f] = append(of[f], r)
			}
		}
	}
	for f, requests := range of {
		accusations[f] = append(accusations[f], accusation{crash: k, requests: requests, weight: weight, trial: weight == trialWeight})
	}
}

// suspects returns the requests that may have caused a crash, and how much it counts against them. If some were on trial
// or have the features of a block, the others are innocent; trials of several requests say no more than other crashes.
func (d *Detector) suspects(k *crash) (out []runner, weight int) {
	for _, r := range k.requests {
		if r.Trial && !r.Late {
			out = append(out, r)
		}
	}
	switch len(out) {
	case 0:
	case 1:
		return out, trialWeight
	default:
		return out, earlyWeight
	}
	for _, r := range k.requests {
		if !r.Late {
			out = append(out, r)
		}
	}
	weight = earlyWeight
	if len(out) == 0 {
		out, weight = k.requests, lateWeight
	}
	var known []runner
	for _, r := range out {
		if slices.ContainsFunc(d.blocks, func(b *block) bool { return contains(r.Features, b.Features) }) {
			known = append(known, r)
		}
	}
	if len(known) > 0 {
		return known, weight
	}
	return out, weight
}

// withoutMassCrashes drops the accusations by crashes of many targets at the same moment, unless requests with the
// feature ran on all of them.
func (d *Detector) withoutMassCrashes(list []accusation) (out []accusation) {
	near := func(a, b time.Time) bool { return a.Sub(b).Abs() <= massGap }
	for _, a := range list {
		all, accused := 0, 0
		for _, k := range d.crashes {
			if !k.silent && near(k.at, a.at) {
				all++
			}
		}
		for _, b := range list {
			if near(b.at, a.at) {
				accused++
			}
		}
		if all < massTargets || accused == all {
			out = append(out, a)
		}
	}
	return out
}

// weigh returns the weight of the crashes of which a feature is accused.
func (d *Detector) weigh(f ident.Fingerprint, list []accusation) Suspicion {
	w := Suspicion{Feature: f, Needed: blockWeight}
	if !d.lastPass(f).IsZero() {
		w.Needed = passedWeight
	}
	targets, counted := map[ident.TargetID]bool{}, map[ident.TargetID]bool{}
	var last accusation
	for _, a := range list {
		targets[a.target] = true
		if last.crash != nil && a.at.Sub(last.at) < episodeGap && (!a.trial || last.trial) {
			continue
		}
		last = a
		w.Events++
		w.Weight += a.weight
		counted[a.target] = true
	}
	w.Targets, w.counted = len(targets), len(counted)
	return w
}

// newBlock returns a block on the features that cannot be told apart from f.
func (d *Detector) newBlock(now time.Time, f ident.Fingerprint, list []accusation) *block {
	b := &block{Block: Block{Features: d.commonFeatures(f, list), At: now, Until: now.Add(firstBlock)}, duration: firstBlock}
	for _, a := range list {
		b.Own = b.Own || slices.ContainsFunc(a.requests, func(r runner) bool { return r.own })
	}
	return b
}

// commonFeatures returns the features that occurred with f in a request at each of its crashes, as nothing tells them
// apart.
func (d *Detector) commonFeatures(f ident.Fingerprint, list []accusation) (common []ident.Fingerprint) {
	for i, a := range list {
		var with []ident.Fingerprint
		for _, r := range a.requests {
			for _, g := range r.Features {
				if g == f || !d.lastPass(g).After(a.at) {
					with = append(with, g)
				}
			}
		}
		if i == 0 {
			common = slices.Compact(slices.Sorted(slices.Values(with)))
			continue
		}
		common = slices.DeleteFunc(common, func(g ident.Fingerprint) bool { return !slices.Contains(with, g) })
	}
	return common
}
