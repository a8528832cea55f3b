package moves_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/moves"
	"hickoryvane.example/core/wire"
)

// busyMachineEvidence returns the evidence of both versions on one computer: at the time now, their answers take slow
// times as long as at the start, and the old version gets only few requests.
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

// Guards against rolling back a good version as slow: its machine became busy while the old version had too few
// requests to compare with. Also guards against a slow version that passes because of the wider margin used then.
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

// stallEvidence returns the evidence of a rollout with all requests on the new version, in each of whose last epochs a
// stall of the machine makes some answers slow.
func stallEvidence(now time.Time, stalls int) (out []wire.GossipEntry) {
	for _, v := range []ident.Version{"v1", "v2"} {
		r := moves.NewOutcomeCounter(v, "c", start)
		add := func(at time.Time, n, millis int) {
			for range n {
				r.Add(at, moves.Outcome{Route: "ask", TimeToFirstByte: time.Duration(millis) * time.Millisecond})
			}
		}
		if v == "v1" {
			add(start, 60, 100)
		} else {
			add(start, 20, 100)
			for i := range stalls {
				add(now.Add(-time.Duration(i)*moves.EpochLen), 35, 100)
				add(now.Add(-time.Duration(i)*moves.EpochLen), 25, 900)
			}
		}
		out = append(out, wire.GossipEntry{Kind: "evidence", Key: string(v), Value: r.EncodeEvidence()})
	}
	return out
}

// Guards against rolling back a good version because the machine stalled once while it got all requests, and against
// a version that is slow at times and passes because of that.
func TestOneStallIsNotBlamedOnNewVersion(t *testing.T) {
	g := NewWithT(t)
	now := start.Add(3 * time.Minute)
	judge := func(stalls int) moves.Judgement {
		return moves.Judge(moves.MergeEvidence(now, stallEvidence(now, stalls), "v1", "v2"), moves.JudgeConfig{Classes: []ident.Class{"c"}, Duration: rolloutDuration})
	}
	g.Expect(judge(1).Bad).To(BeFalse())
	g.Expect(judge(1).Score).To(BeNumerically(">", 6), "it is a suspicion")
	g.Expect(judge(2).Bad).To(BeTrue())
}
