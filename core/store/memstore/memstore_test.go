package memstore_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"mimosarelay/core/store"
	"mimosarelay/core/store/memstore"
)

// Guards against a lease that outlives its TTL or lapses although it was renewed,
// and against a watch that misses the deletion of the key of a lapsed lease.
func TestLapsedLeaseEndsWatchOfItsKey(t *testing.T) {
	ctx := context.Background()
	clock := clockwork.NewFakeClock()
	s := memstore.New(clock)
	a, b := s.NewClient("a"), s.NewClient("b")
	id, err := a.Hold(ctx, "Lease/a", []byte("x"), 3*time.Second)
	assert.NilError(t, err)
	_, err = b.Hold(ctx, "Lease/a", nil, 3*time.Second)
	assert.ErrorIs(t, err, store.ErrConflict)

	clock.Advance(2 * time.Second)
	assert.NilError(t, a.Renew(ctx, id))
	clock.Advance(2 * time.Second)
	e, err := b.Get(ctx, "Lease/a")
	assert.NilError(t, err)
	assert.Equal(t, e.Holder, id)

	_, since, err := b.List(ctx, "Lease/")
	assert.NilError(t, err)
	done := make(chan []store.Entry)
	go func() {
		entries, _, err := b.Watch(ctx, "Lease/", since, time.Minute)
		assert.Check(t, err)
		done <- entries
	}()
	assert.NilError(t, clock.BlockUntilContext(ctx, 2))
	clock.Advance(time.Second)
	assert.Equal(t, len(<-done), 0)
	assert.ErrorIs(t, a.Renew(ctx, id), store.ErrLeaseLapsed)
}

// Guards against faults with a wrong effect on a write: a write whose answer is
// lost must take effect, one that is refused or times out must not.
func TestFaultsDetermineErrorAndEffectOfPut(t *testing.T) {
	ctx := context.Background()
	cases := map[string]struct {
		fault func(*memstore.Store, *memstore.Client)
		want  error
		wrote bool
	}{
		"lost answer":           {func(_ *memstore.Store, c *memstore.Client) { c.LoseAnswers(1, false) }, store.ErrUnknown, true},
		"lost answer, resolved": {func(_ *memstore.Store, c *memstore.Client) { c.LoseAnswers(1, true) }, nil, true},
		"unavailable":           {func(_ *memstore.Store, c *memstore.Client) { c.SetUnavailable(true) }, store.ErrUnavailable, false},
		"store down":            {func(s *memstore.Store, _ *memstore.Client) { s.SetDown(true) }, store.ErrUnavailable, false},
		"partitioned":           {func(_ *memstore.Store, c *memstore.Client) { c.SetPartitioned(true) }, store.ErrUnknown, false},
		"delay below timeout":   {func(_ *memstore.Store, c *memstore.Client) { c.SetDelay(time.Second / 2) }, nil, true},
		"delay above timeout":   {func(_ *memstore.Store, c *memstore.Client) { c.SetDelay(time.Minute) }, store.ErrUnknown, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			s := memstore.New(clock)
			faulty, other := s.NewClient("faulty"), s.NewClient("other")
			c.fault(s, faulty)
			done := make(chan error)
			go func() {
				_, err := faulty.Put(ctx, "k", []byte("v"), 0)
				done <- err
			}()
			var err error
			for waiting := true; waiting; {
				select {
				case err = <-done:
					waiting = false
				case <-time.After(time.Millisecond):
					clock.Advance(100 * time.Millisecond)
				}
			}
			assert.ErrorIs(t, err, c.want)
			s.SetDown(false)
			_, err = other.Get(ctx, "k")
			assert.Equal(t, err == nil, c.wrote)
		})
	}
}

// Guards against writes that ignore the expected version.
func TestPutAndDeleteRejectOutdatedVersion(t *testing.T) {
	ctx := context.Background()
	c := memstore.New(clockwork.NewFakeClock()).NewClient("c")
	v, err := c.Put(ctx, "k", []byte("1"), 0)
	assert.NilError(t, err)
	_, err = c.Put(ctx, "k", []byte("2"), 0)
	assert.ErrorIs(t, err, store.ErrConflict)
	w, err := c.Put(ctx, "k", []byte("2"), v)
	assert.NilError(t, err)
	assert.ErrorIs(t, c.Delete(ctx, "k", v), store.ErrConflict)
	assert.NilError(t, c.Delete(ctx, "k", w))
	_, err = c.Get(ctx, "k")
	assert.ErrorIs(t, err, store.ErrNotFound)
}
