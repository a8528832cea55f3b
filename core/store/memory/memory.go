// Package memory implements the object API in memory, for tests and the stand-in of the platform.
package memory

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"

	"hickoryvane.example/core/store"
)

// historyMax limits the changes retained for watches; a watch from an older version gets store.ErrRevTooOld.
const historyMax = 1024

type key struct{ kind, name string }

// Event is one change as a watch reports it.
type Event struct {
	// Type is store.EventAdded, store.EventModified or store.EventDeleted.
	Type   string
	Object store.Object

	rev uint64
}

// Store implements store.Store. All methods are safe for concurrent use.
type Store struct {
	mu sync.Mutex
	// restores counts the restores; it is the history of versions.
	restores, rev uint64
	objects       map[key]store.Object
	// history holds the last changes in order; droppedRev is the version of the last change that was dropped.
	history    []Event
	droppedRev uint64
	// changed is closed and replaced at each change.
	changed       chan struct{}
	outage        bool
	repliesToLose int
}

var _ store.StatusStore = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{objects: map[key]store.Object{}, changed: make(chan struct{})}
}

// SetOutage makes all calls fail with store.ErrUnavailable while on is true; watches end.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	s.notify()
}

// LoseReplies makes the next n writes take effect and return store.ErrOutcomeUnknown.
func (s *Store) LoseReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repliesToLose = n
}

// Get implements store.Store.
func (s *Store) Get(_ context.Context, kind, name string) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return store.Object{}, store.ErrUnavailable
	}
	o, ok := s.objects[key{kind, name}]
	if !ok {
		return store.Object{}, store.ErrNotFound
	}
	return clone(o), nil
}

// List implements store.Store; objects are ordered by name.
func (s *Store) List(_ context.Context, kind string) (all []store.Object, rev store.Rev, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return nil, "", store.ErrUnavailable
	}
	for k, o := range s.objects {
		if k.kind == kind {
			all = append(all, clone(o))
		}
	}
	slices.SortFunc(all, func(a, b store.Object) int { return cmp.Compare(a.Name, b.Name) })
	return all, store.RevOf(s.restores, s.rev), nil
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

// UpdateStatus implements store.StatusStore.
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

// checkWrite returns the error for a write that may not replace the stored object with o.
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

func (s *Store) apply(eventType string, o store.Object) (store.Object, error) {
	s.rev++
	o = clone(o)
	o.Rev = store.RevOf(s.restores, s.rev)
	if eventType == store.EventDeleted {
		delete(s.objects, key{o.Kind, o.Name})
	} else {
		s.objects[key{o.Kind, o.Name}] = o
	}
	if len(s.history) == historyMax {
		s.droppedRev = s.history[0].rev
		s.history = s.history[1:]
	}
	s.history = append(s.history, Event{eventType, o, s.rev})
	s.notify()
	if s.repliesToLose > 0 {
		s.repliesToLose--
		return store.Object{}, store.ErrOutcomeUnknown
	}
	return clone(o), nil
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, kind string, rev store.Rev, f func(store.Change)) error {
	for {
		events, next, changed, err := s.Events(kind, rev)
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

// Events returns the changes of a kind after rev, the version from which to continue, and a channel that is
// closed at the next change of any kind.
func (s *Store) Events(kind string, rev store.Rev) (out []Event, next store.Rev, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	history, after, ok := rev.Split()
	switch {
	case s.outage:
		return nil, "", nil, store.ErrUnavailable
	case !ok || history != s.restores || after < s.droppedRev || after > s.rev:
		return nil, "", nil, store.ErrRevTooOld
	}
	for _, e := range s.history {
		if e.rev > after && e.Object.Kind == kind {
			e.Object = clone(e.Object)
			out = append(out, e)
		}
	}
	return out, store.RevOf(s.restores, s.rev), s.changed, nil
}

// DropHistory drops the retained changes, so that watches from older versions get store.ErrRevTooOld.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.droppedRev = nil, s.rev
	s.notify()
}

// Copy is the state of a Store at one time.
type Copy struct {
	rev     uint64
	objects map[key]store.Object
}

// Copy returns a copy to Restore from.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.rev, maps.Clone(s.objects)}
}

// Restore replaces the state by that of a copy. Later changes are lost, numbers of versions are given out again in a
// new history, and watches get store.ErrRevTooOld.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restores++
	s.rev, s.objects = c.rev, make(map[key]store.Object, len(c.objects))
	for k, o := range c.objects {
		_, number, _ := o.Rev.Split()
		o.Rev = store.RevOf(s.restores, number)
		s.objects[k] = o
	}
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
