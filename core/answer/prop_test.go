package answer_test

import (
	"bytes"
	"os"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"hickoryvane.example/core/answer"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/prop"
	"hickoryvane.example/core/wire"
)

func TestMain(m *testing.M) { os.Exit(prop.Run(m)) }

// readerUnderTest is the part of an Assembler that the property uses.
type readerUnderTest interface {
	AddChunk(c *wire.Chunk) ([]*wire.Chunk, answer.Result)
	AddEnd(e *wire.End) answer.Result
	AttachMessage(a ident.AccountID, credit ident.Bytes) *wire.Attach
	Complete() bool
}

// duplicatingReader is an assembler with a deliberate fault: it delivers duplicate chunks again.
type duplicatingReader struct{ *answer.Assembler }

func (r duplicatingReader) AddChunk(c *wire.Chunk) ([]*wire.Chunk, answer.Result) {
	if c.ID == "r" && c.Boot == boot && c.Seq <= r.LastSeq() {
		return []*wire.Chunk{c}, answer.Accepted
	}
	return r.Assembler.AddChunk(c)
}

// session is the transfer of one answer over a faulty network.
type session struct {
	store    *answer.Store
	reader   readerUnderTest
	network  []wire.Message
	sent     []byte
	received []byte
}

func (s *session) attach() { _ = s.store.Attach(1, s.reader.AttachMessage("a", 1<<20)) }

func (s *session) deliver(m wire.Message) {
	res := answer.Accepted
	switch m := m.(type) {
	case *wire.Chunk:
		var ready []*wire.Chunk
		ready, res = s.reader.AddChunk(m)
		for _, c := range ready {
			s.received = append(s.received, c.Data...)
		}
	case *wire.End:
		res = s.reader.AddEnd(m)
	}
	if res == answer.Gap {
		s.attach()
	}
}

func (s *session) step(t *rapid.T) {
	switch rapid.IntRange(0, 5).Draw(t, "event") {
	case 0, 1:
		data := rapid.SliceOfN(rapid.Byte(), 1, 3).Draw(t, "data")
		if _, err := s.store.Append("r", answer.Fragment{Data: data}); err == nil {
			s.sent = append(s.sent, data...)
		}
	case 2:
		s.network = append(s.network, readFrames(s.store, 1)...)
		s.network = append(s.network, &wire.Chunk{ID: "r", Boot: boot - 1, Seq: 1, Data: []byte("old boot")},
			&wire.Chunk{ID: "other", Boot: boot, Seq: 1, Data: []byte("other id")})
	default: // deliver any frame, and remove it from the network or leave a duplicate there
		if len(s.network) == 0 {
			return
		}
		i := rapid.IntRange(0, len(s.network)-1).Draw(t, "frame")
		if m := s.network[i]; rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
			s.deliver(m)
		}
		if rapid.Bool().Draw(t, "remove") {
			s.network = append(s.network[:i], s.network[i+1:]...)
		}
	}
}

// runSession runs a session and returns an error when the received data is not a prefix of the written data, when the
// answer is reported complete too early, or when it cannot be completed after the network has recovered.
func runSession(t *rapid.T, assembler readerUnderTest) error {
	s := &session{store: answer.New(boot), reader: assembler}
	_ = s.store.Open("r", "a")
	s.attach()
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		s.step(t)
		if !bytes.HasPrefix(s.sent, s.received) || assembler.Complete() {
			return errors.Errorf("received %q: not a prefix of %q, or reported complete too early", s.received, s.sent)
		}
	}
	_, _ = s.store.Finish(t0, "r", wire.End{Complete: true})
	s.attach()
	for _, m := range append(s.network, readFrames(s.store, 1)...) {
		s.deliver(m)
	}
	if !assembler.Complete() || !bytes.Equal(s.received, s.sent) {
		return errors.Errorf("answer not completed after the network recovered: received %q of %q", s.received, s.sent)
	}
	return nil
}

// Guards against an answer that is delivered with a missing, repeated, misplaced or foreign chunk
// (guarantee P4).
func TestAnswersArriveComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runSession(t, answer.NewAssembler("r", boot, 0)); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a property test that passes although an assembler delivers duplicate chunks.
func TestCompletenessPropertyDetectsDuplicates(t *testing.T) {
	g := NewWithT(t)
	faulty := rapid.Custom(func(t *rapid.T) error {
		return runSession(t, duplicatingReader{answer.NewAssembler("r", boot, 0)})
	})
	failed := false
	for seed := range 200 {
		failed = failed || faulty.Example(seed) != nil
	}
	g.Expect(failed).To(BeTrue())
}

// Guards against an answer that is reported complete although the target did not finish it, or although its
// last chunks are missing.
func TestAssemblerIsCompleteOnlyWithAMatchingEnd(t *testing.T) {
	g := NewWithT(t)
	a := answer.NewAssembler("r", 0, 0)
	_, res := a.AddChunk(&wire.Chunk{ID: "r", Boot: boot, Seq: 1})
	g.Expect(res).To(Equal(answer.Accepted))
	g.Expect(a.AddEnd(&wire.End{ID: "r", Boot: boot + 1, LastSeq: 1, Complete: true})).To(Equal(answer.Foreign))
	g.Expect(a.AddEnd(&wire.End{ID: "r", Boot: boot, LastSeq: 2, Complete: true})).To(Equal(answer.Gap))
	g.Expect(a.Complete()).To(BeFalse())
	_, res = a.AddChunk(&wire.Chunk{ID: "r", Boot: boot, Seq: 2})
	g.Expect(res).To(Equal(answer.Complete))

	truncated := answer.NewAssembler("r", boot, 4)
	g.Expect(truncated.AddEnd(&wire.End{ID: "r", Boot: boot, LastSeq: 4})).To(Equal(answer.Truncated))
	g.Expect(truncated.Complete()).To(BeFalse())
}
