package entry_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mimosarelay/app/entry"
	"mimosarelay/core/model"
	"mimosarelay/io/boottime"
	"mimosarelay/platform"
	"mimosarelay/platform/standin"
)

// drainOrders stands for the operator, who drains keepers. It implements
// entry.Evacuations.
type drainOrders struct {
	requested, running, done atomic.Bool
}

// EvacuationRequested implements entry.Evacuations.
func (d *drainOrders) EvacuationRequested(context.Context, model.HostID) (bool, error) {
	return d.requested.Load(), nil
}

// ReportEvacuation implements entry.Evacuations.
func (d *drainOrders) ReportEvacuation(_ context.Context, _ model.HostID, done bool) error {
	d.running.Store(true)
	d.done.Store(done)
	return nil
}

// testKeeper is a keeper in this process.
type testKeeper struct {
	*entry.Host
	orders *drainOrders
	stop   func()
}

var keeperCount atomic.Int64

// startKeeper starts a keeper on a loopback address of its own.
func startKeeper(t *testing.T, s *standin.Store, zone model.Zone, standby bool) *testKeeper {
	t.Helper()
	client, err := platform.NewStoreClient(s.Address(), time.Second)
	assert.NilError(t, err)
	n, pid := keeperCount.Add(1), os.Getpid()
	address := fmt.Sprintf("127.%d.%d.%d:17950", 160+pid%64, pid/64%250, n)
	disk, err := entry.OpenDisk(t.TempDir())
	assert.NilError(t, err)
	k := &testKeeper{orders: &drainOrders{}}
	k.Host = entry.New(entry.Options{
		Host: model.HostID(fmt.Sprint("k", n)), Zone: zone, PeerAddress: address, Keeper: true, Standby: standby, TurnCopies: 2, Disk: disk,
		Keyspace: client.Keyspace, Source: client, Decode: platform.DecodeConfiguration, Dialect: platform.Dialect{},
		Evacuations: k.orders, Quotas: true, Budgets: true, Lifetime: 4600 * time.Millisecond, FinalRefusalAge: 1900 * time.Millisecond,
		Grace: 5 * time.Second, Clock: boottime.New(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- k.Run(ctx) }()
	k.stop = sync.OnceFunc(func() {
		cancel()
		assert.Check(t, <-ended)
		assert.Check(t, disk.Close())
		client.Close()
	})
	t.Cleanup(k.stop)
	return k
}

// awaitActing waits until all keepers have the right to act.
func awaitActing(t *testing.T, keepers ...*testKeeper) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for i, k := range keepers {
			if ready, reason := k.Ready(); !ready {
				return poll.Continue("keeper %d: %s", i, reason)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(12*time.Second), poll.WithDelay(20*time.Millisecond))
}

// Guards against a deployment that becomes unavailable when all its keepers are
// replaced: three machines are added, and the three old ones drained one after the
// other. Each drain is complete only when another keeper acts in its place.
func TestAllKeepersAreReplaced(t *testing.T) {
	s, err := standin.NewStore()
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	zones := []model.Zone{"x", "y", "z"}
	var old, added []*testKeeper
	for _, z := range zones {
		old = append(old, startKeeper(t, s, z, true))
	}
	awaitActing(t, old...)
	for _, z := range zones {
		added = append(added, startKeeper(t, s, z, true))
	}
	time.Sleep(time.Second)
	for i, k := range old {
		ready, _ := added[i].Ready()
		assert.Assert(t, !ready, "standby %d acts although no keeper is missing", i)
		k.orders.requested.Store(true)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if !k.orders.done.Load() {
				return poll.Continue("keeper %d is not drained", i)
			}
			return poll.Success()
		}, poll.WithTimeout(15*time.Second), poll.WithDelay(10*time.Millisecond))
		awaitActing(t, added[:i+1]...)
		k.stop()
	}
	awaitActing(t, added...)
}
