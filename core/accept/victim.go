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

// rank returns how little is lost if the connection ends, zero if it has a request, and since when it waits.
func (c *conn) rank() (rank int, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.ending:
	case c.state == resting:
		return 1, c.since
	case c.state == fresh, c.state == active && c.head.reading:
		return 2, c.since
	}
	return 0, c.since
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
