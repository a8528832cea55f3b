package fetch_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"hickoryvane.example/core/fetch"
)

// server is a transport that answers after head, with a body of size bytes in pieces that come at an interval.
type server struct {
	head, interval time.Duration
	size, piece    int
}

// RoundTrip implements http.RoundTripper.
func (s server) RoundTrip(req *http.Request) (*http.Response, error) {
	select {
	case <-time.After(s.head):
		return &http.Response{StatusCode: 200, Body: &body{ctx: req.Context(), server: s}, Request: req}, nil
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
}

type body struct {
	server
	ctx context.Context
	n   int
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.n == b.size {
		return 0, io.EOF
	}
	select {
	case <-time.After(b.interval):
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
	n := min(len(p), b.piece, b.size-b.n)
	b.n += n
	return n, nil
}

// Close implements io.Closer.
func (*body) Close() error { return nil }

func read(t *testing.T, s server, l fetch.Limits) (n int, took time.Duration, err error) {
	synctest.Test(t, func(t *testing.T) {
		req, rerr := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://store/", nil)
		NewWithT(t).Expect(rerr).NotTo(HaveOccurred())
		began := time.Now()
		var b []byte
		_, b, err = fetch.Do(&http.Client{Transport: s}, req, l)
		n, took = len(b), time.Since(began)
	})
	return n, took, err
}

// Guards against a large response over a slow link that is discarded before it is complete, however often it is read.
func TestLargeResponseOverASlowLinkIsRead(t *testing.T) {
	g := NewWithT(t)
	n, took, err := read(t, server{head: 10 * time.Millisecond, interval: 20 * time.Millisecond, size: 1 << 20, piece: 4 << 10}, fetch.Limits{Head: time.Second, Bytes: 2 << 20})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(Equal(1 << 20))
	g.Expect(took).To(BeNumerically(">", 5*time.Second))
}

// Guards against calls that wait for ever: for a response that never begins, for the rest of one, and for one of which a
// byte comes now and then. The error tells how far the call came.
func TestCallWithoutProgressEnds(t *testing.T) {
	g := NewWithT(t)
	l := fetch.Limits{Head: time.Second, Bytes: 2 << 20}
	_, took, err := read(t, server{head: time.Hour}, l)
	g.Expect(err).To(MatchError(fetch.ErrNoResponse))
	g.Expect(took).To(Equal(time.Second))
	_, took, err = read(t, server{interval: time.Hour, size: 9, piece: 1}, l)
	g.Expect(err).To(MatchError(fetch.ErrStalled))
	g.Expect(took).To(BeNumerically("<=", time.Second))
	n, took, err := read(t, server{interval: 90 * time.Millisecond, size: 1 << 20, piece: 1}, l)
	g.Expect(err).To(MatchError(fetch.ErrStalled))
	g.Expect(err.Error()).To(ContainSubstring("8 bytes of the body were read"))
	g.Expect(n).To(Equal(8))
	g.Expect(took).To(BeNumerically("<=", time.Second))
	_, _, err = read(t, server{size: 3 << 20, piece: 1 << 20}, l)
	g.Expect(err).To(MatchError(fetch.ErrTooLarge))
}

// Guards against an interruption that discards a response which has begun, and against one that leaves a call waiting.
func TestInterruptionEndsOnlyWaitingCalls(t *testing.T) {
	g := NewWithT(t)
	cause := errors.New("again")
	for _, head := range []time.Duration{time.Millisecond, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(t.Context())
			time.AfterFunc(100*time.Millisecond, func() { cancel(cause) })
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://store/", nil)
			g.Expect(err).NotTo(HaveOccurred())
			s := server{head: head, interval: 50 * time.Millisecond, size: 100 << 10, piece: 16 << 10}
			_, b, err := fetch.Do(&http.Client{Transport: s}, req, fetch.Limits{Head: time.Hour, Bytes: 1 << 20, Interrupt: ctx})
			if head == time.Minute {
				g.Expect(err).To(MatchError(cause))
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(b).To(HaveLen(100 << 10))
		})
	}
}
