package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/fleet"
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

// Guards against requests at a target that has announced its leaving.
func TestLeavingTargetIsReportedAtOnce(t *testing.T) {
	g := NewWithT(t)
	f := fleet.New()
	g.Expect(changes(f.Put(target(false)))).To(Equal([]fleet.Change{fleet.Up}))
	g.Expect(changes(f.Put(target(true)))).To(Equal([]fleet.Change{fleet.Leaving}))
	g.Expect(f.Put(target(true))).To(BeEmpty())
	g.Expect(changes(f.Remove(at(0), "t"))).To(Equal([]fleet.Change{fleet.Deregistered}))
}

// Guards against the loss of a sound target whose entry lapsed while the store was away, without any
// failed call that showed the outage.
func TestRemovalIsHeldUntilTheEntryReappears(t *testing.T) {
	g := NewWithT(t)
	f := fleet.New()
	f.Put(target(false))
	g.Expect(changes(f.Remove(at(0), "t"))).To(Equal([]fleet.Change{fleet.Missing}))
	g.Expect(f.Expire(at(1900))).To(BeEmpty())
	g.Expect(changes(f.Put(target(false)))).To(Equal([]fleet.Change{fleet.Up}))
	g.Expect(f.Expire(at(9000))).To(BeEmpty())
}

// Guards against a target that stays in use after its removal: the bound for that is 2.5 s.
func TestMissingEntryIsRemovedInTime(t *testing.T) {
	g := NewWithT(t)
	f := fleet.New()
	f.Put(target(false))
	f.Remove(at(0), "t")
	g.Expect(f.Remove(at(500), "t")).To(BeEmpty(), "a second removal does not extend the hold")
	g.Expect(changes(f.Expire(at(2000)))).To(Equal([]fleet.Change{fleet.Deregistered}))
	g.Expect(f.Len()).To(BeZero())
}

// Guards against targets that are dropped during an outage, and against ones kept after it.
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

// Guards against a process that started again under its id and is taken for the earlier one.
func TestRestartedTargetIsReported(t *testing.T) {
	g := NewWithT(t)
	f := fleet.New()
	f.Put(target(false))
	b := target(false)
	b.Boot = 2
	g.Expect(changes(f.Put(b))).To(Equal([]fleet.Change{fleet.Up}))
}

// Guards against entries that a list no longer names.
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
