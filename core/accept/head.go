package accept

import (
	"bytes"
	"io"
	"os"
	"time"

	"hickoryvane.example/core/budget"
)

// Load pattern: clients send header sections of thousands of short lines, which take ten times their size once they are
// parsed, or header sections without end. The bytes and lines are counted, and their cost reserved, as they are read and
// before http.Server parses them. The reservation lasts until the connection waits for the next request.

const (
	// bufferSize is the size of the read buffer of http.Server in bytes. What it reads beyond a request or a chunk stays
	// there, and may be header lines of the next request or trailers.
	bufferSize = 4096
	// tailLinesMin is the number of lines in one read of a body from which their cost is reserved. Few lines are within
	// the cost of a connection.
	tailLinesMin = 16
	// linger limits, in bytes, how far a header section may be above its limit to be read and refused with the answer of
	// the handler, which states the limit.
	linger = 4 << 10
)

// head counts the header section that is read. The fields are guarded by the lock of the connection.
type head struct {
	// reading is true from the first byte of a header section to its end.
	reading bool
	// bytes and lines are its size so far; line is the number of bytes of its last line without line ends.
	bytes, lines, line int
	// cr is true if the last byte of that line was a carriage return.
	cr bool
	// cost is reserved for the header section, tail for lines that were read after it. carried is the part of cost for
	// lines that were read before it, with the last request.
	cost, tail, carried int64
}

// scan counts the bytes of b that belong to the header section and returns the rest.
func (h *head) scan(b []byte) (rest []byte) {
	for len(b) > 0 {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			h.bytes += len(b)
			h.line += len(b)
			h.cr = b[len(b)-1] == '\r'
			return nil
		}
		n := i
		if i > 0 && b[i-1] == '\r' {
			n--
		}
		empty := h.line+n == 0 || h.line == 1 && i == 0 && h.cr
		h.bytes, h.line, b = h.bytes+i+1, 0, b[i+1:]
		switch {
		case !empty:
			h.lines++
		case h.lines > 0: // http.Server skips empty lines before a request
			h.reading = false
			return b
		}
	}
	return nil
}

// headerLines returns the number of header lines that b can hold at most.
func headerLines(b []byte) int {
	n := bytes.Count(b, []byte{'\n'})
	if n < tailLinesMin {
		return 0
	}
	if n = min(n, bytes.Count(b, []byte{':'})); n < tailLinesMin {
		return 0
	}
	return n
}

// count reserves the cost of bytes that were read and returns the limit that they reach; c.mu is held.
func (c *conn) count(b []byte) Limit {
	h := &c.head
	before := h.cost + h.tail
	rest := b
	if h.reading {
		rest = h.scan(b)
		h.cost = h.carried + budget.HeadCost(h.bytes, h.lines)
	}
	h.tail = 0
	if len(rest) <= bufferSize {
		if n := headerLines(rest); n > 0 {
			h.tail = budget.HeadCost(len(rest), n)
		}
	}
	if h.bytes > c.server.headerMax()+linger {
		return HeaderBytes
	}
	switch d := h.cost + h.tail - before; {
	case d > 0 && !c.server.budget.Reserve(time.Now(), c.owner, budget.Heads, d):
		return Memory
	case d < 0:
		c.server.budget.Resize(c.owner, budget.Heads, h.cost+h.tail)
	}
	return noLimit
}

// nextHead ends the reservation of the last request, except for what may be in the buffer of http.Server; c.mu is held.
func (c *conn) nextHead(buffered bool) {
	held := c.head.cost + c.head.tail
	if !buffered {
		c.head.tail = 0
	}
	c.head = head{reading: true, cost: c.head.tail, carried: c.head.tail}
	if held > c.head.cost {
		c.server.budget.Resize(c.owner, budget.Heads, c.head.cost)
	}
}

// refuse answers a request of which only a part was read, ends the connection and returns the error for http.Server, which
// then writes no answer of its own. answer is false if only the connection may be ended.
func (c *conn) refuse(l Limit, answer bool) error {
	c.report(l)
	if b := l.refusal(); answer && b != nil && !c.out.held.Load() {
		_ = c.Conn.SetDeadline(time.Now().Add(refusalTime))
		if _, err := c.Conn.Write(b); err == nil && c.CloseWrite() == nil && l != HeaderTime {
			_, _ = io.CopyN(io.Discard, c.Conn, drainMax) // the client may have left
		}
	}
	c.server.budget.Drop(c.owner)
	_ = c.Conn.Close()
	return os.ErrDeadlineExceeded
}

// report reports the first limit that the connection reached.
func (c *conn) report(l Limit) {
	if c.limit.CompareAndSwap(uint32(noLimit), uint32(l)) {
		c.server.limited(l)
		c.server.reports.add(time.Now(), l, c.RemoteAddr())
	}
}
