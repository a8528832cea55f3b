package accept_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/accept"
	"hickoryvane.example/core/budget"
)

const (
	writeSize  = 16 << 10
	writeCount = 256
)

// serveStreams serves streams of writeCount writes and sends the number of those that succeeded on ended.
func serveStreams(t *testing.T, b *budget.Budget, limits chan accept.Limit) (net.Listener, chan int) {
	ln, ended := listen(t), make(chan int, 10)
	serve(t, ln, func(w http.ResponseWriter, r *http.Request) {
		r.Context().Value(connKey{}).(interface{ BufferWrites() }).BufferWrites()
		rc := http.NewResponseController(w)
		_ = rc.SetWriteDeadline(time.Now().Add(10 * time.Second))
		n := 0
		for ; n < writeCount; n++ {
			if _, err := io.WriteString(w, strings.Repeat(string(rune('a'+n%26)), writeSize)); err != nil || rc.Flush() != nil {
				break
			}
		}
		ended <- n
	}, accept.WithBudget(b), accept.WithLimited(func(l accept.Limit) { limits <- l }, func(accept.Limit, net.Addr, int) {}))
	return ln, ended
}

// Guards against a slow reader that keeps the handler, and with it the target, and against bytes that are lost, doubled or
// exchanged on the way through the buffer, also where the next request or the end of the connection follows.
func TestSlowReaderDoesNotKeepTheHandler(t *testing.T) {
	g := NewWithT(t)
	b, limits := budget.New(256<<20, 0), make(chan accept.Limit, 10)
	ln, ended := serveStreams(t, b, limits)
	c := connect(t, ln)
	_, _ = io.WriteString(c, request+strings.Replace(request, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
	for range 2 {
		g.Eventually(ended, "5s").Should(Receive(Equal(writeCount)), "nothing was read")
	}
	g.Expect(b.Used()).To(BeNumerically(">", writeSize*writeCount))
	r := bufio.NewReader(c)
	for range 2 {
		res, err := http.ReadResponse(r, nil)
		g.Expect(err).NotTo(HaveOccurred())
		for n := range writeCount {
			part := make([]byte, writeSize)
			_, err = io.ReadFull(res.Body, part)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(part) == strings.Repeat(string(rune('a'+n%26)), writeSize)).To(BeTrue())
		}
		g.Expect(io.ReadAll(res.Body)).To(BeEmpty())
	}
	g.Eventually(b.Used).Should(BeZero())
	g.Expect(limits).To(BeEmpty())
}

// Guards against slow readers that use more memory than is meant for them.
func TestSlowReadersEndWhenMemoryIsShort(t *testing.T) {
	g := NewWithT(t)
	b, limits := budget.New(16<<20, 0), make(chan accept.Limit, 10)
	ln, ended := serveStreams(t, b, limits)
	_, _ = io.WriteString(connect(t, ln), request)
	var n int
	g.Eventually(ended, "5s").Should(Receive(&n))
	g.Expect(n).To(BeNumerically("<", writeCount))
	g.Expect(limits).To(Receive(Equal(accept.Reader)))
	g.Eventually(b.Used).Should(BeZero())
}

// Guards against the answer to the next request, or the end of the connection, that looks like the rest or the end of an
// answer of which a part was dropped, because its reader was too slow for the write deadline.
func TestConnectionEndsWithAnAnswerThatIsNotRead(t *testing.T) {
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		t.Run(version, func(t *testing.T) {
			g := NewWithT(t)
			ln, ended := listen(t), make(chan struct{}, 10)
			serve(t, ln, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/next" {
					_, _ = io.WriteString(w, "next")
					return
				}
				r.Context().Value(connKey{}).(interface{ BufferWrites() }).BufferWrites()
				_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
				_, _ = io.WriteString(w, strings.Repeat("a", writeCount*writeSize))
				ended <- struct{}{}
			}, accept.WithBudget(budget.New(256<<20, 0)))
			c := connect(t, ln)
			_, _ = io.WriteString(c, strings.Replace(request, "HTTP/1.1", version, 1))
			g.Eventually(ended, "5s").Should(Receive())
			time.Sleep(500 * time.Millisecond)
			_, werr := io.WriteString(c, strings.Replace(request, " / ", " /next ", 1)) // takes the error of the reset
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			b, err := io.ReadAll(c)
			g.Expect(string(b)).NotTo(ContainSubstring("next"))
			g.Expect(errors.Is(errors.Join(werr, err), syscall.ECONNRESET)).To(BeTrue(), "%v, %v", werr, err)
		})
	}
}

// Guards against an answer that is cut because the next one on the connection has less time.
func TestNextAnswerLeavesTheTimeOfTheOneThatIsHeld(t *testing.T) {
	g := NewWithT(t)
	ln, ended := listen(t), make(chan struct{}, 10)
	serve(t, ln, func(w http.ResponseWriter, r *http.Request) {
		d, n := 10*time.Second, writeCount*writeSize
		if r.URL.Path == "/next" {
			d, n = 200*time.Millisecond, 1
		}
		r.Context().Value(connKey{}).(interface{ BufferWrites() }).BufferWrites()
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(d))
		_, _ = io.WriteString(w, strings.Repeat("a", n))
		ended <- struct{}{}
	}, accept.WithBudget(budget.New(256<<20, 0)))
	c := connect(t, ln)
	_, _ = io.WriteString(c, request+strings.Replace(request, " / ", " /next ", 1))
	for range 2 {
		g.Eventually(ended, "5s").Should(Receive())
	}
	time.Sleep(500 * time.Millisecond)
	r := bufio.NewReader(c)
	for _, n := range []int{writeCount * writeSize, 1} {
		res, err := http.ReadResponse(r, nil)
		g.Expect(err).NotTo(HaveOccurred())
		b, err := io.ReadAll(res.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(b).To(HaveLen(n))
	}
}

// Guards against clients that read nothing and keep new connections out, as each of them has a request.
func TestClientsThatDoNotReadGiveWay(t *testing.T) {
	const connsMax = 4
	g := NewWithT(t)
	ln, limits := listen(t), make(chan accept.Limit, 100)
	serve(t, ln, answer, accept.WithConnsMax(connsMax), accept.WithLimited(func(l accept.Limit) { limits <- l }, func(accept.Limit, net.Addr, int) {}))
	var sent atomic.Int64
	for range connsMax {
		c := connect(t, ln)
		go func() {
			for err := error(nil); err == nil; sent.Add(1) {
				_, err = io.WriteString(c, request)
			}
		}()
	}
	for before := int64(-1); before != sent.Load(); time.Sleep(time.Second) {
		before = sent.Load() // it stays the same once the buffers of all connections are full
	}
	for range connsMax {
		g.Eventually(func() int { return statusOn(connect(t, ln)) }, "10s", "200ms").Should(Equal(http.StatusOK))
	}
	g.Expect(limits).To(Receive())
}

// statusOn sends a request and returns the status of the answer, zero without one.
func statusOn(c net.Conn) int {
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	_, _ = io.WriteString(c, request)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}
