package direct

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/router/dial"
)

const (
	// inlineBodyMax is the largest body, in bytes, that is written before the answer is read. It fits into
	// the socket's buffer, so a target that does not read cannot block the write.
	inlineBodyMax = 4 << 10
	// strayAnswersMax limits the answers to other requests that are skipped on a connection.
	strayAnswersMax = 3
	// writeEndTime is the time after the end of a connection within which the goroutine that writes to it has noticed.
	writeEndTime = 200 * time.Millisecond
	// statusMax is the largest status of an answer.
	statusMax = 599
	// strayBodyMax limits the body of an answer that is skipped, in bytes.
	strayBodyMax = 1 << 20
)

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
	conn   *dial.Conn
	// written is closed once the write of the request has ended; writeErr is set before.
	written  chan struct{}
	writeErr error
	// stopCancel detaches the connection from the context of the request.
	stopCancel func() bool
}

// send writes the request and reads the status and headers of the answer. The end of ctx closes the
// connection, which cancels the request at the target. dial.ErrUnreachable means that nothing was sent; after any
// other error the request may have run.
func (r *Router) send(ctx context.Context, addr string, maxIdle time.Duration, o targetRequest) (_ *exchange, err error) {
	defer func() { err = errors.WithMessagef(err, "send to %s", addr) }()
	k, err := r.conns.Get(ctx, addr, maxIdle)
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
		if ctx.Err() == nil {
			r.conns.Discard(addr)
		}
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
	x.conn.Limit(dial.HeadMax)
	defer x.conn.Unlimit()
	for range strayAnswersMax + 1 {
		x.Response, err = http.ReadResponse(x.conn.R, &http.Request{Method: o.method})
		if err != nil {
			return err
		}
		switch {
		case x.StatusCode < 100 || x.StatusCode > statusMax:
			return errors.Errorf("%03d is no status", x.StatusCode)
		case x.StatusCode < 200:
			continue
		}
		x.answer = d.Answer(x.StatusCode, x.Header)
		if o.observe != nil {
			o.observe(x.answer)
		}
		if x.answer.ID == o.id || x.answer.ID == "" && !x.conn.Reused {
			return nil
		}
		x.Close = true // a connection with answers to other requests is not reused
		x.conn.Limit(strayBodyMax)
		if _, err = io.Copy(io.Discard, x.Body); err != nil {
			return err
		}
		x.conn.Limit(dial.HeadMax)
		x.conn.Reused = true
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
func (r *Router) release(x *exchange, complete bool) {
	sent := x.hasWritten() && x.writeErr == nil // otherwise the target answered before it read the whole body
	if complete && sent && x.framed() && !x.Close && x.conn.R.Buffered() == 0 && x.stopCancel() {
		r.conns.Put(x.conn, x.Header)
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

// endsEarly reports whether an answer that ends with its connection ended while the request was still being written. The
// connection may have been reset then: the write gets the error of a reset, and the read only the end.
func (x *exchange) endsEarly() bool {
	if x.framed() {
		return false
	}
	t := time.NewTimer(writeEndTime)
	defer t.Stop()
	select {
	case <-x.written:
		return x.writeErr != nil
	case <-t.C:
		return true
	}
}

// close closes the connection and waits for the end of the write, which the close unblocks.
func (x *exchange) close() {
	x.stopCancel()
	_ = x.conn.Close() // nothing is read from it any more
	<-x.written
}
