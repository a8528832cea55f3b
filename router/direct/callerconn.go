package direct

import (
	"context"
	"net"
	"net/http"
)

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
