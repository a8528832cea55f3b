package node

import (
	"slices"
	"time"

	"hickoryvane.example/core/active"
	"hickoryvane.example/core/ident"
)

// Reported takes in the version that the target says it runs, and spreads it when it changed.
func (c *Core) HandleReportedVersion(now time.Time, v ident.Version) {
	if v == c.reportedVersion || !c.configured {
		return
	}
	c.reportedVersion = v
	c.report.due = true
	c.gossipTable.Set(now, active.KindLoaded, string(c.decl.Name), []byte(v))
}

// other reports whether the target runs another declared version of its service than it should. A name that
// is not declared says nothing, because engines name versions as they like.
func (c *Core) runsOtherVersion() bool {
	x := c.config.Index()
	if x == nil || !c.configured || c.reportedVersion == "" || c.reportedVersion == c.decl.Version {
		return false
	}
	s, ok := x.Service(c.decl.Service)
	return ok && slices.Contains(s.Versions, c.reportedVersion)
}
