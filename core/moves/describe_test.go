package moves_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/moves"
)

// Guards against a verdict whose log line does not tell the counts that it was made from.
func TestVerdictTellsItsCounts(t *testing.T) {
	g := NewWithT(t)
	now := start.Add(2 * time.Minute)
	j := moves.Judge(moves.MergeEvidence(now, busyMachineEvidence(now, 4), "v1", "v2"), moves.JudgeConfig{Classes: []ident.Class{"c"}, Duration: rolloutDuration})
	g.Expect(j.Counts).To(MatchRegexp(`^08:00:00 0/60 0/3 0\.0; 08:02:00 3/3 40/40 \d+\.\d$`))
}
