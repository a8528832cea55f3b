package scout_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/scout"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// peersOf returns n peers with ranks from 1 on that all reach the store.
func peersOf(n int, pos scout.Position) (out []scout.Peer) {
	for i := range n {
		out = append(out, scout.Peer{ID: ident.ProcessID(fmt.Sprint("r", i+1)), Rank: uint64(i + 1), Reachable: true, Position: pos})
	}
	return out
}

// Load pattern: 34 routers that all hear each other. Guards against watches with short calls at more than two of
// them, and against none, also when the first ones do not reach the store or are not heard any more.
func TestTwoRoutersScoutForTheOthers(t *testing.T) {
	g := NewWithT(t)
	modes := func(all []scout.Peer) (n int) {
		for i, p := range all {
			others := append(append([]scout.Peer(nil), all[:i]...), all[i+1:]...)
			if scout.ModeOf(p.Rank, p.Reachable, others) == scout.Scout {
				n++
			}
		}
		return n
	}
	all := peersOf(34, scout.Position{})
	g.Expect(modes(all)).To(Equal(2))
	g.Expect(modes(all[2:])).To(Equal(2), "the first two are gone")
	all[0].Reachable, all[1].Reachable = false, false
	g.Expect(modes(all)).To(Equal(4), "two that do not reach the store, and two for the others")
	g.Expect(scout.ModeOf(50, true, nil)).To(Equal(scout.Alone), "it hears nobody")
	g.Expect(scout.ModeOf(50, true, peersOf(4, scout.Position{}))).To(Equal(scout.Alone), "a small deployment")
}

// Guards against a follower whose watch is silent and that never lists again, and against one that lists because a
// peer is ahead for a moment only.
func TestFollowerListsAgainWhenItIsBehind(t *testing.T) {
	g := NewWithT(t)
	own, ahead := scout.Position{Rev: "9", Count: 5}, scout.Position{Rev: "12", Count: 5}
	var l scout.Lag
	check := func(ms int, own, theirs scout.Position) bool {
		_, ok := l.Check(at(ms), own, peersOf(10, theirs))
		return ok
	}
	g.Expect(check(0, own, ahead)).To(BeFalse())
	g.Expect(check(500, ahead, ahead)).To(BeFalse(), "the watch reported the change")
	g.Expect(check(1000, own, ahead)).To(BeFalse())
	g.Expect(check(2200, own, ahead)).To(BeTrue())
	g.Expect(check(2500, own, ahead)).To(BeFalse(), "the list is being read")
	g.Expect(check(3000, ahead, ahead)).To(BeFalse(), "the list brought the change")
	fewer := scout.Position{Rev: "12", Count: 4}
	g.Expect(check(9000, ahead, fewer)).To(BeFalse())
	g.Expect(check(10300, ahead, fewer)).To(BeTrue(), "an object was removed")
}

// Guards against a router that lists again and again because a peer claims a revision that the store never had.
func TestWrongClaimIsIgnored(t *testing.T) {
	g := NewWithT(t)
	own := scout.Position{Rev: "9", Count: 5}
	wrong := peersOf(9, own)
	wrong[3].Position = scout.Position{Rev: "4000", Count: 5}
	var l scout.Lag
	l.Check(at(0), own, wrong)
	p, ok := l.Check(at(1300), own, wrong)
	g.Expect(ok).To(BeTrue())
	g.Expect(p.ID).To(BeEquivalentTo("r4"))
	g.Expect(l.Listed("30", wrong)).To(Equal([]scout.Peer{wrong[3]}))
	for ms := 2000; ms < 20_000; ms += 250 {
		_, ok = l.Check(at(ms), own, wrong)
		g.Expect(ok).To(BeFalse())
	}
}

// Guards against a follower that compares the revisions of two histories of the store, and then lists again for ever or
// never.
func TestPositionsAreComparedAcrossRestore(t *testing.T) {
	g := NewWithT(t)
	before, after := scout.Position{Rev: "1.900", Count: 5}, scout.Position{Rev: "2.850", Count: 5}
	g.Expect(before.Behind(after)).To(BeTrue())
	g.Expect(after.Behind(before)).To(BeFalse())
	var l scout.Lag
	l.Check(at(0), before, peersOf(10, after))
	_, again := l.Check(at(1300), before, peersOf(10, after))
	g.Expect(again).To(BeTrue())
	g.Expect(l.Listed("2.860", peersOf(10, after))).To(BeEmpty(), "their claims are right")
	for ms := 3500; ms < 9000; ms += 250 {
		_, again = l.Check(at(ms), after, peersOf(10, before))
		g.Expect(again).To(BeFalse(), "peers that have not noticed the restore")
	}
}
