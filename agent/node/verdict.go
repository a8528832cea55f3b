package node

import (
	"time"

	"hickoryvane.example/agent/target"
	"hickoryvane.example/core/wire"
)

// verdict is what the agent knows of the version of its own target.
type verdict struct {
	dirty bool
	// bad is true when the version was judged bad, by this agent alone or by another process.
	bad bool
}

// refusing reports whether the agent refuses work for the version of an offer.
func (c *Core) refusing(_ *wire.Offer) bool { return c.verdict.bad }

func (c *Core) judge(_ time.Time) { c.verdict.dirty = false }

func (c *Core) learn(_ time.Time, _ *offer, _ target.Outcome) {}
