// Package store declares the interface to the platform's key-value store, which
// provides versioned writes, watches and leases.
package store

import (
	"context"
	"errors"
	"time"
)

// Version is the store's modification index at the last change of a key. 0
// stands for a key that does not exist.
type Version uint64

// LeaseID identifies a lease in the store.
type LeaseID string

// Entry is a key with its value.
type Entry struct {
	Key     string
	Value   []byte
	Version Version
	// Holder is the lease that the key is bound to, or empty.
	Holder LeaseID
}

// MaxValue is the size of the largest value that the store accepts, in bytes.
const MaxValue = 1 << 20

// Errors that implementations of Store return, wrapped.
var (
	// ErrNotFound reports that a key does not exist.
	ErrNotFound = errors.New("store: key not found")
	// ErrConflict reports that a write did not take effect, because the key
	// has another version or is held by another lease.
	ErrConflict = errors.New("store: version conflict")
	// ErrUnavailable reports that a read or the renewal of a lease got no usable
	// answer, or that a write was not sent, or was refused by the store, for
	// example as busy, and not executed. No key was changed.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown reports that it is unknown whether a write took effect. The store
	// may execute it later if its precondition still holds. The error may match
	// ErrUnavailable too, if a further request of the same call failed.
	ErrUnknown = errors.New("store: outcome of write unknown")
	// ErrLeaseLapsed reports that the store no longer knows a lease, because it
	// lapsed or was released.
	ErrLeaseLapsed = errors.New("store: lease lapsed")
)

// Store is the platform's key-value store. All methods are safe for concurrent
// use and return when ctx ends.
type Store interface {
	// Get returns the entry of a key. It fails with ErrNotFound or
	// ErrUnavailable.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose key has the prefix, sorted by key, and the
	// version to pass to Watch.
	List(ctx context.Context, prefix string) ([]Entry, Version, error)
	// Put writes a value if the key still has version prev (0: the key must
	// not exist), and returns the new version, or a lower one above prev if the
	// new version cannot be read. It fails with ErrConflict, ErrUnavailable or
	// ErrUnknown. If the answer is lost, Put may read the key back to find out
	// whether the write took effect, and returns ErrUnknown if that is still
	// unknown.
	Put(ctx context.Context, key string, value []byte, prev Version) (Version, error)
	// Delete deletes a key if it still has version prev.
	Delete(ctx context.Context, key string, prev Version) error
	// Watch waits until a key with the prefix changes after version since, or
	// until wait has passed. It returns the same as List.
	Watch(ctx context.Context, prefix string, since Version, wait time.Duration) ([]Entry, Version, error)
	// Hold creates a lease with the TTL and writes a key that is bound to it. It
	// fails with ErrConflict if another live lease holds the key.
	Hold(ctx context.Context, key string, value []byte, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease by its TTL, starting now. It fails with
	// ErrLeaseLapsed.
	Renew(ctx context.Context, id LeaseID) error
	// Release ends a lease at once.
	Release(ctx context.Context, id LeaseID) error
}
