// Package host assembles one entry host: the services of the app packages, and
// the clients and servers that connect them to the store, targets, peers, callers
// and operators.
package host

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"

	"mimosarelay/app/account"
	"mimosarelay/app/contracts"
	"mimosarelay/app/fleet"
	"mimosarelay/app/limits"
	"mimosarelay/app/placement"
	"mimosarelay/app/programs"
	"mimosarelay/app/relay"
	"mimosarelay/app/release"
	"mimosarelay/app/settings"
	"mimosarelay/app/suspects"
	"mimosarelay/app/wait"
	"mimosarelay/core/memory"
	"mimosarelay/core/model"
	"mimosarelay/io/caller"
	"mimosarelay/io/consul"
	"mimosarelay/io/disk"
	"mimosarelay/io/edge"
	"mimosarelay/io/metrics"
	"mimosarelay/io/operator"
	"mimosarelay/io/peer"
	"mimosarelay/io/target"
)

// Options configures a Host.
type Options struct {
	Settings *settings.Settings
	Log      *slog.Logger
	Clock    clockwork.Clock // nil: the real clock
}

// Host is one running entry host.
type Host struct {
	settings    *settings.Settings
	log         *slog.Logger
	plainLog    *slog.Logger // without the host attribute, for services that add it themselves
	clock       clockwork.Clock
	incarnation model.Incarnation
	metrics     *metrics.Root
	memory      *memory.Account
	// refusedPeers counts connections of peers that were closed at once for memory.
	refusedPeers atomic.Int64

	controlStore *consul.Client // keys under controlPrefix, which are watched
	dataStore    *consul.Client // records of programs, under dataPrefix
	rootStore    *consul.Client // all keys under Platform.Prefix, and the host list
	peers        *peer.Client
	targets      *target.Client
	fleet        *fleet.Service
	contracts    *contracts.Service
	limits       *limits.Service
	programs     *programs.Service
	placement    *placement.Service
	suspects     *suspects.Service
	release      *release.Service
	dataFolder   *disk.Folder
	relay        *relay.Service
	calls        *relay.CallRegistry
	owners       *owners

	callerServer   *caller.Server
	operatorServer *operator.Server
	listeners      listeners

	draining       atomic.Bool
	fetchingConfig atomic.Bool // whether a configuration is being fetched from a peer
	drainOnce      sync.Once
	drainRequested chan struct{} // closed by Drain
	background     sync.WaitGroup
}

type listeners struct {
	caller, peer, operator net.Listener
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.caller, l.peer, l.operator} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// New opens the host's ports and assembles its services. Run starts them.
func New(o Options) (*Host, error) {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	h := &Host{
		settings:       o.Settings,
		log:            o.Log.With("host", o.Settings.Host.Name),
		plainLog:       o.Log,
		clock:          o.Clock,
		incarnation:    model.Incarnation(uuid.NewString()),
		drainRequested: make(chan struct{}),
		metrics:        metrics.New(),
	}
	h.memory = account.New(account.Options{
		Memory: o.Settings.Memory.Bytes(), Descriptors: openFiles(), MaxConnections: o.Settings.Memory.MaxConnections, Clock: h.clock,
	})
	if err := h.listen(); err != nil {
		h.listeners.close()
		return nil, err
	}
	if err := h.wire(); err != nil {
		h.listeners.close()
		return nil, err
	}
	return h, nil
}

func (h *Host) listen() error {
	for _, l := range []struct {
		section  string
		address  string
		listener *net.Listener
	}{
		{"Caller", h.settings.Caller.Address, &h.listeners.caller},
		{"Peer", h.settings.Peer.Address, &h.listeners.peer},
		{"Operator", h.settings.Operator.Address, &h.listeners.operator},
	} {
		listener, err := edge.Listen(l.address)
		if err != nil {
			return fmt.Errorf("settings %s.Address: %w", l.section, err)
		}
		*l.listener = listener
	}
	return nil
}

// openFiles returns the limit of open files of the process.
func openFiles() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, maxOpenFiles))
}

// maxOpenFiles is above the number of connections that a host can use.
const maxOpenFiles = 1 << 22

// Run serves until ctx ends, an operator requests a drain or a background task
// fails. It then shuts down gracefully: calls are cut only if the drain timeout
// passes.
func (h *Host) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	failures := make(chan error, maxBackgroundTasks)
	h.start(runCtx, failures)
	h.log.Info("host started", "caller", h.settings.Caller.Address, "peer", h.settings.Peer.Address, "operator", h.settings.Operator.Address, "incarnation", h.incarnation)
	h.background.Go(func() { h.registerInHostList(consul.Live) })
	var err error
	select {
	case <-ctx.Done():
	case <-h.drainRequested:
	case err = <-failures:
		h.log.Error("host failed", "error", err)
	}
	drainErr := h.drain()
	cancel()
	h.close()
	return errors.Join(err, drainErr)
}

// maxBackgroundTasks bounds the number of background tasks that can report a
// failure without blocking.
const maxBackgroundTasks = 16

func (h *Host) start(ctx context.Context, failures chan<- error) {
	run := func(name string, f func() error) {
		h.background.Go(func() {
			if err := f(); err != nil && ctx.Err() == nil {
				failures <- fmt.Errorf("%s: %w", name, err)
			}
		})
	}
	run("peer server", func() error { return peer.Serve(ctx, h.listeners.peer, peerHandler{host: h}) })
	run("operator server", func() error { return h.operatorServer.Serve(h.listeners.operator) })
	reporter := &account.Reporter{Account: h.memory, Scope: h.metrics.Scope.SubScope("memory"), Clock: h.clock, Log: h.log, RefusedPeers: h.refusedPeers.Load}
	run("memory metrics", func() error { return reporter.Run(ctx) })
	run("programs", func() error { return h.programs.Run(ctx) })
	run("placement", func() error { return h.placement.Run(ctx) })
	run("isolation", func() error { return h.watchIsolation(ctx) })
	run("release", func() error { return h.release.Run(ctx) })
	run("fleet", func() error { return h.fleet.Run(ctx) })
	run("contracts", func() error { return h.bootstrap(ctx) })
	run("caller server", func() error { return h.callerServer.Serve(h.listeners.caller) })
}

// bootstrapRetryInterval is the pause between two attempts to learn the
// configuration at startup.
const bootstrapRetryInterval = 500 * time.Millisecond

func (h *Host) bootstrap(ctx context.Context) error {
	for {
		err := h.contracts.Bootstrap(ctx)
		if err == nil || ctx.Err() != nil {
			return nil
		}
		h.log.Warn("failed to learn the configuration at startup", "error", err)
		if !wait.For(ctx, h.clock, bootstrapRetryInterval) {
			return nil
		}
	}
}

// Ready reports whether the host serves callers, and the reason if it does not.
func (h *Host) Ready() (bool, string) {
	if !h.contracts.Ready() {
		return false, "configuration is not known yet"
	}
	if ok, reason := h.fleet.Ready(); !ok {
		return false, reason
	}
	if !h.fleet.MayAct() {
		return false, "no right to act: neither lease nor quorum confirmation"
	}
	return true, ""
}

// acceptsCalls reports whether the host accepts calls, and the reason if it does
// not. A draining host accepts them while it has the right to act: callers may
// still use an older list of hosts.
func (h *Host) acceptsCalls() (bool, string) {
	if h.draining.Load() && h.fleet.MayAct() {
		return true, ""
	}
	return h.Ready()
}

// Drain requests a graceful shutdown and returns without waiting for it.
func (h *Host) Drain() {
	h.drainOnce.Do(func() { close(h.drainRequested) })
}

func (h *Host) close() {
	h.listeners.close()
	_ = h.operatorServer.Shutdown(context.Background())
	h.background.Wait()
	h.programs.Close()
	h.limits.Close()
	h.suspects.Close()
	_ = h.peers.Close()
	_ = h.targets.Close()
	for _, c := range []*consul.Client{h.controlStore, h.dataStore, h.rootStore} {
		c.Close()
	}
	if h.dataFolder != nil {
		if err := h.dataFolder.Close(); err != nil {
			h.log.Error("failed to close the data folder", "error", err)
		}
	}
	h.metrics.Close()
}
