package direct

import (
	"context"
	"net"
	"net/http"
	"time"

	"hickoryvane.example/core/accept"
	"hickoryvane.example/core/event"
)

// defaultIdleTimeout is the time for which a caller's connection may rest when the configuration sets none.
const defaultIdleTimeout = 2 * time.Minute

// idleTimeout returns the time for which a caller's connection may rest.
func (r *Router) idleTimeout() time.Duration {
	if table := r.table.Load(); table != nil && table.Limits.IdleTimeout > 0 {
		return table.Limits.IdleTimeout
	}
	return defaultIdleTimeout
}

// headerMax returns the size of a header section in bytes above which it is not read.
func (r *Router) headerMax() int {
	if table := r.table.Load(); table != nil && table.Limits.HeaderBytesMax > 0 {
		return int(table.Limits.HeaderBytesMax)
	}
	return defaultHeaderMax
}

// headerTime returns the time in which a header section has to be read.
func (r *Router) headerTime() time.Duration {
	if table := r.table.Load(); table != nil && table.Limits.HeaderTimeout > 0 {
		return table.Limits.HeaderTimeout + headerMargin
	}
	return headerTimeout
}

// countLimited counts a connection that reached a limit.
func (r *Router) countLimited(l accept.Limit) { r.meter.CountLimited(l.String()) }

// logLimited logs the connections that reached a limit since the last line about it.
func (r *Router) logLimited(l accept.Limit, remote net.Addr, count int) {
	r.log.Log(event.LimitReached, "limit", l, "from", remote, "count", count)
}

// logClosed logs that this router ended the connection of a caller.
func (r *Router) logClosed(remote net.Addr, c accept.Cause, rested time.Duration) {
	r.log.Log(event.CallerClosed, "from", remote, "cause", c, "rested", rested)
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
	c, ok := req.Context().Value(callerConnKey{}).(interface{ SetLinger(seconds int) error })
	if ok && !req.ProtoAtLeast(1, 1) {
		_ = c.SetLinger(0) // the connection may be closed already
	}
}

// bufferWrites makes the writes of an answer not wait for the caller, so that a slow one does not keep the target.
func bufferWrites(req *http.Request) {
	if c, ok := req.Context().Value(callerConnKey{}).(interface{ BufferWrites() }); ok {
		c.BufferWrites()
	}
}
