package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// objectStore is a stand-in for the platform's store as PROTOCOL.md describes it.
type objectStore struct {
	addr string
	srv  *http.Server

	mu      sync.Mutex
	rev     int64
	items   map[string]map[string]*object
	history []change
	changed chan struct{}
}

type object struct {
	Meta struct {
		Name string `json:"name"`
		Rev  int64  `json:"revision"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status,omitempty"`
}

type change struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

const objectsPath = "/hickoryvane/objects/"

func newStore() (*objectStore, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &objectStore{addr: ln.Addr().String(), rev: 1, items: map[string]map[string]*object{}, changed: make(chan struct{})}
	s.srv = &http.Server{Handler: s}
	go func() { _ = s.srv.Serve(ln) }()
	return s, nil
}

// put writes an object as the operator or an engine does; a nil spec deletes it.
func (s *objectStore) put(kind, name string, spec any) {
	b, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, b, nil, spec == nil)
}

// write applies a change; s.mu is held.
func (s *objectStore) write(kind, name string, spec, status []byte, deleted bool) object {
	s.rev++
	var v object
	v.Meta.Name, v.Meta.Rev, v.Spec, v.Status = name, s.rev, spec, status
	if s.items[kind] == nil {
		s.items[kind] = map[string]*object{}
	}
	if deleted {
		delete(s.items[kind], name)
	} else {
		s.items[kind][name] = &v
	}
	s.history = append(s.history, change{kind: kind, Object: v, Deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
	return v
}

// ServeHTTP implements http.Handler.
func (s *objectStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond) // the time of an answer in SYSTEM.md
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	if r.Method == http.MethodGet {
		s.get(w, r, kind, name)
		return
	}
	var v object
	_ = json.NewDecoder(r.Body).Decode(&v) // the body of a DELETE is empty
	if name == "" {
		name = v.Meta.Name
	}
	if n, err := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64); err == nil {
		v.Meta.Rev = n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.items[kind][name]
	switch {
	case r.Method == http.MethodPost && old != nil, r.Method != http.MethodPost && old != nil && v.Meta.Rev != 0 && v.Meta.Rev != old.Meta.Rev:
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(old)
		return
	case r.Method != http.MethodPost && old == nil:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	spec, status := v.Spec, v.Status
	if isStatus {
		spec = old.Spec
	} else if old != nil {
		status = old.Status
	}
	_ = json.NewEncoder(w).Encode(s.write(kind, name, spec, status, r.Method == http.MethodDelete))
}

func (s *objectStore) get(w http.ResponseWriter, r *http.Request, kind, name string) {
	if from, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64); err == nil {
		s.watch(w, r, kind, from)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		v := s.items[kind][name]
		if v == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(v)
		return
	}
	list := []*object{}
	for _, v := range s.items[kind] {
		list = append(list, v)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": list, "has-more": false, "as-of": s.rev})
}

func (s *objectStore) watch(w http.ResponseWriter, r *http.Request, kind string, from int64) {
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		out := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.Object.Meta.Rev > from {
				out = append(out, c)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(out) > 0 || expired {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": out, "as-of": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}
