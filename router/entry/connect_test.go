package entry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/links"
	"hickoryvane.example/core/member"
	"hickoryvane.example/core/wire"
)

// list names all targets of the configuration.
func targetVMs() (out []member.Entry) {
	for i, t := range config.Targets {
		out = append(out, member.Entry{VM: t.VM, Address: "127.0.0.1:" + string(rune('1'+i)), Role: member.Agent, Centre: t.Centre})
	}
	return out
}

// Guards against keyed calls that are claimed at the wrong homes after the router was paused: it has not
// heard from the agents because it did not run.
func TestPausedRouterKeepsItsOwners(t *testing.T) {
	b := newHarness(t)
	b.c.ApplyList(b.now, targetVMs())
	b.collect()
	b.now = b.now.Add(10 * time.Second)
	b.deliver(1, &wire.Gossip{})
	b.beginCall(1, 0, 0, "k")
	b.g.Expect(b.takeClaims()).To(HaveLen(2))
}

// Guards against an agent that is never dialled again after it was silent, and against homes that change
// because a connection which is not needed was closed.
func TestSilentAgentIsDialledAgain(t *testing.T) {
	b := newHarness(t)
	b.c.ApplyList(b.now, targetVMs())
	b.collect()
	b.c.HandleDisconnect(b.now, links.ID(1))
	b.advanceWithHeartbeats(15*time.Second, 2, 3, 4, 5, 6, 7, 8, 9)
	b.g.Expect(b.wanted).To(ContainElement("127.0.0.1:1"))
}
