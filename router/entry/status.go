package entry

import (
	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/event"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/member"
)

// note logs that the router became ready, and each change of a move's share.
func (c *Core) note() {
	if c.Ready() && !c.tasks.ready {
		c.tasks.ready = true
		c.log(event.Ready, "generation", c.force.Generation())
	}
	for _, m := range c.moves.Status() {
		if was, seen := c.tasks.shares[m.Name]; m.State == conf.Running && (!seen || was != m.Share) {
			c.tasks.shares[m.Name] = m.Share
			c.log(event.RolloutShareChanged, "move", m.Name, "share", m.Share)
		}
	}
}

// status returns what operators see of the router.
func (c *Core) status(centre ident.DataCentre) conf.Status {
	return conf.Status{
		Process: c.self, Role: string(member.Router), Boot: c.boot, Centre: centre,
		Generation: c.force.Generation(), Ready: c.Ready(), Moves: c.moves.Status(),
	}
}
