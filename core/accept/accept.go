// Package accept serves HTTP and ends the connections of callers between two requests only.
//
// Load pattern: callers send the next request at the moment at which their connection has rested for too long, or at
// which the process stops. http.Server counts a connection as idle until it has read the whole head of the next
// request, so whoever closes idle connections by that state also closes some whose request has been read. Here a
// connection ends by its read deadline, which is that of the head once a byte of the next request was read.
package accept

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/budget"
)

const (
	// idleGrace is added to the idle time, so that a caller which keeps to it does not find its connection closed.
	idleGrace = time.Second
	// lingerTime is the time for which a connection may wait for a request during a shutdown. It covers callers that
	// were not told in the last answer that the connection closes.
	lingerTime = 100 * time.Millisecond
	// stopHeadTime is the time in which the head of a request has to be read that begins during a shutdown.
	stopHeadTime = time.Second
	// lastReadTime is the time of the last read after the deadline of a connection has passed, as its bytes may have
	// arrived before that if the process was not scheduled for some time.
	lastReadTime = time.Millisecond
	// defaultIdleTime is the idle time of a server without WithIdleTime.
	defaultIdleTime = 2 * time.Minute
)

// Cause is the reason for which a server ends a connection.
type Cause uint8

// Causes.
const (
	// Idle means that the connection rested longer than the idle time.
	Idle Cause = iota
	// Stopping means that the server is shut down. Connections without any request are not reported.
	Stopping
)

var causeNames = [...]string{Idle: "idle", Stopping: "stopping"}

// String returns the name used in log lines.
func (c Cause) String() string { return causeNames[c] }

// Option sets one property of a Server.
type Option func(*Server)

// WithIdleTime sets the time for which a connection may rest between two requests. f is called when a connection begins
// to rest and by ApplyIdleTime. A connection that rests keeps the longest time that was in force meanwhile.
func WithIdleTime(f func() time.Duration) Option { return func(s *Server) { s.idleTime = f } }

// WithClosed makes the server call f after it has ended a connection that rested.
func WithClosed(f func(remote net.Addr, c Cause, rested time.Duration)) Option {
	return func(s *Server) { s.closed = f }
}

// WithBudget makes the server reserve the memory of header sections, and limit its connections, by b.
func WithBudget(b *budget.Budget) Option { return func(s *Server) { s.budget = b } }

// WithConnsMax sets the number of connections that may be open, if it is less than that of the budget; zero is the latter.
func WithConnsMax(n int) Option { return func(s *Server) { s.connsMax = n } }

// WithHeaderMax sets the size of a header section in bytes above which it is not read. f is called for each read.
func WithHeaderMax(f func() int) Option { return func(s *Server) { s.headerMax = f } }

// WithHeaderTime sets the time in which a header section has to be read.
func WithHeaderTime(f func() time.Duration) Option { return func(s *Server) { s.headerTime = f } }

// WithLimited makes the server call count for each connection that reaches a limit, and report for at most one a second
// and limit, with the number of those that reached it since the last report.
func WithLimited(count func(l Limit), report func(l Limit, remote net.Addr, count int)) Option {
	return func(s *Server) { s.limited, s.reports.f = count, report }
}

// Server serves HTTP on one listener.
type Server struct {
	http     *http.Server
	idleTime func() time.Duration
	closed   func(remote net.Addr, c Cause, rested time.Duration)
	stopping atomic.Bool
	// releasing is true while connections are not kept for another request.
	releasing atomic.Bool
	// closing is true once connections are closed without regard to their answers.
	closing  atomic.Bool
	budget   *budget.Budget
	connsMax int
	// headerMax is the size of a header section that is read, headerTime the time for it.
	headerMax  func() int
	headerTime func() time.Duration
	limited    func(l Limit)
	reports    reports

	// mu guards the fields below.
	mu sync.Mutex
	ln net.Listener
	// accepting is true while connections may still be accepted.
	accepting bool
	// conns are the open connections.
	conns map[*conn]struct{}
	// drained is closed when the last connection ends after the shutdown began; nil before.
	drained chan struct{}
}

// defaultHeaderTime is the time in which a header section has to be read if neither srv nor an option limits it.
const defaultHeaderTime = 30 * time.Second

// New returns a server that serves by srv, whose ConnState, IdleTimeout and Handler it replaces. It sets a missing
// ReadHeaderTimeout, as the end of a header section is recognised by the change of the read deadline.
func New(srv *http.Server, opts ...Option) *Server {
	if srv.ReadHeaderTimeout <= 0 {
		srv.ReadHeaderTimeout = defaultHeaderTime
	}
	s := &Server{
		http: srv, conns: map[*conn]struct{}{}, idleTime: func() time.Duration { return defaultIdleTime },
		closed: func(net.Addr, Cause, time.Duration) {}, limited: func(Limit) {},
		headerMax: func() int { return srv.MaxHeaderBytes }, headerTime: func() time.Duration { return srv.ReadHeaderTimeout },
		reports: reports{f: func(Limit, net.Addr, int) {}},
	}
	if srv.MaxHeaderBytes <= 0 {
		srv.MaxHeaderBytes = http.DefaultMaxHeaderBytes
	}
	for _, o := range opts {
		o(s)
	}
	if s.budget == nil {
		s.budget = budget.New(0, 0)
	}
	if s.connsMax <= 0 || s.connsMax > s.budget.ConnsMax() {
		s.connsMax = s.budget.ConnsMax()
	}
	h := srv.Handler
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() || s.releasing.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
	srv.ConnState, srv.IdleTimeout = s.track, 0
	return s
}

// Serve accepts connections on ln until Shutdown or Close, and then returns nil.
func (s *Server) Serve(ln net.Listener) (err error) {
	defer func() { err = errors.WithMessagef(err, "serve %s", ln.Addr()) }()
	s.mu.Lock()
	s.ln, s.accepting = ln, true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.accepting = false
		s.closeIfDrained()
	}()
	if s.stopping.Load() {
		_ = ln.Close() // Shutdown may have closed it
		return nil
	}
	err = s.http.Serve(listener{Listener: ln, server: s})
	if errors.Is(err, http.ErrServerClosed) || s.stopping.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Shutdown accepts no more connections, ends those that rest, and waits until the others have got their answers or ctx
// ends.
func (s *Server) Shutdown(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "shut down") }()
	s.stopping.Store(true)
	s.mu.Lock()
	if s.ln != nil {
		_ = s.ln.Close() // it may be closed already
	}
	if s.drained == nil {
		s.drained = make(chan struct{})
		s.closeIfDrained()
	}
	for c := range s.conns {
		c.applyDeadline()
	}
	drained := s.drained
	s.mu.Unlock()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes all connections at once, also those with running requests.
func (s *Server) Close() error {
	s.stopping.Store(true)
	s.closing.Store(true)
	return s.http.Close()
}

// ApplyIdleTime applies an idle time that has become longer to the connections that rest.
func (s *Server) ApplyIdleTime() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.applyDeadline()
	}
}

// Release sets whether connections are kept for another request. Those that rest end when it is first set; they may be
// told so by no answer.
func (s *Server) Release(on bool) {
	if s.releasing.Swap(on) != on {
		s.ApplyIdleTime()
	}
}

// track follows the states of connections; see http.Server.ConnState.
func (s *Server) track(k net.Conn, state http.ConnState) {
	c, ok := k.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.rest()
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		delete(s.conns, c)
		s.closeIfDrained()
		s.mu.Unlock()
		c.release()
		if cause, rested, ok := c.endedAtRest(); ok {
			s.closed(c.RemoteAddr(), cause, rested)
		}
	}
}

// closeIfDrained closes the channel drained, if there is one, once no connection is open; s.mu is held.
func (s *Server) closeIfDrained() {
	if s.drained == nil || s.accepting || len(s.conns) > 0 {
		return
	}
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}

// listener makes the connections of a listener known to a server.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		k, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		limitBuffers(k)
		c := &conn{Conn: k, server: l.server, state: fresh, since: time.Now(), head: head{reading: true}}
		c.owner = budget.NewOwner(c.evict)
		if l.server.add(c) {
			return c, nil
		}
		c.report(Conns)
		_ = k.Close() // nothing was read from it
	}
}

// add makes a connection known to the server, for which it may end another one. It returns false if there are too many.
func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.connsMax {
		v, r := s.leastUseful(time.Now())
		if v == nil {
			return false
		}
		v.giveWay(r)
	}
	s.conns[c] = struct{}{}
	return true
}

// candidatesMax limits the connections that are compared when there are too many.
const candidatesMax = 64

// leastUseful returns the connection that is ended for a new one, and its rank: of those of the highest rank the one that
// has waited for the longest; nil if all of those that it compares have a request whose client reads. s.mu is held.
func (s *Server) leastUseful(now time.Time) (best *conn, bestRank rank) {
	var bestSince time.Time
	n := 0
	for c := range s.conns {
		if n++; n > candidatesMax {
			break
		}
		r, since := c.rank(now)
		if r > bestRank || r == bestRank && r > hasRequest && since.Before(bestSince) {
			best, bestRank, bestSince = c, r, since
		}
	}
	return best, bestRank
}
