package accept_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/accept"
	"hickoryvane.example/core/budget"
)

// limited starts a server with a budget of 4 MB, of which header sections may use 0.48 MB.
func limited(t *testing.T, opts ...accept.Option) (net.Listener, *budget.Budget, chan accept.Limit) {
	b, limits := budget.New(4<<20, 0), make(chan accept.Limit, 100)
	ln := listen(t)
	serve(t, ln, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			answer(w, r)
		}
	}, append([]accept.Option{
		accept.WithBudget(b), accept.WithHeaderMax(func() int { return 8000 }),
		accept.WithLimited(func(l accept.Limit) { limits <- l }, func(accept.Limit, net.Addr, int) {}),
	}, opts...)...)
	return ln, b, limits
}

// ask sends a text and returns the status and body of the answer.
func ask(g *WithT, c net.Conn, text string) (status int, body string) {
	_, _ = io.WriteString(c, text) // the server may have closed the connection
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	g.Expect(err).NotTo(HaveOccurred())
	b, err := io.ReadAll(res.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return res.StatusCode, string(b)
}

// headerSection returns the beginning of a request with n header lines.
func headerSection(n int) string {
	var b strings.Builder
	b.WriteString("GET / HTTP/1.1\r\nHost: h\r\n")
	for i := range n {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

func connect(t *testing.T, ln net.Listener) net.Conn {
	c, err := net.Dial("tcp", ln.Addr().String())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against header sections above the limit that are read on, and against a refusal that the client does not get.
func TestHeaderSectionAboveTheLimitIsRefused(t *testing.T) {
	g := NewWithT(t)
	ln, b, limits := limited(t)
	status, body := ask(g, connect(t, ln), headerSection(1)+"X: "+strings.Repeat("x", 40_000))
	g.Expect(status).To(Equal(431))
	g.Expect(body).To(ContainSubstring("not run"))
	g.Expect(limits).To(Receive(Equal(accept.HeaderBytes)))
	g.Eventually(b.Used).Should(BeZero())
}

// Guards against a header section that is never finished and keeps its connection open.
func TestUnfinishedHeaderSectionIsRefused(t *testing.T) {
	g := NewWithT(t)
	ln, b, limits := limited(t, accept.WithHeaderTime(func() time.Duration { return 50 * time.Millisecond }))
	status, body := ask(g, connect(t, ln), headerSection(3))
	g.Expect(status).To(Equal(408))
	g.Expect(body).To(ContainSubstring("not run"))
	g.Expect(limits).To(Receive(Equal(accept.HeaderTime)))
	g.Eventually(b.Used).Should(BeZero())
}

// Guards against header lines that are parsed although there is no memory for them, against large holders that keep small
// requests out, and against a single request that is refused for its number of lines.
func TestHeaderLinesAreReservedBeforeTheyAreParsed(t *testing.T) {
	g := NewWithT(t)
	ln, b, limits := limited(t)
	status, _ := ask(g, connect(t, ln), headerSection(1400)+"\r\n")
	g.Expect(status).To(Equal(200))
	g.Eventually(b.Used).Should(BeZero())
	for range 20 {
		_, _ = io.WriteString(connect(t, ln), headerSection(1000))
	}
	g.Eventually(limits).Should(Receive(Equal(accept.Memory)))
	status, _ = ask(g, connect(t, ln), headerSection(100)+"\r\n")
	g.Expect(status).To(Equal(200))
	g.Expect(b.Used()).To(BeNumerically("<", 500<<10))
}

// Guards against header lines that are not counted because they arrive together with the request before or as trailers,
// and against bodies that count as header lines.
func TestLinesBeyondTheHeaderSectionAreCounted(t *testing.T) {
	g := NewWithT(t)
	ln, b, _ := limited(t)
	c := connect(t, ln)
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
	_, _ = io.WriteString(c, "0\r\n"+strings.Repeat("a:\r\n", 300))
	g.Eventually(b.Used).Should(BeNumerically(">", 250*288))
	status, _ := ask(g, c, "\r\n")
	g.Expect(status).To(Equal(200))
	text := strings.Repeat("a:b\n", 100_000)
	status, _ = ask(g, c, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(text), text))
	g.Expect(status).To(Equal(200))
	g.Eventually(b.Used).Should(BeNumerically("<", 400<<10))
}

// Guards against connections that keep new ones out.
func TestSilentConnectionsGiveWay(t *testing.T) {
	g := NewWithT(t)
	ln, _, limits := limited(t, accept.WithConnsMax(4))
	for range 8 {
		connect(t, ln)
	}
	status, _ := ask(g, connect(t, ln), headerSection(1)+"\r\n")
	g.Expect(status).To(Equal(200))
	g.Expect(limits).To(Receive(Equal(accept.Conns)))
}

// Guards against a flood of clients that is a flood of log lines, and against refusals that no line counts.
func TestFloodIsReportedOnceASecond(t *testing.T) {
	const clients = 20
	g := NewWithT(t)
	counts := make(chan int, 2*clients)
	ln, b, _ := limited(t, accept.WithLimited(func(accept.Limit) {}, func(_ accept.Limit, _ net.Addr, n int) { counts <- n }))
	began := time.Now()
	for range clients {
		c := connect(t, ln)
		status, _ := ask(g, c, headerSection(4000))
		g.Expect(status).To(Equal(431))
		g.Expect(c.Close()).To(Succeed())
		g.Eventually(b.Used).Should(BeZero())
	}
	g.Expect(len(counts)).To(BeNumerically("<=", 1+int(time.Since(began)/time.Second)))
	time.Sleep(1100 * time.Millisecond)
	_, _ = ask(g, connect(t, ln), headerSection(4000))
	total := 0
	for len(counts) > 0 {
		total += <-counts
	}
	g.Expect(total).To(Equal(clients + 1))
}
