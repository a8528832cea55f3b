package target

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/sse"
)

const (
	// headerTimeout bounds the wait for the header of an answer. Engines send the header of a stream at once,
	// that of other answers only when the answer is finished.
	headerTimeout = 10 * time.Minute
	// partBytesMax is the largest part of an answer that is not a stream.
	partBytesMax = 64 << 10
	// headerBytesMax limits the head of an answer.
	headerBytesMax = 1 << 20
	// statusMax is the largest status of an answer.
	statusMax = 599
	// writeEndTime is the time after the end of a connection within which the goroutine that writes to it has noticed.
	writeEndTime = 200 * time.Millisecond
	// requestIDHeader carries the id of a request, in the answer as well if the target echoes it.
	requestIDHeader = "X-Request-Id"
	// idleConnsMax bounds the idle connections to the target.
	idleConnsMax = 256
)

// newTransport returns a transport for one target. With reuse, idle connections are reused; send makes sure that
// the transport never retries a request by itself.
func newTransport(reuse bool) *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    idleConnsMax,
		IdleConnTimeout:        time.Minute,
		ResponseHeaderTimeout:  headerTimeout,
		MaxResponseHeaderBytes: headerBytesMax,
		DisableCompression:     true,
		DisableKeepAlives:      !reuse,
	}
}

// send sends one request. The transport of net/http retries a request by itself when a reused connection breaks and
// the request looks idempotent; a body without GetBody, or a fresh connection, prevents that.
func send(ctx context.Context, rt http.RoundTripper, base string, r Request) (res *http.Response, out Outcome) {
	var connected atomic.Bool
	written := make(chan error, 1)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			select {
			case written <- i.Err:
			default: // once is enough
			}
		},
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
	req.Header.Set(requestIDHeader, string(r.ID))
	if r.ContentType != "" {
		req.Header.Set("Content-Type", r.ContentType)
	}
	if r.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	res, err = rt.RoundTrip(req)
	switch {
	case err == nil && !answers(res, r):
		_ = res.Body.Close() // not read to its end, so the connection is not used again
		return nil, Outcome{Run: fault.Unknown, Reason: fault.Target, Detail: "target sent the answer to another request", ConnectionLost: true}
	case err == nil && (res.StatusCode < 200 || res.StatusCode > statusMax):
		_ = res.Body.Close()
		return nil, Outcome{Run: fault.Unknown, Reason: fault.Target, Detail: fmt.Sprintf("%03d is no status", res.StatusCode), ConnectionLost: true}
	case err == nil:
		if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
			res.Body = &bodyUntilEnd{ReadCloser: res.Body, written: written}
		}
		return res, Outcome{}
	case !connected.Load():
		return nil, Outcome{Run: fault.NotRun, Reason: fault.Target, Detail: "target refused the connection", ConnectionLost: true}
	default:
		return nil, Outcome{Run: fault.Unknown, Reason: fault.Target, Detail: "connection to the target was lost before it answered", ConnectionLost: true}
	}
}

// bodyUntilEnd is the body of an answer that ends with its connection. If that ends while the request is still being
// written, the connection may have been reset: the write gets the error of a reset, and the read only the end.
type bodyUntilEnd struct {
	io.ReadCloser
	// written gets the result of writing the request.
	written <-chan error
	// end is the result of reading to the end.
	end error
}

// Read implements io.Reader.
func (b *bodyUntilEnd) Read(p []byte) (n int, err error) {
	if n, err = b.ReadCloser.Read(p); err != io.EOF {
		return n, err
	}
	if b.end == nil {
		b.end = b.endOfAnswer()
	}
	return n, b.end
}

// endOfAnswer returns io.EOF if the request was written in whole.
func (b *bodyUntilEnd) endOfAnswer() error {
	t := time.NewTimer(writeEndTime)
	defer t.Stop()
	select {
	case werr := <-b.written:
		if werr == nil {
			return io.EOF
		}
	case <-t.C:
	}
	return io.ErrUnexpectedEOF
}

// answers reports whether an answer belongs to a request. A late second copy of an answer arrives where the answer
// to the next request on the connection is expected; targets that echo the id of the request show that.
func answers(res *http.Response, r Request) bool {
	id := res.Header.Get(requestIDHeader)
	return id == "" || id == string(r.ID)
}

// copyParts emits an answer in parts of at most partBytesMax, as it is.
func copyParts(res *http.Response, emit func(Part)) Outcome {
	first := Part{Status: res.StatusCode, ContentType: res.Header.Get("Content-Type")}
	buf := make([]byte, partBytesMax)
	body := io.Reader(res.Body)
	if sse.FormatOf(res.StatusCode, res.Header).IsEvents() {
		body = sse.NewEndReader(body)
	}
	for {
		n, err := body.Read(buf)
		if n > 0 || (first.Status != 0 && err != nil) {
			first.Data = bytes.Clone(buf[:n])
			emit(first)
			first = Part{}
		}
		if errors.Is(err, io.EOF) {
			return Outcome{Complete: true, Run: fault.Ran}
		}
		if err != nil {
			return Outcome{Run: fault.Ran, Reason: fault.Target, Detail: "answer of the target was cut", ConnectionLost: !errors.Is(err, sse.ErrInsideEvent)}
		}
	}
}
