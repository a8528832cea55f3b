package entry

import (
	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/event"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/member"
)

// note logs that the router became ready, and each change of a move's share.
func (c *Core) logStatus() {
	if c.Ready() && !c.periodic.readyLogged {
		c.periodic.readyLogged = true
		c.log(event.Ready, "generation", c.config.Generation())
	}
	for _, m := range c.rollouts.Status() {
		if was, seen := c.periodic.loggedShares[m.Name]; m.State == conf.Running && (!seen || was != m.Share) {
			c.periodic.loggedShares[m.Name] = m.Share
			c.log(event.RolloutShareChanged, "move", m.Name, "share", m.Share)
		}
	}
}

// status returns what operators see of the router.
func (c *Core) status(centre ident.DataCentre) conf.Status {
	return conf.Status{
		Process: c.self, Role: string(member.Router), Boot: c.boot, Centre: centre,
		Generation: c.config.Generation(), Ready: c.Ready(), Rollouts: c.rollouts.Status(),
	}
}
