package memstore

import (
	"context"
	"fmt"
	"sync"
	"time"

	"mimosarelay/core/store"
)

// CallTimeout is how long a call waits for its answer while the client is cut off
// from the store.
const CallTimeout = time.Second

// Client is the connection of one host to a Store. It implements store.Store.
type Client struct {
	store *Store
	name  string

	mu            sync.Mutex
	unavailable   bool
	partitioned   bool
	delay         time.Duration
	answersToLose int
	resolveLost   bool
	faultsChanged chan struct{} // closed and replaced when a fault is set or cleared
}

var _ store.Store = (*Client)(nil)

// SetUnavailable sets whether every call fails immediately with ErrUnavailable.
func (c *Client) SetUnavailable(on bool) {
	c.setFault(func() { c.unavailable = on })
}

// SetPartitioned sets whether this client is cut off from the store by a network
// partition, in which every message is dropped: calls wait for CallTimeout, then
// reads fail with ErrUnavailable and writes with ErrUnknown. Writes sent during
// the partition do not take effect.
func (c *Client) SetPartitioned(on bool) {
	c.setFault(func() { c.partitioned = on })
}

// SetDelay delays each call by d; 0 ends the delay. A delayed write takes effect
// at the end of the delay. With a delay of CallTimeout or more, calls fail as
// described at SetPartitioned and writes do not take effect.
func (c *Client) SetDelay(d time.Duration) {
	c.setFault(func() { c.delay = d })
}

// LoseAnswers drops the answers of the next n calls of Put, Delete, Hold and
// Release. The writes take effect. If resolve is set, the calls return their
// result as if the client had read the key back; otherwise they return
// ErrUnknown.
func (c *Client) LoseAnswers(n int, resolve bool) {
	c.setFault(func() { c.answersToLose, c.resolveLost = n, resolve })
}

// setFault changes the faults and makes the calls of Watch check them.
func (c *Client) setFault(set func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	set()
	close(c.faultsChanged)
	c.faultsChanged = make(chan struct{})
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := c.sendRequest(ctx, store.ErrUnavailable); err != nil {
		return store.Entry{}, err
	}
	return c.store.get(key)
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Entry, store.Version, error) {
	if err := c.sendRequest(ctx, store.ErrUnavailable); err != nil {
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
	if err := c.sendRequest(ctx, store.ErrUnknown); err != nil {
		return 0, err
	}
	version, err := c.store.put(key, value, prev)
	if err := c.receiveAnswer(err); err != nil {
		return 0, err
	}
	return version, nil
}

// Delete implements store.Store. It succeeds if the key does not exist.
func (c *Client) Delete(ctx context.Context, key string, prev store.Version) error {
	if err := c.sendRequest(ctx, store.ErrUnknown); err != nil {
		return err
	}
	return c.receiveAnswer(c.store.deleteKey(key, prev))
}

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, prefix string, since store.Version, wait time.Duration) ([]store.Entry, store.Version, error) {
	timer := c.store.clock.NewTimer(wait)
	defer timer.Stop()
	for {
		if err := c.sendRequest(ctx, store.ErrUnavailable); err != nil {
			return nil, 0, err
		}
		faultsChanged := c.watchFaults()
		entries, version, changed := c.store.list(prefix)
		if version > since {
			return entries, version, nil
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-timer.Chan():
			return entries, version, nil
		case <-ctx.Done():
			return nil, 0, fmt.Errorf("watch %q: %w: %w", prefix, store.ErrUnavailable, ctx.Err())
		}
	}
}

// Hold implements store.Store. The key is deleted when the lease ends.
func (c *Client) Hold(ctx context.Context, key string, value []byte, ttl time.Duration) (store.LeaseID, error) {
	if err := c.sendRequest(ctx, store.ErrUnknown); err != nil {
		return "", err
	}
	id, err := c.store.hold(key, value, ttl)
	if err := c.receiveAnswer(err); err != nil {
		return "", err
	}
	return id, nil
}

// Renew implements store.Store.
func (c *Client) Renew(ctx context.Context, id store.LeaseID) error {
	if err := c.sendRequest(ctx, store.ErrUnavailable); err != nil {
		return err
	}
	return c.store.renew(id)
}

// Release implements store.Store. It succeeds if the lease has lapsed.
func (c *Client) Release(ctx context.Context, id store.LeaseID) error {
	if err := c.sendRequest(ctx, store.ErrUnknown); err != nil {
		return err
	}
	c.store.release(id)
	return c.receiveAnswer(nil)
}

// watchFaults returns a channel that is closed at the next change of the faults.
func (c *Client) watchFaults() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faultsChanged
}

// sendRequest waits until the request arrives at the store, or fails according to
// the faults that are set. noAnswer is the error of a call that gets no answer.
func (c *Client) sendRequest(ctx context.Context, noAnswer error) error {
	c.mu.Lock()
	unavailable, partitioned, delay := c.unavailable, c.partitioned, c.delay
	c.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("client %s: %w: %w", c.name, store.ErrUnavailable, err)
	}
	if unavailable || c.store.isDown() {
		return fmt.Errorf("client %s: store refused the connection: %w", c.name, store.ErrUnavailable)
	}
	if !partitioned && delay == 0 {
		return nil
	}
	timesOut := partitioned || delay >= CallTimeout
	wait := delay
	if timesOut {
		wait = CallTimeout
	}
	timer := c.store.clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
		return fmt.Errorf("client %s: store did not answer: %w: %w", c.name, noAnswer, ctx.Err())
	}
	if timesOut {
		return fmt.Errorf("client %s: store did not answer within %v: %w", c.name, wait, noAnswer)
	}
	return nil
}

// receiveAnswer returns err, the result of a write, or ErrUnknown if LoseAnswers
// drops the answer.
func (c *Client) receiveAnswer(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answersToLose == 0 {
		return err
	}
	c.answersToLose--
	if c.resolveLost {
		return err
	}
	return fmt.Errorf("client %s: answer of the store to a write was lost: %w", c.name, store.ErrUnknown)
}
