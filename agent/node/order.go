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
const waitingCommandsMax = 16

// order obeys an order under a lease, or refuses it. An agent that has not read the lease since its start
// does so first, because an earlier run may have obeyed a higher fencing number.
func (c *Core) handleCommand(now time.Time, p answer.Peer, m *wire.Command) {
	if c.fence.LeaseKnown(m.Lease) {
		c.executeCommand(now, p, m)
		return
	}
	if len(c.waitingCommands) >= waitingCommandsMax {
		c.send(p, &wire.CommandReply{ID: m.ID, Detail: "too many orders wait for the lease"})
		return
	}
	c.waitingCommands = append(c.waitingCommands, pendingCommand{peer: p, msg: *m})
	c.act(ReadLease{Name: m.Lease})
}

// LeaseRead takes in the result of a ReadLease.
func (c *Core) HandleLeaseRead(now time.Time, name string, r lease.Record, err error) {
	if err == nil {
		c.fence.HandleRecord(name, r)
	}
	waiting := c.waitingCommands
	c.waitingCommands = nil
	for _, o := range waiting {
		switch {
		case o.msg.Lease != name:
			c.waitingCommands = append(c.waitingCommands, o)
		case err != nil:
			c.log(event.CommandRefused, "order", o.msg.ID, "reason", "lease cannot be read")
			c.send(o.peer, &wire.CommandReply{ID: o.msg.ID, Detail: "lease cannot be read"})
		default:
			c.executeCommand(now, o.peer, &o.msg)
		}
	}
}

func (c *Core) executeCommand(now time.Time, p answer.Peer, m *wire.Command) {
	if no := c.fence.Admit(now, m); no != nil {
		c.refuseCommand(p, no)
		return
	}
	forward, no := c.fence.Recheck(now, m.ID)
	if no != nil {
		c.refuseCommand(p, no)
		return
	}
	c.log(event.CommandSent, "order", m.ID, "verb", m.Verb, "fence", m.Fence)
	c.recordCommandPeer(m.ID, p)
	c.act(SendCommand{Forward: *forward})
}

func (c *Core) refuseCommand(p answer.Peer, no *wire.CommandReply) {
	c.log(event.CommandRefused, "order", no.ID, "reason", no.Detail, "fence", no.Fence)
	c.send(p, no)
}

// Gave takes in the result of a Give.
func (c *Core) HandleCommandResult(id ident.RequestID, err error) {
	p, ok := c.commandPeers[id]
	if !ok {
		return
	}
	delete(c.commandPeers, id)
	done := &wire.CommandReply{ID: id, Done: err == nil}
	if err != nil {
		done.Detail = err.Error()
	}
	c.send(p, done)
}

// forgetOrders drops what is only held to answer a peer that is gone. An order that was given stays in force.
func (c *Core) forgetCommands(p answer.Peer) {
	maps.DeleteFunc(c.commandPeers, func(_ ident.RequestID, q answer.Peer) bool { return q == p })
}

func (c *Core) recordCommandPeer(id ident.RequestID, p answer.Peer) {
	if c.commandPeers == nil {
		c.commandPeers = make(map[ident.RequestID]answer.Peer)
	}
	c.commandPeers[id] = p
}
