// Package entry wires a host whose requests are passed on unchanged, and whose
// configuration and targets other programs write to the store.
package entry

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"mimosarelay/app/catalog"
	"mimosarelay/app/relay"
	"mimosarelay/app/turns"
	coreingress "mimosarelay/core/ingress"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
	"mimosarelay/io/ingress"
	"mimosarelay/io/metrics"
	"mimosarelay/io/peer"
)

// Dialect reads and writes the fields of callers and targets.
type Dialect interface {
	ingress.Dialect
	relay.Dialect
}

// Options configures a Host. Addresses are IP:port; those of callers are empty
// on hosts that serve none.
type Options struct {
	Host             model.HostID
	Zone             model.Zone
	CallerAddress    string
	ReadyAddress     string
	DirectoryAddress string
	PeerAddress      string
	MetricsAddress   string
	// Keeper hosts count the turns of programs for all others.
	Keeper bool

	// Keyspace returns the keys of the store under a prefix.
	Keyspace func(prefix string) store.Store
	Source   catalog.Source
	// Decode reads a configuration as it is stored.
	Decode  func([]byte) (*coreingress.Document, error)
	Dialect Dialect
	// Directory answers callers that ask where to connect, and Readiness the
	// deployment's checks.
	Directory func(addresses func() []string, ttl time.Duration) fasthttp.RequestHandler
	Readiness func(ready func() (bool, string)) fasthttp.RequestHandler
	// Evacuations is asked by keepers, whose machines have a disk.
	Evacuations Evacuations
	// Disk keeps copies of budget records over restarts; nil without a disk.
	Disk turns.Disk
	// Quotas says whether the rates of workspaces are limited, and Budgets
	// whether programs have budgets of their own.
	Quotas  bool
	Budgets bool
	// Lifetime is how long a configuration may be used after the store was
	// asked for it.
	Lifetime time.Duration
	// Grace is the time in which the process must end when it is told to.
	Grace time.Duration

	Clock clockwork.Clock
	Log   *slog.Logger
}

const (
	// directoryTTL is how long callers keep an answer of the directory. A
	// leaving host serves for three times as long, because some callers keep
	// it for that time.
	directoryTTL = 1500 * time.Millisecond
	drainLinger  = 3*directoryTTL + 250*time.Millisecond
	// exitReserve is the part of Grace that is kept for leaving the fleet.
	leaveReserve = 1500 * time.Millisecond
	// limitWait is how long a request waits for a token of its workspace.
	limitWait = 250 * time.Millisecond
	// burstSlack is half of the 20 requests by which the platform's quotas may be
	// exceeded in a window.
	burstSlack = 10
	// The times of the membership let a host that was killed be removed within
	// 2.5 s. A host notices an outage and hears the others' confirmation within
	// renewEvery + renewTimeout + heartbeatEvery = 1.3 s, before its
	// right to act ends at leaseTTL - leaseMargin.
	leaseTTL        = 2 * time.Second
	leaseMargin     = 200 * time.Millisecond
	renewInterval   = 500 * time.Millisecond
	renewTimeout    = 500 * time.Millisecond
	minLeaseMissing = 300 * time.Millisecond
	// goneAfter covers a renewal that just failed, renewEvery until the next one
	// and the calls that acquire a lease.
	minStoreReachable = renewInterval + renewTimeout + 200*time.Millisecond
	// watchPause lets one watch return the entry reports of several hosts.
	watchPause = 40 * time.Millisecond
	// A process that follows another one reports its first entry at most wordTTL
	// + leaseMargin after its start, when every confirmation of its predecessor
	// has expired.
	heartbeatInterval = 300 * time.Millisecond
	confirmationTTL   = 700 * time.Millisecond
	// settleWait is how long a request waits while the fleet forms again.
	settleWait = 1200 * time.Millisecond
	// changeDelay is how long a larger part of the places waits for a change of
	// the membership. Targets refuse what exceeds their queue as not run, so
	// that parts need not add up at every moment.
	limitRaiseDelay = 10 * time.Millisecond
	// peerDialTimeout bounds a connection attempt to another host.
	peerDialTimeout = 250 * time.Millisecond
	// listEvery is the time between two lists of the targets. A change passes two
	// of them, at the keeper and at the entry host, of the 2 s in which a leaving
	// target must get no new request.
	targetListInterval = 400 * time.Millisecond
	// leastPart lets a host of a large fleet run two calls of one program at any
	// target: with whole parts, most of 64 hosts have no place at a target of 18.
	minHostLimit = 2
	// queueWait is how long a request waits for a place.
	queueWait = 2 * time.Second
	// dialTimeout bounds a connection attempt to a target.
	dialTimeout = 500 * time.Millisecond
	// callCost and tokenTime describe engines that read a prompt token in 4 µs:
	// one more request at a target slows the others by as much as reading 1500
	// tokens.
	requestCostTokens = 1500
	prefillTokenTime  = 4 * time.Microsecond
)

// controlPrefix precedes the keys of the membership and the shares.
const controlPrefix = "mimosarelay/control/"

// budgetPrefix precedes the keys of the budgets of programs, which nobody
// watches.
const budgetPrefix = "mimosarelay/budget/"

// suspectPrefix precedes the keys of requests that crash targets.
const suspectPrefix = "Suspect/"

// Host is one running process.
type Host struct {
	options Options
	log     *slog.Logger

	catalog *catalog.Service
	peers   *peer.Client
	metrics *metrics.Root
	keeper  *keeper    // nil on entry hosts
	entry   *entryHost // nil on keepers

	draining atomic.Bool
	tasks    sync.WaitGroup
}

// New wires a host. Nothing runs before Run.
func New(o Options) *Host {
	h := &Host{options: o, log: o.Log, metrics: metrics.New()}
	h.peers = peer.NewClient(peer.Options{DialTimeout: peerDialTimeout})
	if o.Keeper {
		h.catalog = newCatalog(o, o.Source)
		h.keeper = newKeeper(h)
	} else {
		h.entry = newEntryHost(h)
	}
	return h
}

func newCatalog(o Options, source catalog.Source) *catalog.Service {
	return catalog.New(catalog.Options{Source: source, Clock: o.Clock, Log: o.Log, Lifetime: o.Lifetime, Interval: targetListInterval})
}

func (h *Host) revision() model.Revision {
	if v := h.catalog.Latest(); v != nil {
		return v.Revision()
	}
	return 0
}

// Run serves until ctx ends, then shuts down without cutting a request.
func (h *Host) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	failed := make(chan error, maxTasks)
	if err := h.start(work, failed); err != nil {
		return err
	}
	h.log.Info("host started", "host", h.options.Host, "zone", h.options.Zone, "caller", h.options.CallerAddress, "keeper", h.options.Keeper)
	var err error
	select {
	case <-ctx.Done():
		h.drain()
	case err = <-failed:
		h.log.Error("host failed", "error", err)
	}
	stop()
	if h.keeper != nil {
		h.keeper.limits.Close()
	} else {
		h.entry.suspects.Close()
	}
	h.metrics.Close()
	h.log.Info("host stopped")
	return err
}

// maxTasks bounds the background tasks that can report a failure.
const maxTasks = 16

func (h *Host) start(ctx context.Context, failed chan<- error) error {
	run := func(name string, f func() error) {
		h.tasks.Go(func() {
			if err := f(); err != nil && ctx.Err() == nil {
				failed <- fmt.Errorf("%s: %w", name, err)
			}
		})
	}
	peers, err := net.Listen("tcp", h.options.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	run("peer server", func() error { return peer.Serve(ctx, peers, h.peerHandler()) })
	listeners := []listener{{"metrics", h.options.MetricsAddress, serveAuxiliary(h.serveDiagnostics)}}
	if h.entry != nil {
		listeners = append(listeners, h.entry.listeners()...)
	}
	for _, l := range listeners {
		if l.address == "" {
			continue
		}
		listening, err := net.Listen("tcp", l.address)
		if err != nil {
			return fmt.Errorf("listen for %s: %w", l.name, err)
		}
		run(l.name, func() error { return l.serve(listening) })
	}
	run("catalog", func() error { return h.catalog.Run(ctx) })
	if h.keeper != nil {
		h.keeper.start(ctx, run)
	} else {
		h.entry.start(ctx, run)
	}
	return nil
}

// listener is an address with what serves it.
type listener struct {
	name, address string
	serve         func(net.Listener) error
}

// smallTimeout bounds a request to the directory or for the readiness.
const auxiliaryTimeout = 5 * time.Second

func serveAuxiliary(handler fasthttp.RequestHandler) func(net.Listener) error {
	s := &fasthttp.Server{
		Handler: handler, ReadTimeout: auxiliaryTimeout, WriteTimeout: auxiliaryTimeout, ReadBufferSize: 4096,
		NoDefaultServerHeader: true, NoDefaultDate: true,
	}
	return s.Serve
}

// Ready says whether this host serves callers, and why not.
func (h *Host) Ready() (bool, string) {
	if h.draining.Load() {
		return false, "the host is leaving"
	}
	if h.keeper != nil {
		return h.keeper.fleet.Ready()
	}
	if _, err := h.catalog.View(); err != nil {
		return false, err.Error()
	}
	if !h.entry.follow.MayAct() {
		return false, "no keeper that acts answers this host"
	}
	return true, ""
}

// drain leaves without cutting a request.
func (h *Host) drain() {
	h.draining.Store(true)
	if h.keeper != nil {
		h.log.Info("drain started")
		h.keeper.leaveFleet()
		h.log.Info("drain ended")
		return
	}
	h.entry.drain()
}
