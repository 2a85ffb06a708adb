package bench

import (
	"context"
	"sync"
	"time"

	"mimosarelay/core/store"
)

// tally is what a host asked of the store.
type tally struct {
	Reads, Writes, Renewals, Watches int
	WatchBytes, WriteBytes           int
}

// counting counts the calls of a store.
type counting struct {
	store.Store

	mu sync.Mutex
	tally
}

func newCounting(s store.Store) *counting { return &counting{Store: s} }

func (c *counting) note(f func(*tally)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.tally)
}

func (c *counting) counts() tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tally
}

// total returns the number of all calls.
func (c *counting) total() int {
	t := c.counts()
	return t.Reads + t.Writes + t.Renewals + t.Watches
}

func (c *counting) Get(ctx context.Context, key string) (store.Entry, error) {
	c.note(func(t *tally) { t.Reads++ })
	return c.Store.Get(ctx, key)
}

func (c *counting) List(ctx context.Context, prefix string) ([]store.Entry, store.Version, error) {
	c.note(func(t *tally) { t.Reads++ })
	return c.Store.List(ctx, prefix)
}

func (c *counting) Put(ctx context.Context, key string, value []byte, prev store.Version) (store.Version, error) {
	c.note(func(t *tally) { t.Writes++; t.WriteBytes += len(value) })
	return c.Store.Put(ctx, key, value, prev)
}

func (c *counting) Delete(ctx context.Context, key string, prev store.Version) error {
	c.note(func(t *tally) { t.Writes++ })
	return c.Store.Delete(ctx, key, prev)
}

func (c *counting) Watch(ctx context.Context, prefix string, since store.Version, wait time.Duration) ([]store.Entry, store.Version, error) {
	entries, v, err := c.Store.Watch(ctx, prefix, since, wait)
	c.note(func(t *tally) {
		t.Watches++
		for _, e := range entries {
			t.WatchBytes += len(e.Key) + len(e.Value)
		}
	})
	return entries, v, err
}

func (c *counting) Hold(ctx context.Context, key string, value []byte, ttl time.Duration) (store.LeaseID, error) {
	c.note(func(t *tally) { t.Writes++ })
	return c.Store.Hold(ctx, key, value, ttl)
}

func (c *counting) Renew(ctx context.Context, id store.LeaseID) error {
	c.note(func(t *tally) { t.Renewals++ })
	return c.Store.Renew(ctx, id)
}

func (c *counting) Release(ctx context.Context, id store.LeaseID) error {
	c.note(func(t *tally) { t.Writes++ })
	return c.Store.Release(ctx, id)
}
