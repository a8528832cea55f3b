// Package fetch makes HTTP calls whose responses are read whole. A call is given up when it makes no progress, not when
// its response takes long.
//
// Load pattern: one object of up to a megabyte, read by tens of routers at once over links that they share. A time limit
// for the whole call makes all of them discard what they have and begin again, which keeps the links full.
package fetch

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// stepBytes have to arrive within stepTime once the response has begun. That is 20 kB/s, the share of a call on a link
	// of 10 Mbit/s that 60 calls use, and more than a peer that sends a byte now and then.
	stepBytes = 16 << 10
	stepTime  = 800 * time.Millisecond
)

var (
	// ErrNoResponse means that the header of the response did not arrive in time.
	ErrNoResponse = errors.New("no response in time")
	// ErrStalled means that the response began and made no progress.
	ErrStalled = errors.New("the response stalled")
	// ErrTooLarge means that the body is larger than Limits.Bytes.
	ErrTooLarge = errors.New("the response is too large")
)

// Limits are the limits of one call.
type Limits struct {
	// Head is the longest time until the header of the response has arrived.
	Head time.Duration
	// Bytes is the largest size of the body.
	Bytes int64
	// Interrupt ends the call while it waits for the header. A response that has begun is read nevertheless. It may be nil.
	Interrupt context.Context
}

// Do makes a call and returns the response with its body, which is closed. The error of an interrupted call is the cause
// of Limits.Interrupt.
func Do(c *http.Client, req *http.Request, l Limits) (res *http.Response, body []byte, err error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	defer cancel(nil)
	defer func() {
		if cause := context.Cause(ctx); err != nil && cause != nil {
			err = errors.WithMessagef(cause, "%d bytes of the body were read", len(body))
		}
	}()
	limit := time.AfterFunc(l.Head, func() { cancel(ErrNoResponse) })
	defer limit.Stop()
	release := func() bool { return true }
	if l.Interrupt != nil {
		release = context.AfterFunc(l.Interrupt, func() { cancel(context.Cause(l.Interrupt)) })
	}
	res, err = c.Do(req.WithContext(ctx))
	if err != nil {
		release()
		return nil, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	release()
	limit.Stop()
	stall := time.AfterFunc(stepTime, func() { cancel(ErrStalled) })
	defer stall.Stop()
	p := &progress{r: res.Body, step: func() { stall.Reset(stepTime) }}
	if body, err = io.ReadAll(io.LimitReader(p, l.Bytes+1)); err != nil {
		return res, body, err
	}
	if int64(len(body)) > l.Bytes {
		return res, nil, errors.WithMessagef(ErrTooLarge, "over %d bytes", l.Bytes)
	}
	return res, body, nil
}

// progress calls step each time that stepBytes more were read.
type progress struct {
	r    io.Reader
	n    int
	step func()
}

// Read implements io.Reader.
func (p *progress) Read(b []byte) (n int, err error) {
	n, err = p.r.Read(b)
	if p.n += n; p.n >= stepBytes {
		p.n = 0
		p.step()
	}
	return n, err
}
