// Package admin serves the admin address of a process, for peers, operators, probes and metrics.
package admin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/accept"
	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/wire"
)

const (
	headerTimeout = 5 * time.Second
	// headerBytesMax bounds the header of a request.
	headerBytesMax = 16 << 10
	// connsMax bounds the connections of peers, probes and operators that do not belong to a handler yet.
	connsMax = 256
	// closeTimeout bounds the wait for open requests when a server stops.
	closeTimeout = time.Second
)

// Source is the process behind the admin address.
type Source interface {
	// Status returns the status for operators; ok is false while the process cannot answer.
	Status(ctx context.Context) (s conf.Status, ok bool)
	// Accept serves one connection of a peer until it closes.
	Accept(w http.ResponseWriter, r *http.Request)
}

// Handler returns the handler of the admin address.
func Handler(s Source, metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.Path, s.Accept)
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, r *http.Request) {
		_, ok := s.Status(r.Context())
		writeHealth(w, ok)
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, r *http.Request) {
		st, ok := s.Status(r.Context())
		writeHealth(w, ok && st.Ready)
	})
	mux.HandleFunc("GET "+conf.StatusPath, func(w http.ResponseWriter, r *http.Request) {
		st, ok := s.Status(r.Context())
		if !ok {
			writeHealth(w, false)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(st) // the client may have disconnected
	})
	return mux
}

func writeHealth(w http.ResponseWriter, ok bool) {
	if !ok {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n")) // the client may have disconnected
}

// Listen opens a listening socket at addr (IP number and port).
func Listen(addr string) (ln net.Listener, err error) {
	ln, err = net.Listen("tcp", addr)
	return ln, errors.WithMessagef(err, "listen on %s", addr)
}

// Serve serves h on ln until ctx ends.
func Serve(ctx context.Context, ln net.Listener, h http.Handler, opts ...accept.Option) (err error) {
	defer func() { err = errors.WithMessagef(err, "serve %s", ln.Addr()) }()
	srv := accept.New(&http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: headerBytesMax}, append([]accept.Option{accept.WithConnsMax(connsMax)}, opts...)...)
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ln) }()
	select {
	case err = <-done:
		return err
	case <-ctx.Done():
	}
	sctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	if srv.Shutdown(sctx) != nil {
		_ = srv.Close()
	}
	return <-done
}
