package relay

import (
	"net/http"
	"sync"
	"time"

	"hickoryvane.example/core/store"
)

// freshTime is the time for which an encoded snapshot serves further requests. A router that starts from it learns what
// is newer from its own watch.
const freshTime = 500 * time.Millisecond

// Server serves snapshots.
type Server struct {
	// take returns a snapshot, with the registrations of targets if targets is true; ok is false if there is none yet.
	take func(targets bool) (s Snapshot, ok bool)

	mu sync.Mutex
	// last holds the last snapshots without and with registrations.
	last [2]copied
}

// copied is an encoded snapshot.
type copied struct {
	body   []byte
	at     time.Time
	config store.Rev
}

// NewServer returns a handler that serves what take returns.
func NewServer(take func(targets bool) (s Snapshot, ok bool)) *Server { return &Server{take: take} }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := s.body(time.Now(), req.URL.RawQuery != withoutTargets)
	if err != nil || body == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/gzip")
	_, _ = w.Write(body) // the other router may have disconnected
}

// body returns an encoded snapshot, nil if there is none. One request encodes it, the others wait.
func (s *Server) body(now time.Time, targets bool) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := 0
	if targets {
		i = 1
	}
	snap, ok := s.take(targets)
	if !ok {
		return nil, nil
	}
	c := &s.last[i]
	if c.config == snap.Config.Rev && now.Sub(c.at) < freshTime {
		return c.body, nil
	}
	body, err := encode(snap)
	if err != nil {
		return nil, err
	}
	*c = copied{body: body, at: time.Now(), config: snap.Config.Rev}
	return body, nil
}
