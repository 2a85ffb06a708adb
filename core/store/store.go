// Package store declares the port to the platform's key-value service.
package store

import (
	"context"
	"errors"
	"time"
)

// Version is the modification index of a key. 0 stands for a missing key.
type Version uint64

// LeaseID names a lease held in the store.
type LeaseID string

// Entry is one key with its value. Holder is the lease that holds the key, or
// empty.
type Entry struct {
	Key     string
	Value   []byte
	Version Version
	Holder  LeaseID
}

// MaxValue is the largest value the store accepts, in bytes.
const MaxValue = 1 << 20

// Sentinel errors of the port.
var (
	// ErrNotFound reports a missing key.
	ErrNotFound = errors.New("store: key not found")
	// ErrConflict reports a write that certainly did not take effect because
	// the key has another version.
	ErrConflict = errors.New("store: version conflict")
	// ErrUnavailable reports that the store did not answer; nothing was
	// changed by a read, and a write was not sent.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown reports a write that may have taken effect.
	ErrUnknown = errors.New("store: outcome of write unknown")
	// ErrLeaseLapsed reports a lease that the store no longer knows.
	ErrLeaseLapsed = errors.New("store: lease lapsed")
)

// Store is the platform's key-value service. All methods are safe for
// concurrent use and return when ctx ends.
type Store interface {
	// Get returns one key. It fails with ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all keys with the prefix, sorted by key, and the version
	// to watch from.
	List(ctx context.Context, prefix string) ([]Entry, Version, error)
	// Put writes a value if the key still has version prev (0: the key must
	// not exist). It fails with ErrConflict, ErrUnavailable or ErrUnknown. A
	// lost answer is resolved inside by reading the key back; ErrUnknown is
	// left only where that read fails too.
	Put(ctx context.Context, key string, value []byte, prev Version) (Version, error)
	// Delete removes a key if it still has version prev.
	Delete(ctx context.Context, key string, prev Version) error
	// Watch waits until a key with the prefix changes after since, or wait
	// has passed, and returns the current entries.
	Watch(ctx context.Context, prefix string, since Version, wait time.Duration) ([]Entry, Version, error)
	// Hold creates a lease and binds key to it. It fails with ErrConflict if
	// another live lease holds the key.
	Hold(ctx context.Context, key string, value []byte, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease by its TTL. It fails with ErrLeaseLapsed.
	Renew(ctx context.Context, id LeaseID) error
	// Release ends a lease at once.
	Release(ctx context.Context, id LeaseID) error
}
