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
	// warmUpRounds and measuredRounds are the gossip rounds before and during a measurement.
	warmUpRounds, measuredRounds = 20, 60
	// entryBytes is the size of the value of a gossip entry.
	entryBytes = 64
)

// gossipNet is a region of processes that exchange gossip entries without loss or delay.
type gossipNet struct {
	machines  map[ident.ProcessID]*facts.Gossiper
	ids       []ident.ProcessID
	now       time.Time
	sentBytes float64
}

// measureGossip returns the cost of one of size processes that each set one gossip entry per second.
func measureGossip(size int) Point {
	before := liveHeapBytes()
	n := &gossipNet{machines: map[ident.ProcessID]*facts.Gossiper{}, now: time.Unix(1_800_000_000, 0)}
	for i := range size {
		id := ident.ProcessID(fmt.Sprintf("p%03d", i))
		n.ids = append(n.ids, id)
		n.machines[id] = facts.New(id, ident.BootAt(n.now), rand.New(rand.NewPCG(1, uint64(i))))
	}
	n.runRounds(warmUpRounds)
	n.sentBytes = 0
	cpuUsed := cpuTime(func() { n.runRounds(measuredRounds) })
	memory := liveHeapBytes() - before
	seconds := measuredRounds * facts.RoundInterval.Seconds() * float64(size)
	n.ids = n.ids[:len(n.machines)] // keeps the state machines reachable while the heap is measured
	return Point{
		Size: size, CPUMillisPerSecond: float64(cpuUsed.Microseconds()) / 1000 / seconds,
		BytesPerSecond: n.sentBytes / seconds, MemoryBytes: memory / float64(size),
	}
}

func (n *gossipNet) runRounds(rounds int) {
	value := make([]byte, entryBytes)
	for i := range rounds {
		n.now = n.now.Add(facts.RoundInterval)
		for k, id := range n.ids {
			m := n.machines[id]
			if i%2 == 0 { // rounds are half a second apart; entries change once per second
				value[0] = byte(i)
				m.Set(n.now, facts.KindDemand, fmt.Sprintf("account%d", k%accountCount), value)
			}
			n.deliver(id, m.Tick(n.now, facts.Peers{SameRegion: n.ids}))
		}
	}
}

func (n *gossipNet) deliver(from ident.ProcessID, sends []facts.Envelope) {
	for _, s := range sends {
		if b, err := wire.Encode(s.Message); err == nil {
			n.sentBytes += float64(len(b))
		}
		m := n.machines[s.To]
		n.deliver(s.To, m.Handle(n.now, from, s.Message))
		m.TakeChanged()
	}
}
