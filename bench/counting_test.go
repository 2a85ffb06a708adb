package bench

import (
	"context"
	"sync"
	"time"

	"mimosarelay/core/store"
)

// storeUsage counts the calls and bytes that a host exchanged with the store.
type storeUsage struct {
	Reads, Writes, Renewals, Watches int
	WatchBytes, WriteBytes           int
}

// countingStore counts the calls to a store.
type countingStore struct {
	store.Store

	mu sync.Mutex
	storeUsage
}

func newCountingStore(s store.Store) *countingStore { return &countingStore{Store: s} }

// update changes the counts under the lock.
func (c *countingStore) update(f func(*storeUsage)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.storeUsage)
}

func (c *countingStore) counts() storeUsage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeUsage
}

// total returns the number of calls of all kinds.
func (c *countingStore) total() int {
	u := c.counts()
	return u.Reads + u.Writes + u.Renewals + u.Watches
}

func (c *countingStore) Get(ctx context.Context, key string) (store.Entry, error) {
	c.update(func(u *storeUsage) { u.Reads++ })
	return c.Store.Get(ctx, key)
}

func (c *countingStore) List(ctx context.Context, prefix string) ([]store.Entry, store.Version, error) {
	c.update(func(u *storeUsage) { u.Reads++ })
	return c.Store.List(ctx, prefix)
}

func (c *countingStore) Put(ctx context.Context, key string, value []byte, prev store.Version) (store.Version, error) {
	c.update(func(u *storeUsage) { u.Writes++; u.WriteBytes += len(value) })
	return c.Store.Put(ctx, key, value, prev)
}

func (c *countingStore) Delete(ctx context.Context, key string, prev store.Version) error {
	c.update(func(u *storeUsage) { u.Writes++ })
	return c.Store.Delete(ctx, key, prev)
}

func (c *countingStore) Watch(ctx context.Context, prefix string, since store.Version, wait time.Duration) ([]store.Entry, store.Version, error) {
	entries, v, err := c.Store.Watch(ctx, prefix, since, wait)
	c.update(func(u *storeUsage) {
		u.Watches++
		for _, e := range entries {
			u.WatchBytes += len(e.Key) + len(e.Value)
		}
	})
	return entries, v, err
}

func (c *countingStore) Hold(ctx context.Context, key string, value []byte, ttl time.Duration) (store.LeaseID, error) {
	c.update(func(u *storeUsage) { u.Writes++ })
	return c.Store.Hold(ctx, key, value, ttl)
}

func (c *countingStore) Renew(ctx context.Context, id store.LeaseID) error {
	c.update(func(u *storeUsage) { u.Renewals++ })
	return c.Store.Renew(ctx, id)
}

func (c *countingStore) Release(ctx context.Context, id store.LeaseID) error {
	c.update(func(u *storeUsage) { u.Writes++ })
	return c.Store.Release(ctx, id)
}
