package direct_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/route"
)

// keptConn is a caller's connection that is kept open.
type keptConn struct {
	net.Conn
	r *bufio.Reader
}

func (e *env) dialKept(t *testing.T) *keptConn {
	c, err := net.Dial("tcp", e.cfg.Listen)
	e.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	return &keptConn{Conn: c, r: bufio.NewReader(c)}
}

// send writes one request without a body.
func (k *keptConn) send(id string) error {
	_, err := fmt.Fprintf(k, "GET /safe/ HTTP/1.1\r\nHost: h.example\r\nX-Id: %s\r\nX-Left: 3000\r\n\r\n", id)
	return err
}

// receive reads one answer.
func (k *keptConn) receive() error {
	res, err := http.ReadResponse(k.r, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
	}
	return err
}

// Guards against connections of callers that are closed at the end of their idle time under a request that was read.
func TestRequestReadAtEndOfIdleTimeIsAnswered(t *testing.T) {
	const conns, rest, spread = 800, 1200 * time.Millisecond, 2 * time.Millisecond
	e := startLimitedRouter(t)
	var mu sync.Mutex
	answered := map[string]bool{}
	var all sync.WaitGroup
	for i := range conns {
		k := e.dialKept(t)
		all.Go(func() {
			id := fmt.Sprint("rest-", i)
			if k.send(id) != nil || k.receive() != nil {
				return
			}
			time.Sleep(rest - spread/2 + spread*time.Duration(i)/conns)
			ok := k.send(id+"-late") == nil && k.receive() == nil
			mu.Lock()
			answered[id+"-late"] = ok
			mu.Unlock()
		})
	}
	all.Wait()
	e.g.Expect(answered).To(HaveLen(conns))
	lost := 0
	for _, r := range e.targets[0].requests() {
		if ok, late := answered[r.Header.Get("X-Id")]; late && !ok {
			lost++
		}
	}
	e.g.Expect(lost).To(BeZero(), "requests that reached the target and got no answer")
}

// Guards against a raised idle time that does not apply to connections which rest when it is raised.
func TestRaisedIdleTimeAppliesToRestingConnections(t *testing.T) {
	e := startLimitedRouter(t)
	k := e.dialKept(t)
	e.g.Expect(k.send("a")).To(Succeed())
	e.g.Expect(k.receive()).To(Succeed())
	time.Sleep(100 * time.Millisecond) // the connection rests
	e.putObject("config", "main", config{Generation: 3, Routes: routes(), Limits: route.Limits{IdleTimeout: 4 * time.Second}})
	time.Sleep(2 * time.Second)
	e.g.Expect(k.send("b")).To(Succeed())
	e.g.Expect(k.receive()).To(Succeed())
}
