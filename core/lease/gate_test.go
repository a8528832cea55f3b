package lease_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/lease"
	"hickoryvane.example/core/store"
	"hickoryvane.example/core/wire"
)

// at returns the time s seconds after start.
func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func newCommand(id string, token ident.Fence) *wire.Command {
	return &wire.Command{ID: ident.RequestID(id), Lease: leaseName, Fence: token, ValidMillis: 5000}
}

// Guards against an agent that executes a command before it has read the lease, with an outdated fencing token, or
// after its validity. Token and validity can change while the target is prepared, so both are checked again
// immediately before the command is forwarded.
func TestGateChecksOnArrivalAndBeforeForwarding(t *testing.T) {
	g := NewWithT(t)
	gate := lease.NewCommandGate(true)
	gate.LearnToken(leaseName, 9) // a token from gossip does not replace reading the lease
	g.Expect(gate.Admit(at(0), newCommand("a", 9))).NotTo(BeNil())
	gate.HandleRecord(leaseName, lease.Record{FencingToken: 4})
	g.Expect(gate.Admit(at(0), newCommand("b", 3)).Fence).To(Equal(ident.Fence(4)))
	g.Expect(gate.Admit(at(0), newCommand("c", 4))).To(BeNil())
	g.Expect(gate.Admit(at(0), newCommand("d", 4))).To(BeNil())
	g.Expect(gate.Admit(at(0), newCommand("e", 4))).To(BeNil())
	forward, rejected := gate.Recheck(at(4.9), "c")
	g.Expect(rejected).To(BeNil())
	g.Expect(forward.CheckToken).To(BeTrue())
	g.Expect(forward.Command.Fence).To(Equal(ident.Fence(4)))
	_, rejected = gate.Recheck(at(5), "d")
	g.Expect(rejected.Detail).To(ContainSubstring("expired"))
	gate.LearnToken(leaseName, 5)
	_, rejected = gate.Recheck(at(1), "e")
	g.Expect(rejected.Detail).To(ContainSubstring("old"))
	_, rejected = gate.Recheck(at(1), "c")
	g.Expect(rejected).NotTo(BeNil(), "a command is forwarded once")
	g.Expect(gate.Admit(at(1), newCommand("c", 9)).Detail).To(ContainSubstring("before"), "a repeated message")
}

// tickWithStore ticks a machine whose store calls are all answered at once.
func tickWithStore(m *lease.Machine, s *fakeStore, now time.Time) {
	for range 4 {
		for _, c := range m.Tick(now) {
			o, err := s.do(c)
			m.HandleResult(now, c.Seq, o, err)
		}
	}
}

// Guards against a holder that trusts a renewal for longer than two thirds of the term, counted from the start of
// the write, which may be answered late. Also guards against an expiry while renewals succeed.
func TestHolderRenewsAndExpires(t *testing.T) {
	g := NewWithT(t)
	s, m := &fakeStore{}, lease.New(leaseName, "a", 1, lease.WithTerm(term))
	for i := range 60 {
		tickWithStore(m, s, at(float64(i)))
		token, valid, ok := m.Held(at(float64(i)))
		g.Expect(ok).To(BeTrue())
		g.Expect(token).To(Equal(ident.Fence(1)))
		g.Expect(valid).To(BeNumerically("<=", term*2/3))
	}
	var c lease.Call
	for i := 59.0; c.Seq == 0; i += 0.5 {
		if out := m.Tick(at(i)); len(out) > 0 {
			c = out[0]
			o, err := s.do(c)
			m.HandleResult(at(i+7.9), c.Seq, o, err) // a slow answer
			_, valid, _ := m.Held(at(i + 7.9))
			g.Expect(valid).To(Equal(100 * time.Millisecond))
			_, _, ok := m.Held(at(i + 8))
			g.Expect(ok).To(BeFalse())
		}
	}
}

// Guards against a process that loses the lease because the answer to its write was lost, and against one that
// writes again without reading the record first.
func TestLostAnswerIsReadBack(t *testing.T) {
	g := NewWithT(t)
	s, m := &fakeStore{}, lease.New(leaseName, "a", 1, lease.WithTerm(term))
	c := m.Tick(at(0))[0]
	_, err := s.do(c)
	m.HandleResult(at(0), c.Seq, store.Object{}, err)
	c = m.Tick(at(0))[0]
	g.Expect(c.Verb).To(Equal(lease.Create))
	_, _ = s.do(c)
	m.HandleResult(at(1), c.Seq, store.Object{}, store.ErrOutcomeUnknown)
	c = m.Tick(at(1))[0]
	g.Expect(c.Verb).To(Equal(lease.Read))
	o, err := s.do(c)
	m.HandleResult(at(2), c.Seq, o, err)
	token, valid, ok := m.Held(at(2))
	g.Expect(ok).To(BeTrue())
	g.Expect(token).To(Equal(ident.Fence(1)))
	g.Expect(valid).To(Equal(6*time.Second), "the validity counts from the start of the write")
}

// Guards against a takeover before the record was unchanged for a whole term, against a lease that is never taken
// over, and against a candidate that waits for a term although the lease was released.
func TestTakeoverAndRelease(t *testing.T) {
	g := NewWithT(t)
	s, a, b := &fakeStore{}, lease.New(leaseName, "a", 1, lease.WithTerm(term)), lease.New(leaseName, "b", 2, lease.WithTerm(term))
	tickWithStore(a, s, at(0))
	i := 0.0
	for ; i < 30; i += 0.5 {
		tickWithStore(b, s, at(i))
		if _, _, ok := b.Held(at(i)); ok {
			break
		}
	}
	g.Expect(i).To(BeNumerically("~", 14, 2)) // the term of 12 s, and up to 4 s until the next read
	token, _, _ := b.Held(at(i))
	g.Expect(token).To(Equal(ident.Fence(2)))
	b.Release()
	tickWithStore(b, s, at(i+4))
	_, _, ok := b.Held(at(i + 4))
	g.Expect(ok).To(BeFalse())
	tickWithStore(a, s, at(i+4))
	token, _, ok = a.Held(at(i + 4))
	g.Expect(ok).To(BeTrue())
	g.Expect(token).To(Equal(ident.Fence(3)))
}
