package poison

import (
	"slices"
	"time"

	"hickoryvane.example/core/ident"
)

// Trials.
//
// Load pattern: requests with the same content run on several targets, and these end together. They may have ended for a
// reason of their own, so together they count as one crash. But targets that end together come back together, and if the
// requests are the cause, they end all targets once more for each crash that counts.
//
// What was running when several targets crashed or fell silent, and has not passed since, is on trial: all routers
// together send one such request at a time. If it passes, all others follow; if its target crashes, too, that counts for
// more than a crash among many requests. What is sound waits for one of its like, and what is not costs one target.
//
// The last target in use is spared for some seconds, as all other requests need it, but not from what has passed before:
// crashes of several targets at one moment say little against a request that targets answer all the time.

const (
	// trialTargets is the number of targets whose crashes put a feature on trial, and of those that have to be in use so
	// that a trial does not take the last one. From lastTargetDelay after a crash on, that does not matter.
	trialTargets    = 2
	lastTargetDelay = 5 * time.Second
	// trialWeight is the weight of a crash under a request on trial.
	trialWeight = 2 * earlyWeight
	// trialVerifyTime is the time after a lost answer in which its target is found down; trialSilentTime is that in
	// which a silent target is replaced, or answers again.
	trialVerifyTime = 500 * time.Millisecond
	trialSilentTime = 4 * time.Second
	// clearedMax bounds the features that passed a trial and are told to the other routers.
	clearedMax = 64
	// waitingClaimTTL is the time after which the claim of a request that no longer asks for its trial ends.
	waitingClaimTTL = 200 * time.Millisecond
	// peerClaimTTL is the time for which the claims of a silent router hold; peerClaimsMax bounds those of one router.
	peerClaimTTL  = 2 * time.Second
	peerClaimsMax = 16
)

// suspect is a set of features that were running at the crashes of several targets and cannot be told apart.
type suspect struct {
	features []ident.Fingerprint
	// targets is the number of these targets, last the time of the last crash.
	targets int
	last    time.Time
}

// Trial is why a request may be sent only as a trial.
type Trial struct {
	// Features are those that the request has in common with others that were running at crashes.
	Features []ident.Fingerprint
	// Targets is the number of targets that crashed, Crashed the time of the last of these crashes.
	Targets int
	Crashed time.Time
	// Passed is the time since which no feature lacks a pass: the oldest of their last passes. It is zero if one of them
	// never passed.
	Passed time.Time
	// Reported is true once all routers have reported on it.
	Reported bool
}

// Refused reports whether the request is refused at once, as its trial could end the last target of its service that is
// in use. One that passed before is not: it is probably sound, and its callers have no other target. Nothing is refused
// before all routers have reported, as another one may know of a pass.
func (t Trial) Refused(now time.Time, inUse int) bool {
	return t.Reported && t.Passed.IsZero() && inUse < trialTargets && now.Sub(t.Crashed) < lastTargetDelay
}

// Trial returns whether a request with the features is on trial.
func (d *Detector) Trial(now time.Time, features []ident.Fingerprint) (Trial, bool) {
	for _, t := range d.Trials(now) {
		if contains(features, t.Features) {
			return t, true
		}
	}
	return Trial{}, false
}

// Trials returns what is on trial, in the order of the features.
func (d *Detector) Trials(now time.Time) (out []Trial) {
	for _, s := range d.suspected() {
		if now.Sub(s.last) < crashTTL {
			out = append(out, Trial{Features: s.features, Targets: s.targets, Crashed: s.last, Passed: d.oldestPass(s.features), Reported: now.Sub(s.last) >= settleTime})
		}
	}
	return out
}

// NewTrials returns what was put on trial since the last call, or again by another crash.
func (d *Detector) NewTrials(now time.Time) (out []Trial) {
	list := d.Trials(now)
	for _, t := range list {
		if !slices.ContainsFunc(d.toldTrials, func(o Trial) bool { return o.Crashed.Equal(t.Crashed) && slices.Equal(o.Features, t.Features) }) {
			out = append(out, t)
		}
	}
	d.toldTrials = list
	return out
}

// suspected returns what is on trial unless its crashes are long ago.
func (d *Detector) suspected() []suspect {
	if d.suspectsChanged {
		d.findSuspects()
	}
	return d.onTrial
}

// findSuspects derives from the crashes what is on trial. A part of prompts is not if requests with it passed before:
// many sound requests have it.
func (d *Detector) findSuspects() {
	d.suspectsChanged, d.onTrial = false, d.onTrial[:0]
	accusations := map[ident.Fingerprint][]accusation{}
	for _, k := range d.crashes {
		d.accuse(k, accusations)
	}
	for f, list := range accusations {
		targets := map[ident.TargetID]bool{}
		for _, a := range list {
			targets[a.target] = true
		}
		if len(targets) < trialTargets || !d.lastPass(f).IsZero() && !isContent(f, list) {
			continue
		}
		s := suspect{features: d.commonFeatures(f, list), targets: len(targets), last: list[len(list)-1].at}
		if !slices.ContainsFunc(d.onTrial, func(o suspect) bool { return slices.Equal(o.features, s.features) }) {
			d.onTrial = append(d.onTrial, s)
		}
	}
	slices.SortFunc(d.onTrial, func(a, b suspect) int { return compareSets(a.features, b.features) })
}

// isContent reports whether a feature is the content of a request.
func isContent(f ident.Fingerprint, list []accusation) bool {
	return slices.ContainsFunc(list[0].requests, func(r runner) bool { return r.Features[0] == f })
}

// SilentSince returns the time since which a target is silent, as far as any router has reported.
func (d *Detector) SilentSince(t ident.TargetID) (at time.Time, ok bool) {
	for _, k := range d.crashes {
		if k.silent && k.target == t {
			return k.at, true
		}
	}
	return time.Time{}, false
}

// clearSuspects ends the trials of what has a feature that passes.
func (d *Detector) clearSuspects(f ident.Fingerprint) {
	if !slices.ContainsFunc(d.suspected(), func(s suspect) bool { return slices.Contains(s.features, f) }) {
		return
	}
	d.suspectsChanged = true
	if !slices.Contains(d.cleared, f) {
		d.cleared = append(d.cleared, f)
	}
	if len(d.cleared) > clearedMax {
		d.cleared = d.cleared[1:]
	}
}

// Claim tells the other routers of a request on trial that waits at a router, or runs.
type Claim struct {
	Features []ident.Fingerprint
	Running  bool
}

// claim is a claim of this router.
type claim struct {
	Claim
	since, until time.Time
}

// Docket decides which router sends a request on trial. A router claims the trial, waits until the others have heard of
// it, and goes ahead if none of them runs a trial of the same features or is first by its name. It is not safe for
// concurrent use.
type Docket struct {
	self ident.ProcessID
	// own holds at most one claim for the same features.
	own   []*claim
	peers map[ident.ProcessID]peerClaims
}

// peerClaims are the claims of another router at a time.
type peerClaims struct {
	claims []Claim
	at     time.Time
}

// NewDocket returns a docket of the router self.
func NewDocket(self ident.ProcessID) *Docket {
	return &Docket{self: self, peers: map[ident.ProcessID]peerClaims{}}
}

// Begin asks for the trial of a request. It is to be called again and again until ok is true, and End after that. heard is
// the time after which the other routers have heard of a claim. changed is true if they are to be told.
func (k *Docket) Begin(now time.Time, t Trial, request []ident.Fingerprint, heard time.Duration) (ok, changed bool) {
	k.expire(now)
	c := k.claimOn(t.Features)
	if c == nil {
		c = &claim{Claim: Claim{Features: request}, since: now}
		k.own = append(k.own, c)
		changed = true
	}
	if c.Running {
		return false, changed
	}
	c.until = now.Add(waitingClaimTTL)
	if !t.Reported || now.Sub(c.since) < heard || k.precedes(t.Features) {
		return false, changed
	}
	c.Features, c.Running, c.until = request, true, time.Time{}
	return true, true
}

// TimeToVerify returns the time after the run of a request on trial in which it turns out whether its target is down: lost
// is true if its answer was lost, silent if the target has answered nothing since.
func TimeToVerify(lost, silent bool) time.Duration {
	switch {
	case silent:
		return trialSilentTime
	case lost:
		return trialVerifyTime
	}
	return 0
}

// End ends the trial of a request after the given time, that of TimeToVerify.
func (k *Docket) End(now time.Time, request []ident.Fingerprint, after time.Duration) {
	for _, c := range k.own {
		if c.Running && c.until.IsZero() && slices.Equal(c.Features, request) {
			c.until = now.Add(after)
			return
		}
	}
}

// claimOn returns the claim of this router for a request with the features, or nil.
func (k *Docket) claimOn(features []ident.Fingerprint) *claim {
	i := slices.IndexFunc(k.own, func(c *claim) bool { return contains(c.Features, features) })
	if i < 0 {
		return nil
	}
	return k.own[i]
}

// precedes reports whether the claim of another router goes first.
func (k *Docket) precedes(features []ident.Fingerprint) bool {
	for id, p := range k.peers {
		for _, c := range p.claims {
			if (c.Running || id < k.self) && contains(c.Features, features) {
				return true
			}
		}
	}
	return false
}

func (k *Docket) expire(now time.Time) {
	k.own = slices.DeleteFunc(k.own, func(c *claim) bool { return !c.until.IsZero() && !now.Before(c.until) })
	for id, p := range k.peers {
		if now.Sub(p.at) >= peerClaimTTL {
			delete(k.peers, id)
		}
	}
}

// Claims returns the claims of this router, for the others.
func (k *Docket) Claims(now time.Time) (out []Claim) {
	k.expire(now)
	for _, c := range k.own[:min(len(k.own), peerClaimsMax)] {
		out = append(out, c.Claim)
	}
	return out
}

// Merge replaces the claims of another router.
func (k *Docket) Merge(now time.Time, from ident.ProcessID, claims []Claim) {
	if len(claims) == 0 {
		delete(k.peers, from)
		return
	}
	k.peers[from] = peerClaims{claims: claims[:min(len(claims), peerClaimsMax)], at: now}
}
