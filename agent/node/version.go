package node

import (
	"slices"
	"time"

	"hickoryvane.example/core/active"
	"hickoryvane.example/core/ident"
)

// HandleReportedVersion records the version that the target reports, and publishes it when it has changed.
func (c *Core) HandleReportedVersion(now time.Time, v ident.Version) {
	if v == c.reportedVersion || !c.configured {
		return
	}
	c.reportedVersion = v
	c.report.due = true
	c.gossipTable.Set(now, active.KindLoaded, string(c.decl.Name), []byte(v))
}

// runsOtherVersion reports whether the target runs another declared version of its service than it should. A name
// that is not declared is ignored, because engines choose their own names of versions.
func (c *Core) runsOtherVersion() bool {
	x := c.config.Index()
	if x == nil || !c.configured || c.reportedVersion == "" || c.reportedVersion == c.decl.Version {
		return false
	}
	s, ok := x.Service(c.decl.Service)
	return ok && slices.Contains(s.Versions, c.reportedVersion)
}
