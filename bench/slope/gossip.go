package slope

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hickoryvane.example/core/facts"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

const (
	// gossipWarm and gossipRounds are the rounds before and during a measurement.
	gossipWarm, gossipRounds = 20, 60
	factBytes                = 64
)

// net is a region of processes that exchange facts without loss or delay.
type net struct {
	machines map[ident.ProcessID]*facts.Machine
	ids      []ident.ProcessID
	now      time.Time
	bytes    float64
}

// gossip measures one of size processes that each write a fact per second.
func gossip(size int) Point {
	before := heap()
	n := &net{machines: map[ident.ProcessID]*facts.Machine{}, now: time.Unix(1_800_000_000, 0)}
	for i := range size {
		id := ident.ProcessID(fmt.Sprintf("p%03d", i))
		n.ids = append(n.ids, id)
		n.machines[id] = facts.New(id, ident.BootAt(n.now), rand.New(rand.NewPCG(1, uint64(i))))
	}
	n.run(gossipWarm)
	n.bytes = 0
	took := cpu(func() { n.run(gossipRounds) })
	memory := heap() - before
	seconds := gossipRounds * facts.Round.Seconds() * float64(size)
	n.ids = n.ids[:len(n.machines)] // keeps the machines live until here
	return Point{
		Size: size, CPU: float64(took.Microseconds()) / 1000 / seconds, Bytes: n.bytes / seconds,
		Memory: memory / float64(size),
	}
}

func (n *net) run(rounds int) {
	value := make([]byte, factBytes)
	for i := range rounds {
		n.now = n.now.Add(facts.Round)
		for k, id := range n.ids {
			m := n.machines[id]
			if i%2 == 0 {
				value[0] = byte(i)
				m.Set(n.now, facts.SortDemand, fmt.Sprintf("account%d", k%accounts), value)
			}
			n.deliver(id, m.Tick(n.now, facts.Peers{Near: n.ids}))
		}
	}
}

func (n *net) deliver(from ident.ProcessID, sends []facts.Send) {
	for _, s := range sends {
		if b, err := wire.Encode(s.Facts); err == nil {
			n.bytes += float64(len(b))
		}
		m := n.machines[s.To]
		n.deliver(s.To, m.Handle(n.now, from, s.Facts))
		m.Changed()
	}
}
