package entry_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/facts"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/links"
	"hickoryvane.example/core/wire"
)

// configsOnConnect returns how many configurations an agent gets immediately when it connects with a generation.
func configsOnConnect(b *harness, l links.ID, g ident.Generation) (n int) {
	b.sent = nil
	b.c.HandleConnect(b.now, l, wire.Hello{Process: "a1", Role: "agent", Boot: 8, Centre: "west-a", Generation: g}, "127.0.0.1:1")
	b.collect()
	for _, s := range b.sent {
		if m, ok := s.Message.(*wire.Gossip); ok && s.Link == l {
			for _, e := range m.Entries {
				if e.Kind == facts.KindConfig {
					n++
				}
			}
		}
	}
	return n
}

// Guards against an agent that waits for a round of gossip until it has a configuration, and against sending a
// configuration of up to 1 MB on each connection of an agent that already has it.
func TestNewAgentGetsTheConfigurationAtOnce(t *testing.T) {
	b := newHarness(t)
	b.g.Expect(configsOnConnect(b, 8, 0)).To(Equal(1))
	b.g.Expect(configsOnConnect(b, 9, 1)).To(BeZero())
}
