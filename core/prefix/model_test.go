package prefix_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/prefix"
	"hickoryvane.example/core/prop"
)

func TestMain(m *testing.M) { os.Exit(prop.Run(m)) }

var start = time.Unix(1_700_000_000, 0)

func parts(tokens ident.Tokens, names ...string) (out []prefix.Part) {
	for _, n := range names {
		out = append(out, prefix.Part{ID: ident.PromptPart(n), Tokens: tokens})
	}
	return out
}

// Load pattern: two routers, targets that restart, of which each router learns at its own time, lost processes, and
// reports that arrive late, again or out of order. Guards against an estimate that outlives the start of its target, and
// against one above what was read there.
func TestNoEstimateOutlivesItsStart(t *testing.T) {
	estimates := 0
	rapid.Check(t, func(t *rapid.T) {
		type held struct {
			target ident.TargetID
			start  prefix.Start
			block  ident.Block
		}
		var reports []prefix.Report
		models := []*prefix.Model{prefix.New(), prefix.New()}
		starts := []map[ident.TargetID]prefix.Start{{}, {}}
		read := map[held]bool{}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now := start.Add(time.Duration(step) * 100 * time.Millisecond)
			i := rapid.IntRange(0, 1).Draw(t, "router")
			m := models[i]
			id := ident.TargetID(rapid.SampledFrom([]string{"t0", "t1"}).Draw(t, "target"))
			chain := prefix.Chain(parts(100, rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 4).Draw(t, "parts")...))
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0:
				s := prefix.Start{Boot: ident.Boot(rapid.IntRange(1, 3).Draw(t, "boot")), Version: ident.Version(rapid.SampledFrom([]string{"v", "w"}).Draw(t, "version"))}
				if s != starts[i][id] {
					starts[i][id] = s
					m.SetTarget(id, s, 10_000)
				}
			case 1, 2:
				s := starts[rapid.IntRange(0, 1).Draw(t, "sent")][id] // a request may have been sent to an earlier start
				m.RecordRead(now, id, s, chain, 500)
				for _, l := range chain {
					read[held{id, s, l.Block}] = true
				}
			case 3:
				reports = append(reports, m.Report(now))
			case 4:
				if len(reports) > 0 {
					m.Merge("other", rapid.SampledFrom(reports).Draw(t, "report"))
				}
			default:
				m.Lose(id)
				if m.Held(id, chain) != 0 {
					t.Fatal("an estimate outlives the process")
				}
			}
			most := ident.Tokens(0)
			for _, l := range chain {
				if !read[held{id, starts[i][id], l.Block}] {
					break
				}
				most += l.Tokens
			}
			n := m.Held(id, chain)
			if n < 0 || n > most {
				t.Fatalf("%d tokens are estimated where %d were read since the start", n, most)
			}
			if n > 0 {
				estimates++
			}
		}
	})
	if estimates == 0 {
		t.Fatal("nothing was ever estimated")
	}
}

// Guards against a part that counts although a part before it is gone, and against parts that are confused because they
// have the same id after different parts.
func TestPartsCountOnlyAfterAllPartsBeforeThem(t *testing.T) {
	g := NewWithT(t)
	m := prefix.New()
	s := prefix.Start{Boot: 1, Version: "v"}
	m.SetTarget("t", s, 10_000)
	m.RecordRead(start, "t", s, prefix.Chain(parts(100, "a", "b")), 300)
	g.Expect(m.Held("t", prefix.Chain(parts(100, "a", "b", "c")))).To(BeEquivalentTo(200))
	g.Expect(m.Held("t", prefix.Chain(parts(100, "b")))).To(BeZero())
	g.Expect(m.Held("t", prefix.Chain(parts(100, "c", "b")))).To(BeZero())
	g.Expect(m.Held("unknown", prefix.Chain(parts(100, "a")))).To(BeZero())
}

// Load pattern: unique prompts after a shared part. Guards against a part that counts as held after more tokens passed
// through the target than its memory holds, also if another router sent them, and against a model without a bound.
func TestPassedTokensDisplaceParts(t *testing.T) {
	g := NewWithT(t)
	own, other := prefix.New(), prefix.New()
	s := prefix.Start{Boot: 1}
	shared := prefix.Chain(parts(100, "a"))
	for _, m := range []*prefix.Model{own, other} {
		m.SetTarget("t", s, 10_000)
	}
	own.RecordRead(start, "t", s, shared, 100)
	other.RecordRead(start, "t", s, nil, 100)
	own.Merge("other", other.Report(start))
	other.RecordRead(start, "t", s, nil, 7_500)
	own.Merge("other", other.Report(start))
	g.Expect(own.Held("t", shared)).To(BeEquivalentTo(50))
	own.RecordRead(start, "t", s, nil, 2_500)
	g.Expect(own.Held("t", shared)).To(BeZero())
	for i := range 2000 {
		own.RecordRead(start, "t", s, prefix.Chain(parts(1, fmt.Sprint("p", i))), 1)
	}
	g.Expect(own.Held("t", prefix.Chain(parts(1, "p0")))).To(BeZero())
	g.Expect(own.Held("t", prefix.Chain(parts(1, "p1999")))).To(BeEquivalentTo(1))
	g.Expect(len(own.Report(start).Reads)).To(BeNumerically("<=", 32))
}
