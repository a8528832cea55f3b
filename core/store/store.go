// Package store defines the platform's object API as the system uses it, and its HTTP adapter.
package store

import (
	"context"
	"strconv"

	"github.com/pkg/errors"
)

// Errors of a Store.
var (
	// ErrNotFound means that no object has the name.
	ErrNotFound = errors.New("object not found")
	// ErrExists means that a create found an object of that name.
	ErrExists = errors.New("object exists")
	// ErrConflict means that the object changed since it was read.
	ErrConflict = errors.New("object changed since it was read")
	// ErrUnavailable means that the API is down; the call had no effect.
	ErrUnavailable = errors.New("object API is not available")
	// ErrUnsure means that a write may or may not have taken effect; read back before writing again.
	ErrOutcomeUnknown = errors.New("outcome of the write is unknown")
	// ErrGone means that a watch is too far behind and must start anew with a list.
	ErrRevTooOld = errors.New("watch version is too old")
)

// Rev is an opaque version of an object.
type Rev string

// Before reports whether a is known to be older than b: versions are numbers that grow, and any others are not
// compared.
func Before(a, b Rev) bool {
	x, xerr := strconv.ParseUint(string(a), 10, 64)
	y, yerr := strconv.ParseUint(string(b), 10, 64)
	return xerr == nil && yerr == nil && x < y
}

// Object is a named value of a kind.
type Object struct {
	// Sort is the kind of the object, for example "config", "lease", "move" or "claim".
	Kind string
	Name string
	Rev  Rev
	// Value is at most 1 MB.
	Value []byte
	// Status is what the system reports on an object that others write; empty if there is none.
	Status []byte
}

// Change is one event of a watch.
type Change struct {
	Object  Object
	Deleted bool
}

// Store is the platform's object API.
type Store interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, sort, name string) (Object, error)
	// List returns all objects of a kind and the version from which to watch.
	List(ctx context.Context, sort string) ([]Object, Rev, error)
	// Create writes a new object, or returns ErrExists or ErrUnsure.
	Create(ctx context.Context, o Object) (Object, error)
	// Update replaces an object if it still has o.Rev, or returns ErrConflict, ErrNotFound or ErrUnsure.
	Update(ctx context.Context, o Object) (Object, error)
	// Delete removes an object if it still has o.Rev.
	Delete(ctx context.Context, o Object) error
	// Watch calls f for each change of a kind after rev until ctx ends or the connection is lost.
	Watch(ctx context.Context, sort string, rev Rev, f func(Change)) error
}

// Marker is a Store whose objects have a status.
type StatusStore interface {
	Store
	// Mark replaces the status of an object if it still has o.Rev. Errors are those of Update.
	UpdateStatus(ctx context.Context, o Object) (Object, error)
}
