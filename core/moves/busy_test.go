package moves_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/moves"
	"hickoryvane.example/core/wire"
)

// busy returns evidence of a machine on which answers of both versions take slow times as long after two
// minutes, when the old version has few requests left.
func busyMachineEvidence(now time.Time, slow float64) (out []wire.GossipEntry) {
	for _, v := range []ident.Version{"v1", "v2"} {
		r := moves.NewOutcomeCounter(v, "c", start)
		add := func(at time.Time, n int, took float64) {
			for range n {
				r.Add(at, moves.Outcome{Route: "ask", TimeToFirstByte: time.Duration(took * float64(time.Millisecond))})
			}
		}
		if v == "v1" {
			add(start, 60, 100)
			add(now, 3, 100*slow)
		} else {
			add(start, 3, 100)
			add(now, 40, 100*slow)
		}
		out = append(out, wire.GossipEntry{Kind: "evidence", Key: string(v), Value: r.EncodeEvidence()})
	}
	return out
}

// Guards against a good version that is taken back as slow because its machine became busy while the old
// version had too few requests to compare with, and against a slow one that passes for that reason.
func TestBusyMachineIsNotBlamedOnNewVersion(t *testing.T) {
	g := NewWithT(t)
	now := start.Add(2 * time.Minute)
	bad := func(slow float64) bool {
		return moves.Judge(moves.MergeEvidence(now, busyMachineEvidence(now, slow), "v1", "v2"), moves.JudgeConfig{Classes: []ident.Class{"c"}, Duration: rolloutDuration}).Bad
	}
	g.Expect(bad(1)).To(BeFalse())
	g.Expect(bad(1.8)).To(BeFalse())
	g.Expect(bad(4)).To(BeTrue())
}
