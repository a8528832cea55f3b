package avail_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/avail"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/store"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// listed is a list of the store with the evacuation of a1 at a revision.
func listed(rev store.Rev) map[ident.DataCentre]store.Rev {
	return map[ident.DataCentre]store.Rev{"a1": rev}
}

// tell passes all that one router knows to others.
func tell(ms int, from *avail.Evacuations, to ...*avail.Evacuations) {
	for _, m := range from.Reports(at(ms)) {
		for _, e := range to {
			e.Merge(at(ms), m)
		}
	}
}

// Guards against an evacuation that a router forgets while the store is away, that a router which starts then does not
// learn, or that survives its removal at a router that was behind.
func TestEvacuationSpreadsAndEnds(t *testing.T) {
	g := NewWithT(t)
	a, b, behind := avail.NewEvacuations(), avail.NewEvacuations(), avail.NewEvacuations()
	a.List(at(0), listed("5"), "7")
	a.Put("a2", "8")
	tell(10, a, b, behind)
	g.Expect(b.InForce()).To(Equal([]ident.DataCentre{"a1", "a2"}), "b could not read the store")
	b.Expire(at(600_000))
	g.Expect(b.InForce()).To(HaveLen(2))
	a.Remove("a1", "9")
	tell(20, a, b)
	g.Expect(b.InForce()).To(Equal([]ident.DataCentre{"a2"}))
	fresh := avail.NewEvacuations()
	fresh.List(at(30), nil, "12") // a2 was removed meanwhile
	tell(40, behind, fresh, a, b)
	g.Expect(fresh.InForce()).To(BeEmpty(), "the list is newer than what the other router knows")
	tell(50, fresh, behind)
	g.Expect(behind.InForce()).To(BeEmpty(), "it hears that both were removed")
	a.Put("a1", "14")
	tell(60, a, behind, fresh)
	g.Expect(fresh.InForce()).To(Equal([]ident.DataCentre{"a1"}), "a later evacuation of the same data centre counts")
	a.List(at(70), listed("14"), "15")
	tell(80, a, fresh)
	g.Expect(a.InForce()).To(Equal(fresh.InForce()))
}

// Guards against an evacuation that ends because the store came back from a copy without it, that never ends then, or
// that routers extend for each other.
func TestEvacuationOutlivesARestore(t *testing.T) {
	g := NewWithT(t)
	a, b, fresh, away := avail.NewEvacuations(), avail.NewEvacuations(), avail.NewEvacuations(), avail.NewEvacuations()
	for _, e := range []*avail.Evacuations{a, b, away} {
		e.List(at(0), listed("5"), "7")
	}
	a.List(at(1000), nil, "1.4")
	fresh.List(at(1200), nil, "1.4") // a router that starts after the restore
	tell(1500, a, fresh, away)
	b.List(at(3000), nil, "1.4")
	all := []*avail.Evacuations{a, b, fresh, away}
	for ms := 3000; ms < 20_000; ms += 100 {
		for _, e := range all {
			e.Expire(at(ms))
			tell(ms, e, all...)
		}
		for i, e := range all {
			if want := ms < 11_000; want {
				g.Expect(e.InForce()).To(HaveLen(1), "router %d at %d ms", i, ms)
			} else if ms > 11_200 {
				g.Expect(e.InForce()).To(BeEmpty(), "router %d at %d ms", i, ms)
			}
		}
	}
	a.Put("a1", "1.6")
	a.Expire(at(60_000))
	tell(60_000, a, b)
	g.Expect(b.InForce()).To(HaveLen(1), "written again, it is in force without a limit")
	a.List(at(61_000), nil, "1.9")
	g.Expect(a.InForce()).To(BeEmpty(), "removed in the present history, it ends at once")
}
