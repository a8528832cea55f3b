package poison_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/poison"
)

const (
	deadly ident.Fingerprint = 1000 + iota
	shared
	other
)

var t0 = time.Unix(1_800_000_000, 0)

func after(seconds float64) time.Time {
	return t0.Add(time.Duration(seconds * float64(time.Second)))
}

// contents numbers the contents of requests, which are all different.
var contents ident.Fingerprint

// request returns the features of a request that is like no other one but has the given parts.
func request(parts ...ident.Fingerprint) []ident.Fingerprint {
	contents++
	return append([]ident.Fingerprint{1_000_000 + contents}, parts...)
}

func early(features ...[]ident.Fingerprint) (out []poison.Request) {
	for _, f := range features {
		out = append(out, poison.Request{Features: f})
	}
	return out
}

func targetID(n int) ident.TargetID { return ident.TargetID(rune('a' + n)) }

// crashWith records crashes at different targets, a second apart, and takes a step after each.
func crashWith(d *poison.Detector, begin float64, crashes ...[]poison.Request) {
	for i, r := range crashes {
		at := after(begin + float64(i))
		d.RecordCrash(poison.Crash{Target: targetID(int(begin) + i), At: at, Requests: r})
		d.Step(at)
		d.Step(at.Add(500 * time.Millisecond))
	}
}

func refused(d *poison.Detector, seconds float64, parts ...ident.Fingerprint) bool {
	_, ok := d.Match(after(seconds), request(parts...))
	return ok
}

// Guards against a part that crashes target after target while no two requests are alike, and against refusing
// requests that have the other parts of these.
func TestPartInSeveralCrashesIsBlocked(t *testing.T) {
	g := NewWithT(t)
	d := poison.New()
	crashWith(d, 0, early(request(shared, deadly), request(5)), early(request(shared, deadly), request(6)))
	g.Expect(refused(d, 2, shared, deadly)).To(BeFalse())
	crashWith(d, 2, early(request(shared, deadly), request(7)))
	g.Expect(refused(d, 3, shared, deadly)).To(BeTrue())
	g.Expect(refused(d, 3, shared)).To(BeFalse(), "a part that the cause always came with")
	g.Expect(refused(d, 3, 5)).To(BeFalse())
	// The cause comes with another part once its companion has passed.
	d.RecordPass(after(4), request(shared))
	g.Expect(refused(d, 4, other, deadly)).To(BeTrue())
	g.Expect(refused(d, 4, shared)).To(BeFalse())
}

// Guards against a request that is repeated as it is and hides the part that it has in common with others.
func TestCauseIsFoundBehindARepeatedRequest(t *testing.T) {
	g := NewWithT(t)
	d := poison.New()
	r := request(shared, deadly)
	crashWith(d, 0, early(r), early(r), early(r))
	_, ok := d.Match(after(3), r)
	g.Expect(ok).To(BeTrue())
	g.Expect(refused(d, 3, shared, deadly)).To(BeFalse(), "so far only one request is known to crash targets")
	crashWith(d, 3, early(request(shared, deadly)))
	g.Expect(refused(d, 4, shared, deadly)).To(BeTrue())
}

// Guards against blocking what many requests have in common when targets crash for another reason.
func TestSoundRequestsAreNotBlockedAfterOtherCrashes(t *testing.T) {
	g := NewWithT(t)
	d := poison.New()
	for i := range 6 { // a rack fails
		d.RecordCrash(poison.Crash{Target: targetID(i), At: after(float64(i) / 50), Requests: early(request(shared), request(shared))})
	}
	d.Step(after(1))
	g.Expect(refused(d, 1, shared)).To(BeFalse())
	d.RecordPass(after(2), request(other))
	crashWith(d, 3, early(request(other)), early(request(other)), early(request(other)))
	g.Expect(refused(d, 6, other)).To(BeFalse(), "requests with the part passed before")
	crashWith(d, 10, early(request(5)), early(request(5)))
	d.RecordPass(after(12), request(5))
	crashWith(d, 13, early(request(5)))
	g.Expect(refused(d, 14, 5)).To(BeFalse(), "a request with the part passed between the crashes")
}

// Guards against a request that crashes targets late in its answer and is never blocked, as others have just begun.
func TestLateCrashesCountLess(t *testing.T) {
	g := NewWithT(t)
	d := poison.New()
	r := request(shared)
	late := []poison.Request{{Features: r, Late: true}}
	crashWith(d, 0, append(early(request(5)), late...), late, late, late, late, late)
	_, ok := d.Match(after(6), r)
	g.Expect(ok).To(BeFalse(), "once, another request had just begun")
	crashWith(d, 6, late)
	_, ok = d.Match(after(7), r)
	g.Expect(ok).To(BeTrue())
	g.Expect(refused(d, 7, shared)).To(BeFalse())
}

// Guards against a block that ends with the process, that never ends, or that has to be learnt anew.
func TestBlockIsMergedRenewedAndLifted(t *testing.T) {
	g := NewWithT(t)
	a, b := poison.New(), poison.New()
	crashWith(a, 0, early(request(deadly)), early(request(deadly)), early(request(deadly)))
	for _, k := range a.Blocks(after(3)) {
		g.Expect(k.Own).To(BeTrue())
		b.MergeBlock(after(3), k)
	}
	g.Expect(refused(b, 3, deadly)).To(BeTrue())
	g.Expect(refused(b, 150, deadly)).To(BeFalse(), "expired")
	crashWith(b, 150, early(request(deadly)))
	g.Expect(refused(b, 151, deadly)).To(BeTrue(), "renewed by the first crash")
	b.MergePass(deadly, after(152))
	_, lifted := b.Step(after(152))
	g.Expect(lifted).To(HaveLen(1))
	g.Expect(refused(b, 152, deadly)).To(BeFalse())
	for _, k := range a.Blocks(after(3)) {
		b.MergeBlock(after(152), k)
	}
	g.Expect(refused(b, 152, deadly)).To(BeFalse(), "a request passed after the block")
}

// Guards against results that depend on who saw a crash, on repeated reports, or on memory that grows.
func TestReportsMergeInAnyOrder(t *testing.T) {
	g := NewWithT(t)
	var reports []poison.Crash
	for i := range 3 {
		at := after(float64(i))
		reports = append(reports,
			poison.Crash{Target: targetID(i), At: at, Requests: early(request(shared, deadly))},
			poison.Crash{Target: targetID(i), At: at.Add(30 * time.Millisecond), Requests: []poison.Request{{Features: request(other), Late: true}}})
	}
	for range 20 {
		d := poison.New()
		for _, i := range rand.Perm(2 * len(reports)) {
			d.MergeCrash(reports[i%len(reports)])
		}
		blocked, _ := d.Step(after(3))
		g.Expect(blocked).To(HaveLen(1))
		g.Expect(blocked[0].Features).To(Equal([]ident.Fingerprint{deadly, shared}))
		g.Expect(blocked[0].Own).To(BeFalse())
	}
}

// Guards against blaming a sound part on what one router saw, before the others told what else ran on the targets.
func TestBestExplanationComesFirst(t *testing.T) {
	g := NewWithT(t)
	d := poison.New()
	for i := range 4 {
		at := after(float64(i))
		if i < 3 {
			d.RecordCrash(poison.Crash{Target: targetID(i), At: at, Requests: early(request(other))})
		}
		d.Step(at.Add(50 * time.Millisecond))
		g.Expect(refused(d, float64(i), other)).To(BeFalse())
		d.MergeCrash(poison.Crash{Target: targetID(i), At: at, Requests: early(request(deadly))})
		d.Step(at.Add(60 * time.Millisecond))
	}
	d.Step(after(4))
	g.Expect(refused(d, 4, deadly)).To(BeTrue())
	g.Expect(refused(d, 4, other)).To(BeFalse())
}
