package entry

import (
	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/member"
)

// status returns what operators see of the router.
func (c *Core) status(centre ident.DataCentre) conf.Status {
	return conf.Status{
		Process: c.self, Role: string(member.Router), Boot: c.boot, Centre: centre,
		Generation: c.force.Generation(), Ready: c.Ready(), Moves: c.moves.Status(),
	}
}
