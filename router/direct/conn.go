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
	// dialTimeout limits the opening of a connection to a target. Targets are at most some ten
	// milliseconds away; a request whose target cannot be reached is placed at another one.
	dialTimeout = 300 * time.Millisecond
	// maxIdleUnsafe is the idle time from which a connection is not reused for a request that must not run
	// twice: a target may have dropped the connection without notice, and then it would be unknown whether
	// the request ran.
	maxIdleUnsafe = 200 * time.Millisecond
	// maxIdleRepeatable is the same for requests that may be repeated; it is below the shortest idle timeout
	// that targets use.
	maxIdleRepeatable = 900 * time.Millisecond
	// readBufferSize is the size of the buffer for the answers on a connection, in bytes; response headers
	// and most events fit into it.
	readBufferSize = 8 << 10
	// inlineBodyMax is the largest body, in bytes, that is written before the answer is read. It fits into
	// the socket's buffer, so a target that does not read cannot block the write.
	inlineBodyMax = 4 << 10
	// strayAnswersMax limits the answers to other requests that are skipped on a connection.
	strayAnswersMax = 3
	// strayBodyMax limits the body of an answer that is skipped, in bytes.
	strayBodyMax = 1 << 20
)

// errUnreachable means that no connection could be opened; nothing was sent.
var errUnreachable = errors.New("target cannot be reached")

// errRefused means that the host of the target refused a connection; it is an errUnreachable.
var errRefused = errors.WithMessage(errUnreachable, "refused")

// conn is one connection to a target. One request uses it at a time.
type conn struct {
	limitedConn
	r         *bufio.Reader
	addr      string
	idleSince time.Time
	reused    bool
}

// connPool holds idle connections by address.
type connPool struct {
	mu   sync.Mutex
	idle map[string][]*conn
}

func newConnPool() *connPool { return &connPool{idle: map[string][]*conn{}} }

// get returns an open connection that was idle for less than maxIdle, or opens a new one; always if maxIdle is zero.
func (c *connPool) get(ctx context.Context, addr string, maxIdle time.Duration) (*conn, error) {
	for maxIdle > 0 {
		k := c.takeIdle(addr)
		if k == nil {
			break
		}
		if time.Since(k.idleSince) < maxIdle && k.alive() {
			k.reused = true
			return k, nil
		}
		_ = k.Close() // nothing is read from it any more
	}
	k, err := dial(ctx, addr)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, errors.WithMessage(errRefused, err.Error())
		}
		return nil, errors.Wrap(errUnreachable, err.Error())
	}
	return k, nil
}

// dial opens a connection.
func dial(ctx context.Context, addr string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d := net.Dialer{KeepAlive: -1}
	n, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	k := &conn{limitedConn: limitedConn{Conn: n}, addr: addr}
	k.r = bufio.NewReaderSize(&k.limitedConn, readBufferSize)
	return k, nil
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

// put returns a connection to the pool; its last answer has been read completely.
func (c *connPool) put(k *conn) {
	k.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[k.addr] = append(c.idle[k.addr], k)
}

// closeExpired closes connections that have been idle for too long.
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

// alive reports whether an idle connection is open and has nothing to read. Unsolicited bytes belong to no
// request, so a connection that has any must not be reused.
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

// targetRequest is a request to be sent to a target.
type targetRequest struct {
	id     ident.RequestID
	method string
	// uri is the path and query as the caller sent them.
	uri    string
	host   string
	header http.Header
	// body holds bodySize bytes.
	body     [][]byte
	bodySize int64
	// connected, if not nil, is called before the request is written.
	connected func()
	// observe, if not nil, is called for the head of each answer on the connection, also of those that are skipped.
	observe func(Answer)
}

// exchange is a request that was sent, with the status and headers of its answer.
type exchange struct {
	*http.Response
	answer Answer
	conn   *conn
	// written is closed once the write of the request has ended; writeErr is set before.
	written  chan struct{}
	writeErr error
	// stopCancel detaches the connection from the context of the request.
	stopCancel func() bool
}

// send writes the request and reads the status and headers of the answer. The end of ctx closes the
// connection, which cancels the request at the target. errUnreachable means that nothing was sent; after any
// other error the request may have run.
func (r *Router) send(ctx context.Context, addr string, maxIdle time.Duration, o targetRequest) (_ *exchange, err error) {
	defer func() { err = errors.WithMessagef(err, "send to %s", addr) }()
	k, err := r.conns.get(ctx, addr, maxIdle)
	if err != nil {
		return nil, err
	}
	if o.connected != nil {
		o.connected()
	}
	x := &exchange{conn: k, written: make(chan struct{})}
	x.stopCancel = context.AfterFunc(ctx, func() { _ = k.Close() }) // unblocks the reads and writes
	if o.bodySize <= inlineBodyMax {
		x.write(o)
	} else {
		go x.write(o)
	}
	if err = x.readHead(r.dialect, o); err != nil {
		x.close()
		return nil, err
	}
	return x, nil
}

// write writes the request to the connection. It ends at the latest when the connection is closed.
func (x *exchange) write(o targetRequest) {
	defer close(x.written)
	x.writeErr = o.write(x.conn)
}

// write sends the request line, the headers and the body unchanged.
func (o targetRequest) write(k io.Writer) error {
	w := bufio.NewWriterSize(k, inlineBodyMax)
	for _, s := range []string{o.method, " ", o.uri, " HTTP/1.1\r\nHost: ", o.host, "\r\n"} {
		_, _ = w.WriteString(s) // Flush returns the error
	}
	if o.bodySize > 0 || o.method != http.MethodGet && o.method != http.MethodHead {
		o.header.Set("Content-Length", strconv.FormatInt(o.bodySize, 10))
	}
	_ = o.header.Write(w)
	_, _ = w.WriteString("\r\n")
	for _, b := range o.body {
		_, _ = w.Write(b)
	}
	return w.Flush()
}

// readHead reads the status and headers of the answer and skips answers to other requests.
func (x *exchange) readHead(d Dialect, o targetRequest) (err error) {
	x.conn.limit(answerHeadMax)
	defer x.conn.unlimit()
	for range strayAnswersMax + 1 {
		x.Response, err = http.ReadResponse(x.conn.r, &http.Request{Method: o.method})
		if err != nil {
			return err
		}
		if x.StatusCode < 200 {
			continue
		}
		x.answer = d.Answer(x.StatusCode, x.Header)
		if o.observe != nil {
			o.observe(x.answer)
		}
		if x.answer.ID == o.id || x.answer.ID == "" && !x.conn.reused {
			return nil
		}
		x.Close = true // a connection with answers to other requests is not reused
		x.conn.limit(strayBodyMax)
		if _, err = io.Copy(io.Discard, x.Body); err != nil {
			return err
		}
		x.conn.limit(answerHeadMax)
		x.conn.reused = true
	}
	return errors.New("connection holds only answers to other requests")
}

// refused reports whether the answer states that the request id has not run. Targets echo the id, so a statement
// without it may be about any request.
func (x *exchange) refused(id ident.RequestID) bool {
	return (x.answer.NotRun || x.answer.Misdirected) && x.answer.ID == id
}

// release returns the connection to the pool if it can be reused, and closes it otherwise. complete is true if
// the answer was read completely.
func (c *connPool) release(x *exchange, complete bool) {
	sent := x.hasWritten() && x.writeErr == nil // otherwise the target answered before it read the whole body
	if complete && sent && x.framed() && !x.Close && x.conn.r.Buffered() == 0 && x.stopCancel() {
		c.put(x.conn)
		return
	}
	x.close()
}

// hasWritten reports whether the write of the request has ended.
func (x *exchange) hasWritten() bool {
	select {
	case <-x.written:
		return true
	default:
		return false
	}
}

// framed reports whether the end of the answer can be told from the end of the connection.
func (x *exchange) framed() bool { return x.ContentLength >= 0 || len(x.TransferEncoding) > 0 }

// close closes the connection and waits for the end of the write, which the close unblocks.
func (x *exchange) close() {
	x.stopCancel()
	_ = x.conn.Close() // nothing is read from it any more
	<-x.written
}
