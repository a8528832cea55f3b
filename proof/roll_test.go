package proof_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/fault"
)

// rollTokens makes streams long enough that some are running whenever a process gets SIGTERM.
const rollTokens = 60

// Guards against a graceful shutdown that interrupts a request in flight (P8), and against a restarted process that
// does not apply the current configuration.
func TestRollingReplacementInterruptsNoRequest(t *testing.T) {
	for _, c := range exampleRollouts {
		t.Run(c.example, func(t *testing.T) {
			s := &script{deployment: startDeployment(t, c.example)}
			s.applyAndWarmUp(chatCall(c.account, c.model, "warm", 1, false))
			l := s.startTraffic(workerCount, true, questionCalls(c.account, c.model, rollTokens, true))
			l.awaitComplete(steadyCalls)
			s.heading("each router and agent is replaced under load")
			for _, p := range s.endpointsFor("admin") {
				s.replace(p.name)
				s.printf("%s is replaced and ready\n", p.name)
			}
			l.awaitComplete(steadyCalls)
			list := l.stopAndCollect()
			s.checkReplies(list)
			s.heading("requests in flight that were interrupted")
			s.printf("%d\n", len(interrupted(list)))
			s.Expect(interrupted(list)).To(BeEmpty())
			s.heading("the fleet")
			s.command("show")
			s.compareGolden("roll-" + c.example)
		})
	}
}

// replace stops a process with SIGTERM, starts it again and waits until it is ready.
func (s *script) replace(name string) {
	s.t.Helper()
	s.Expect(s.proc(name).stop()).To(Succeed())
	s.start(name)
	s.Eventually(func() (st conf.Status, err error) {
		err = s.readJSON(s.addr("admin", name), conf.StatusPath, &st)
		return st, err
	}, readyTimeout, pollInterval).Should(And(HaveField("Generation", BeNumerically("==", 1)), HaveField("Ready", true)), name)
}

// interrupted returns the outcomes of calls that neither have a complete answer nor were refused as not run.
func interrupted(list []reply) (outcomes []string) {
	for _, r := range list {
		if !r.complete() && r.problem().Run != fault.NotRun.String() {
			outcomes = append(outcomes, r.outcome())
		}
	}
	return outcomes
}
