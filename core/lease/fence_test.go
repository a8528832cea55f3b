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

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func newCommand(id string, f ident.Fence) *wire.Command {
	return &wire.Command{ID: ident.RequestID(id), Lease: leaseName, Fence: f, ValidMillis: 5000}
}

// Guards against an agent that obeys without the lease, an old number, or after the validity, which
// is checked again at the last moment.
func TestGateChecksOnArrivalAndBeforeForwarding(t *testing.T) {
	g := NewWithT(t)
	f := lease.NewCommandGate(true)
	f.LearnToken(leaseName, 9) // hearsay does not replace reading
	g.Expect(f.Admit(at(0), newCommand("a", 9))).NotTo(BeNil())
	f.HandleRecord(leaseName, lease.Record{FencingToken: 4})
	g.Expect(f.Admit(at(0), newCommand("b", 3)).Fence).To(Equal(ident.Fence(4)))
	g.Expect(f.Admit(at(0), newCommand("c", 4))).To(BeNil())
	g.Expect(f.Admit(at(0), newCommand("d", 4))).To(BeNil())
	g.Expect(f.Admit(at(0), newCommand("e", 4))).To(BeNil())
	fw, no := f.Recheck(at(4.9), "c")
	g.Expect(no).To(BeNil())
	g.Expect(fw.CheckToken).To(BeTrue())
	g.Expect(fw.Command.Fence).To(Equal(ident.Fence(4)))
	_, no = f.Recheck(at(5), "d")
	g.Expect(no.Detail).To(ContainSubstring("expired"))
	f.LearnToken(leaseName, 5)
	_, no = f.Recheck(at(1), "e")
	g.Expect(no.Detail).To(ContainSubstring("old"))
	_, no = f.Recheck(at(1), "c")
	g.Expect(no).NotTo(BeNil(), "an order is sent once")
	g.Expect(f.Admit(at(1), newCommand("c", 9)).Detail).To(ContainSubstring("before"), "a repeated message")
}

// answered drives a machine whose store calls all succeed at once.
func tickWithStore(m *lease.Machine, s *fakeStore, now time.Time) {
	for range 4 {
		for _, c := range m.Tick(now) {
			o, err := s.do(c)
			m.HandleResult(now, c.Seq, o, err)
		}
	}
}

// Guards against a holder that trusts a renewal longer than two thirds of the term from its start,
// and against a lapse without need.
func TestHolderRenewsAndExpires(t *testing.T) {
	g := NewWithT(t)
	s, m := &fakeStore{}, lease.New(leaseName, "a", 1, lease.WithTerm(term))
	for i := range 60 {
		tickWithStore(m, s, at(float64(i)))
		f, valid, ok := m.Held(at(float64(i)))
		g.Expect(ok).To(BeTrue())
		g.Expect(f).To(Equal(ident.Fence(1)))
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

// Guards against a lost answer that costs the lease, and against a write without reading back.
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
	f, valid, ok := m.Held(at(2))
	g.Expect(ok).To(BeTrue())
	g.Expect(f).To(Equal(ident.Fence(1)))
	g.Expect(valid).To(Equal(6*time.Second), "from the start of the write")
}

// Guards against a takeover before a whole term without change, one that never comes, and one that
// has to wait after a release.
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
	g.Expect(i).To(BeNumerically("~", 14, 2))
	f, _, _ := b.Held(at(i))
	g.Expect(f).To(Equal(ident.Fence(2)))
	b.Release()
	tickWithStore(b, s, at(i+4))
	_, _, ok := b.Held(at(i + 4))
	g.Expect(ok).To(BeFalse())
	tickWithStore(a, s, at(i+4))
	f, _, ok = a.Held(at(i + 4))
	g.Expect(ok).To(BeTrue())
	g.Expect(f).To(Equal(ident.Fence(3)))
}
