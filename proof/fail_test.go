package proof_test

import (
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/fault"
)

const (
	// streamTokens makes streams of about a quarter of a second, so that a failure interrupts some of them.
	streamTokens = 150
	// workerCount is the number of concurrent calls.
	workerCount = 12
	// steadyCalls is the number of complete answers that a test waits for before and after a failure.
	steadyCalls = 30
)

// awaitComplete waits for n more complete answers.
func (l *traffic) awaitComplete(n int) {
	l.deployment.t.Helper()
	want := l.count(reply.complete) + n
	l.deployment.Eventually(func() int { return l.count(reply.complete) }, readyTimeout, pollInterval).Should(BeNumerically(">=", want))
}

// checkReplies checks the guarantees that hold under any failure: no request id ran twice, an answer marked
// complete is complete and answers the caller's own request, a request refused as not run did not run, and every
// other outcome is stated.
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
	s.Expect(len(s.dispatches().ids)).To(BeNumerically("<=", ran+s.warmUpCalls), "a request ran although it was refused as not run")
}

// modelVM returns the VM name of the first model target with the version.
func (s *deployment) modelVM(version string) string {
	for _, p := range s.endpointsFor("model") {
		if p.version == version {
			return p.name[:len(p.name)-len(".target")]
		}
	}
	return ""
}

// startFailureTest starts the small variant of the rekkverk example with streams as background load.
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

// Guards against a request that runs twice, or a truncated answer marked as complete, when an agent is killed.
func TestKilledAgentRunsNoRequestTwice(t *testing.T) {
	s, l := startFailureTest(t)
	name := s.modelVM("v7")
	s.proc(name).kill()
	l.awaitComplete(steadyCalls)
	s.start(name)
	l.awaitComplete(steadyCalls)
	s.checkReplies(l.stopAndCollect())
}

// Guards against a request that runs twice, or a truncated answer marked as complete, when a router is killed: its
// callers see a broken connection.
func TestKilledRouterCompletesNoBrokenAnswer(t *testing.T) {
	s, l := startFailureTest(t)
	name := s.endpointsFor("caller")[0].name
	s.proc(name).kill()
	l.awaitComplete(steadyCalls)
	s.start(name)
	l.awaitComplete(steadyCalls)
	s.checkReplies(l.stopAndCollect())
}

// Guards against a request that is sent to another engine, or an answer marked as complete, after its engine
// crashed.
func TestCrashedEngineRunsNoRequestTwice(t *testing.T) {
	s, l := startFailureTest(t)
	s.postStandin(s.modelVM("v7")+".target", "/faults", `{"after":3,"down":1000}`)
	incomplete := func(r reply) bool { return !r.complete() }
	s.Eventually(func() int { return l.count(incomplete) }, readyTimeout, pollInterval).Should(BeNumerically(">", 0))
	l.awaitComplete(steadyCalls)
	s.checkReplies(l.stopAndCollect())
}

// freezeTime is longer than the lease term, the silence after which a process is considered gone, and the time for
// which a router waits for a lost agent.
const freezeTime = 12 * time.Second

// Guards against an agent that is paused (SIGSTOP) until it is considered gone, and continues to use its expired
// grants when it resumes.
func TestFrozenAgentUsesNoExpiredGrants(t *testing.T) {
	s, l := startFailureTest(t)
	p := s.proc(s.modelVM("v7"))
	p.signal(syscall.SIGSTOP)
	time.Sleep(freezeTime) // there is no event to wait for: the paused time itself is the condition
	l.awaitComplete(steadyCalls)
	p.signal(syscall.SIGCONT)
	l.awaitComplete(steadyCalls)
	s.checkReplies(l.stopAndCollect())
}
