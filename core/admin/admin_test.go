package admin_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/admin"
	"hickoryvane.example/core/prop"
)

// Guards against requests that are read and dropped because the server stops while they arrive on resting connections.
func TestRequestReadAtStopIsAnswered(t *testing.T) {
	const conns, rest, spread = 600, 150 * time.Millisecond, 3 * time.Millisecond
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	g := NewWithT(t)
	ln, err := admin.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	l := &prop.Recorder{Listener: ln}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	done := make(chan error, 1)
	go func() {
		done <- admin.Serve(ctx, l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	}()
	var all, ready sync.WaitGroup
	for i := range conns {
		c, err := net.Dial("tcp", ln.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = c.Close() }()
		r := bufio.NewReader(c)
		ask := func() {
			_, _ = io.WriteString(c, request) // it may cross the close
			if res, err := http.ReadResponse(r, nil); err == nil {
				_, _ = io.Copy(io.Discard, res.Body)
			}
		}
		ready.Add(1)
		all.Go(func() {
			ask()
			ready.Done()
			time.Sleep(rest + spread*time.Duration(i)/conns)
			ask()
		})
	}
	ready.Wait()
	time.Sleep(rest)
	stop()
	g.Eventually(done, 3*time.Second).Should(Receive(BeNil()))
	all.Wait()
	g.Expect(l.Unanswered(len(request))).To(BeZero())
}
