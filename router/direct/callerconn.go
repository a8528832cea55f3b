package direct

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"hickoryvane.example/core/event"
)

const (
	// defaultIdleTimeout is the time for which a caller's connection may rest when the configuration sets none.
	defaultIdleTimeout = 2 * time.Minute
	// idleGrace is added to it, so that a caller which keeps the limit does not find its connection closed.
	idleGrace = time.Second
)

// idleConns closes the connections of callers that rest for too long. The limit is that of the configuration in force
// when a connection begins to rest.
type idleConns struct {
	timeout func() time.Duration
	// closed is called when a connection was closed after a rest.
	closed func(remote net.Addr, rested time.Duration)

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleConns(timeout func() time.Duration, closed func(net.Addr, time.Duration)) *idleConns {
	return &idleConns{timeout: timeout, closed: closed, timers: map[net.Conn]*time.Timer{}}
}

// track follows the states of connections; see http.Server.ConnState.
func (c *idleConns) track(k net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, ok := c.timers[k]; ok {
		t.Stop()
		delete(c.timers, k)
	}
	if s == http.StateIdle {
		began := time.Now()
		c.timers[k] = time.AfterFunc(c.timeout()+idleGrace, func() {
			_ = k.Close() // the server then forgets it
			c.closed(k.RemoteAddr(), time.Since(began))
		})
	}
}

// logClosed logs that this router closed the connection of a caller.
func (r *Router) logClosed(remote net.Addr, rested time.Duration) {
	r.log.Log(event.CallerClosed, "from", remote, "cause", "idle", "rested", rested)
}

// idleTimeout returns the time for which a caller's connection may rest.
func (r *Router) idleTimeout() time.Duration {
	if table := r.table.Load(); table != nil && table.Limits.IdleTimeout > 0 {
		return table.Limits.IdleTimeout
	}
	return defaultIdleTimeout
}

// callerConnKey is the key of the caller's connection in the context of a request.
type callerConnKey struct{}

// withCallerConn makes the connection of a caller known to its requests.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// resetUnframed makes the close of the connection a reset if the answer has no framing, as callers without HTTP/1.1
// take a normal close for the end of a complete answer.
func resetUnframed(req *http.Request) {
	c, ok := req.Context().Value(callerConnKey{}).(*net.TCPConn)
	if ok && !req.ProtoAtLeast(1, 1) {
		_ = c.SetLinger(0) // the connection may be closed already
	}
}
