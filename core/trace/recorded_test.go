package trace_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/trace"
)

// Guards against a change of a policy that misses the stated outcome of a recorded trace.
func TestRecordedTracesMeetExpectations(t *testing.T) {
	names, err := filepath.Glob("../../traces/*.jsonl")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(len(names)).To(BeNumerically(">=", 15))
	for _, name := range names {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".jsonl"), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f, err := os.Open(name)
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = f.Close() }()
			tr, err := trace.Read(f)
			g.Expect(err).NotTo(HaveOccurred())
			r, err := trace.Replay(tr, trace.LateBinding)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(tr.Header.Missed(r)).To(BeEmpty())
		})
	}
}
