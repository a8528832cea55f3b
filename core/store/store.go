// Package store defines the object API of the platform as the system uses it, and an HTTP client for it. Through it
// routers, agents and the operator's tool read and write the configuration, leases, rollouts and claims.
package store

import (
	"context"

	"github.com/pkg/errors"
)

// Errors of a Store.
var (
	// ErrNotFound means that no object has the name.
	ErrNotFound = errors.New("object not found")
	// ErrExists means that an object to be created exists already.
	ErrExists = errors.New("object exists")
	// ErrConflict means that the object changed since it was read.
	ErrConflict = errors.New("object changed since it was read")
	// ErrUnavailable means that the API is down; the call had no effect.
	ErrUnavailable = errors.New("object API is not available")
	// ErrOutcomeUnknown means that a write may or may not have taken effect; read back before writing again.
	ErrOutcomeUnknown = errors.New("outcome of the write is unknown")
	// ErrRevTooOld means that the version to watch from is too old; list again and watch from the version of
	// the list.
	ErrRevTooOld = errors.New("version to watch from is too old")
	// ErrUnreadable means that an object changed of which not even the name can be read; list again.
	ErrUnreadable = errors.New("changed object cannot be read")
)

// Object is a named value of a kind.
type Object struct {
	// Kind is the kind of the object, for example "config", "lease", "move" or "claim".
	Kind string `json:"Sort"`
	Name string
	Rev  Rev
	// Value is at most 1 MB.
	Value []byte
	// Status is what the system reports about an object that others write; empty if there is none.
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
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns all objects of a kind and the version from which to watch.
	List(ctx context.Context, kind string) ([]Object, Rev, error)
	// Create writes a new object, or returns ErrExists or ErrOutcomeUnknown.
	Create(ctx context.Context, o Object) (Object, error)
	// Update replaces an object if it still has o.Rev; otherwise it returns ErrConflict, ErrNotFound or
	// ErrOutcomeUnknown.
	Update(ctx context.Context, o Object) (Object, error)
	// Delete removes an object if it still has o.Rev.
	Delete(ctx context.Context, o Object) error
	// Watch calls f for each change of a kind after rev until ctx ends or the connection is lost.
	Watch(ctx context.Context, kind string, rev Rev, f func(Change)) error
}

// StatusStore is a Store whose objects have a status.
type StatusStore interface {
	Store
	// UpdateStatus replaces the status of an object if it still has o.Rev. Errors are those of Update.
	UpdateStatus(ctx context.Context, o Object) (Object, error)
}
