package main

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a command whose flags cannot be parsed, unexpected arguments that are ignored,
// and a host name that is accepted where an IP address is needed.
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
