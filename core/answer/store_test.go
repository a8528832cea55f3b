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

func attachMessage(id ident.RequestID, after ident.Seq, credit ident.Bytes) *wire.Attach {
	return &wire.Attach{ID: id, Boot: boot, Account: "a", AfterSeq: after, Credit: credit}
}

// read returns all frames that a peer may have now.
func readFrames(s *answer.Store, p answer.Peer) (out []wire.Message) {
	for m, ok := s.NextFrame(p); ok; m, ok = s.NextFrame(p) {
		out = append(out, m)
	}
	return out
}

// fill opens and ends an answer of n bytes.
func storeEnded(g Gomega, s *answer.Store, at time.Time, id ident.RequestID, n int) {
	g.Expect(s.Open(id, "a")).To(Succeed())
	_, err := s.Append(id, answer.Fragment{Status: 200, Data: make([]byte, n)})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = s.Finish(at, id, wire.End{Complete: true})
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a reader that gets more than its credit, or that delays another reader.
func TestEachReaderHasItsOwnPositionAndCredit(t *testing.T) {
	g := NewWithT(t)
	s := answer.New(boot)
	g.Expect(s.Open("r", "a")).To(Succeed())
	g.Expect(s.Attach(1, attachMessage("r", 0, 3))).To(BeNil())
	g.Expect(s.Attach(2, attachMessage("r", 0, 100))).To(BeNil())
	g.Expect(append(readFrames(s, 1), readFrames(s, 2)...)).To(BeEmpty())
	for range 3 {
		wake, err := s.Append("r", answer.Fragment{Status: 200, Data: []byte("ab")})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(wake).To(ContainElement(answer.Peer(2)))
		g.Expect(readFrames(s, 2)).To(HaveLen(1))
	}
	got := readFrames(s, 1)
	g.Expect(got).To(HaveLen(1))
	g.Expect(got[0]).To(Equal(&wire.Chunk{ID: "r", Boot: boot, Seq: 1, Status: 200, Data: []byte("ab")}))
	s.AddCredit(1, "r", 3)
	g.Expect(readFrames(s, 1)).To(HaveLen(2))
	_, err := s.Finish(t0, "r", wire.End{Complete: true})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(readFrames(s, 1)).To(Equal([]wire.Message{&wire.End{ID: "r", Boot: boot, LastSeq: 3, Complete: true}}))
}

// Guards against an answer that is given to another account, from another run, or beyond its end.
func TestAttachChecksAccountBootAndPosition(t *testing.T) {
	g := NewWithT(t)
	s := answer.New(boot)
	storeEnded(g, s, t0, "r", 1)
	for _, m := range []*wire.Attach{
		{ID: "r", Boot: boot, Account: "b"},
		{ID: "r", Boot: boot + 1, Account: "a"},
		{ID: "r", Boot: boot, Account: "a", AfterSeq: 2},
		{ID: "x", Boot: boot, Account: "a"},
	} {
		g.Expect(s.Attach(1, m)).To(HaveField("Reason", fault.Gone))
	}
	g.Expect(s.Attach(1, attachMessage("r", 1, 0))).To(BeNil())
	g.Expect(readFrames(s, 1)).To(ConsistOf(BeAssignableToTypeOf(&wire.End{})))
}

// Guards against unbounded memory, and against dropping a running answer to free some.
func TestBoundDropsEndedAnswersOnly(t *testing.T) {
	g := NewWithT(t)
	s := answer.New(boot, answer.WithBytesMax(2*answer.ReservePerAnswer))
	half := int(answer.ReservePerAnswer) - 10_000
	storeEnded(g, s, t0, "old", half)
	g.Expect(s.Attach(1, attachMessage("old", 0, answer.CreditMin))).To(BeNil()) // a slow reader
	g.Expect(s.Open("run", "a")).To(Succeed())
	_, err := s.Append("run", answer.Fragment{Data: make([]byte, half)})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Full()).To(BeFalse())

	_, err = s.Append("run", answer.Fragment{Data: make([]byte, half)})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Has("old")).To(BeFalse())
	g.Expect(readFrames(s, 1)).To(ConsistOf(HaveField("Reason", fault.Gone)))
	g.Expect(s.Full()).To(BeTrue())
	_, err = s.Append("run", answer.Fragment{Data: make([]byte, half)})
	g.Expect(err).To(MatchError(answer.ErrFull))
	g.Expect(s.Has("run")).To(BeTrue())
	g.Expect(s.Bytes()).To(BeNumerically("<=", 2*answer.ReservePerAnswer))
}

// Guards against answers that are dropped too early or kept forever.
func TestSweepDropsAfterTheRetention(t *testing.T) {
	g := NewWithT(t)
	s := answer.New(boot)
	storeEnded(g, s, t0, "a", 1)
	storeEnded(g, s, t0.Add(time.Second), "b", 1)
	g.Expect(s.Open("running", "a")).To(Succeed())
	dropped, _ := s.Sweep(t0.Add(answer.Retention - 1))
	g.Expect(dropped).To(BeEmpty())
	dropped, _ = s.Sweep(t0.Add(answer.Retention))
	g.Expect(dropped).To(Equal([]ident.RequestID{"a"}))
	s.Sweep(t0.Add(100 * answer.Retention))
	g.Expect(s.Has("b")).To(BeFalse())
	g.Expect(s.Has("running")).To(BeTrue())
	s.Discard("running")
	g.Expect(s.Bytes()).To(BeZero())
}
