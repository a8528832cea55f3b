package trace_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/trace"
)

func generate(g *WithT, s trace.Spec) *trace.Trace {
	t, err := trace.Generate(s)
	g.Expect(err).NotTo(HaveOccurred())
	return t
}

// Guards against replays that differ between runs, which would make stated outcomes worthless.
func TestReplayIsDeterministic(t *testing.T) {
	for _, p := range trace.Policies {
		g := NewWithT(t)
		tr := generate(g, trace.Spec{Deployment: "brunner", Seed: 3, Load: 1.5, Length: 5000, ExtraEvents: []trace.Event{
			{At: 2000, Kind: trace.Crash, Target: "engine-02", Span: 3000},
		}})
		var first []byte
		for range 2 {
			r, err := trace.Replay(tr, p)
			g.Expect(err).NotTo(HaveOccurred())
			b, err := json.Marshal(r)
			g.Expect(err).NotTo(HaveOccurred())
			if first == nil {
				first = b
			}
			g.Expect(b).To(Equal(first), string(p))
		}
	}
}

// Guards against fields that are lost between writing and reading.
func TestWriteAndReadGiveTheSameTrace(t *testing.T) {
	g := NewWithT(t)
	tr := generate(g, trace.Spec{Deployment: "rekkverk", Seed: 1, Load: 0.5, Length: 1000, Sessions: 3})
	var b bytes.Buffer
	g.Expect(tr.Write(&b)).To(Succeed())
	back, err := trace.Read(&b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(back).To(Equal(tr))
}

// Guards against a wrong trace that replays as something else.
func TestReadRefusesMalformedTraces(t *testing.T) {
	g := NewWithT(t)
	for _, text := range []string{"", "{}", `{"trace":2}`, `{"trace":1,"colour":3}`, "x"} {
		_, err := trace.Read(strings.NewReader(text))
		g.Expect(err).To(MatchError(trace.ErrFormat), text)
	}
}

// Guards against a baseline, against which the product is compared, that cannot serve an easy load.
func TestBaselinesServeAnEasyLoad(t *testing.T) {
	for _, p := range trace.Policies[1:] {
		g := NewWithT(t)
		r, err := trace.Replay(generate(g, trace.Spec{Deployment: "brunner", Seed: 5, Load: 0.1, Length: 20000}), p)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(float64(r.Good)/float64(r.Sent)).To(BeNumerically(">", 0.95), string(p))
		g.Expect(r.DuplicateRuns).To(BeZero())
	}
}
