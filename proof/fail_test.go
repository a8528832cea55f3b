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
	workers = 12
	// soakCalls is the number of whole answers that a test waits for before and after a loss.
	soakCalls = 30
)

// after waits until n more replies are whole.
func (l *traffic) after(n int) {
	l.site.t.Helper()
	want := l.count(reply.whole) + n
	l.site.Eventually(func() int { return l.count(reply.whole) }, readyTime, pollTime).Should(BeNumerically(">=", want))
}

// judge checks the promises that hold whatever was lost: no id ran twice, what is marked whole is whole and the
// caller's own, what was refused as not run did not run, and every other end is stated.
func (s *site) judge(list []reply) {
	s.t.Helper()
	s.once(list...)
	ran := 0
	for _, r := range list {
		if r.whole() && r.streamed() {
			s.Expect(r.right()).To(BeTrue(), r.body)
		}
		if r.err == nil && !r.whole() {
			s.Expect(r.problem().Run).NotTo(BeEmpty(), r.body)
		}
		if r.problem().Run != fault.NotRun.String() {
			ran++
		}
	}
	s.t.Log(tally(list))
	s.Expect(len(s.runs().ids)).To(BeNumerically("<=", ran+s.warmed), "some request ran although it was refused as not run")
}

// model returns the name of the VM of the first target with the version that serves.
func (s *site) model(version string) string {
	for _, p := range s.of("model") {
		if p.version == version {
			return p.name[:len(p.name)-len(".target")]
		}
	}
	return ""
}

// failing starts the small variant of Rekkverk with streams in the background.
func failing(t *testing.T) (*site, *traffic) {
	s := open(t, "rekkverk")
	out, code := s.tool("apply", "--settings", s.dir+"/operator.json", s.decl)
	s.Expect(code).To(BeZero(), out)
	s.await(1)
	s.warm(ask("office", "painters-question", "warm", 1, false))
	l := s.traffic(workers, false, question("painters", "painters-question", streamTokens, true))
	l.after(soakCalls)
	return s, l
}

// Guards against a request that runs again, or an answer cut and marked whole, when an agent dies at once.
func TestKilledAgent(t *testing.T) {
	s, l := failing(t)
	name := s.model("v7")
	s.proc(name).kill()
	l.after(soakCalls)
	s.start(name)
	l.after(soakCalls)
	s.judge(l.end())
}

// Guards against the same when a router dies at once: its callers see a broken connection, never a whole answer.
func TestKilledRouter(t *testing.T) {
	s, l := failing(t)
	name := s.of("caller")[0].name
	s.proc(name).kill()
	l.after(soakCalls)
	s.start(name)
	l.after(soakCalls)
	s.judge(l.end())
}

// Guards against a request sent to another engine, or an answer marked whole, after its engine crashed.
func TestCrashedEngine(t *testing.T) {
	s, l := failing(t)
	s.post(s.model("v7")+".target", "/faults", `{"after":3,"down":1000}`)
	broken := func(r reply) bool { return !r.whole() }
	s.Eventually(func() int { return l.count(broken) }, readyTime, pollTime).Should(BeNumerically(">", 0))
	l.after(soakCalls)
	s.judge(l.end())
}

// frozenTime is longer than the term of a lease, the time of silence after which a process is gone, and the
// time for which a router waits for a lost agent.
const frozenTime = 12 * time.Second

// Guards against an agent that was taken for gone and goes on with old grants when it runs again.
func TestFrozenAgent(t *testing.T) {
	s, l := failing(t)
	p := s.proc(s.model("v7"))
	p.signal(syscall.SIGSTOP)
	time.Sleep(frozenTime) // the time that the process is frozen is the condition itself
	l.after(soakCalls)
	p.signal(syscall.SIGCONT)
	l.after(soakCalls)
	s.judge(l.end())
}
