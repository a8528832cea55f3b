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

// declareCommandTargets passes the targets of model services in a configuration to the planner of commands.
func (c *Core) declareCommandTargets(now time.Time, cfg conf.Config) {
	models := make(map[ident.Service]conf.Service)
	for _, s := range cfg.Services {
		if s.Kind == conf.ModelService {
			models[s.Name] = s
		}
	}
	var targets []orders.Target
	for _, t := range cfg.Targets {
		if s, ok := models[t.Service]; ok && slices.Contains(s.Versions, t.Version) {
			targets = append(targets, orders.Target{ID: t.Name, Agent: t.VM, Version: t.Version})
		}
	}
	c.commands.SetTargets(now, cfg.Limits.LoadsPerMinute, targets)
}

// sendCommands sends the commands that are due while this router holds the lease.
func (c *Core) sendCommands(now time.Time) {
	fence, valid, held := c.lease.Held(now)
	for _, cmd := range c.commands.IssueDue(now, fence, valid, held) {
		if !c.sendTo(cmd.Agent, &cmd.Command) {
			c.commands.MarkUnsent(cmd.Command.ID)
			c.keepConnected(now, []ident.ProcessID{cmd.Agent})
			continue
		}
		c.log(event.CommandSent, "agent", cmd.Agent, "order", cmd.Command.ID, "verb", cmd.Command.Verb, "version", cmd.Command.Version, "fence", fence)
	}
}

// handleCommandResult handles the response to a command. A refused command is sent again after the retry interval of
// core/orders.
func (c *Core) handleCommandResult(m *wire.CommandReply) {
	c.lease.LearnToken(m.Fence)
	if !m.Done {
		c.log(event.CommandRefused, "order", m.ID, "reason", m.Detail, "fence", m.Fence)
	}
}
