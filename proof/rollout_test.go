package proof_test

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
)

const (
	// badRolloutTime is the time from the declaration of a bad version to its deadline. It is so long that the
	// deadline cannot be what concludes the rollout.
	badRolloutTime = time.Hour
	// goodRolloutTime is that time for a good version. The share grows at most once in 20 s, and the soak phase takes
	// 15% of the time, which is 20 s. A longer time would need a longer soak phase.
	goodRolloutTime = 130 * time.Second
	// conclusionTimeout bounds the wait for the conclusion of a rollout.
	conclusionTimeout = goodRolloutTime + 30*time.Second
	// versionCalls is the number of answers whose version is checked after the conclusion of a rollout.
	versionCalls = 60
	// rolloutWorkers is the number of concurrent calls during a rollout. It is far below the capacity of the
	// targets of one version, as these serve all calls at the end of the rollout.
	rolloutWorkers = 6
)

// exampleRollout is a rollout of an example's model service.
type exampleRollout struct {
	example, name, service, account, model string
	from, to                               ident.Version
}

var exampleRollouts = []exampleRollout{
	{"rekkverk", "coating-v8", "coating", "painters", "painters-question", "v7", "v8"},
	{"brunner", "site-m4", "site", "web", "hire-question", "m3", "m4"},
}

// declaration returns the text of the file that declares the rollout.
func (c exampleRollout) declaration(window time.Duration) string {
	return fmt.Sprintf(`{"moves": [{"name": %q, "service": %q, "from": %q, "to": %q, "deadline": %q}]}`,
		c.name, c.service, c.from, c.to, time.Now().Add(window).UTC().Format(time.RFC3339))
}

// runRollout declares the rollout under load, waits until its conclusion is recorded and checks the recorded state.
func (s *script) runRollout(c exampleRollout, window time.Duration, want conf.RolloutState) *traffic {
	s.t.Helper()
	l := s.startTraffic(rolloutWorkers, false, questionCalls(c.account, c.model, 2, false))
	l.awaitComplete(steadyCalls)
	s.heading("a move is declared and applied under load")
	s.writeDeclaration("70-moves.json", c.declaration(window))
	s.command("apply", s.declDir)
	s.awaitGeneration(2)
	s.Eventually(func() string {
		out, _ := s.operatorCommand("moves", "--settings", filepath.Join(s.runDir, "operator.json"))
		return out
	}, conclusionTimeout, time.Second).Should(MatchRegexp(`  (done|taken back) +\d+%  +true `))
	out, _ := s.operatorCommand("moves", "--settings", filepath.Join(s.runDir, "operator.json"))
	s.Expect(out).To(ContainSubstring("  "+string(want)+" "), "the rollout ended in another state")
	return l
}

// answeringVersions returns the versions that answered n further calls.
func (s *script) answeringVersions(c exampleRollout, n int) map[string]bool {
	seen := map[string]bool{}
	for i := range n {
		at := s.endpointsFor("caller")[i%2]
		r := s.send(at.addr, chatCall(c.account, c.model, fmt.Sprintf("after %d", i), 1, false))
		s.Expect(r.complete()).To(BeTrue(), r.body)
		version, _, _ := strings.Cut(r.header.Get("X-Session"), ".")
		seen[version] = true
	}
	return seen
}

// Guards against a bad version that is not rolled back, that serves after its rollback, or whose conclusion differs
// between runs (P3).
func TestBadVersionIsRolledBack(t *testing.T) {
	for _, c := range exampleRollouts {
		t.Run(c.example, func(t *testing.T) {
			s := &script{deployment: startDeployment(t, c.example)}
			s.applyAndWarmUp(chatCall(c.account, c.model, "warm", 1, false))
			for _, p := range s.endpointsFor("model") {
				if p.version == string(c.to) {
					s.postStandin(p.name, "/faults", `{"fail":1}`)
				}
			}
			l := s.runRollout(c, badRolloutTime, conf.RolledBack)
			s.command("moves")
			list := l.stopAndCollect()
			s.t.Log(countOutcomes(list))
			s.Expect(s.answeringVersions(c, versionCalls)).To(Equal(map[string]bool{string(c.from): true}))
			s.heading("the move is removed after its end")
			s.writeDeclaration("70-moves.json", `{"moves": []}`)
			s.command("apply", s.declDir)
			s.awaitGeneration(3)
			s.checkAtMostOnce(list...)
			s.compareGolden("bad-" + c.example)
		})
	}
}

// Guards against a good version whose rollout does not complete in time, or that does not serve all calls
// afterwards.
func TestGoodVersionCompletesRollout(t *testing.T) {
	for _, c := range exampleRollouts {
		t.Run(c.example, func(t *testing.T) {
			s := &script{deployment: startDeployment(t, c.example)}
			s.applyAndWarmUp(chatCall(c.account, c.model, "warm", 1, false))
			l := s.runRollout(c, goodRolloutTime, conf.Done)
			s.command("moves")
			list := l.stopAndCollect()
			s.Expect(countOutcomes(list)).To(Equal(map[string]int{"whole": len(list)}))
			s.Expect(s.answeringVersions(c, versionCalls)).To(Equal(map[string]bool{string(c.to): true}))
			s.checkAtMostOnce(list...)
			s.compareGolden("good-" + c.example)
		})
	}
}
