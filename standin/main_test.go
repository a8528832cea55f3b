package main

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a command whose flags cannot be parsed, arguments that are ignored,
// and a name where an IP number is needed.
func TestCommandsRejectInvalidArguments(t *testing.T) {
	g := NewWithT(t)
	for _, v := range commands {
		g.Expect(rootCommand().Parse([]string{v.name, "-listen", "127.0.0.1:0", "-seed", "7"})).To(Succeed())
		g.Expect(run(t.Context(), []string{v.name, "-wrong"})).To(Equal(exitUsage))
		g.Expect(run(t.Context(), []string{v.name, "surplus"})).To(Equal(exitUsage))
		g.Expect(run(t.Context(), []string{v.name, "-listen", "host:1"})).To(Equal(exitUsage))
	}
	g.Expect(run(t.Context(), nil)).To(Equal(exitUsage))
}
