// Package memory is an object API in memory, for tests and the stand-in.
package memory

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"sync"

	"hickoryvane.example/core/store"
)

// logMax bounds the changes kept for watches; an older version is answered with store.ErrGone.
const logMax = 1024

type key struct{ sort, name string }

// Event is one change as watches see it.
type Event struct {
	// Type is store.Added, store.Modified or store.Deleted.
	Type   string
	Object store.Object

	rev uint64
}

// Store implements store.Store. All methods are safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	rev     uint64
	objects map[key]store.Object
	// log holds the last changes in order; forgotten is the version of the last one that was dropped.
	log       []Event
	forgotten uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
	outage  bool
	lose    int
}

var _ store.Marker = (*Store)(nil)

// NewMemory returns an empty store.
func NewMemory() *Store {
	return &Store{objects: map[key]store.Object{}, changed: make(chan struct{})}
}

// Outage makes all calls fail with store.ErrUnavailable while on; watches end.
func (s *Store) Outage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	s.notify()
}

// Lose makes the next n writes take effect and return store.ErrUnsure.
func (s *Store) Lose(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = n
}

// Get implements store.Store.
func (s *Store) Get(_ context.Context, sort, name string) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return store.Object{}, store.ErrUnavailable
	}
	o, ok := s.objects[key{sort, name}]
	if !ok {
		return store.Object{}, store.ErrNotFound
	}
	return clone(o), nil
}

// List implements store.Store; objects are in the order of their names.
func (s *Store) List(_ context.Context, sort string) (all []store.Object, rev store.Rev, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return nil, "", store.ErrUnavailable
	}
	for k, o := range s.objects {
		if k.sort == sort {
			all = append(all, clone(o))
		}
	}
	slices.SortFunc(all, func(a, b store.Object) int { return cmp.Compare(a.Name, b.Name) })
	return all, format(s.rev), nil
}

// Create implements store.Store.
func (s *Store) Create(_ context.Context, o store.Object) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return store.Object{}, store.ErrUnavailable
	}
	if _, ok := s.objects[key{o.Sort, o.Name}]; ok {
		return store.Object{}, store.ErrExists
	}
	return s.put(store.Added, o)
}

// Update implements store.Store.
func (s *Store) Update(_ context.Context, o store.Object) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.check(o); err != nil {
		return store.Object{}, err
	}
	o.Status = s.objects[key{o.Sort, o.Name}].Status
	return s.put(store.Modified, o)
}

// Mark implements store.Marker.
func (s *Store) Mark(_ context.Context, o store.Object) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.check(o); err != nil {
		return store.Object{}, err
	}
	o.Value = s.objects[key{o.Sort, o.Name}].Value
	return s.put(store.Modified, o)
}

// Delete implements store.Store.
func (s *Store) Delete(_ context.Context, o store.Object) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.check(o); err != nil {
		return err
	}
	_, err := s.put(store.Deleted, s.objects[key{o.Sort, o.Name}])
	return err
}

// check reports whether o may be replaced.
func (s *Store) check(o store.Object) error {
	old, ok := s.objects[key{o.Sort, o.Name}]
	switch {
	case s.outage:
		return store.ErrUnavailable
	case !ok:
		return store.ErrNotFound
	case old.Rev != o.Rev:
		return store.ErrConflict
	}
	return nil
}

func (s *Store) put(kind string, o store.Object) (store.Object, error) {
	s.rev++
	o = clone(o)
	o.Rev = format(s.rev)
	if kind == store.Deleted {
		delete(s.objects, key{o.Sort, o.Name})
	} else {
		s.objects[key{o.Sort, o.Name}] = o
	}
	if len(s.log) == logMax {
		s.forgotten = s.log[0].rev
		s.log = s.log[1:]
	}
	s.log = append(s.log, Event{kind, o, s.rev})
	s.notify()
	if s.lose > 0 {
		s.lose--
		return store.Object{}, store.ErrUnsure
	}
	return clone(o), nil
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, sort string, rev store.Rev, f func(store.Change)) error {
	for {
		events, next, changed, err := s.Events(sort, rev)
		if err != nil {
			return err
		}
		for _, e := range events {
			f(store.Change{Object: e.Object, Deleted: e.Type == store.Deleted})
		}
		rev = next
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Events returns the changes of a kind after rev, the version to go on from, and a channel that is
// closed at the next change of any kind.
func (s *Store) Events(sort string, rev store.Rev) (out []Event, next store.Rev, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after, err := strconv.ParseUint(string(rev), 10, 64)
	switch {
	case s.outage:
		return nil, "", nil, store.ErrUnavailable
	case err != nil || after < s.forgotten || after > s.rev:
		return nil, "", nil, store.ErrGone
	}
	for _, e := range s.log {
		if e.rev > after && e.Object.Sort == sort {
			e.Object = clone(e.Object)
			out = append(out, e)
		}
	}
	return out, format(s.rev), s.changed, nil
}

// Forget drops the kept changes, so that watches from older versions get store.ErrGone.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log, s.forgotten = nil, s.rev
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func clone(o store.Object) store.Object {
	o.Value, o.Status = slices.Clone(o.Value), slices.Clone(o.Status)
	return o
}

func format(rev uint64) store.Rev { return store.Rev(strconv.FormatUint(rev, 10)) }
