// Package host serves the handler of a stand-in on one address and simulates crashes of its process.
package host

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// shutdownTimeout bounds the wait for calls in progress at shutdown; it keeps demos and tests short.
	shutdownTimeout = 2 * time.Second
	// listenRetryInterval is the interval between attempts to listen again after a crash.
	listenRetryInterval = 20 * time.Millisecond
)

// ErrExit means that a simulated crash is to end the process.
var ErrExit = errors.New("process ended by a simulated crash")

// crash is a requested crash: the listener stays closed for downtime, or the process ends.
type crash struct {
	downtime time.Duration
	exit     bool
}

// Host owns the listener of one stand-in.
type Host struct {
	ln      net.Listener
	addr    string
	crashes chan crash
}

// Listen binds addr (IP number and port; port 0 picks a free one).
func Listen(addr string) (h *Host, err error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.WithMessage(err, "listen")
	}
	return &Host{ln: ln, addr: ln.Addr().String(), crashes: make(chan crash, 1)}, nil
}

// Addr returns the bound address.
func (h *Host) Addr() string { return h.addr }

// Crash closes all connections and refuses new ones for the given time; with exit, Serve returns ErrExit instead.
// It may be called from a handler and does not wait. It has no effect while another crash is in progress.
func (h *Host) Crash(down time.Duration, exit bool) {
	select {
	case h.crashes <- crash{down, exit}:
	default:
	}
}

// Serve answers calls with handler until ctx is done, and then returns nil. It returns ErrExit after a crash that
// ends the process.
func (h *Host) Serve(ctx context.Context, handler http.Handler) (err error) {
	defer func() { err = errors.WithMessagef(err, "serve %s", h.addr) }()
	for {
		c, err := h.serveOnce(ctx, handler)
		switch {
		case err != nil:
			return err
		case ctx.Err() != nil:
			return nil
		case c.exit:
			return ErrExit
		case !sleep(ctx, c.downtime):
			return nil
		}
		h.discardPendingCrash()
		if err = h.relisten(ctx); err != nil {
			return err
		}
	}
}

func (h *Host) serveOnce(ctx context.Context, handler http.Handler) (c crash, err error) {
	base, cancel := context.WithCancel(ctx)
	defer cancel()
	srv := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: 10 * time.Second,
		BaseContext:       func(net.Listener) context.Context { return base },
	}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(h.ln) }()
	select {
	case err = <-served:
		return c, err
	case c = <-h.crashes:
		_ = srv.Close()
	case <-ctx.Done():
		shutdownCtx, cancelShutdown := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancelShutdown()
		if srv.Shutdown(shutdownCtx) != nil {
			_ = srv.Close()
		}
	}
	<-served
	return c, nil
}

// discardPendingCrash drops a crash that was requested during the downtime, by a call accepted before it.
func (h *Host) discardPendingCrash() {
	select {
	case <-h.crashes:
	default:
	}
}

// relisten binds the same address again. It retries until ctx is done, since another socket may hold the address
// briefly.
func (h *Host) relisten(ctx context.Context) (err error) {
	for {
		if h.ln, err = net.Listen("tcp", h.addr); err == nil {
			return nil
		}
		if !sleep(ctx, listenRetryInterval) {
			return err
		}
	}
}

// sleep waits for d and reports whether it passed before ctx was done.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
