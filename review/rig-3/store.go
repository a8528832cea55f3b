package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageMax is the number of objects in one page of a list.
const pageMax = 500

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision,omitempty"`
	Created    int64    `json:"created,omitempty"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type change struct {
	kind    string
	rev     int64
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it. It is sound: it is linearizable and
// keeps all its history.
type store struct {
	mu      sync.Mutex
	rev     int64
	objects map[string]map[string]object
	history []change
	// changed is closed, and replaced, by each change.
	changed chan struct{}
	server  *http.Server
	addr    string
}

func newStore() (*store, error) {
	s := &store{rev: 100, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = ln.Addr().String()
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes an object as the operator and the engines do.
func (s *store) put(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name, o.Spec = name, b
	s.apply(kind, o)
}

// remove removes an object, as the store does with the entry of an engine that is silent.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(kind, name)
}

// apply stores an object with the next revision; s.mu is held.
func (s *store) apply(kind string, o object) object {
	s.rev++
	o.Metadata.Revision = s.rev
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.rev
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.record(change{kind: kind, rev: s.rev, Object: o})
	return o
}

// drop removes an object; s.mu is held.
func (s *store) drop(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.rev++
	delete(s.objects[kind], name)
	o.Metadata.Revision, o.Metadata.Deleting = s.rev, true
	s.record(change{kind: kind, rev: s.rev, Object: o, Deleted: true})
}

func (s *store) record(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/hickoryvane/objects/")
	parts := strings.Split(path, "/")
	if !ok || len(parts) > 3 || len(parts) == 3 && parts[2] != "status" {
		reply(w, http.StatusNotFound, nil)
		return
	}
	time.Sleep(4 * time.Millisecond) // the usual time of an answer
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && q.Has("watch"):
		s.watch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, parts[0], q.Get("after"))
	case r.Method == http.MethodGet && len(parts) == 2:
		s.mu.Lock()
		o, ok := s.objects[parts[0]][parts[1]]
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, nil)
			return
		}
		reply(w, http.StatusOK, o)
	default:
		s.write(w, r, parts)
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	out := struct {
		Items []object `json:"items"`
		More  bool     `json:"has-more"`
		AsOf  int64    `json:"as-of"`
	}{Items: []object{}, AsOf: s.rev}
	for _, name := range slices.Sorted(maps.Keys(s.objects[kind])) {
		if name <= after {
			continue
		}
		if len(out.Items) == pageMax {
			out.More = true
			break
		}
		out.Items = append(out.Items, s.objects[kind][name])
	}
	s.mu.Unlock()
	reply(w, http.StatusOK, out)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	end := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer end.Stop()
	for {
		out := struct {
			Events []change `json:"events"`
			AsOf   int64    `json:"as-of"`
		}{Events: []change{}}
		s.mu.Lock()
		for _, c := range s.history {
			if c.kind == kind && c.rev > from {
				out.Events = append(out.Events, c)
			}
		}
		out.AsOf = s.rev
		changed := s.changed
		s.mu.Unlock()
		if len(out.Events) > 0 {
			reply(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			reply(w, http.StatusOK, out)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, parts []string) {
	var in object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			reply(w, http.StatusBadRequest, nil)
			return
		}
	} else {
		in.Metadata.Revision, _ = strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
	}
	kind, name := parts[0], in.Metadata.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && ok, ok && in.Metadata.Revision != 0 && in.Metadata.Revision != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodPost:
		reply(w, http.StatusOK, s.apply(kind, object{Metadata: metadata{Name: name, Finalizers: in.Metadata.Finalizers}, Spec: in.Spec}))
	case !ok:
		reply(w, http.StatusNotFound, nil)
	case r.Method == http.MethodDelete:
		s.drop(kind, name)
		reply(w, http.StatusOK, old)
	case len(parts) == 3:
		old.Status = in.Status
		reply(w, http.StatusOK, s.apply(kind, old))
	default:
		old.Spec, old.Metadata.Finalizers = in.Spec, in.Metadata.Finalizers
		reply(w, http.StatusOK, s.apply(kind, old))
	}
}

func reply(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	if v != nil {
		_ = json.NewEncoder(w).Encode(v) // the caller may have left
	}
}
