package accept

import (
	"net"
	"time"
)

// evict ends a connection whose memory is needed by others.
func (c *conn) evict() {
	if c.out.held.Load() {
		c.report(Reader)
		c.evictOutput()
		c.abort()
		return
	}
	c.report(Memory)
	_ = c.Conn.Close()
}

// rank tells how little is lost if a connection ends.
type rank uint8

const (
	// hasRequest: a request is read or answered.
	hasRequest rank = iota
	// isUnread: the client has not read its answer for unreadTime.
	isUnread
	// isResting: it waits for the next request.
	isResting
	// hasNoHead: not all of the header section was read.
	hasNoHead
)

// unreadTime is the time for which a write waits for the client before the connection may be ended for a new one.
const unreadTime = 2 * time.Second

// rank returns the rank of the connection, and since when it waits.
func (c *conn) rank(now time.Time) (r rank, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.ending:
		return hasRequest, c.since
	case c.state == resting:
		return isResting, c.since
	case c.state == fresh, c.state == active && c.head.reading:
		return hasNoHead, c.since
	}
	if n := c.out.waitingSince.Load(); n != 0 && now.Sub(time.Unix(0, n)) >= unreadTime {
		return isUnread, time.Unix(0, n)
	}
	return hasRequest, c.since
}

// giveWay ends a connection of the given rank for a new one.
func (c *conn) giveWay(r rank) {
	if r == isUnread {
		c.report(Reader)
		c.abort()
		return
	}
	c.report(Conns)
	c.end()
}

// end ends a connection that has no request. It ends by its deadline, so that a request that has arrived meanwhile is
// still read. A connection that has got a request since it was chosen goes on.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == answered || c.state == active && !c.head.reading {
		return
	}
	c.ending = true
	_ = c.Conn.SetReadDeadline(time.Now()) // fails only when the connection is closed
}

// release gives the memory of a connection back that has ended or belongs to its handler.
func (c *conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.released = true
	c.server.budget.Drop(c.owner)
}

// socketBuffer is the size that the buffers of a connection in the kernel have at most, in bytes; Linux doubles it. They
// count as memory of the process, and would grow to several MB for a client that sends what is not read, or does not read.
const socketBuffer = 64 << 10

// limitBuffers limits the buffers of a connection in the kernel.
func limitBuffers(c net.Conn) {
	if k, ok := c.(*net.TCPConn); ok {
		_ = k.SetReadBuffer(socketBuffer) // the connection may be closed already
		_ = k.SetWriteBuffer(socketBuffer)
	}
}
