package node

import (
	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/member"
)

// status returns what operators see of the agent.
func (c *Core) status(centre ident.DataCentre) conf.Status {
	return conf.Status{
		Process: c.self, Role: string(member.Agent), Boot: c.boot, Centre: centre,
		Generation: c.config.Generation(), Ready: c.Ready(), Rollouts: c.rollout.rollouts.Status(),
	}
}
