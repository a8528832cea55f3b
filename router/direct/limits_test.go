package direct_test

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

	"hickoryvane.example/core/route"
)

// startLimitedRouter runs a router whose configuration limits headers and resting connections.
func startLimitedRouter(t *testing.T) *env {
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 200, "ok") })
	e := startRouter(t, x)
	e.putObject("config", "main", config{Generation: 2, Routes: routes(), Limits: route.Limits{HeaderBytesMax: 2000, IdleTimeout: 200 * time.Millisecond}})
	e.g.Eventually(e.log.String).Should(ContainSubstring("generation=2"))
	return e
}

// Guards against headers above the declared limit that are passed on, and against a limit that callers who keep it
// cannot use.
func TestDeclaredHeaderLimitApplies(t *testing.T) {
	e := startLimitedRouter(t)
	e.g.Expect(e.request("GET", "/safe/", "", "X-Long", strings.Repeat("x", 1500)).code).To(Equal(200))
	a := e.request("GET", "/safe/", "", "X-Long", strings.Repeat("x", 2000))
	e.g.Expect(a.code).To(Equal(431))
	e.g.Expect(a.body).To(ContainSubstring("the limit is 2000"))
}

// Guards against a header section within the declared limit that is refused because white space is counted which its many
// short lines do not have.
func TestShortHeaderLinesAreCountedAsSent(t *testing.T) {
	e := startLimitedRouter(t)
	send := func(size int) int {
		head := "GET /safe/ HTTP/1.1\r\nHost:h.example\r\nX-Id:short\r\n"
		for n := 0; len(head) < size-len("x123:1\r\n\r\n"); n++ {
			head += fmt.Sprintf("x%x:1\r\n", n)
		}
		c, err := net.Dial("tcp", e.cfg.Listen)
		e.g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, head+"\r\n")
		e.g.Expect(err).NotTo(HaveOccurred())
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		e.g.Expect(err).NotTo(HaveOccurred())
		_ = res.Body.Close()
		return res.StatusCode
	}
	e.g.Expect(send(2000)).To(Equal(200))
	e.g.Expect(send(2100)).To(Equal(431))
}

// Guards against callers' connections that rest beyond the declared time, and against ones that are closed before.
func TestDeclaredIdleTimeApplies(t *testing.T) {
	e := startLimitedRouter(t)
	c, err := net.Dial("tcp", e.cfg.Listen)
	e.g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	ask := func() {
		_, err = io.WriteString(c, "GET /safe/ HTTP/1.1\r\nHost: h.example\r\nX-Id: a\r\nX-Left: 3000\r\n\r\n")
		e.g.Expect(err).NotTo(HaveOccurred())
		n, err := c.Read(make([]byte, 4096))
		e.g.Expect(err).NotTo(HaveOccurred())
		e.g.Expect(n).To(BeNumerically(">", 0))
	}
	ask()
	time.Sleep(160 * time.Millisecond)
	ask()
	began := time.Now()
	e.g.Expect(c.SetReadDeadline(began.Add(4 * time.Second))).To(Succeed())
	_, err = io.Copy(io.Discard, c)
	e.g.Expect(err).NotTo(HaveOccurred(), "the router closes the connection")
	e.g.Expect(time.Since(began)).To(BeNumerically(">", 200*time.Millisecond))
}
