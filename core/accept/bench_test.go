package accept_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/accept"
	"hickoryvane.example/core/budget"
	"hickoryvane.example/core/prop"
)

// reportCPU reports the CPU time of the process since the call, which other load changes less than the time of an operation.
func reportCPU(b *testing.B) func() {
	used := func() int64 {
		var u syscall.Rusage
		_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // fails only for another argument
		return u.Utime.Nano() + u.Stime.Nano()
	}
	began := used()
	return func() { b.ReportMetric(float64(used()-began)/float64(b.N), "cpu-ns/op") }
}

// BenchmarkRequest measures an ordinary request with a body on a connection that is kept open.
func BenchmarkRequest(b *testing.B) {
	ln := &prop.Recorder{Listener: listen(b)}
	serve(b, ln.Listener, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		answer(w, r)
	}, accept.WithBudget(budget.New(134<<20, 0)))
	body := strings.Repeat("x", 2000)
	c := dial(NewWithT(b), ln)
	defer func() { _ = c.Close() }()
	b.ReportAllocs()
	defer reportCPU(b)()
	for b.Loop() {
		_, err := io.WriteString(c, "POST /x HTTP/1.1\r\nHost: h\r\nUser-Agent: bench/1\r\nContent-Type: application/json\r\nRequest-Id: 0123456789\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer 0123456789abcdef\r\nContent-Length: 2000\r\n\r\n"+body)
		if err != nil {
			b.Fatal(err)
		}
		res, err := http.ReadResponse(c.r, nil)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
	}
}

// BenchmarkStream measures a stream of 50 events whose reader is as fast as the handler, with and without the buffer for
// slow readers.
func BenchmarkStream(b *testing.B) {
	for _, buffered := range []bool{false, true} {
		b.Run(fmt.Sprint("buffered=", buffered), func(b *testing.B) {
			ln := &prop.Recorder{Listener: listen(b)}
			serve(b, ln.Listener, func(w http.ResponseWriter, r *http.Request) {
				if buffered {
					r.Context().Value(connKey{}).(interface{ BufferWrites() }).BufferWrites()
				}
				rc := http.NewResponseController(w)
				for range 50 {
					_, _ = io.WriteString(w, "id: 1\ndata: 0123456789012345678901234567890123456789\n\n")
					_ = rc.Flush()
				}
			}, accept.WithBudget(budget.New(134<<20, 0)))
			c := dial(NewWithT(b), ln)
			defer func() { _ = c.Close() }()
			b.ReportAllocs()
			defer reportCPU(b)()
			for b.Loop() {
				if _, err := c.ask(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
