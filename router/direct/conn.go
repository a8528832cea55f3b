package direct

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/ident"
)

const (
	// dialTimeout bounds the opening of a connection to a target. Targets are at most some ten
	// milliseconds away; a request whose target cannot be reached is placed elsewhere.
	dialTimeout = 300 * time.Millisecond
	// restStrict is the rest after which a connection is not used again for a request that must not run
	// twice: a target may have dropped it without notice, and the fate of the request would be unknown.
	maxIdleUnsafe = 200 * time.Millisecond
	// restMax is the same for requests that may be repeated, below the shortest timeout that targets use.
	maxIdleRepeatable = 900 * time.Millisecond
	// readBuffer is the buffer for the answers on a connection, in bytes; heads and most events fit in.
	readBufferSize = 8 << 10
	// inlineBody is the largest body that is written before the answer is read. It fits into the socket's
	// buffer, so a target that does not read cannot block the write.
	inlineBodyMax = 4 << 10
	// strayMax is the number of answers to other requests that are skipped on a connection.
	strayAnswersMax = 3
)

// errUnreachable means that no connection was opened; nothing was sent.
var errUnreachable = errors.New("target cannot be reached")

// conn is one connection to a target. One request uses it at a time.
type conn struct {
	net.Conn
	r         *bufio.Reader
	addr      string
	idleSince time.Time
	reused    bool
}

// conns holds resting connections by address.
type connPool struct {
	mu   sync.Mutex
	idle map[string][]*conn
}

func newConnPool() *connPool { return &connPool{idle: map[string][]*conn{}} }

// get returns a resting connection that is younger than rest and alive, or opens one.
func (c *connPool) get(ctx context.Context, addr string, rest time.Duration) (*conn, error) {
	for {
		k := c.takeIdle(addr)
		if k == nil {
			break
		}
		if time.Since(k.idleSince) < rest && k.alive() {
			k.reused = true
			return k, nil
		}
		_ = k.Close() // nothing is read from it any more
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d := net.Dialer{KeepAlive: -1}
	n, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(errUnreachable, err.Error())
	}
	return &conn{Conn: n, r: bufio.NewReaderSize(n, readBufferSize), addr: addr}, nil
}

func (c *connPool) takeIdle(addr string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.idle[addr]
	if len(l) == 0 {
		return nil
	}
	k := l[len(l)-1]
	c.idle[addr] = l[:len(l)-1]
	return k
}

// put keeps a connection whose last answer was read whole.
func (c *connPool) put(k *conn) {
	k.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[k.addr] = append(c.idle[k.addr], k)
}

// sweep closes connections that rested too long.
func (c *connPool) closeExpired(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, l := range c.idle {
		kept := l[:0]
		for _, k := range l {
			if now.Sub(k.idleSince) < maxIdleRepeatable {
				kept = append(kept, k)
				continue
			}
			_ = k.Close() // nothing is read from it any more
		}
		if c.idle[addr] = kept; len(kept) == 0 {
			delete(c.idle, addr)
		}
	}
}

// alive reports whether a resting connection is open and has nothing to read: bytes that nobody asked for
// belong to no request.
func (k *conn) alive() bool {
	if k.r.Buffered() > 0 {
		return false
	}
	sc, ok := k.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var b [1]byte
	var rerr error
	err = raw.Read(func(fd uintptr) bool {
		_, _, rerr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(rerr, syscall.EAGAIN)
}

// outgoing is a request for a target.
type targetRequest struct {
	id     ident.RequestID
	method string
	// uri is the path and query as the caller sent them.
	uri    string
	host   string
	header http.Header
	body   []byte
}

// exchange is a request that was sent, and the head of its answer.
type exchange struct {
	*http.Response
	answer Answer
	conn   *conn
	// written receives the end of the writing of the body.
	written    chan error
	stopCancel func() bool
}

// send writes the request and reads the head of the answer. The end of ctx closes the connection, which
// cancels the request at the target. errUnreachable means that nothing was sent; after any other error
// the request may have run.
func (r *Router) send(ctx context.Context, addr string, rest time.Duration, o targetRequest) (x *exchange, err error) {
	defer func() { err = errors.WithMessagef(err, "send to %s", addr) }()
	k, err := r.conns.get(ctx, addr, rest)
	if err != nil {
		return nil, err
	}
	x = &exchange{conn: k, written: make(chan error, 1)}
	x.stopCancel = context.AfterFunc(ctx, func() { _ = k.Close() }) // unblocks the reads and writes
	if len(o.body) <= inlineBodyMax {
		x.written <- o.write(k)
	} else {
		go func() { x.written <- o.write(k) }() // ends with the connection at the latest
	}
	if err = x.readHead(r.dialect, o); err != nil {
		x.close()
		return nil, err
	}
	return x, nil
}

// write sends the head and the body as they are.
func (o targetRequest) write(k *conn) error {
	w := bufio.NewWriterSize(k, inlineBodyMax)
	for _, s := range []string{o.method, " ", o.uri, " HTTP/1.1\r\nHost: ", o.host, "\r\n"} {
		_, _ = w.WriteString(s) // the error is kept until Flush
	}
	if len(o.body) > 0 || o.method != http.MethodGet && o.method != http.MethodHead {
		o.header.Set("Content-Length", strconv.Itoa(len(o.body)))
	}
	_ = o.header.Write(w)
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(o.body)
	return w.Flush()
}

// head reads the head of the answer and skips answers to other requests.
func (x *exchange) readHead(d Dialect, o targetRequest) (err error) {
	for range strayAnswersMax + 1 {
		x.Response, err = http.ReadResponse(x.conn.r, &http.Request{Method: o.method})
		if err != nil {
			return err
		}
		if x.StatusCode < 200 {
			continue
		}
		x.answer = d.Answer(x.StatusCode, x.Header)
		if x.answer.ID == o.id || x.answer.ID == "" && !x.conn.reused {
			return nil
		}
		x.Close = true // a connection with answers of other requests is not used again
		if _, err = io.Copy(io.Discard, x.Body); err != nil {
			return err
		}
		x.conn.reused = true
	}
	return errors.New("answers belong to other requests")
}

// finish keeps the connection after the whole answer was read; whole tells so.
func (c *connPool) release(x *exchange, whole bool) {
	sent := false
	select {
	case err := <-x.written:
		sent = err == nil
	default: // the answer came before the target has read the body
	}
	framed := x.ContentLength >= 0 || len(x.TransferEncoding) > 0
	if whole && sent && framed && !x.Close && x.conn.r.Buffered() == 0 && x.stopCancel() {
		c.put(x.conn)
		return
	}
	x.close()
}

func (x *exchange) close() {
	x.stopCancel()
	_ = x.conn.Close() // nothing is read from it any more
}
