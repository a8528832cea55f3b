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

// waitingCommandsMax bounds the commands that wait until the lease has been read.
const waitingCommandsMax = 16

// handleCommand executes a command under a lease, or refuses it. An agent that has not read the lease since its
// start does so first, because an earlier incarnation may have executed a command with a higher fencing token.
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

// HandleLeaseRead handles the result of a ReadLease.
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
	if refusal := c.fence.Admit(now, m); refusal != nil {
		c.refuseCommand(p, refusal)
		return
	}
	forward, refusal := c.fence.Recheck(now, m.ID)
	if refusal != nil {
		c.refuseCommand(p, refusal)
		return
	}
	c.log(event.CommandSent, "order", m.ID, "verb", m.Verb, "fence", m.Fence)
	c.recordCommandPeer(m.ID, p)
	c.act(SendCommand{Forward: *forward})
}

func (c *Core) refuseCommand(p answer.Peer, refusal *wire.CommandReply) {
	c.log(event.CommandRefused, "order", refusal.ID, "reason", refusal.Detail, "fence", refusal.Fence)
	c.send(p, refusal)
}

// HandleCommandResult handles the result of a SendCommand.
func (c *Core) HandleCommandResult(id ident.RequestID, err error) {
	p, ok := c.commandPeers[id]
	if !ok {
		return
	}
	delete(c.commandPeers, id)
	result := &wire.CommandReply{ID: id, Done: err == nil}
	if err != nil {
		result.Detail = err.Error()
	}
	c.send(p, result)
}

// forgetCommands removes the entries of a disconnected peer that waits for results. Commands that were sent to the
// target stay in force.
func (c *Core) forgetCommands(p answer.Peer) {
	maps.DeleteFunc(c.commandPeers, func(_ ident.RequestID, q answer.Peer) bool { return q == p })
}

func (c *Core) recordCommandPeer(id ident.RequestID, p answer.Peer) {
	if c.commandPeers == nil {
		c.commandPeers = make(map[ident.RequestID]answer.Peer)
	}
	c.commandPeers[id] = p
}
