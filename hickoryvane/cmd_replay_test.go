package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/trace"
)

func writeTrace(g *WithT, dir string, least float64) string {
	tr, err := trace.Generate(trace.Spec{
		Deployment: "brunner", Seed: 2, Load: 0.2, Length: 2000,
		Expectations: []trace.Expectation{{Measure: trace.Goodput, Min: &least}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	name := filepath.Join(dir, "t.jsonl")
	f, err := os.Create(name)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(tr.Write(f)).To(Succeed())
	g.Expect(f.Close()).To(Succeed())
	return name
}

// Guards against a missed outcome that is not named or does not fail the command.
func TestReplayNamesMissedOutcomes(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	name := writeTrace(g, t.TempDir(), 1.1)
	g.Expect(newTool(&out, &out).run(t.Context(), []string{"replay", name})).To(Equal(exitFailed))
	g.Expect(out.String()).To(ContainSubstring("MISSED: goodput of tier 0"))
}

// Guards against a report without its files.
func TestReplayWritesReport(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	name := writeTrace(g, dir, 0)
	var out bytes.Buffer
	g.Expect(newTool(&out, &out).run(t.Context(), []string{"replay", "--report", dir, name})).To(Equal(exitOK))
	for _, f := range []string{"table.txt", "goodput.svg", "wait.svg"} {
		b, err := os.ReadFile(filepath.Join(dir, f))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(b).NotTo(BeEmpty())
	}
}
