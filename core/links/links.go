// Package links keeps the connections of a process to its peers and turns what they bring into events.
package links

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// ID numbers the connections of a process; a number is never used again.
type ID uint64

// Event is the opening of a connection, a message on it, or its end.
type Event struct {
	Link ID
	// Hello is set when the connection was opened.
	Hello *wire.Hello
	// Dialed is the address, set on opening when this process dialed.
	DialedAddress string
	// Message is set when a message arrived.
	Message wire.Message
	// Closed is true when the connection ended.
	Closed bool
}

// Sink takes events and waits while their reader is behind. It fails when ctx ends.
type Sink func(ctx context.Context, e Event) error

// Links is the set of connections of one process. Its methods may be called from any goroutine.
type Links struct {
	auth   wire.Auth
	hello  func() wire.Hello
	sink   Sink
	log    *event.Logger
	lastID atomic.Uint64
	mu     sync.Mutex
	conns  map[ID]*wire.Conn
	// wanted holds the stop functions of dial loops by address.
	cancelDial map[string]context.CancelFunc
	// loops counts dial loops; Close waits for them.
	dialLoops sync.WaitGroup
	// sent and received count the bytes of connections that ended.
	closedSent     ident.Bytes
	closedReceived ident.Bytes
}

// New returns an empty set. hello is called for each handshake.
func New(auth wire.Auth, hello func() wire.Hello, sink Sink, log *event.Logger) *Links {
	return &Links{
		auth: auth, hello: hello, sink: sink, log: log,
		conns: make(map[ID]*wire.Conn), cancelDial: make(map[string]context.CancelFunc),
	}
}

// Accept serves one incoming connection until it ends. The connection outlives r, but not ctx.
func (l *Links) Accept(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	c, err := wire.Accept(ctx, w, r, l.auth, l.hello(), l.logBadFrame)
	if err != nil {
		l.log.Log(event.PeerRejected, "address", r.RemoteAddr, "error", err)
		return
	}
	l.serve(ctx, c, "")
}

// serve passes on what a connection brings until it ends.
func (l *Links) serve(ctx context.Context, c *wire.Conn, addr string) {
	id := ID(l.lastID.Add(1))
	l.mu.Lock()
	l.conns[id] = c
	l.mu.Unlock()
	hello := c.Peer()
	err := l.sink(ctx, Event{Link: id, Hello: &hello, DialedAddress: addr})
	for err == nil {
		var m wire.Message
		if m, err = c.Recv(ctx); err == nil {
			err = l.sink(ctx, Event{Link: id, Message: m})
		}
	}
	c.Close()
	<-c.Done()
	s, r := c.Bytes()
	l.mu.Lock()
	delete(l.conns, id)
	l.closedSent += s
	l.closedReceived += r
	l.mu.Unlock()
	_ = l.sink(ctx, Event{Link: id, Closed: true}) // fails only when the process ends
}

// Send queues a message on a connection; it is dropped when the connection is gone. A connection whose
// writer is too far behind is closed, because a lost message would break the order of its frames.
func (l *Links) Send(id ID, m wire.Message) {
	l.mu.Lock()
	c := l.conns[id]
	l.mu.Unlock()
	if c == nil {
		return
	}
	if err := c.Send(m); err != nil {
		l.log.Log(event.RingFull, "peer", c.Peer().Process, "error", err)
		c.Close()
	}
}

// Close closes one connection at once.
func (l *Links) Close(id ID) {
	l.mu.Lock()
	c := l.conns[id]
	l.mu.Unlock()
	if c != nil {
		c.Close()
	}
}

// Flush closes all connections after their queued messages were written, or when ctx ends.
func (l *Links) Flush(ctx context.Context) {
	l.mu.Lock()
	conns := make([]*wire.Conn, 0, len(l.conns))
	for _, c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		c.Flush(ctx)
	}
}

// Bytes returns the bytes of all messages sent and received since the start.
func (l *Links) Bytes() (sent, received ident.Bytes) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		s, r := c.Bytes()
		sent += s
		received += r
	}
	return sent + l.closedSent, received + l.closedReceived
}

func (l *Links) logBadFrame(err error) { l.log.Log(event.MalformedFrame, "error", err) }
