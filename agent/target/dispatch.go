package target

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/fault"
)

const (
	// headerTimeout bounds the wait for the head of an answer; engines answer streams at once,
	// others only when they are finished.
	headerTimeout = 10 * time.Minute
	// partMax is the largest part of an answer that is not a stream, in bytes.
	partBytesMax = 64 << 10
	// conns bounds the idle connections kept to the target.
	idleConnsMax = 256
)

// newTransport returns a transport for one target.
// Idle connections are used again for requests that the transport never repeats itself.
func newTransport(reuse bool) *http.Transport {
	return &http.Transport{
		DialContext:           (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:   idleConnsMax,
		IdleConnTimeout:       time.Minute,
		ResponseHeaderTimeout: headerTimeout,
		DisableCompression:    true,
		DisableKeepAlives:     !reuse,
	}
}

// send writes one request. The transport of net/http repeats a request by itself on a reused
// connection if it looks idempotent; a body without GetBody and a fresh connection rule that out.
func send(ctx context.Context, rt http.RoundTripper, base string, r Request) (res *http.Response, out Outcome) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, r.Method, base+r.Path, io.NopCloser(bytes.NewReader(r.Data)))
	if err != nil {
		return nil, Outcome{Run: fault.NotRun, Reason: fault.Invalid, Detail: err.Error()}
	}
	req.ContentLength = int64(len(r.Data))
	if len(r.Data) == 0 {
		req.Body = nil
	}
	req.GetBody = nil
	req.Header.Set("X-Request-Id", string(r.ID))
	if r.ContentType != "" {
		req.Header.Set("Content-Type", r.ContentType)
	}
	if r.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	res, err = rt.RoundTrip(req)
	switch {
	case err == nil:
		return res, Outcome{}
	case !connected.Load():
		return nil, Outcome{Run: fault.NotRun, Reason: fault.Target, Detail: "target refused the connection", ConnectionLost: true}
	default:
		return nil, Outcome{Run: fault.Unknown, Reason: fault.Target, Detail: "connection to the target was lost before it answered", ConnectionLost: true}
	}
}

// copyParts emits the body of an answer that is not a stream.
func copyParts(res *http.Response, emit func(Part)) Outcome {
	first := Part{Status: res.StatusCode, ContentType: res.Header.Get("Content-Type")}
	buf := make([]byte, partBytesMax)
	for {
		n, err := res.Body.Read(buf)
		if n > 0 || (first.Status != 0 && err != nil) {
			first.Data = bytes.Clone(buf[:n])
			emit(first)
			first = Part{}
		}
		if errors.Is(err, io.EOF) {
			return Outcome{Complete: true, Run: fault.Ran}
		}
		if err != nil {
			return Outcome{Run: fault.Ran, Reason: fault.Target, Detail: "answer of the target was cut", ConnectionLost: true}
		}
	}
}
