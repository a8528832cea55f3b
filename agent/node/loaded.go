package node

import (
	"slices"
	"time"

	"hickoryvane.example/core/active"
	"hickoryvane.example/core/ident"
)

// Reported takes in the version that the target says it runs, and spreads it when it changed.
func (c *Core) Reported(now time.Time, v ident.Version) {
	if v == c.loaded || !c.ok {
		return
	}
	c.loaded = v
	c.report.due = true
	c.facts.Set(now, active.KindLoaded, string(c.decl.Name), []byte(v))
}

// other reports whether the target runs another declared version of its service than it should. A name that
// is not declared says nothing, because engines name versions as they like.
func (c *Core) other() bool {
	x := c.force.Index()
	if x == nil || !c.ok || c.loaded == "" || c.loaded == c.decl.Version {
		return false
	}
	s, ok := x.Service(c.decl.Service)
	return ok && slices.Contains(s.Versions, c.loaded)
}
