// Package host wires one entry host: adapters to the store, targets, peers,
// callers and operators around the services of package app.
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
	"mimosarelay/core/model"
	"mimosarelay/io/caller"
	"mimosarelay/io/consul"
	"mimosarelay/io/disk"
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
	plainLog    *slog.Logger // for services that name the host themselves
	clock       clockwork.Clock
	incarnation model.Incarnation
	metrics     *metrics.Root

	control   *consul.Client // watched keys
	data      *consul.Client // records of programs
	documents *consul.Client // the configuration with its history
	peers     *peer.Client
	targets   *target.Client
	fleet     *fleet.Service
	contracts *contracts.Service
	limits    *limits.Service
	programs  *programs.Service
	placement *placement.Service
	suspects  *suspects.Service
	release   *release.Service
	folder    *disk.Folder
	relay     *relay.Service
	streams   *relay.CallRegistry
	owners    *owners

	callerServer   *caller.Server
	operatorServer *operator.Server
	listeners      listeners

	draining  atomic.Bool
	fetching  atomic.Bool // a configuration is being fetched from a peer
	drainOnce sync.Once
	drainAsk  chan struct{}
	work      sync.WaitGroup
}

type listeners struct {
	caller, peer, operator net.Listener
}

func (l listeners) close() {
	for _, n := range []net.Listener{l.caller, l.peer, l.operator} {
		if n != nil {
			_ = n.Close()
		}
	}
}

// New opens the host's ports and wires it. Nothing runs before Run.
func New(o Options) (*Host, error) {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	h := &Host{
		settings:    o.Settings,
		log:         o.Log.With("host", o.Settings.Host.Name),
		plainLog:    o.Log,
		clock:       o.Clock,
		incarnation: model.Incarnation(uuid.NewString()),
		drainAsk:    make(chan struct{}),
		metrics:     metrics.New(),
	}
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
		section string
		address string
		to      *net.Listener
	}{
		{"Caller", h.settings.Caller.Address, &h.listeners.caller},
		{"Peer", h.settings.Peer.Address, &h.listeners.peer},
		{"Operator", h.settings.Operator.Address, &h.listeners.operator},
	} {
		n, err := net.Listen("tcp", l.address)
		if err != nil {
			return fmt.Errorf("settings %s.Address: %w", l.section, err)
		}
		*l.to = n
	}
	return nil
}

// Run serves until ctx ends or an operator asks for a drain, then shuts down
// gracefully: it cuts no call unless the drain timeout passes.
func (h *Host) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	failed := make(chan error, runners)
	h.start(work, failed)
	h.log.Info("host started", "caller", h.settings.Caller.Address, "peer", h.settings.Peer.Address, "operator", h.settings.Operator.Address, "incarnation", h.incarnation)
	h.work.Go(func() { h.announce(consul.Live) })
	var err error
	select {
	case <-ctx.Done():
	case <-h.drainAsk:
	case err = <-failed:
		h.log.Error("host failed", "error", err)
	}
	drainErr := h.drain()
	stop()
	h.close()
	return errors.Join(err, drainErr)
}

// runners bounds the number of background tasks that can report a failure.
const runners = 16

func (h *Host) start(ctx context.Context, failed chan<- error) {
	run := func(name string, f func() error) {
		h.work.Go(func() {
			if err := f(); err != nil && ctx.Err() == nil {
				failed <- fmt.Errorf("%s: %w", name, err)
			}
		})
	}
	run("peer server", func() error { return peer.Serve(ctx, h.listeners.peer, peerHandler{host: h}) })
	run("operator server", func() error { return h.operatorServer.Serve(h.listeners.operator) })
	run("programs", func() error { return h.programs.Run(ctx) })
	run("placement", func() error { return h.placement.Run(ctx) })
	run("isolation", func() error { return h.watchIsolation(ctx) })
	run("release", func() error { return h.release.Run(ctx) })
	run("fleet", func() error { return h.fleet.Run(ctx) })
	run("contracts", func() error { return h.bootstrap(ctx) })
	run("caller server", func() error { return h.callerServer.Serve(h.listeners.caller) })
}

// bootstrapRetry is the pause before the configuration is asked for again.
const bootstrapRetry = 500 * time.Millisecond

func (h *Host) bootstrap(ctx context.Context) error {
	for {
		err := h.contracts.Bootstrap(ctx)
		if err == nil || ctx.Err() != nil {
			return nil
		}
		h.log.Warn("configuration not known yet", "error", err)
		if !wait.For(ctx, h.clock, bootstrapRetry) {
			return nil
		}
	}
}

// Ready says whether the host serves callers, and why not.
func (h *Host) Ready() (bool, string) {
	if !h.contracts.Ready() {
		return false, "configuration is not known yet"
	}
	if ok, why := h.fleet.Ready(); !ok {
		return false, why
	}
	if !h.fleet.MayAct() {
		return false, "no right to act: neither lease nor quorum confirmation"
	}
	return true, ""
}

// serves says whether the host accepts calls, and why not. While it drains, it
// accepts them from callers that were told its address before.
func (h *Host) serves() (bool, string) {
	if h.draining.Load() && h.fleet.MayAct() {
		return true, ""
	}
	return h.Ready()
}

// Drain asks for a graceful shutdown and returns at once.
func (h *Host) Drain() {
	h.drainOnce.Do(func() { close(h.drainAsk) })
}

func (h *Host) close() {
	h.listeners.close()
	_ = h.operatorServer.Shutdown(context.Background())
	h.work.Wait()
	h.programs.Close()
	h.limits.Close()
	h.suspects.Close()
	_ = h.peers.Close()
	_ = h.targets.Close()
	for _, c := range []*consul.Client{h.control, h.data, h.documents} {
		c.Close()
	}
	if h.folder != nil {
		if err := h.folder.Close(); err != nil {
			h.log.Error("data folder not closed", "error", err)
		}
	}
	h.metrics.Close()
}
