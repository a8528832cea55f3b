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
const historyMax = 1024

type key struct{ kind, name string }

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
	history    []Event
	droppedRev uint64
	// changed is closed and replaced at each change.
	changed       chan struct{}
	outage        bool
	repliesToLose int
}

var _ store.StatusStore = (*Store)(nil)

// NewMemory returns an empty store.
func New() *Store {
	return &Store{objects: map[key]store.Object{}, changed: make(chan struct{})}
}

// Outage makes all calls fail with store.ErrUnavailable while on; watches end.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	s.notify()
}

// Lose makes the next n writes take effect and return store.ErrUnsure.
func (s *Store) LoseReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repliesToLose = n
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
		if k.kind == sort {
			all = append(all, clone(o))
		}
	}
	slices.SortFunc(all, func(a, b store.Object) int { return cmp.Compare(a.Name, b.Name) })
	return all, formatRev(s.rev), nil
}

// Create implements store.Store.
func (s *Store) Create(_ context.Context, o store.Object) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return store.Object{}, store.ErrUnavailable
	}
	if _, ok := s.objects[key{o.Kind, o.Name}]; ok {
		return store.Object{}, store.ErrExists
	}
	return s.apply(store.EventAdded, o)
}

// Update implements store.Store.
func (s *Store) Update(_ context.Context, o store.Object) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkWrite(o); err != nil {
		return store.Object{}, err
	}
	o.Status = s.objects[key{o.Kind, o.Name}].Status
	return s.apply(store.EventModified, o)
}

// Mark implements store.Marker.
func (s *Store) UpdateStatus(_ context.Context, o store.Object) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkWrite(o); err != nil {
		return store.Object{}, err
	}
	o.Value = s.objects[key{o.Kind, o.Name}].Value
	return s.apply(store.EventModified, o)
}

// Delete implements store.Store.
func (s *Store) Delete(_ context.Context, o store.Object) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkWrite(o); err != nil {
		return err
	}
	_, err := s.apply(store.EventDeleted, s.objects[key{o.Kind, o.Name}])
	return err
}

// check reports whether o may be replaced.
func (s *Store) checkWrite(o store.Object) error {
	old, ok := s.objects[key{o.Kind, o.Name}]
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

func (s *Store) apply(kind string, o store.Object) (store.Object, error) {
	s.rev++
	o = clone(o)
	o.Rev = formatRev(s.rev)
	if kind == store.EventDeleted {
		delete(s.objects, key{o.Kind, o.Name})
	} else {
		s.objects[key{o.Kind, o.Name}] = o
	}
	if len(s.history) == historyMax {
		s.droppedRev = s.history[0].rev
		s.history = s.history[1:]
	}
	s.history = append(s.history, Event{kind, o, s.rev})
	s.notify()
	if s.repliesToLose > 0 {
		s.repliesToLose--
		return store.Object{}, store.ErrOutcomeUnknown
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
			f(store.Change{Object: e.Object, Deleted: e.Type == store.EventDeleted})
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
	case err != nil || after < s.droppedRev || after > s.rev:
		return nil, "", nil, store.ErrRevTooOld
	}
	for _, e := range s.history {
		if e.rev > after && e.Object.Kind == sort {
			e.Object = clone(e.Object)
			out = append(out, e)
		}
	}
	return out, formatRev(s.rev), s.changed, nil
}

// Forget drops the kept changes, so that watches from older versions get store.ErrGone.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.droppedRev = nil, s.rev
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

func formatRev(rev uint64) store.Rev { return store.Rev(strconv.FormatUint(rev, 10)) }
