package entry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/links"
	"hickoryvane.example/core/member"
	"hickoryvane.example/core/wire"
	"hickoryvane.example/router/entry"
)

// BenchmarkCall measures the decisions for one call, from its start until its caller disconnects.
func BenchmarkCall(b *testing.B) {
	n := newHarness(&testing.T{})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		n.serve(i)
	}
}

// BenchmarkSecond measures the decisions of a router without calls in one second: 50 ticks and a load report from
// each connected agent, in a fleet of three times as many agents and half as many routers.
func BenchmarkSecond(b *testing.B) {
	for _, agents := range []int{24, 72, 216} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			n := newFleet(b, agents)
			b.ReportAllocs()
			for seq := ident.Seq(2); b.Loop(); seq++ {
				for i := range agents {
					n.c.HandleMessage(n.now, links.ID(i+1), loadReport(i, seq))
				}
				for range 50 {
					n.now = n.now.Add(20 * time.Millisecond)
					n.c.Tick(n.now)
					n.c.TakeActions()
				}
			}
		})
	}
}

// loadReport returns the load report of an agent at which no request waits (tier 255).
func loadReport(i int, seq ident.Seq) *wire.Load {
	return &wire.Load{
		Target: ident.TargetID(fmt.Sprint("e", i)), Service: "llm", Version: "v1", Seq: seq,
		Window: 8, PrefillRate: 8000, DrainRate: 500, LowestWaitingTier: 255,
	}
}

// newFleet returns a router that is connected to the given number of agents in a fleet of three times as many.
func newFleet(b *testing.B, agents int) *harness {
	n := &harness{g: NewWithT(b), now: time.Unix(1_800_000_000, 0)}
	cfg := config
	cfg.Targets = []conf.Target{{Name: "p1", VM: "p1", Centre: "west-a", Service: "shop", Version: "s1", Class: "x"}}
	var list []member.Entry
	for i := range 3 * agents {
		vm := ident.ProcessID(fmt.Sprint("a", i))
		cfg.Targets = append(cfg.Targets, conf.Target{
			Name: ident.TargetID(fmt.Sprint("e", i)), VM: vm, Centre: "west-a", Service: "llm", Version: "v1", Class: "x",
		})
		list = append(list, member.Entry{VM: vm, Address: fmt.Sprint("127.0.0.1:", 1000+i), Role: member.Agent, Centre: "west-a"})
	}
	for i := range 3 * agents / 2 {
		vm := ident.ProcessID(fmt.Sprint("r", i))
		list = append(list, member.Entry{VM: vm, Address: fmt.Sprint("127.0.0.1:", 9000+i), Role: member.Router, Centre: "west-a"})
	}
	n.c = entry.New(list[len(list)-1], "west", 1, "d", rand.New(rand.NewPCG(1, 1)), entry.WithBounds(conf.RouterBounds{Agents: agents}))
	value, err := conf.Encode(cfg)
	n.g.Expect(err).NotTo(HaveOccurred())
	n.c.HandleConfigRead(n.now, value)
	n.c.ApplyList(n.now, list)
	for i := range agents {
		n.c.HandleConnect(n.now, links.ID(i+1), wire.Hello{Process: list[i].VM, Role: "agent", Boot: 1, Centre: "west-a"}, list[i].Address)
		n.c.HandleMessage(n.now, links.ID(i+1), loadReport(i, 1))
	}
	return n
}
