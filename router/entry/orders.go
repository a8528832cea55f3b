package entry

import (
	"slices"
	"time"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/event"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/orders"
	"hickoryvane.example/core/wire"
)

// declareOrders takes the targets of model services from a configuration.
func (c *Core) declareCommandTargets(now time.Time, cfg conf.Config) {
	models := make(map[ident.Service]conf.Service)
	for _, s := range cfg.Services {
		if s.Kind == conf.ModelService {
			models[s.Name] = s
		}
	}
	var ts []orders.Target
	for _, t := range cfg.Targets {
		if s, ok := models[t.Service]; ok && slices.Contains(s.Versions, t.Version) {
			ts = append(ts, orders.Target{ID: t.Name, Agent: t.VM, Version: t.Version})
		}
	}
	c.commands.SetTargets(now, cfg.Limits.LoadsPerMinute, ts)
}

// order gives the orders that are due while this router holds the lease.
func (c *Core) sendCommands(now time.Time) {
	fence, valid, held := c.lease.Held(now)
	for _, o := range c.commands.IssueDue(now, fence, valid, held) {
		if !c.sendTo(o.Agent, &o.Command) {
			c.commands.MarkUnsent(o.Command.ID)
			c.keepConnected(now, []ident.ProcessID{o.Agent})
			continue
		}
		c.log(event.CommandSent, "agent", o.Agent, "order", o.Command.ID, "verb", o.Command.Verb, "version", o.Command.Version, "fence", fence)
	}
}

// ordered takes in the answer to an order. A refused one is given again after orders.Again.
func (c *Core) handleCommandResult(m *wire.CommandReply) {
	if !m.Done {
		c.log(event.CommandRefused, "order", m.ID, "reason", m.Detail, "fence", m.Fence)
	}
}
