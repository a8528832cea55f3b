package accept

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/budget"
)

// Load pattern: callers read their streams more slowly than targets send them. A target that cannot send ends the answer
// after some seconds, and its slot is in use until then. What a caller does not take at once is held here, so that the
// handler reads on from the target. The writes of a caller that reads in time are the same as without the buffer.

const (
	// outputPiece is the size in which memory for what is held is reserved, in bytes, and that of one write.
	outputPiece = 16 << 10
	// pieceCost is the memory of a piece beside its bytes.
	pieceCost = 64
	// closeTime limits the wait for a reader when the connection is to be closed and no write deadline is set.
	closeTime = time.Second
)

// errReader means that an answer is not read, and that the memory for unread answers is used up.
var errReader = errors.New("the answer is read too slowly, and the memory for unread answers is used up")

// output holds what the client has not read.
type output struct {
	// buffered is true while writes do not wait for the client; held is true while something is held.
	buffered, held atomic.Bool
	// evicted is true once the memory is needed by others.
	evicted atomic.Bool
	// waitingSince is the time in Unix nanoseconds at which the write began that waits for the client; zero while none
	// does.
	waitingSince atomic.Int64
	// raw is the socket, try the bound writeOnce; they are set by the first use.
	raw syscall.RawConn
	try func(fd uintptr) bool

	// mu guards the fields below.
	mu sync.Mutex
	// pieces are held in order; done is closed once all of them are written or writing has failed with err.
	pieces   [][]byte
	done     chan struct{}
	err      error
	deadline time.Time
	// hasNext is true if the deadline is next once nothing is held.
	hasNext bool
	next    time.Time
	// rest is what tryWrite has not written yet, tryErr the error of its last write.
	rest   []byte
	tryErr error
}

// BufferWrites makes the writes of the running request not wait for the client. What it does not read is held in memory,
// as long as the budget has room for it.
func (c *conn) BufferWrites() { c.out.buffered.Store(true) }

// Write implements net.Conn.
func (c *conn) Write(b []byte) (n int, err error) {
	o := &c.out
	if !o.buffered.Load() && !o.held.Load() {
		return c.writeWaiting(b)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err != nil {
		return 0, o.err
	}
	if !o.held.Load() {
		if n, err = c.tryWrite(b); err != nil || n == len(b) {
			return n, err
		}
	}
	if err = c.hold(b[n:]); err != nil {
		return n, err
	}
	if !o.held.Swap(true) {
		o.done = make(chan struct{})
		go c.writeHeld(o.done)
	}
	return len(b), nil
}

// writeWaiting writes b, for which it may have to wait for the client.
func (c *conn) writeWaiting(b []byte) (n int, err error) {
	c.out.waitingSince.Store(time.Now().UnixNano())
	defer c.out.waitingSince.Store(0)
	return c.Conn.Write(b)
}

// hold adds a copy of b to what is held; c.out.mu is held.
func (c *conn) hold(b []byte) error {
	o := &c.out
	size := len(b)
	if last := len(o.pieces) - 1; last >= 0 {
		if p := o.pieces[last]; cap(p)-len(p) >= len(b) {
			o.pieces[last] = append(p, b...)
			return nil
		}
		size = max(size, outputPiece)
	}
	if !c.server.budget.Reserve(time.Now(), c.owner, budget.Unread, int64(size+pieceCost)) {
		c.report(Reader)
		o.pieces, o.err = nil, errReader
		c.abort()
		return o.err
	}
	if o.evicted.Load() {
		o.pieces, o.err = nil, errReader
		return o.err
	}
	o.pieces = append(o.pieces, append(make([]byte, 0, size), b...))
	return nil
}

// tryWrite writes what the socket takes without waiting; c.out.mu is held.
func (c *conn) tryWrite(b []byte) (n int, err error) {
	o := &c.out
	if o.raw == nil {
		sc, ok := c.Conn.(syscall.Conn)
		if !ok {
			return c.Conn.Write(b)
		}
		if o.raw, err = sc.SyscallConn(); err != nil {
			return 0, err
		}
		o.try = o.writeOnce
	}
	o.rest, o.tryErr = b, nil
	err = o.raw.Write(o.try)
	n, o.rest = len(b)-len(o.rest), nil
	switch {
	case err != nil:
		return n, err
	case o.tryErr != nil && o.tryErr != syscall.EAGAIN:
		return n, &net.OpError{Op: "write", Net: "tcp", Addr: c.RemoteAddr(), Err: o.tryErr}
	}
	return n, nil
}

// writeOnce writes what the socket fd takes of o.rest. It returns true, so that nobody waits for the rest.
func (o *output) writeOnce(fd uintptr) bool {
	for len(o.rest) > 0 {
		n, err := syscall.Write(int(fd), o.rest)
		if err == syscall.EINTR {
			continue
		}
		if err != nil || n <= 0 {
			o.tryErr = err
			break
		}
		o.rest = o.rest[n:]
	}
	return true
}

// writeHeld writes what is held, at the speed of the client, and closes done at its end, which is at the latest when the
// connection is closed or its write deadline passes.
func (c *conn) writeHeld(done chan struct{}) {
	defer close(done)
	o := &c.out
	for {
		o.mu.Lock()
		if len(o.pieces) == 0 || o.err != nil {
			o.pieces = nil
			o.held.Store(false)
			if o.hasNext {
				o.deadline, o.hasNext = o.next, false
				_ = c.Conn.SetWriteDeadline(o.deadline) // fails only when the connection is closed
			}
			o.mu.Unlock()
			return
		}
		b := o.pieces[0]
		o.pieces[0] = nil // the array is kept until it grows
		o.pieces = o.pieces[1:]
		o.mu.Unlock()
		size := int64(cap(b) + pieceCost)
		for len(b) > 0 {
			n, err := c.writeWaiting(b[:min(len(b), outputPiece)])
			if b = b[n:]; n > 0 {
				c.server.budget.Read(time.Now(), c.owner, 0)
			}
			if err != nil {
				c.failOutput(err)
				break
			}
		}
		c.server.budget.Read(time.Now(), c.owner, size)
	}
}

// failOutput ends the connection, as a part of an answer is not written any more: what is written after it would be taken
// for the rest of that answer.
func (c *conn) failOutput(err error) {
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	if c.out.err == nil {
		c.out.err = err
	}
	c.abort()
}

// abort resets the connection: callers without HTTP/1.1 take a normal close for the end of a complete answer.
func (c *conn) abort() {
	_ = c.SetLinger(0) // the connection may be closed already
	_ = c.Conn.Close()
}

// evictOutput gives up what is held, without waiting for a write that is waiting for the budget and gives it up itself.
func (c *conn) evictOutput() {
	o := &c.out
	o.evicted.Store(true)
	if o.mu.TryLock() {
		defer o.mu.Unlock()
		o.pieces, o.err = nil, errReader
	}
}

// awaitOutput waits until what is held is written or its write deadline has passed.
func (c *conn) awaitOutput() {
	o := &c.out
	o.mu.Lock()
	done, held, end := o.done, o.held.Load(), o.deadline
	o.mu.Unlock()
	if !held || c.server.closing.Load() {
		return
	}
	if end.IsZero() {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(closeTime)) // fails only when the connection is closed
	}
	<-done
}

// SetWriteDeadline implements net.Conn. What is held keeps its deadline unless t is later.
func (c *conn) SetWriteDeadline(t time.Time) error {
	o := &c.out
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.held.Load() && (t.IsZero() || t.Before(o.deadline)) {
		o.hasNext, o.next = true, t
		return nil
	}
	o.deadline, o.hasNext = t, false
	return c.Conn.SetWriteDeadline(t)
}

// Close implements net.Conn. It waits until the client has read what is held.
func (c *conn) Close() error {
	c.awaitOutput()
	return c.Conn.Close()
}

// CloseWrite ends the sending direction; see net.TCPConn. http.Server uses it to end an answer to a request whose body
// was not read.
func (c *conn) CloseWrite() error {
	c.awaitOutput()
	if k, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return k.CloseWrite()
	}
	return nil
}
