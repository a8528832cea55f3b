package poison

import (
	"slices"
	"time"

	"hickoryvane.example/core/ident"
)

// Passes.
//
// A request that crashes targets crashes each of them, so one that was answered before is probably sound, whatever it ran
// on since. Parts of prompts are few and their passes are kept for long. Most contents never come again; those that come
// often, such as the read of a state that many clients poll, are the ones that run on several targets when these crash
// together.

const (
	// partPassesMax and contentPassesMax are the numbers of parts and of contents whose last pass is surely remembered; up
	// to twice as many are.
	partPassesMax    = 1 << 14
	contentPassesMax = 1 << 12
)

// Pass is the last pass of a feature.
type Pass struct {
	Feature ident.Fingerprint
	At      time.Time
	// Since is the time since which other routers may need to know of the pass: At, or a later crash at which a request
	// with the feature ran.
	Since time.Time `json:"-"`
}

// RecordPass records that a request with the features did not crash its target.
func (d *Detector) RecordPass(now time.Time, features []ident.Fingerprint) {
	for i, f := range features {
		if i == 0 && !d.known(f) {
			d.contents.Record(f, now)
			continue
		}
		d.MergePass(f, now)
	}
}

// known reports whether a content was running at a crash or is blocked.
func (d *Detector) known(content ident.Fingerprint) bool {
	for _, k := range d.crashes {
		if slices.ContainsFunc(k.requests, func(r runner) bool { return r.Features[0] == content }) {
			return true
		}
	}
	return d.inBlock(content)
}

// MergePass records that a request with the feature passed at another router.
func (d *Detector) MergePass(f ident.Fingerprint, at time.Time) {
	if !at.After(d.lastPass(f)) {
		return
	}
	d.clearSuspects(f)
	d.passes.Record(f, at)
	for _, b := range slices.Clone(d.blocks) {
		if at.After(b.At) && slices.Contains(b.Features, f) {
			d.clear(b, f)
		}
	}
}

// lastPass returns the time of the last known pass of a feature; zero if there is none.
func (d *Detector) lastPass(f ident.Fingerprint) time.Time {
	at, content := d.passes.Last(f), d.contents.Last(f)
	if content.After(at) {
		return content
	}
	return at
}

// oldestPass returns the oldest of the last passes of the features; zero if one of them never passed.
func (d *Detector) oldestPass(features []ident.Fingerprint) (oldest time.Time) {
	for i, f := range features {
		if at := d.lastPass(f); i == 0 || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// Passes returns the last passes of the features that are accused, on trial or blocked, for the other routers.
func (d *Detector) Passes() (out []Pass) {
	since := map[ident.Fingerprint]time.Time{}
	for _, s := range d.suspected() {
		for _, f := range s.features {
			if s.last.After(since[f]) {
				since[f] = s.last
			}
		}
	}
	features := slices.Concat(d.accused, d.cleared)
	for f := range since {
		features = append(features, f)
	}
	for _, b := range d.blocks {
		features = append(features, b.Features...)
	}
	slices.Sort(features)
	for _, f := range slices.Compact(features) {
		if at := d.lastPass(f); !at.IsZero() {
			p := Pass{Feature: f, At: at, Since: at}
			if since[f].After(at) {
				p.Since = since[f]
			}
			out = append(out, p)
		}
	}
	return out
}
