package node

import (
	"maps"
	"time"

	"hickoryvane.example/core/answer"
	"hickoryvane.example/core/event"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/lease"
	"hickoryvane.example/core/wire"
)

// ordersMax bounds the orders that wait for the lease to be read.
const ordersMax = 16

// order obeys an order under a lease, or refuses it. An agent that has not read the lease since its start
// does so first, because an earlier run may have obeyed a higher fencing number.
func (c *Core) order(now time.Time, p answer.Peer, m *wire.Command) {
	if c.fence.Ready(m.Lease) {
		c.obey(now, p, m)
		return
	}
	if len(c.waiting) >= ordersMax {
		c.send(p, &wire.CommandReply{ID: m.ID, Detail: "too many orders wait for the lease"})
		return
	}
	c.waiting = append(c.waiting, order{peer: p, msg: *m})
	c.act(ReadLease{Name: m.Lease})
}

// LeaseRead takes in the result of a ReadLease.
func (c *Core) LeaseRead(now time.Time, name string, r lease.Record, err error) {
	if err == nil {
		c.fence.Read(name, r)
	}
	waiting := c.waiting
	c.waiting = nil
	for _, o := range waiting {
		switch {
		case o.msg.Lease != name:
			c.waiting = append(c.waiting, o)
		case err != nil:
			c.log(event.OrderRefused, "order", o.msg.ID, "reason", "lease cannot be read")
			c.send(o.peer, &wire.CommandReply{ID: o.msg.ID, Detail: "lease cannot be read"})
		default:
			c.obey(now, o.peer, &o.msg)
		}
	}
}

func (c *Core) obey(now time.Time, p answer.Peer, m *wire.Command) {
	if no := c.fence.Order(now, m); no != nil {
		c.refuseOrder(p, no)
		return
	}
	forward, no := c.fence.Send(now, m.ID)
	if no != nil {
		c.refuseOrder(p, no)
		return
	}
	c.log(event.OrderSent, "order", m.ID, "verb", m.Verb, "fence", m.Fence)
	c.ordering(m.ID, p)
	c.act(Give{Forward: *forward})
}

func (c *Core) refuseOrder(p answer.Peer, no *wire.CommandReply) {
	c.log(event.OrderRefused, "order", no.ID, "reason", no.Detail, "fence", no.Fence)
	c.send(p, no)
}

// Gave takes in the result of a Give.
func (c *Core) Gave(id ident.RequestID, err error) {
	p, ok := c.given[id]
	if !ok {
		return
	}
	delete(c.given, id)
	done := &wire.CommandReply{ID: id, Done: err == nil}
	if err != nil {
		done.Detail = err.Error()
	}
	c.send(p, done)
}

// forgetOrders drops what is only held to answer a peer that is gone. An order that was given stays in force.
func (c *Core) forgetOrders(p answer.Peer) {
	maps.DeleteFunc(c.given, func(_ ident.RequestID, q answer.Peer) bool { return q == p })
}

func (c *Core) ordering(id ident.RequestID, p answer.Peer) {
	if c.given == nil {
		c.given = make(map[ident.RequestID]answer.Peer)
	}
	c.given[id] = p
}
