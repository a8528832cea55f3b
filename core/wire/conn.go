package wire

import (
	"context"
	"crypto/hmac"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/ring"
)

const (
	handshakeTimeout = 5 * time.Second
	writeTimeout     = 10 * time.Second
	pingInterval     = 2 * time.Second
	pingTimeout      = 6 * time.Second
	// ringSize bounds the messages that wait for the writer of one connection.
	sendQueueSize = 4096
	// badMax is the number of malformed frames after which a connection is closed.
	malformedMax = 3
)

// Path is the HTTP path of the WebSocket endpoint.
const Path = "/wire"

// Errors of a connection.
var (
	ErrAuth          = errors.New("peer does not hold the key of the deployment")
	ErrSendQueueFull = errors.New("too many messages wait for the connection")
	ErrClosed        = errors.New("connection is closed")
)

// Conn is an authenticated connection. Send may be called from any goroutine; Recv from one.
type Conn struct {
	ws        *websocket.Conn
	peer      Hello
	sendQueue *ring.Ring[[]byte]
	// done is closed when the writer has ended.
	done   chan struct{}
	cancel context.CancelFunc
	// bad counts malformed frames in sequence of receipt.
	malformed int
	// onBad is called for each malformed frame.
	onMalformed func(error)
	// unsent counts messages that were queued and not written yet.
	unsent atomic.Int64
	// sent and received count bytes of messages.
	sent     atomic.Int64
	received atomic.Int64
}

// Auth holds what a process needs to prove that it belongs to a deployment.
type Auth struct {
	Deployment string
	Key        []byte
}

// Dial connects to the process at addr (IP number and port) and proves the key in both directions.
func Dial(ctx context.Context, addr string, auth Auth, hello Hello, onBad func(error)) (c *Conn, err error) {
	defer func() { err = errors.WithMessagef(err, "dial %s", addr) }()
	hctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	ws, _, err := websocket.Dial(hctx, "ws://"+addr+Path, &websocket.DialOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return nil, err
	}
	c = newConn(ws, onBad)
	if err = c.handshake(hctx, auth, hello, clientRole, serverRole); err != nil {
		_ = ws.CloseNow()
		return nil, err
	}
	c.startWriter(ctx)
	return c, nil
}

// Accept upgrades an HTTP request and proves the key in both directions.
// The connection ends when ctx ends, not with the request.
func Accept(ctx context.Context, w http.ResponseWriter, r *http.Request, auth Auth, hello Hello, onBad func(error)) (c *Conn, err error) {
	defer func() { err = errors.WithMessagef(err, "accept %s", r.RemoteAddr) }()
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return nil, err
	}
	hctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	c = newConn(ws, onBad)
	if err = c.handshake(hctx, auth, hello, serverRole, clientRole); err != nil {
		_ = ws.CloseNow()
		return nil, err
	}
	c.startWriter(ctx)
	return c, nil
}

func newConn(ws *websocket.Conn, onBad func(error)) *Conn {
	ws.SetReadLimit(int64(BodyMax))
	if onBad == nil {
		onBad = func(error) {}
	}
	return &Conn{ws: ws, sendQueue: ring.New[[]byte](sendQueueSize), done: make(chan struct{}), onMalformed: onBad}
}

// handshake exchanges nonces, then proofs, then Hello messages. Both sides run the same steps.
func (c *Conn) handshake(ctx context.Context, auth Auth, hello Hello, ours, theirs string) (err error) {
	defer func() { err = errors.WithMessage(err, "handshake") }()
	nonce := newNonce()
	if err = c.write(ctx, nonce); err != nil {
		return err
	}
	_, other, err := c.ws.Read(ctx)
	if err != nil {
		return err
	}
	if len(other) != nonceBytes {
		return ErrMalformedFrame
	}
	if err = c.write(ctx, proofOf(auth.Key, ours, auth.Deployment, nonce, other)); err != nil {
		return err
	}
	_, proof, err := c.ws.Read(ctx)
	if err != nil {
		return err
	}
	if !hmac.Equal(proof, proofOf(auth.Key, theirs, auth.Deployment, other, nonce)) {
		return ErrAuth
	}
	return c.exchangeHello(ctx, hello)
}

func (c *Conn) exchangeHello(ctx context.Context, hello Hello) error {
	b, err := Encode(&hello)
	if err != nil {
		return err
	}
	if err = c.write(ctx, b); err != nil {
		return err
	}
	_, b, err = c.ws.Read(ctx)
	if err != nil {
		return err
	}
	m, err := Decode(b)
	if err != nil {
		return err
	}
	h, ok := m.(*Hello)
	if !ok {
		return ErrMalformedFrame
	}
	c.peer = *h
	return nil
}

func (c *Conn) startWriter(ctx context.Context) {
	ctx, c.cancel = context.WithCancel(ctx)
	go c.runWriter(ctx)
}

// Peer returns what the other side said of itself.
func (c *Conn) Peer() Hello { return c.peer }

// Done is closed after the connection ended and its writer returned.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Send queues m for the writer. It never blocks.
// Errors: ErrFull when the writer is too far behind, ErrClosed, or an encoding error.
func (c *Conn) Send(m Message) error {
	select {
	case <-c.done:
		return ErrClosed
	default:
	}
	b, err := Encode(m)
	if err != nil {
		return err
	}
	c.unsent.Add(1)
	if !c.sendQueue.TryPut(b) {
		c.unsent.Add(-1)
		return ErrSendQueueFull
	}
	return nil
}

// Recv returns the next well-formed message. Malformed frames are reported and skipped;
// the third one closes the connection.
func (c *Conn) Recv(ctx context.Context) (m Message, err error) {
	for {
		_, b, err := c.ws.Read(ctx)
		if err != nil {
			c.Close()
			return nil, errors.WithMessage(err, "receive")
		}
		c.received.Add(int64(len(b)))
		if m, err = Decode(b); err == nil {
			return m, nil
		}
		c.onMalformed(err)
		if c.malformed++; c.malformed >= malformedMax {
			c.Close()
			return nil, errors.WithMessage(err, "receive")
		}
	}
}

// Close ends the connection at once; queued messages are lost.
func (c *Conn) Close() {
	c.cancel()
	_ = c.ws.CloseNow()
}

// Flush closes the connection after the queued messages were written, or when ctx ends.
func (c *Conn) Flush(ctx context.Context) {
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for c.unsent.Load() > 0 {
		select {
		case <-ctx.Done():
			c.Close()
			return
		case <-c.done:
			return
		case <-tick.C:
		}
	}
	_ = c.ws.Close(websocket.StatusNormalClosure, "")
	c.cancel()
}

func (c *Conn) runWriter(ctx context.Context) {
	defer close(c.done)
	defer func() { _ = c.ws.CloseNow() }()
	pinged := make(chan struct{})
	go c.runPinger(ctx, pinged)
	defer func() { <-pinged }()
	defer c.cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.sendQueue.Ready():
			if !c.writeQueued(ctx) {
				return
			}
		}
	}
}

func (c *Conn) writeQueued(ctx context.Context) bool {
	for {
		b, ok := c.sendQueue.Take()
		if !ok {
			return true
		}
		if c.write(ctx, b) != nil {
			return false
		}
		c.unsent.Add(-1)
	}
}

// pinger ends the connection when the peer is cut off or frozen although its connection looks open.
// It runs apart from the writer, so that a slow pong does not delay messages.
func (c *Conn) runPinger(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !c.ping(ctx) {
			c.cancel()
			return
		}
	}
}

func (c *Conn) ping(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return c.ws.Ping(ctx) == nil
}

func (c *Conn) write(ctx context.Context, b []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	c.sent.Add(int64(len(b)))
	return c.ws.Write(ctx, websocket.MessageBinary, b)
}

// Bytes returns the bytes of messages sent and received.
func (c *Conn) Bytes() (sent, received ident.Bytes) {
	return ident.Bytes(c.sent.Load()), ident.Bytes(c.received.Load())
}
