package answer_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/answer"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

const boot = ident.Boot(7)

var t0 = time.Unix(1_800_000_000, 0)

func attach(id ident.RequestID, after ident.Seq, credit ident.Bytes) *wire.Attach {
	return &wire.Attach{ID: id, Boot: boot, Account: "a", AfterSeq: after, Credit: credit}
}

// read returns all frames that a peer may have now.
func read(s *answer.Store, p answer.Peer) (out []wire.Message) {
	for m, ok := s.Next(p); ok; m, ok = s.Next(p) {
		out = append(out, m)
	}
	return out
}

// fill opens and ends an answer of n bytes.
func fill(g Gomega, s *answer.Store, at time.Time, id ident.RequestID, n int) {
	g.Expect(s.Open(id, "a")).To(Succeed())
	_, err := s.Append(id, answer.Part{Status: 200, Data: make([]byte, n)})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = s.End(at, id, wire.End{Complete: true})
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a reader that gets more than its credit, or that delays another reader.
func TestEachReaderHasItsOwnPositionAndCredit(t *testing.T) {
	g := NewWithT(t)
	s := answer.New(boot)
	g.Expect(s.Open("r", "a")).To(Succeed())
	g.Expect(s.Attach(1, attach("r", 0, 3))).To(BeNil())
	g.Expect(s.Attach(2, attach("r", 0, 100))).To(BeNil())
	g.Expect(append(read(s, 1), read(s, 2)...)).To(BeEmpty())
	for range 3 {
		wake, err := s.Append("r", answer.Part{Status: 200, Data: []byte("ab")})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(wake).To(ContainElement(answer.Peer(2)))
		g.Expect(read(s, 2)).To(HaveLen(1))
	}
	got := read(s, 1)
	g.Expect(got).To(HaveLen(1))
	g.Expect(got[0]).To(Equal(&wire.Chunk{ID: "r", Boot: boot, Seq: 1, Status: 200, Data: []byte("ab")}))
	s.Credit(1, "r", 3)
	g.Expect(read(s, 1)).To(HaveLen(2))
	_, err := s.End(t0, "r", wire.End{Complete: true})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read(s, 1)).To(Equal([]wire.Message{&wire.End{ID: "r", Boot: boot, LastSeq: 3, Complete: true}}))
}

// Guards against an answer that is given to another account, from another run, or beyond its end.
func TestAttachChecksAccountBootAndPosition(t *testing.T) {
	g := NewWithT(t)
	s := answer.New(boot)
	fill(g, s, t0, "r", 1)
	for _, m := range []*wire.Attach{
		{ID: "r", Boot: boot, Account: "b"},
		{ID: "r", Boot: boot + 1, Account: "a"},
		{ID: "r", Boot: boot, Account: "a", AfterSeq: 2},
		{ID: "x", Boot: boot, Account: "a"},
	} {
		g.Expect(s.Attach(1, m)).To(HaveField("Reason", fault.Gone))
	}
	g.Expect(s.Attach(1, attach("r", 1, 0))).To(BeNil())
	g.Expect(read(s, 1)).To(ConsistOf(BeAssignableToTypeOf(&wire.End{})))
}

// Guards against unbounded memory, and against dropping a running answer to free some.
func TestBoundDropsEndedAnswersOnly(t *testing.T) {
	g := NewWithT(t)
	s := answer.New(boot, answer.WithBytes(2*answer.Room))
	half := int(answer.Room) - 10_000
	fill(g, s, t0, "old", half)
	g.Expect(s.Attach(1, attach("old", 0, answer.CreditMin))).To(BeNil()) // a slow reader
	g.Expect(s.Open("run", "a")).To(Succeed())
	_, err := s.Append("run", answer.Part{Data: make([]byte, half)})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Full()).To(BeFalse())

	_, err = s.Append("run", answer.Part{Data: make([]byte, half)})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Has("old")).To(BeFalse())
	g.Expect(read(s, 1)).To(ConsistOf(HaveField("Reason", fault.Gone)))
	g.Expect(s.Full()).To(BeTrue())
	_, err = s.Append("run", answer.Part{Data: make([]byte, half)})
	g.Expect(err).To(MatchError(answer.ErrFull))
	g.Expect(s.Has("run")).To(BeTrue())
	g.Expect(s.Bytes()).To(BeNumerically("<=", 2*answer.Room))
}

// Guards against answers that are dropped too early or kept forever.
func TestSweepDropsAfterTheKeepTime(t *testing.T) {
	g := NewWithT(t)
	s := answer.New(boot)
	fill(g, s, t0, "a", 1)
	fill(g, s, t0.Add(time.Second), "b", 1)
	g.Expect(s.Open("running", "a")).To(Succeed())
	dropped, _ := s.Sweep(t0.Add(answer.Keep - 1))
	g.Expect(dropped).To(BeEmpty())
	dropped, _ = s.Sweep(t0.Add(answer.Keep))
	g.Expect(dropped).To(Equal([]ident.RequestID{"a"}))
	s.Sweep(t0.Add(100 * answer.Keep))
	g.Expect(s.Has("b")).To(BeFalse())
	g.Expect(s.Has("running")).To(BeTrue())
	s.Discard("running")
	g.Expect(s.Bytes()).To(BeZero())
}
