package accept

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// state is what a connection waits for.
type state uint8

const (
	// fresh: no byte was read yet.
	fresh state = iota
	// active: a request is read or answered.
	active
	// answered: the answer is complete, but http.Server may hold bytes of the next request.
	answered
	// resting: http.Server waits for the next request.
	resting
)

// conn is a connection of a caller.
type conn struct {
	net.Conn
	server *Server

	// mu guards the fields below.
	mu    sync.Mutex
	state state
	// since is the time at which the connection was accepted or began to rest.
	since time.Time
	// idleTime is the longest idle time that was in force since then.
	idleTime time.Duration
	// expired is true when the connection ended because it rested.
	expired bool
}

// rest records that an answer is complete.
func (c *conn) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since, c.idleTime = answered, time.Now(), 0
}

// SetReadDeadline implements net.Conn. After an answer, http.Server sets a deadline before it waits for the next
// request, and another one once it has the first bytes of that request.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.state {
	case fresh:
		return c.Conn.SetReadDeadline(earlier(t, c.waitDeadline()))
	case answered:
		c.state = resting
		return c.Conn.SetReadDeadline(c.waitDeadline())
	default:
		c.state = active
		return c.Conn.SetReadDeadline(t)
	}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.allowLastRead() {
		n, err = c.Conn.Read(b)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state == active:
	case n > 0:
		c.state = active
		_ = c.Conn.SetReadDeadline(c.headDeadline()) // fails only when the connection is closed
	case c.state == resting && errors.Is(err, os.ErrDeadlineExceeded):
		c.expired = true
	}
	return n, err
}

// allowLastRead sets a deadline for one more read if the connection waits for a request.
func (c *conn) allowLastRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state != active && c.Conn.SetReadDeadline(time.Now().Add(lastReadTime)) == nil
}

// applyDeadline applies what has changed at the server to a connection that waits for a request.
func (c *conn) applyDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == resting || c.state == fresh && c.server.stopping.Load() {
		_ = c.Conn.SetReadDeadline(c.waitDeadline()) // fails only when the connection is closed
	}
}

// waitDeadline returns the time until which the first byte of a request has to be read; zero if there is no limit.
// c.mu is held.
func (c *conn) waitDeadline() time.Time {
	switch {
	case c.server.stopping.Load():
		return c.since.Add(lingerTime)
	case c.state == fresh:
		return time.Time{}
	case c.server.releasing.Load():
		return c.since.Add(lingerTime)
	}
	c.idleTime = max(c.idleTime, c.server.idleTime())
	return c.since.Add(c.idleTime + idleGrace)
}

// headDeadline returns the time until which the head of a request has to be read whose first bytes were just read.
func (c *conn) headDeadline() time.Time {
	d := c.server.http.ReadHeaderTimeout
	if c.server.stopping.Load() && (d <= 0 || d > stopHeadTime) {
		d = stopHeadTime
	}
	if d <= 0 {
		return time.Time{}
	}
	return time.Now().Add(d)
}

// endedAtRest returns why the connection ended and how long it had rested; ok is false if it did not end because it
// rested.
func (c *conn) endedAtRest() (cause Cause, rested time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.server.stopping.Load() {
		cause = Stopping
	}
	return cause, time.Since(c.since), c.expired
}

// SetLinger sets what a close does with data that was not sent yet; see net.TCPConn.
func (c *conn) SetLinger(seconds int) error {
	if k, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return k.SetLinger(seconds)
	}
	return nil
}

// CloseWrite ends the sending direction; see net.TCPConn. http.Server uses it to end an answer to a request whose body
// was not read.
func (c *conn) CloseWrite() error {
	if k, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return k.CloseWrite()
	}
	return nil
}

// earlier returns the earlier of two deadlines, of which zero ones are none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
