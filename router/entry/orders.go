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
func (c *Core) declareOrders(now time.Time, cfg conf.Config) {
	models := make(map[ident.Service]conf.Service)
	for _, s := range cfg.Services {
		if s.Kind == conf.Model {
			models[s.Name] = s
		}
	}
	var ts []orders.Target
	for _, t := range cfg.Targets {
		if s, ok := models[t.Service]; ok && slices.Contains(s.Versions, t.Version) {
			ts = append(ts, orders.Target{ID: t.Name, Agent: t.VM, Version: t.Version})
		}
	}
	c.orders.Declare(now, cfg.Limits.Loads, ts)
}

// order gives the orders that are due while this router holds the lease.
func (c *Core) order(now time.Time) {
	fence, valid, held := c.lease.Held(now)
	for _, o := range c.orders.Due(now, fence, valid, held) {
		if !c.tell(o.Agent, &o.Order) {
			c.orders.Unsent(o.Order.ID)
			c.keep(now, []ident.ProcessID{o.Agent})
			continue
		}
		c.log(event.OrderSent, "agent", o.Agent, "order", o.Order.ID, "verb", o.Order.Verb, "version", o.Order.Version, "fence", fence)
	}
}

// ordered takes in the answer to an order. A refused one is given again after orders.Again.
func (c *Core) ordered(m *wire.CommandReply) {
	if !m.Done {
		c.log(event.OrderRefused, "order", m.ID, "reason", m.Detail, "fence", m.Fence)
	}
}
