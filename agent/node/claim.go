package node

import (
	"time"

	"hickoryvane.example/core/answer"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/wire"
)

// claim records a keyed request for a router. A claim that names no agent yet ends with the connection of
// its router: the router needs the answer to a second claim, which names the agent, before it sends the body.
func (c *Core) handleClaim(now time.Time, p answer.Peer, m *wire.Claim) {
	held, err := c.claims.Claim(now, m)
	if err != nil {
		c.refuse(p, m.ID, fault.NotRunf(fault.Duplicate, "%s", err))
		return
	}
	for _, other := range c.peers { // an older connection of the router may end later than it was replaced
		if other.claims[m.ID] == m.Attempt {
			delete(other.claims, m.ID)
		}
	}
	if held.Attempt == m.Attempt && m.Agent == "" {
		c.peers[p].claims[m.ID] = m.Attempt
	}
	c.send(p, held)
}
