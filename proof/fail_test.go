package proof_test

import (
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/fault"
)

const (
	// streamTokens makes a stream of about a quarter of a second, so that a loss hits some in the middle.
	streamTokens = 150
	// workers is the number of calls that run at a time.
	workerCount = 12
	// soakCalls is the number of whole answers that a test waits for before and after a loss.
	steadyCalls = 30
)

// after waits until n more replies are whole.
func (l *traffic) awaitComplete(n int) {
	l.deployment.t.Helper()
	want := l.count(reply.complete) + n
	l.deployment.Eventually(func() int { return l.count(reply.complete) }, readyTimeout, pollInterval).Should(BeNumerically(">=", want))
}

// judge checks the promises that hold whatever was lost: no id ran twice, what is marked whole is whole and the
// caller's own, what was refused as not run did not run, and every other end is stated.
func (s *deployment) checkReplies(list []reply) {
	s.t.Helper()
	s.checkAtMostOnce(list...)
	ran := 0
	for _, r := range list {
		if r.complete() && r.isStream() {
			s.Expect(r.hasExpectedText()).To(BeTrue(), r.body)
		}
		if r.err == nil && !r.complete() {
			s.Expect(r.problem().Run).NotTo(BeEmpty(), r.body)
		}
		if r.problem().Run != fault.NotRun.String() {
			ran++
		}
	}
	s.t.Log(countOutcomes(list))
	s.Expect(len(s.dispatches().ids)).To(BeNumerically("<=", ran+s.warmUpCalls), "some request ran although it was refused as not run")
}

// model returns the name of the VM of the first target with the version that serves.
func (s *deployment) modelVM(version string) string {
	for _, p := range s.endpointsFor("model") {
		if p.version == version {
			return p.name[:len(p.name)-len(".target")]
		}
	}
	return ""
}

// failing starts the small variant of Rekkverk with streams in the background.
func startFailureTest(t *testing.T) (*deployment, *traffic) {
	s := startDeployment(t, "rekkverk")
	out, code := s.operatorCommand("apply", "--settings", s.runDir+"/operator.json", s.declDir)
	s.Expect(code).To(BeZero(), out)
	s.awaitGeneration(1)
	s.warmUp(chatCall("office", "painters-question", "warm", 1, false))
	l := s.startTraffic(workerCount, false, questionCalls("painters", "painters-question", streamTokens, true))
	l.awaitComplete(steadyCalls)
	return s, l
}

// Guards against a request that runs again, or an answer cut and marked whole, when an agent dies at once.
func TestKilledAgentRunsNoRequestTwice(t *testing.T) {
	s, l := startFailureTest(t)
	name := s.modelVM("v7")
	s.proc(name).kill()
	l.awaitComplete(steadyCalls)
	s.start(name)
	l.awaitComplete(steadyCalls)
	s.checkReplies(l.stopAndCollect())
}

// Guards against the same when a router dies at once: its callers see a broken connection, never a whole answer.
func TestKilledRouterCompletesNoBrokenAnswer(t *testing.T) {
	s, l := startFailureTest(t)
	name := s.endpointsFor("caller")[0].name
	s.proc(name).kill()
	l.awaitComplete(steadyCalls)
	s.start(name)
	l.awaitComplete(steadyCalls)
	s.checkReplies(l.stopAndCollect())
}

// Guards against a request sent to another engine, or an answer marked whole, after its engine crashed.
func TestCrashedEngineRunsNoRequestTwice(t *testing.T) {
	s, l := startFailureTest(t)
	s.postStandin(s.modelVM("v7")+".target", "/faults", `{"after":3,"down":1000}`)
	broken := func(r reply) bool { return !r.complete() }
	s.Eventually(func() int { return l.count(broken) }, readyTimeout, pollInterval).Should(BeNumerically(">", 0))
	l.awaitComplete(steadyCalls)
	s.checkReplies(l.stopAndCollect())
}

// frozenTime is longer than the term of a lease, the time of silence after which a process is gone, and the
// time for which a router waits for a lost agent.
const freezeTime = 12 * time.Second

// Guards against an agent that was taken for gone and goes on with old grants when it runs again.
func TestFrozenAgentUsesNoExpiredGrants(t *testing.T) {
	s, l := startFailureTest(t)
	p := s.proc(s.modelVM("v7"))
	p.signal(syscall.SIGSTOP)
	time.Sleep(freezeTime) // the time that the process is frozen is the condition itself
	l.awaitComplete(steadyCalls)
	p.signal(syscall.SIGCONT)
	l.awaitComplete(steadyCalls)
	s.checkReplies(l.stopAndCollect())
}
