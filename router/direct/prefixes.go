package direct

import (
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/prefix"
	"hickoryvane.example/core/wire"
)

// addPrefixes adds what requests of this router have read at targets.
func addPrefixes(m *wire.Heartbeat, rep prefix.Report) {
	for _, p := range rep.Reads {
		m.Reads = append(m.Reads, wire.HeartbeatRead{Target: wire.KeyOf(p.Target), Start: wire.StartKeyOf(p.Start.Boot, p.Start.Version), Block: p.Block})
	}
	for _, p := range rep.Passed {
		m.Passed = append(m.Passed, wire.HeartbeatPassed{Target: wire.KeyOf(p.Target), Start: wire.StartKeyOf(p.Start.Boot, p.Start.Version), Tokens: p.Tokens})
	}
}

// prefixesOf returns what another router's requests have read at targets of which it knows the same start; r.mu is held.
func (r *Router) prefixesOf(b *wire.Heartbeat) (rep prefix.Report) {
	if !r.cfg.Prefix {
		return rep
	}
	start := func(k wire.TargetKey, s wire.StartKey) (id ident.TargetID, own prefix.Start, ok bool) {
		t, ok := r.targets[r.targetKeys[k]]
		return t.ID, prefix.Start{Boot: t.Boot, Version: t.Version}, ok && wire.StartKeyOf(t.Boot, t.Version) == s
	}
	for _, p := range b.Reads {
		if id, s, ok := start(p.Target, p.Start); ok {
			rep.Reads = append(rep.Reads, prefix.Read{Target: id, Start: s, Block: p.Block})
		}
	}
	for _, p := range b.Passed {
		if id, s, ok := start(p.Target, p.Start); ok {
			rep.Passed = append(rep.Passed, prefix.Passed{Target: id, Start: s, Tokens: p.Tokens})
		}
	}
	return rep
}
