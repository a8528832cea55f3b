package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/fleet"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/store"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func target(leaving bool) fleet.Target {
	return fleet.Target{ID: "t", Service: "s", Address: "10.0.0.1:80", Slots: 2, Leaving: leaving, Boot: 1}
}

func changes(l []fleet.Event) (out []fleet.Change) {
	for _, e := range l {
		out = append(out, e.Change)
	}
	return out
}

// Guards against requests at a target that has announced that it is leaving.
func TestLeavingTargetIsReportedAtOnce(t *testing.T) {
	g := NewWithT(t)
	f := fleet.New()
	g.Expect(changes(f.Put(target(false)))).To(Equal([]fleet.Change{fleet.Up}))
	g.Expect(changes(f.Put(target(true)))).To(Equal([]fleet.Change{fleet.Leaving}))
	g.Expect(f.Put(target(true))).To(BeEmpty())
	g.Expect(changes(f.Remove(at(0), "t"))).To(Equal([]fleet.Change{fleet.Deregistered}))
}

// Guards against the loss of a healthy target whose entry expired during an outage of the store that no failed
// call revealed.
func TestRemovalIsHeldUntilTheEntryReappears(t *testing.T) {
	g := NewWithT(t)
	f := fleet.New()
	f.Put(target(false))
	g.Expect(changes(f.Remove(at(0), "t"))).To(Equal([]fleet.Change{fleet.Missing}))
	g.Expect(f.Expire(at(1900))).To(BeEmpty())
	g.Expect(changes(f.Put(target(false)))).To(Equal([]fleet.Change{fleet.Up}))
	g.Expect(f.Expire(at(9000))).To(BeEmpty())
}

// Guards against a target that stays in use after its removal: the bound is 2.5 s.
func TestMissingEntryIsRemovedInTime(t *testing.T) {
	g := NewWithT(t)
	f := fleet.New()
	f.Put(target(false))
	f.Remove(at(0), "t")
	g.Expect(f.Remove(at(500), "t")).To(BeEmpty(), "a second removal does not extend the hold")
	g.Expect(changes(f.Expire(at(2000)))).To(Equal([]fleet.Change{fleet.Deregistered}))
	g.Expect(f.Len()).To(BeZero())
}

// Guards against targets that are removed during an outage, and against ones that are kept after it.
func TestTargetsAreKeptDuringAnOutage(t *testing.T) {
	g := NewWithT(t)
	f := fleet.New()
	f.Put(target(false))
	f.StoreUnreachable()
	f.Remove(at(0), "t")
	g.Expect(f.Expire(at(9000))).To(BeEmpty())
	g.Expect(f.ApplyList(at(10_000), nil)).To(BeEmpty())
	g.Expect(f.Expire(at(11_000))).To(BeEmpty())
	g.Expect(changes(f.Expire(at(12_000)))).To(Equal([]fleet.Change{fleet.Deregistered}))
}

// Guards against a restarted process that is taken for the earlier one with the same id.
func TestRestartedTargetIsReported(t *testing.T) {
	g := NewWithT(t)
	f := fleet.New()
	f.Put(target(false))
	b := target(false)
	b.Boot = 2
	g.Expect(changes(f.Put(b))).To(Equal([]fleet.Change{fleet.Up}))
}

// Guards against entries that are kept although a list no longer contains them.
func TestListReplacesKnownTargets(t *testing.T) {
	g := NewWithT(t)
	f := fleet.New()
	f.Put(target(true))
	o := target(false)
	o.ID = "o"
	g.Expect(f.ApplyList(at(0), []fleet.Target{o})).To(HaveLen(2))
	g.Expect(f.Len()).To(Equal(1))
}

// Guards against a removed target that is held longer than the bound of its deployment allows.
func TestRemovalHoldFollowsTheBound(t *testing.T) {
	g := NewWithT(t)
	f := fleet.New(fleet.WithRemovalBound(1500 * time.Millisecond))
	f.Put(target(false))
	f.Remove(at(0), "t")
	g.Expect(f.Expire(at(1000))).To(BeEmpty())
	g.Expect(changes(f.Expire(at(1100)))).To(Equal([]fleet.Change{fleet.Deregistered}))
}

// Guards against a target that left, or that is leaving, and is used again because another router whose copy of the
// registrations is older passes it on.
func TestOlderCopyBringsNoTargetBack(t *testing.T) {
	g := NewWithT(t)
	copyOf := func(rev store.Rev, leaving bool) fleet.Target {
		x := target(leaving)
		x.Rev = rev
		return x
	}
	f := fleet.New()
	f.Put(copyOf("9", false))
	g.Expect(changes(f.Put(copyOf("10", true)))).To(Equal([]fleet.Change{fleet.Leaving}))
	g.Expect(f.ApplyList(at(0), []fleet.Target{copyOf("9", false)})).To(BeEmpty(), "it is leaving")
	g.Expect(changes(f.Remove(at(100), "t"))).To(Equal([]fleet.Change{fleet.Deregistered}))
	for _, rev := range []store.Rev{"9", "10"} {
		g.Expect(f.ApplyList(at(200), []fleet.Target{copyOf(rev, false)})).To(BeEmpty(), "it was removed")
	}
	g.Expect(changes(f.Put(copyOf("11", false)))).To(Equal([]fleet.Change{fleet.Up}), "it registered again")
	f.Remove(at(300), "t")
	g.Expect(changes(f.Expire(at(2300)))).To(Equal([]fleet.Change{fleet.Deregistered}))
	g.Expect(f.Put(copyOf("11", false))).To(BeEmpty(), "it was removed without notice")
}

// Guards against a registration that counts as outdated because a restored store gives out lower revisions, and against
// one from the copy that brings back a target which left.
func TestRestoredStoreHasLaterRevisions(t *testing.T) {
	put := func(f *fleet.Fleet, rev store.Rev, leaving bool, boot ident.Boot) []fleet.Change {
		x := target(leaving)
		x.Rev, x.Boot = rev, boot
		return changes(f.Put(x))
	}
	g := NewWithT(t)
	f := fleet.New()
	put(f, "1.90", false, 1)
	g.Expect(put(f, "2.40", true, 1)).To(Equal([]fleet.Change{fleet.Leaving}))
	g.Expect(put(f, "1.95", false, 1)).To(BeEmpty(), "from a router that is behind")
	g.Expect(put(f, "3.20", false, 1)).To(BeEmpty(), "from the copy")
	g.Expect(put(f, "3.25", false, 2)).To(Equal([]fleet.Change{fleet.Up}), "another process")

	f = fleet.New()
	put(f, "1.90", true, 1)
	f.Remove(at(0), "t")
	g.Expect(put(f, "2.80", false, 1)).To(BeEmpty(), "it announced its shutdown")
	g.Expect(put(f, "2.85", false, 2)).To(Equal([]fleet.Change{fleet.Up}))

	f = fleet.New()
	put(f, "1.90", false, 1)
	f.Remove(at(0), "t")
	f.Expire(at(2500))
	g.Expect(f.Len()).To(BeZero())
	g.Expect(put(f, "2.90", false, 1)).To(BeEmpty(), "the registration that was removed")
	g.Expect(put(f, "2.95", false, 1)).To(Equal([]fleet.Change{fleet.Up}), "registered again")
}
