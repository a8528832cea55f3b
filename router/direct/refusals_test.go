package direct_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// refusal is an answer which states that the request id has not run; it names no request if id is empty.
func refusal(code int, id string) string {
	if id != "" {
		id = "X-Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sX-Refused: 1\r\nContent-Length: 0\r\n\r\n", code, id)
}

// Guards against a request that runs at a second target, or is reported as not run, after a refusal that does not
// name it.
func TestRefusalWithoutIDIsNotBelieved(t *testing.T) {
	for _, code := range []int{503, 429, 421, 400} {
		var ran atomic.Int32
		script := func(_ int, _ *http.Request, c net.Conn) bool {
			ran.Add(1)
			_, err := io.WriteString(c, refusal(code, ""))
			return err == nil
		}
		e := startRouter(t, startTarget(t, "t1", script), startTarget(t, "t2", script))
		a := e.request("POST", "/unsafe/", "x")
		e.g.Expect(a.err).NotTo(HaveOccurred())
		e.g.Expect(a.code).To(BeElementOf(502, 400), "the target answered %d", code)
		e.g.Expect(ran.Load()).To(BeEquivalentTo(1), "the target answered %d", code)
	}
}

// Guards against a refusal that a target writes before it has read the whole request.
func TestRefusalBeforeTheRequestIsNotBelieved(t *testing.T) {
	for _, id := range []string{"", "other"} {
		g := NewWithT(t)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = ln.Close() }()
		var ran atomic.Int32
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					defer func() { _ = c.Close() }()
					b := bufio.NewReader(c)
					_, _ = b.Peek(1) // the head arrives with its first byte, the body does not
					_, _ = io.WriteString(c, refusal(503, id))
					if r, err := http.ReadRequest(b); err == nil {
						_, _ = io.Copy(io.Discard, r.Body)
						ran.Add(1)
						writeAnswer(c, r, 200, "ok")
					}
				}()
			}
		}()
		x := &scriptedTarget{id: "t1", addr: ln.Addr().String()}
		y := &scriptedTarget{id: "t2", addr: ln.Addr().String()}
		e := startRouter(t, x, y)
		a := e.request("POST", "/unsafe/", strings.Repeat("x", 64<<10))
		e.g.Expect(a.code == 200 || a.code == 502).To(BeTrue(), "%v", a)
		e.g.Eventually(ran.Load).Should(BeEquivalentTo(1))
		time.Sleep(50 * time.Millisecond)
		e.g.Expect(ran.Load()).To(BeEquivalentTo(1))
	}
}

// Guards against a second copy of a refusal that is taken for the answer when the same request is sent to another
// target at the same address.
func TestCopyOfRefusalOfTheSameRequestIsNotBelieved(t *testing.T) {
	for _, code := range []int{421, 503} {
		var mu sync.Mutex
		refused := map[net.Conn]string{}
		ran := 0
		x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool {
			mu.Lock()
			earlier, seen := refused[c]
			first := len(refused) == 0
			if first {
				refused[c] = r.Header.Get("X-Id")
			} else {
				ran++
			}
			mu.Unlock()
			if first {
				_, err := io.WriteString(c, refusal(code, r.Header.Get("X-Id")))
				return err == nil
			}
			if seen {
				_, _ = io.WriteString(c, refusal(code, earlier))
				time.Sleep(20 * time.Millisecond)
			}
			return writeAnswer(c, r, 200, "ok")
		})
		e := startRouter(t, x, &scriptedTarget{id: "t2", addr: x.addr}, &scriptedTarget{id: "t3", addr: x.addr})
		a := e.request("POST", "/unsafe/", "x")
		e.g.Expect(a.code).To(Equal(200), "%v", a)
		mu.Lock()
		e.g.Expect(ran).To(Equal(1))
		mu.Unlock()
	}
}

// Guards against copies of refusals on kept connections, at once or late, with the id of the earlier request or none.
func TestCopiesOfRefusalsOnKeptConnections(t *testing.T) {
	for name, o := range map[string]struct {
		id   bool
		late time.Duration
	}{"at once": {id: true}, "at once, no id": {}, "late": {id: true, late: 5 * time.Millisecond}, "late, no id": {late: 5 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			runs := map[string]int{}
			script := func(n int, r *http.Request, c net.Conn) bool {
				id := r.Header.Get("X-Id")
				if n%4 == 3 {
					_, _ = io.WriteString(c, refusal(503, id))
					if !o.id {
						id = ""
					}
					if o.late == 0 {
						_, err := io.WriteString(c, refusal(503, id))
						return err == nil
					}
					time.AfterFunc(o.late, func() { _, _ = io.WriteString(c, refusal(503, id)) })
					return true
				}
				mu.Lock()
				runs[id]++
				mu.Unlock()
				time.Sleep(2 * o.late)
				return writeAnswer(c, r, 200, id)
			}
			x := startTarget(t, "t1", script)
			all := []*scriptedTarget{x}
			for i := range 7 { // refusals at one of them leave the connections to the others
				all = append(all, &scriptedTarget{id: fmt.Sprint("u", i), addr: x.addr})
			}
			e := startRouter(t, all...)
			for range 20 {
				a := e.request("POST", "/unsafe/", "x")
				mu.Lock()
				if a.code == 503 {
					e.g.Expect(runs).NotTo(HaveKey(a.header.Get("X-Id")))
				}
				for id, n := range runs {
					e.g.Expect(n).To(Equal(1), id)
				}
				mu.Unlock()
			}
			e.g.Expect(len(runs)).To(BeNumerically(">", 5))
		})
	}
}

// Guards against refusals that wait without end for callers who do not read them.
func TestRefusalsThatAreNotReadEnd(t *testing.T) {
	e := startRouter(t)
	c, err := net.Dial("tcp", e.cfg.Listen)
	e.g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	for err == nil {
		_, err = io.WriteString(c, "GET /nowhere/ HTTP/1.1\r\nHost: h.example\r\n\r\n")
	}
	e.g.Expect(err).NotTo(MatchError(os.ErrDeadlineExceeded))
}
