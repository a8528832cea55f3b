package entry

import (
	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/event"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/member"
)

// logStatus logs that the router became ready, and each change of a rollout's share.
func (c *Core) logStatus() {
	if c.Ready() && !c.periodic.readyLogged {
		c.periodic.readyLogged = true
		c.log(event.Ready, "generation", c.config.Generation())
	}
	for _, m := range c.rollouts.Status() {
		if share, logged := c.periodic.loggedShares[m.Name]; m.State == conf.Running && (!logged || share != m.Share) {
			c.periodic.loggedShares[m.Name] = m.Share
			c.log(event.RolloutShareChanged, "move", m.Name, "share", m.Share)
		}
	}
}

// status returns the status of the router for operators.
func (c *Core) status(centre ident.DataCentre) conf.Status {
	return conf.Status{
		Process: c.self, Role: string(member.Router), Boot: c.boot, Centre: centre,
		Generation: c.config.Generation(), Ready: c.Ready(), Rollouts: c.rollouts.Status(),
	}
}
