package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// client is the clients of one zone, which keep their connections.
type client struct {
	zone string
	g    *ingress
	rec  *record

	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	r     *bufio.Reader
	front *front
	used  int
	since time.Time
	// gap limits the wait for the next bytes of an answer, last is the end of the whole wait.
	gap  time.Duration
	last time.Time
}

// Read implements net.Conn.
func (k *clientConn) Read(b []byte) (int, error) {
	if k.gap > 0 {
		if at := time.Now().Add(k.gap); at.Before(k.last) {
			_ = k.SetReadDeadline(at)
		}
	}
	return k.Conn.Read(b)
}

// request is one client attempt.
type request struct {
	id, method, host, path string
	header                 map[string]string
	body                   []byte
	deadline               time.Duration
	// limit is the shorter of the deadline and the route's timeout.
	limit time.Duration
	// abandon is the gap after which the client abandons a stream, also before its first event; zero for plain requests.
	abandon time.Duration
}

// result is what the client got.
type result struct {
	id, front string
	kept      bool
	sentAt    time.Time
	endedAt   time.Time
	// written is true once the whole request was sent.
	written bool
	// status is 0 if no complete head of an answer came; whole is true if the answer was complete.
	status int
	whole  bool
	body   []byte
	events int
	// left is true if the client abandoned the request.
	left bool
	// limit is that of the request.
	limit time.Duration
	err   error
}

// idleMax is the time up to which a client uses a connection again, four fifths of idle-timeout-ms at most.
const idleMax = 2 * time.Second

func (c *client) conn() (*clientConn, error) {
	c.mu.Lock()
	for len(c.idle) > 0 {
		k := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(k.since) < idleMax {
			c.mu.Unlock()
			return k, nil
		}
		_ = k.Close()
	}
	c.mu.Unlock()
	f := c.g.pick(c.zone)
	n, err := net.DialTimeout("tcp", f.listen, time.Second)
	if err != nil {
		return nil, err
	}
	k := &clientConn{Conn: n, front: f}
	k.r = bufio.NewReader(k)
	return k, nil
}

// do sends one request and reads its answer.
func (c *client) do(q request) (res result) {
	res = result{id: q.id, sentAt: time.Now(), limit: q.limit}
	defer func() {
		res.endedAt = time.Now()
		c.rec.add("client %s gets %s: status=%d whole=%v events=%d front=%s kept=%v ms=%d err=%v", c.zone, q.id, res.status, res.whole, res.events, res.front, res.kept, res.endedAt.Sub(res.sentAt).Milliseconds(), res.err)
	}()
	k, err := c.conn()
	if err != nil {
		res.err = err
		return res
	}
	res.front, res.kept = k.front.name, k.used > 0
	reuse := false
	defer func() {
		if !reuse {
			_ = k.Close()
			return
		}
		k.used++
		k.since = time.Now()
		_ = k.SetDeadline(time.Time{})
		c.mu.Lock()
		c.idle = append(c.idle, k)
		c.mu.Unlock()
	}()
	_ = k.SetDeadline(res.sentAt.Add(q.deadline + 2*time.Second))
	k.gap, k.last = q.abandon, res.sentAt.Add(q.deadline+2*time.Second)
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.path, q.host, q.id, q.deadline.Milliseconds())
	for n, v := range q.header {
		fmt.Fprintf(&head, "%s: %s\r\n", n, v)
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(q.body))
	}
	head.WriteString("\r\n")
	c.rec.add("client %s sends %s %s to %s kept=%v bytes=%d", c.zone, q.id, q.path, res.front, res.kept, len(q.body))
	if _, err = k.Write(append(head.Bytes(), q.body...)); err != nil {
		res.err = err
		return res
	}
	res.written = true
	x, err := http.ReadResponse(k.r, &http.Request{Method: q.method})
	if err != nil {
		res.err, res.left = err, errors.Is(err, os.ErrDeadlineExceeded)
		return res
	}
	res.status = x.StatusCode
	res.body, err = io.ReadAll(x.Body)
	res.events = bytes.Count(res.body, []byte("\n\n"))
	if err != nil {
		res.err, res.left = err, errors.Is(err, os.ErrDeadlineExceeded)
		return res
	}
	res.whole = true
	reuse = !x.Close
	return res
}

// eventsOf returns the whole body of a stream.
func eventsOf(id string, n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString("id: " + strconv.Itoa(i) + "\ndata: " + id + " " + strconv.Itoa(i) + "\n\n")
	}
	return b.String()
}

// limitMargin is the time before the limit of a request from which its end is taken for that of its limit.
const limitMargin = 200 * time.Millisecond

// excused reports whether the client left, or the deadline or the route's timeout of the request was reached.
func (r result) excused() bool {
	return r.left || r.endedAt.Sub(r.sentAt) >= r.limit-limitMargin
}
