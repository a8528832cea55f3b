package scout_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/scout"
	"hickoryvane.example/core/store"
)

func changeOf(name string, rev uint64, deleted bool) store.Change {
	return store.Change{Object: store.Object{Name: name, Rev: store.RevOf(0, rev)}, Deleted: deleted}
}

// view is what a router knows of the objects.
type view struct {
	objects map[string]store.Rev
	rev     store.Rev
}

func (v *view) apply(c store.Change) {
	if c.Deleted {
		delete(v.objects, c.Object.Name)
	} else {
		v.objects[c.Object.Name] = c.Object.Rev
	}
	if store.Before(v.rev, c.Object.Rev) {
		v.rev = c.Object.Rev
	}
}

// Property: a follower that has the newest revision knows what the store holds, whichever heartbeats are lost and however
// late its own watch reports. Guards against a change that is skipped, and against an older one that is applied after it.
func TestPassedChangesLeaveNoGap(t *testing.T) {
	for seed := range uint64(50) {
		g, rnd := NewWithT(t), rand.New(rand.NewPCG(seed, 1))
		var passing, passed scout.Feed
		truth := view{map[string]store.Rev{}, "0"}
		scouting, follower := view{map[string]store.Rev{}, "0"}, view{map[string]store.Rev{}, "0"}
		var history []store.Change
		reported := 0
		for i := range 400 {
			if rnd.IntN(2) == 0 {
				c := changeOf(fmt.Sprint("t", rnd.IntN(6)), uint64(len(history)+1), rnd.IntN(3) == 0)
				history = append(history, c)
				truth.apply(c)
				passing.Record(at(100*i), scouting.rev, c)
				scouting.apply(c)
			}
			if since, l := passing.Recent(at(100 * i)); rnd.IntN(4) == 0 {
				for _, c := range passed.Fresh(follower.rev, since, scouting.rev, l) {
					follower.apply(c)
				}
			}
			if rnd.IntN(40) == 0 { // the own watch reports, in order
				for ; reported < len(history); reported++ {
					if c := history[reported]; !passed.Covered(c) {
						follower.apply(c)
					}
				}
				g.Expect(follower.rev).To(Equal(truth.rev), "seed %d", seed)
			}
			if follower.rev == truth.rev {
				g.Expect(follower.objects).To(Equal(truth.objects), "seed %d step %d", seed, i)
			}
		}
	}
}

// Guards against heartbeats without a bound, against changes that are passed on for ever, and against those of a restored
// store, whose removals only a list tells.
func TestPassedChangesAreLimited(t *testing.T) {
	g := NewWithT(t)
	var f scout.Feed
	for i := range 100 {
		c := changeOf(fmt.Sprint("t", i), uint64(i+2), false)
		c.Object.Value = []byte(strings.Repeat("x", 400))
		f.Record(at(i), store.RevOf(0, uint64(i+1)), c)
	}
	since, l := f.Recent(at(100))
	g.Expect(len(l)).To(BeNumerically("~", 9, 1))
	g.Expect(l[len(l)-1].Object.Name).To(Equal("t99"))
	g.Expect(since).To(Equal(store.RevOf(0, uint64(101-len(l)))))
	g.Expect(f.Fresh("50", since, "101", l)).To(BeEmpty(), "others are missing before them")
	g.Expect(f.Fresh(since, since, "101", l)).To(HaveLen(len(l)))
	g.Expect(f.Fresh(since, since, "100", l)).To(HaveLen(len(l)-1), "the last one was seen by no third router")
	g.Expect(f.Fresh(since, since, "", l)).To(BeEmpty())
	_, l = f.Recent(at(2000))
	g.Expect(l).To(BeEmpty())
	g.Expect(f.Fresh("1.5", "1.5", "2.9", []store.Change{{Object: store.Object{Name: "a", Rev: "2.6"}}})).To(BeEmpty())
}
