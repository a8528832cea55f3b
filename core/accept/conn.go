package accept

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/budget"
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
	// owner holds the memory of the connection; limit is the first Limit that the connection reached.
	owner *budget.Owner
	limit atomic.Uint32
	out   output

	// mu guards the fields below.
	mu    sync.Mutex
	state state
	// since is the time at which the connection was accepted or began to rest.
	since time.Time
	// idleTime is the longest idle time that was in force since then.
	idleTime time.Duration
	// expired is true when the connection ended because it rested.
	expired bool
	// ending is true once the connection is to end unless it has a request.
	ending bool
	// released is true once the connection has ended or belongs to its handler; no memory is reserved any more.
	released bool
	head     head
}

// rest records that an answer is complete.
func (c *conn) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since, c.idleTime = answered, time.Now(), 0
	c.nextHead(true)
	c.out.buffered.Store(false)
	c.ending = false // it had a request after all
}

// SetReadDeadline implements net.Conn. After an answer, http.Server sets a deadline before it waits for the next
// request, and another one once it has the first bytes of that request.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.state {
	case fresh:
		if c.ending {
			return c.Conn.SetReadDeadline(time.Now())
		}
		return c.Conn.SetReadDeadline(earlier(c.headDeadline(), c.waitDeadline()))
	case answered:
		c.state = resting
		return c.Conn.SetReadDeadline(c.waitDeadline())
	default:
		c.state = active
		if t.IsZero() { // http.Server has parsed the header section
			c.head.reading = false
		} else if c.head.reading {
			t = c.headDeadline()
		}
		return c.Conn.SetReadDeadline(t)
	}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (n int, err error) {
	c.beginRead(len(b))
	n, err = c.Conn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.allowLastRead() {
		n, err = c.Conn.Read(b)
	}
	l, answer := c.endRead(b[:n], err)
	if l != noLimit {
		return 0, c.refuse(l, answer)
	}
	return n, err
}

// beginRead records that http.Server waits for n bytes. It waits for one byte while the handler has the whole request, and
// for a request that rests only if its buffer is empty.
func (c *conn) beginRead(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case n == 1 && c.head.cost > 0:
		c.server.budget.SetBusy(c.owner)
	case c.state == resting && c.head.cost > 0:
		c.nextHead(false)
	}
}

// endRead records the result of a read and returns the limit that the connection has reached. answer is true if the
// request has not been passed to the handler yet.
func (c *conn) endRead(b []byte, err error) (l Limit, answer bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	answer = c.head.reading
	switch {
	case c.state == active:
	case len(b) > 0:
		c.state = active
		_ = c.Conn.SetReadDeadline(c.headDeadline()) // fails only when the connection is closed
	case c.state == resting && errors.Is(err, os.ErrDeadlineExceeded):
		c.expired = true
	}
	if c.state == active && answer && errors.Is(err, os.ErrDeadlineExceeded) {
		return HeaderTime, answer
	}
	if len(b) == 0 || c.released {
		return noLimit, answer
	}
	if l = c.count(b); l == noLimit && c.ending && c.head.reading {
		l = Conns
	}
	return l, answer
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

// headDeadline returns the time until which the header section has to be read whose first bytes were just read; c.mu is
// held.
func (c *conn) headDeadline() time.Time {
	d := c.server.headerTime()
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

// earlier returns the earlier of two deadlines, of which zero ones are none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
