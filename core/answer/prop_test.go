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

// receiver is what the property needs of a Reader.
type receiver interface {
	Chunk(c *wire.Chunk) ([]*wire.Chunk, answer.Result)
	End(e *wire.End) answer.Result
	Attach(a ident.AccountID, credit ident.Bytes) *wire.Attach
	Whole() bool
}

// eager is a reader with a planted fault: it delivers a duplicate of a chunk once more.
type eager struct{ *answer.Reader }

func (e eager) Chunk(c *wire.Chunk) ([]*wire.Chunk, answer.Result) {
	if c.ID == "r" && c.Boot == boot && c.Seq <= e.Last() {
		return []*wire.Chunk{c}, answer.Taken
	}
	return e.Reader.Chunk(c)
}

// session is one answer on its way through a faulty network.
type session struct {
	store *answer.Store
	in    receiver
	net   []wire.Message
	sent  []byte
	got   []byte
}

func (s *session) attach() { _ = s.store.Attach(1, s.in.Attach("a", 1<<20)) }

func (s *session) deliver(m wire.Message) {
	res := answer.Taken
	switch m := m.(type) {
	case *wire.Chunk:
		var ready []*wire.Chunk
		ready, res = s.in.Chunk(m)
		for _, c := range ready {
			s.got = append(s.got, c.Data...)
		}
	case *wire.End:
		res = s.in.End(m)
	}
	if res == answer.Gap {
		s.attach()
	}
}

func (s *session) step(t *rapid.T) {
	switch rapid.IntRange(0, 5).Draw(t, "event") {
	case 0, 1:
		data := rapid.SliceOfN(rapid.Byte(), 1, 3).Draw(t, "data")
		if _, err := s.store.Append("r", answer.Part{Data: data}); err == nil {
			s.sent = append(s.sent, data...)
		}
	case 2:
		s.net = append(s.net, read(s.store, 1)...)
		s.net = append(s.net, &wire.Chunk{ID: "r", Boot: boot - 1, Seq: 1, Data: []byte("old boot")},
			&wire.Chunk{ID: "other", Boot: boot, Seq: 1, Data: []byte("other id")})
	default: // deliver any frame, and remove it from the network or leave a duplicate there
		if len(s.net) == 0 {
			return
		}
		i := rapid.IntRange(0, len(s.net)-1).Draw(t, "frame")
		if m := s.net[i]; rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
			s.deliver(m)
		}
		if rapid.Bool().Draw(t, "remove") {
			s.net = append(s.net[:i], s.net[i+1:]...)
		}
	}
}

// drive runs a session and returns an error when the answer is called whole but differs from what was
// written, or when it cannot be completed over a network that works again.
func drive(t *rapid.T, in receiver) error {
	s := &session{store: answer.New(boot), in: in}
	_ = s.store.Open("r", "a")
	s.attach()
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		s.step(t)
		if !bytes.HasPrefix(s.sent, s.got) || in.Whole() {
			return errors.Errorf("got %q of %q", s.got, s.sent)
		}
	}
	_, _ = s.store.End(t0, "r", wire.End{Complete: true})
	s.attach()
	for _, m := range append(s.net, read(s.store, 1)...) {
		s.deliver(m)
	}
	if !in.Whole() || !bytes.Equal(s.got, s.sent) {
		return errors.Errorf("got %q of %q", s.got, s.sent)
	}
	return nil
}

// Guards against an answer that is passed on with a missing, repeated, misplaced or foreign part
// (promise P4).
func TestWholeAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := drive(t, answer.NewReader("r", boot, 0)); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a property that cannot fail.
func TestWholeAnswersCatchesDuplicates(t *testing.T) {
	g := NewWithT(t)
	faulty := rapid.Custom(func(t *rapid.T) error {
		return drive(t, eager{answer.NewReader("r", boot, 0)})
	})
	failed := false
	for seed := range 200 {
		failed = failed || faulty.Example(seed) != nil
	}
	g.Expect(failed).To(BeTrue())
}

// Guards against an answer that is called whole although the target did not end it, or although its
// last chunks are missing.
func TestReaderIsWholeOnlyWithAMatchingEnd(t *testing.T) {
	g := NewWithT(t)
	r := answer.NewReader("r", 0, 0)
	_, res := r.Chunk(&wire.Chunk{ID: "r", Boot: boot, Seq: 1})
	g.Expect(res).To(Equal(answer.Taken))
	g.Expect(r.End(&wire.End{ID: "r", Boot: boot + 1, LastSeq: 1, Complete: true})).To(Equal(answer.Foreign))
	g.Expect(r.End(&wire.End{ID: "r", Boot: boot, LastSeq: 2, Complete: true})).To(Equal(answer.Gap))
	g.Expect(r.Whole()).To(BeFalse())
	_, res = r.Chunk(&wire.Chunk{ID: "r", Boot: boot, Seq: 2})
	g.Expect(res).To(Equal(answer.Complete))

	cut := answer.NewReader("r", boot, 4)
	g.Expect(cut.End(&wire.End{ID: "r", Boot: boot, LastSeq: 4})).To(Equal(answer.Cut))
	g.Expect(cut.Whole()).To(BeFalse())
}
