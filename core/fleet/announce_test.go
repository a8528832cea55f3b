package fleet_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hickoryvane.example/core/fleet"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/store"
)

// Guards against a target that announced its leaving in an answer and is used again because of its registration, of an
// older copy of it, or of a removal and a return; and against one that stays out of use after it has started again.
func TestAnnouncedLeavingEndsWithThatProcess(t *testing.T) {
	put := func(f *fleet.Fleet, rev store.Rev, boot ident.Boot) []fleet.Change {
		x := target(false)
		x.Rev, x.Boot = rev, boot
		return changes(f.Put(x))
	}
	announce := func(f *fleet.Fleet, boot ident.Boot) []fleet.Change {
		return changes(f.Announce(at(0), fleet.Announcement{Target: "t", Boot: boot, At: at(0)}))
	}
	g := NewWithT(t)
	f := fleet.New()
	put(f, "1.10", 1)
	g.Expect(announce(f, 1)).To(Equal([]fleet.Change{fleet.Leaving}))
	g.Expect(announce(f, 1)).To(BeEmpty())
	g.Expect(put(f, "1.20", 1)).To(BeEmpty(), "the registration still says ready")
	g.Expect(put(f, "2.5", 1)).To(BeEmpty(), "so does an older copy")
	g.Expect(f.Announcements(at(1))).To(HaveLen(1))
	g.Expect(changes(f.Remove(at(2), "t"))).To(Equal([]fleet.Change{fleet.Deregistered}), "it is not held, as it left")
	g.Expect(put(f, "2.30", 1)).NotTo(ContainElement(fleet.Up), "the same process")
	g.Expect(put(f, "2.40", 2)).To(Equal([]fleet.Change{fleet.Up}), "another process")
	g.Expect(announce(f, 1)).To(BeEmpty(), "of the process before")
	g.Expect(f.Announcements(at(3))).To(BeEmpty())

	f = fleet.New()
	g.Expect(announce(f, 1)).To(BeEmpty(), "not listed yet")
	g.Expect(put(f, "1.10", 1)).To(Equal([]fleet.Change{fleet.Leaving}))

	f = fleet.New()
	put(f, "1.10", 1)
	f.Remove(at(0), "t")
	g.Expect(announce(f, 1)).To(Equal([]fleet.Change{fleet.Deregistered}))

	f = fleet.New()
	put(f, "1.10", 0)
	g.Expect(announce(f, 0)).To(Equal([]fleet.Change{fleet.Leaving}))
	f.Remove(at(0), "t")
	g.Expect(put(f, "1.30", 0)).To(Equal([]fleet.Change{fleet.Up}), "registered again, and no boot tells processes apart")
}

// A property over all orders of registrations, older copies, removals, restores, restarts and announcements, in answers
// and from other routers: a target is not in use while its registered process has announced that it leaves, and is in
// use once another process of it is registered.
func TestAnnouncedProcessIsNeverInUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := fleet.New()
		inUse, announced := false, ident.Boot(0)
		var now time.Time
		era, rev, boot := 1, 100, ident.Boot(1)
		registered := ident.Boot(0)
		apply := func(events []fleet.Event) {
			for _, e := range events {
				if inUse = e.Change == fleet.Up || e.Change == fleet.Missing && inUse; e.Change == fleet.Up {
					registered = e.Target.Boot
				}
			}
		}
		put := func(r store.Rev, b ident.Boot) {
			x := target(false)
			x.Rev, x.Boot = r, b
			apply(f.Put(x))
		}
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = at(i * 700)
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				rev++
				put(store.Rev(fmt.Sprintf("%d.%d", era, rev)), boot)
			case 1: // of a router that is behind
				put(store.Rev(fmt.Sprintf("%d.%d", era, rev-rapid.IntRange(1, 5).Draw(t, "age"))), boot)
			case 2:
				era, rev = era+1, rev-rapid.IntRange(0, 20).Draw(t, "lost")
				put(store.Rev(fmt.Sprintf("%d.%d", era, rev)), boot)
			case 3:
				apply(f.Remove(now, "t"))
			case 4:
				boot++
				rev++
				put(store.Rev(fmt.Sprintf("%d.%d", era, rev)), boot)
				if !inUse {
					t.Fatalf("boot %d is registered and not in use", boot)
				}
			case 5:
				b := ident.Boot(rapid.Uint64Range(1, uint64(boot)).Draw(t, "boot"))
				announced = max(announced, b)
				apply(f.Announce(now, fleet.Announcement{Target: "t", Boot: b, At: now}))
			case 6:
				apply(f.Expire(now))
			}
			if inUse && announced == registered {
				t.Fatalf("in use although boot %d announced its leaving", announced)
			}
		}
	})
}
