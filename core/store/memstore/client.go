package memstore

import (
	"context"
	"fmt"
	"sync"
	"time"

	"mimosarelay/core/store"
)

// CallTimeout is how long a call of a cut client waits for its answer.
const CallTimeout = time.Second

// Client is one host's access to a Store. It implements store.Store.
type Client struct {
	store *Store
	name  string

	mu            sync.Mutex
	unavailable   bool
	cut           bool
	delay         time.Duration
	lost          int
	resolve       bool
	faultsChanged chan struct{} // closed and replaced when a switch changes
}

var _ store.Store = (*Client)(nil)

// SetUnavailable makes every call fail at once with ErrUnavailable.
func (c *Client) SetUnavailable(on bool) {
	c.change(func() { c.unavailable = on })
}

// SetCut drops every message between this client and the store: calls wait for
// CallTimeout, then reads fail with ErrUnavailable and writes with ErrUnknown.
// Writes sent while the client is cut do not take effect.
func (c *Client) SetCut(on bool) {
	c.change(func() { c.cut = on })
}

// SetDelay makes the store answer each call only after d; 0 ends the delay. A
// delayed write takes effect at the end of the delay. Calls give up after
// CallTimeout like those of a cut client, and then the write does not happen.
func (c *Client) SetDelay(d time.Duration) {
	c.change(func() { c.delay = d })
}

// LoseAnswers drops the answers of the next n calls of Put, Delete, Hold and
// Release. The writes take effect. With resolve the client finds that out by
// reading back and reports success; otherwise it returns ErrUnknown.
func (c *Client) LoseAnswers(n int, resolve bool) {
	c.change(func() { c.lost, c.resolve = n, resolve })
}

func (c *Client) change(set func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	set()
	close(c.faultsChanged)
	c.faultsChanged = make(chan struct{})
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := c.reach(ctx, store.ErrUnavailable); err != nil {
		return store.Entry{}, err
	}
	return c.store.get(key)
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Entry, store.Version, error) {
	if err := c.reach(ctx, store.ErrUnavailable); err != nil {
		return nil, 0, err
	}
	entries, version, _ := c.store.list(prefix)
	return entries, version, nil
}

// Put implements store.Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, prev store.Version) (store.Version, error) {
	if len(value) > store.MaxValue {
		return 0, fmt.Errorf("put %q: %d bytes exceed the limit of %d", key, len(value), store.MaxValue)
	}
	if err := c.reach(ctx, store.ErrUnknown); err != nil {
		return 0, err
	}
	version, err := c.store.put(key, value, prev)
	if err := c.answer(err); err != nil {
		return 0, err
	}
	return version, nil
}

// Delete implements store.Store. A missing key counts as deleted.
func (c *Client) Delete(ctx context.Context, key string, prev store.Version) error {
	if err := c.reach(ctx, store.ErrUnknown); err != nil {
		return err
	}
	return c.answer(c.store.delete(key, prev))
}

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, prefix string, since store.Version, wait time.Duration) ([]store.Entry, store.Version, error) {
	timer := c.store.clock.NewTimer(wait)
	defer timer.Stop()
	for {
		if err := c.reach(ctx, store.ErrUnavailable); err != nil {
			return nil, 0, err
		}
		faults := c.faults()
		entries, version, changed := c.store.list(prefix)
		if version > since {
			return entries, version, nil
		}
		select {
		case <-changed:
		case <-faults:
		case <-timer.Chan():
			return entries, version, nil
		case <-ctx.Done():
			return nil, 0, fmt.Errorf("watch %q: %w: %w", prefix, store.ErrUnavailable, ctx.Err())
		}
	}
}

// Hold implements store.Store. The key is deleted when the lease ends.
func (c *Client) Hold(ctx context.Context, key string, value []byte, ttl time.Duration) (store.LeaseID, error) {
	if err := c.reach(ctx, store.ErrUnknown); err != nil {
		return "", err
	}
	id, err := c.store.hold(key, value, ttl)
	if err := c.answer(err); err != nil {
		return "", err
	}
	return id, nil
}

// Renew implements store.Store.
func (c *Client) Renew(ctx context.Context, id store.LeaseID) error {
	if err := c.reach(ctx, store.ErrUnavailable); err != nil {
		return err
	}
	return c.store.renew(id)
}

// Release implements store.Store. A lapsed lease counts as released.
func (c *Client) Release(ctx context.Context, id store.LeaseID) error {
	if err := c.reach(ctx, store.ErrUnknown); err != nil {
		return err
	}
	c.store.release(id)
	return c.answer(nil)
}

func (c *Client) faults() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faultsChanged
}

// reach waits until the request has arrived at the store, or fails as the
// client's faults demand. silence is the error of a call without an answer.
func (c *Client) reach(ctx context.Context, silence error) error {
	c.mu.Lock()
	unavailable, cut, delay := c.unavailable, c.cut, c.delay
	c.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("client %s: %w: %w", c.name, store.ErrUnavailable, err)
	}
	if unavailable || c.store.isDown() {
		return fmt.Errorf("client %s: connection refused: %w", c.name, store.ErrUnavailable)
	}
	if !cut && delay == 0 {
		return nil
	}
	silent := cut || delay >= CallTimeout
	wait := delay
	if silent {
		wait = CallTimeout
	}
	timer := c.store.clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
		return fmt.Errorf("client %s: no answer: %w: %w", c.name, silence, ctx.Err())
	}
	if silent {
		return fmt.Errorf("client %s: no answer within %v: %w", c.name, wait, silence)
	}
	return nil
}

// answer drops the answer of a write that took effect if LoseAnswers demands.
func (c *Client) answer(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost == 0 {
		return err
	}
	c.lost--
	if c.resolve {
		return err
	}
	return fmt.Errorf("client %s: answer lost: %w", c.name, store.ErrUnknown)
}
