package poison_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/poison"
)

// crashTogether records crashes of targets at the same moment, under the same request.
func crashTogether(d *poison.Detector, seconds float64, first, n int, requests ...poison.Request) {
	for i := range n {
		d.RecordCrash(poison.Crash{Target: targetID(first + i), At: after(seconds + float64(i)/50), Requests: requests})
	}
	d.Step(after(seconds + 0.5))
}

func onTrial(d *poison.Detector, seconds float64, features []ident.Fingerprint) bool {
	_, ok := d.Trial(after(seconds), features)
	return ok
}

// Guards against a request that ends all targets together once for each crash that counts.
func TestCrashUnderATrialBlocksAfterOneRound(t *testing.T) {
	g := NewWithT(t)
	d := poison.New()
	r := request(shared)
	d.RecordPass(after(-1), request(shared))
	crashTogether(d, 0, 0, 1, early(r)...)
	g.Expect(onTrial(d, 0.5, r)).To(BeFalse(), "one crash")
	crashTogether(d, 0.6, 1, 2, early(r)...)
	g.Expect(onTrial(d, 1, r)).To(BeTrue())
	g.Expect(onTrial(d, 1, request(shared))).To(BeFalse(), "a part that passed")
	_, blocked := d.Match(after(1), r)
	g.Expect(blocked).To(BeFalse())
	d.RecordCrash(poison.Crash{Target: targetID(3), At: after(4), Requests: []poison.Request{{Features: r, Trial: true}, {Features: request(other)}}})
	d.Step(after(4.5))
	_, blocked = d.Match(after(5), r)
	g.Expect(blocked).To(BeTrue())
	g.Expect(refused(d, 5, other)).To(BeFalse())
	g.Expect(refused(d, 5, shared)).To(BeFalse())
}

// Guards against a sound request that stays on trial after targets ended together for another reason.
func TestPassEndsTheTrialAtAllRouters(t *testing.T) {
	g := NewWithT(t)
	a, b := poison.New(), poison.New()
	r := request(shared)
	for _, d := range []*poison.Detector{a, b} {
		crashTogether(d, 0, 0, 4, early(r)...)
		g.Expect(onTrial(d, 1, r)).To(BeTrue())
	}
	a.RecordPass(after(2), r)
	g.Expect(onTrial(a, 2, r)).To(BeFalse())
	for _, p := range a.Passes() {
		b.MergePass(p.Feature, p.At)
	}
	g.Expect(onTrial(b, 2, r)).To(BeFalse())
	crashTogether(a, 3, 4, 4, early(r)...)
	g.Expect(onTrial(a, 4, r)).To(BeTrue(), "crashes after the pass")
	g.Expect(onTrial(a, 4+601, r)).To(BeFalse(), "long ago")
}

// Guards against a crash of many targets that counts as one under a trial which ran on only one of them.
func TestTrialOnOneOfManyCrashedTargetsCountsNothing(t *testing.T) {
	g := NewWithT(t)
	d := poison.New()
	r := request()
	crashTogether(d, 0, 0, 3, early(r)...)
	for i := range 3 {
		d.RecordCrash(poison.Crash{Target: targetID(5 + i), At: after(4), Requests: []poison.Request{{Features: map[bool][]ident.Fingerprint{true: r, false: request()}[i == 0], Trial: i == 0}}})
	}
	d.Step(after(5))
	_, blocked := d.Match(after(5), r)
	g.Expect(blocked).To(BeFalse())
}

// Guards against a trial mark that is lost because another router reported the same request without it.
func TestTrialMarkIsMerged(t *testing.T) {
	g := NewWithT(t)
	d := poison.New()
	r := request()
	crashTogether(d, 0, 0, 3, early(r)...)
	d.RecordCrash(poison.Crash{Target: targetID(5), At: after(4), Requests: early(r)})
	d.Step(after(4.5))
	d.MergeCrash(poison.Crash{Target: targetID(5), At: after(4), Requests: []poison.Request{{Features: r, Trial: true}}})
	d.Step(after(5))
	_, blocked := d.Match(after(5), r)
	g.Expect(blocked).To(BeTrue())
}

// Guards against several routers that send requests on trial at the same time, and against one that never does.
func TestOneTrialAtATimeOverAllRouters(t *testing.T) {
	g := NewWithT(t)
	const (
		interval = 50 * time.Millisecond
		delay    = 8 * time.Millisecond
		runTime  = 95 * time.Millisecond
	)
	for seed := range uint64(40) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		features := request(shared)
		tr := poison.Trial{Features: features, Reported: true}
		type router struct {
			docket   *poison.Docket
			sends    time.Duration
			runs     time.Time
			finished int
		}
		var routers []*router
		for i := range 6 {
			routers = append(routers, &router{docket: poison.NewDocket(ident.ProcessID(rune('a' + i))), sends: time.Duration(rnd.Int64N(int64(interval)))})
		}
		type message struct {
			at   time.Time
			from int
			list []poison.Claim
		}
		var inbox []message
		running, most := 0, 0
		for ms := range 6000 {
			now := t0.Add(time.Duration(ms) * time.Millisecond)
			for len(inbox) > 0 && !inbox[0].at.After(now) {
				for i, r := range routers {
					if i != inbox[0].from {
						r.docket.Merge(now, ident.ProcessID(rune('a'+inbox[0].from)), inbox[0].list)
					}
				}
				inbox = inbox[1:]
			}
			for i, r := range routers {
				if now.Sub(t0)%interval == r.sends/time.Millisecond*time.Millisecond%interval {
					inbox = append(inbox, message{now.Add(delay), i, r.docket.Claims(now)})
				}
				switch {
				case !r.runs.IsZero() && now.Sub(r.runs) >= runTime:
					r.docket.End(now, features, 0)
					r.runs = time.Time{}
					r.finished++
					running--
				case r.runs.IsZero() && ms%20 == i && (r.finished == 0 || ms > 3000):
					if ok, _ := r.docket.Begin(now, tr, features, interval+delay+5*time.Millisecond); ok {
						r.runs = now
						running++
						most = max(most, running)
					}
				}
			}
		}
		g.Expect(most).To(Equal(1), "seed %d", seed)
		for i, r := range routers {
			g.Expect(r.finished).To(BeNumerically(">", 0), "seed %d, router %d", seed, i)
		}
	}
}

// Guards against trials that wait for ever for a router that is gone, or for a caller who left.
func TestClaimsExpire(t *testing.T) {
	g := NewWithT(t)
	features := request()
	tr := poison.Trial{Features: features, Reported: true}
	k := poison.NewDocket("b")
	k.Merge(after(0), "a", []poison.Claim{{Features: features, Running: true}})
	begin := func(seconds float64) bool {
		ok, _ := k.Begin(after(seconds), tr, features, 0)
		return ok
	}
	g.Expect(begin(1)).To(BeFalse())
	g.Expect(k.Claims(after(1))).To(HaveLen(1))
	g.Expect(k.Claims(after(1.5))).To(BeEmpty(), "its caller left")
	g.Expect(begin(2.5)).To(BeTrue())
	g.Expect(begin(2.6)).To(BeFalse(), "one is running")
	k.End(after(3), features, 500*time.Millisecond)
	g.Expect(begin(3.1)).To(BeFalse(), "the target may be found down")
	g.Expect(begin(3.6)).To(BeTrue())
}

// Guards against a target that falls silent and accuses nobody, and against one that goes on and is taken for crashed.
func TestSilenceCountsOnceItsTargetEnded(t *testing.T) {
	g := NewWithT(t)
	r := request()
	silent := func(n int, at float64) poison.Crash {
		return poison.Crash{Target: targetID(n), At: after(at), Requests: early(r), Silent: true}
	}
	d := poison.New()
	for i := range 4 {
		d.RecordCrash(silent(i, float64(i)))
		d.Step(after(float64(i) + 0.5))
	}
	_, blocked := d.Match(after(4), r)
	g.Expect(blocked).To(BeFalse())
	g.Expect(onTrial(d, 4, r)).To(BeTrue())
	_, isSilent := d.SilentSince(targetID(0))
	g.Expect(isSilent).To(BeTrue())
	for i := range 3 {
		d.MergeCrash(poison.Crash{Target: targetID(i), At: after(float64(i) + 0.1), Requests: early(r)})
		d.MergeCrash(poison.Crash{Target: targetID(i), At: after(float64(i) + 4), Requests: early(r)})
	}
	d.Step(after(5))
	_, blocked = d.Match(after(5), r)
	g.Expect(blocked).To(BeTrue())
	g.Expect(d.Suspicions()).To(ConsistOf(HaveField("Targets", 3)), "one crash of each target, however late it was found")

	d = poison.New()
	d.RecordCrash(silent(0, 0))
	d.RecordCrash(silent(1, 0))
	d.Step(after(11))
	g.Expect(onTrial(d, 11, r)).To(BeFalse(), "the targets went on")
}

// Guards against a sound request that is blocked because its trial ran on the target that the trial of another request
// ended.
func TestTrialsOfTwoRequestsOnOneTargetAreAmbiguous(t *testing.T) {
	g := NewWithT(t)
	d := poison.New()
	sound, guilty := request(), request()
	crashTogether(d, 0, 0, 3, early(sound, guilty)...)
	trial := func(seconds float64, target int, features ...[]ident.Fingerprint) {
		requests := early(features...)
		for i := range requests {
			requests[i].Trial = true
		}
		d.RecordCrash(poison.Crash{Target: targetID(target), At: after(seconds), Requests: requests})
		d.Step(after(seconds + 0.5))
	}
	trial(4, 4, sound, guilty)
	_, blocked := d.Match(after(5), sound)
	g.Expect(blocked).To(BeFalse())
	d.RecordPass(after(5), sound)
	trial(8, 5, guilty)
	_, blocked = d.Match(after(9), guilty)
	g.Expect(blocked).To(BeTrue())
	_, blocked = d.Match(after(9), sound)
	g.Expect(blocked).To(BeFalse())
}
