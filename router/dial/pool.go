// Package dial opens the connections of a router to its targets and keeps idle ones for later requests.
package dial

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// openTimeout limits the opening of a connection to a target. Targets are at most some ten
	// milliseconds away; a request whose target cannot be reached is placed at another one.
	openTimeout = 300 * time.Millisecond
	// MaxIdleUnsafe is the idle time from which a connection is not reused for a request that must not run
	// twice: a target may have dropped the connection without notice, and then it would be unknown whether
	// the request ran.
	MaxIdleUnsafe = 200 * time.Millisecond
	// defaultRest is the time for which a connection stays idle to a target that states none; it is below the shortest
	// idle timeout that targets use.
	defaultRest = 900 * time.Millisecond
	// MaxRest is the longest time for which a connection stays idle, whatever its target allows. Requests that may be
	// repeated use a connection however long it has been idle.
	MaxRest = time.Minute
	// ReadBufferSize is the size of the buffer for the answers on a connection, in bytes; response headers
	// and most events fit into it.
	ReadBufferSize = 8 << 10
)

// ErrUnreachable means that no connection could be opened; nothing was sent.
var ErrUnreachable = errors.New("target cannot be reached")

// ErrRefused means that the host of the target refused a connection; it is an ErrUnreachable.
var ErrRefused = errors.WithMessage(ErrUnreachable, "refused")

// Conn is one connection to a target. One request uses it at a time.
type Conn struct {
	limitedConn
	// R reads from the connection.
	R         *bufio.Reader
	addr      string
	idleSince time.Time
	// rest is the time for which the connection may stay idle.
	rest time.Duration
	// Reused is true if the connection was used for another request before.
	Reused bool
}

// Pool holds idle connections by address.
type Pool struct {
	mu sync.Mutex
	// idle lists the connections by address in the order in which they became idle.
	idle map[string][]*Conn
	// idleMax limits the idle connections to an address; there is no limit for those that it lacks.
	idleMax map[string]int
}

// New returns an empty pool.
func New() *Pool { return &Pool{idle: map[string][]*Conn{}} }

// Get returns an open connection that was idle for less than maxIdle, or opens a new one; always if maxIdle is zero.
// Connections that were idle for longer remain for other requests.
func (c *Pool) Get(ctx context.Context, addr string, maxIdle time.Duration) (*Conn, error) {
	for {
		k := c.takeIdle(time.Now(), addr, maxIdle)
		if k == nil {
			break
		}
		if k.alive() {
			k.Reused = true
			return k, nil
		}
		_ = k.Close() // nothing is read from it any more
	}
	k, err := Dial(ctx, addr)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, errors.WithMessage(ErrRefused, err.Error())
		}
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	return k, nil
}

// Idle reports whether there is a connection that was idle for less than maxIdle.
func (c *Pool) Idle(now time.Time, addr string, maxIdle time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleIndex(now, addr, maxIdle) >= 0
}

// idleIndex returns the index of the connection that became idle last of those that were idle for less than maxIdle, or
// -1; c.mu is held.
func (c *Pool) idleIndex(now time.Time, addr string, maxIdle time.Duration) int {
	l := c.idle[addr]
	for i := len(l) - 1; i >= 0; i-- {
		idle := now.Sub(l[i].idleSince)
		if idle >= maxIdle {
			return -1
		}
		if idle < l[i].rest {
			return i
		}
	}
	return -1
}

// Dial opens a connection.
func Dial(ctx context.Context, addr string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	d := net.Dialer{KeepAlive: -1}
	n, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	k := &Conn{limitedConn: limitedConn{Conn: n}, addr: addr}
	k.R = bufio.NewReaderSize(&k.limitedConn, ReadBufferSize)
	return k, nil
}

func (c *Pool) takeIdle(now time.Time, addr string, maxIdle time.Duration) *Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := c.idleIndex(now, addr, maxIdle)
	if i < 0 {
		return nil
	}
	k := c.idle[addr][i]
	c.idle[addr] = slices.Delete(c.idle[addr], i, i+1)
	return k
}

// Put returns a connection to the pool; its last answer has been read completely, and h are the headers of it.
func (c *Pool) Put(k *Conn, h http.Header) {
	k.idleSince, k.rest = time.Now(), RestTime(h)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[k.addr] = append(c.idle[k.addr], k)
	c.trim(k.idleSince, k.addr)
}

// SetIdleMax sets the limits of the idle connections by address.
func (c *Pool) SetIdleMax(limits map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleMax = limits
}

// Discard closes the idle connections to an address whose target may have terminated.
func (c *Pool) Discard(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.idle[addr] {
		_ = k.Close() // nothing is read from it any more
	}
	delete(c.idle, addr)
}

// CloseExpired closes the connections that have been idle for too long or exceed the limit of their address.
func (c *Pool) CloseExpired(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr := range c.idle {
		c.trim(now, addr)
	}
}

// trim closes the connections to an address that have been idle for too long, and the oldest ones beyond the limit;
// c.mu is held.
func (c *Pool) trim(now time.Time, addr string) {
	l := c.idle[addr]
	excess := 0
	if n, ok := c.idleMax[addr]; ok {
		excess = len(l) - n
	}
	kept := l[:0]
	for i, k := range l {
		if i >= excess && now.Sub(k.idleSince) < k.rest {
			kept = append(kept, k)
			continue
		}
		_ = k.Close() // nothing is read from it any more
	}
	clear(l[len(kept):])
	if c.idle[addr] = kept; len(kept) == 0 {
		delete(c.idle, addr)
	}
}

// alive reports whether an idle connection is open and has nothing to read. Unsolicited bytes belong to no
// request, so a connection that has any must not be reused.
func (k *Conn) alive() bool {
	if k.R.Buffered() > 0 {
		return false
	}
	sc, ok := k.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var b [1]byte
	var rerr error
	err = raw.Read(func(fd uintptr) bool {
		_, _, rerr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(rerr, syscall.EAGAIN)
}
