// Package dial opens the connections of a router to its targets and keeps idle ones for later requests.
package dial

import (
	"bufio"
	"context"
	"net"
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
	// MaxIdleRepeatable is the same for requests that may be repeated; it is below the shortest idle timeout
	// that targets use.
	MaxIdleRepeatable = 900 * time.Millisecond
	// ReadBufferSize is the size of the buffer for the answers on a connection, in bytes; response headers
	// and most events fit into it.
	ReadBufferSize = 8 << 10
)

// ErrUnreachable means that no connection could be opened; nothing was sent.
var ErrUnreachable = errors.New("target cannot be reached")

// Conn is one connection to a target. One request uses it at a time.
type Conn struct {
	limitedConn
	// R reads from the connection.
	R         *bufio.Reader
	addr      string
	idleSince time.Time
	// Reused is true if the connection was used for another request before.
	Reused bool
}

// Pool holds idle connections by address.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*Conn
}

// New returns an empty pool.
func New() *Pool { return &Pool{idle: map[string][]*Conn{}} }

// Get returns an open connection that was idle for less than maxIdle, or opens a new one; always if maxIdle is zero.
func (c *Pool) Get(ctx context.Context, addr string, maxIdle time.Duration) (*Conn, error) {
	for maxIdle > 0 {
		k := c.takeIdle(addr)
		if k == nil {
			break
		}
		if time.Since(k.idleSince) < maxIdle && k.alive() {
			k.Reused = true
			return k, nil
		}
		_ = k.Close() // nothing is read from it any more
	}
	k, err := Dial(ctx, addr)
	if err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	return k, nil
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

func (c *Pool) takeIdle(addr string) *Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.idle[addr]
	if len(l) == 0 {
		return nil
	}
	k := l[len(l)-1]
	c.idle[addr] = l[:len(l)-1]
	return k
}

// Put returns a connection to the pool; its last answer has been read completely.
func (c *Pool) Put(k *Conn) {
	k.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[k.addr] = append(c.idle[k.addr], k)
}

// CloseExpired closes connections that have been idle for too long.
func (c *Pool) CloseExpired(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, l := range c.idle {
		kept := l[:0]
		for _, k := range l {
			if now.Sub(k.idleSince) < MaxIdleRepeatable {
				kept = append(kept, k)
				continue
			}
			_ = k.Close() // nothing is read from it any more
		}
		if c.idle[addr] = kept; len(kept) == 0 {
			delete(c.idle, addr)
		}
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
