// Package entry assembles a host that forwards requests unchanged and reads its
// configuration and targets from the store, where other programs write them. A
// host is either an entry host, which serves callers, or a keeper, which holds the
// state of the fleet.
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

	"mimosarelay/app/account"
	"mimosarelay/app/catalog"
	"mimosarelay/app/conversations"
	"mimosarelay/app/pacing"
	"mimosarelay/app/relay"
	"mimosarelay/app/turns"
	"mimosarelay/core/cold"
	"mimosarelay/core/evidence"
	coreingress "mimosarelay/core/ingress"
	"mimosarelay/core/memory"
	"mimosarelay/core/model"
	"mimosarelay/core/placement"
	"mimosarelay/core/store"
	"mimosarelay/io/edge"
	"mimosarelay/io/ingress"
	"mimosarelay/io/metrics"
	"mimosarelay/io/peer"
	"mimosarelay/io/target"
)

// Dialect reads and writes the header fields that callers and targets use.
type Dialect interface {
	ingress.Dialect
	relay.Dialect
}

// Options configures a Host. Addresses are IP:port; those for callers are empty on
// hosts that serve none.
type Options struct {
	Host model.HostID
	Zone model.Zone
	// Zones configures which calls are kept in the zone.
	Zones            placement.Zones
	CallerAddress    string
	ReadyAddress     string
	DirectoryAddress string
	PeerAddress      string
	MetricsAddress   string
	// Keeper makes the host a keeper instead of an entry host. Keepers count the
	// turns of programs for all entry hosts.
	Keeper bool
	// Standby makes a keeper with an empty disk wait until the fleet needs it. It is
	// for deployments that run a keeper on each machine with a disk.
	Standby bool

	// Keyspace returns a view of the store that holds the keys under a prefix.
	Keyspace func(prefix string) store.Store
	Source   catalog.Source
	// SetStoreMemory passes the account of memory to the client of the store, so that
	// large responses are reserved while they arrive; nil if that has no limit.
	SetStoreMemory func(*memory.Account)
	// Decode parses a stored configuration.
	Decode  func([]byte) (*coreingress.Document, error)
	Dialect Dialect
	// Directory returns the handler that tells callers where to connect, and
	// Readiness returns the handler of the deployment's readiness checks.
	Directory func(addresses func() []string, ttl time.Duration) fasthttp.RequestHandler
	Readiness func(ready func() (bool, string)) fasthttp.RequestHandler
	// Evacuations is used by keepers, whose machines have a disk; nil for no
	// evacuations.
	Evacuations Evacuations
	// Disk keeps copies of budget records across restarts; nil without a disk.
	Disk turns.Disk
	// TurnFolder keeps the turns of conversations on the disk of a keeper; nil without a
	// disk. TurnCapacity is the size of the disk in bytes, or 0 if it is not limited,
	// and TurnCopies the number of disks that hold each turn.
	TurnFolder   conversations.Folder
	TurnCapacity int64
	TurnCopies   int
	// Cold bounds the requests to targets that are cold, and Prober asks such targets
	// for their state.
	Cold         cold.Bound
	HealthProber func(*target.Client) pacing.HealthProber
	// Quotas limits the rates of workspaces, and Budgets the tokens of each
	// program.
	Quotas  bool
	Budgets bool
	// Health judges targets by the outcomes of requests.
	Health bool
	// Lifetime is how long a configuration may be used after the request to the
	// store that last confirmed it.
	Lifetime time.Duration
	// FinalRefusalAge is how old that confirmation may be when a request is refused
	// in a way that callers do not retry.
	FinalRefusalAge time.Duration
	// Memory is the memory of the machine; 0 for no limit on the bytes of callers.
	Memory memory.Bytes
	// Descriptors is the limit of open descriptors of the process; 0 if it is not
	// known.
	Descriptors int
	// Grace is the time within which the process must end after it was asked to.
	Grace time.Duration

	Clock clockwork.Clock
	Log   *slog.Logger
}

const (
	// directoryTTL is how long callers may cache an answer of the directory. A
	// leaving host serves for three times as long (leavingGracePeriod), because
	// some callers use an answer for that time.
	directoryTTL       = 1500 * time.Millisecond
	leavingGracePeriod = 3*directoryTTL + 250*time.Millisecond
	// leaveReserve is the part of Grace that is reserved for leaving the fleet.
	leaveReserve = 1500 * time.Millisecond
	// exitReserve is the part of Grace in which a stopping host sends the last
	// answers and ends.
	exitReserve = 500 * time.Millisecond
	// acceptAllFraction is the fraction of Grace in which a stopping host accepts
	// requests whose deadline is after its end. Most end before their deadline, and
	// callers have not learnt of other hosts yet.
	acceptAllFraction = 0.3
	// limitWait is how long a request waits for a token from the rate limit of its
	// workspace.
	limitWait = 250 * time.Millisecond
	// burstSlack is half of the 20 requests by which the platform allows quotas to
	// be exceeded in a window.
	burstSlack = 10
	// With these times, a killed host is removed from the membership within 2.5 s.
	// A host detects an outage of the store and receives the confirmations of its
	// peers within renewInterval + renewTimeout + heartbeatInterval = 1.3 s, before
	// its right to act ends at leaseTTL - leaseMargin.
	leaseTTL        = 2 * time.Second
	leaseMargin     = 200 * time.Millisecond
	renewInterval   = 500 * time.Millisecond
	renewTimeout    = 500 * time.Millisecond
	minLeaseMissing = 300 * time.Millisecond
	// awayLimit ends the right to act of the last one or two keepers while they
	// cannot renew their leases. Hosts serve requests that need a key for 4.6 s after
	// the last confirmation of the configuration (bound of 5 s less 400 ms), so that
	// a longer time would serve few more. Another keeper that observes the loss of
	// all earlier ones acts about 8 s after it, within recovery_s (12 s).
	awayLimit = 5 * time.Second
	// minStoreReachable covers a renewal that just failed (renewTimeout),
	// renewInterval until the next one and the calls that acquire a lease.
	minStoreReachable = renewInterval + renewTimeout + 200*time.Millisecond
	// watchPause lets one watch return the entry reports of several hosts together.
	watchPause = 40 * time.Millisecond
	// The successor of a process on the same host reports its first entry at most
	// confirmationTTL + leaseMargin after its start, when all confirmations of its
	// predecessor have expired.
	heartbeatInterval = 300 * time.Millisecond
	confirmationTTL   = 700 * time.Millisecond
	// settleWait is how long a request waits while the membership is being
	// restored, for example after a restart of the fleet.
	settleWait = 1200 * time.Millisecond
	// limitRaiseDelay is the time before a higher host limit applies after a
	// change of the membership. It may be short because targets reject requests
	// that exceed their queue without running them, so that the host limits may
	// add up to more than a target's limit for a moment.
	limitRaiseDelay = 10 * time.Millisecond
	// peerDialTimeout limits a connection attempt to another host.
	peerDialTimeout = 250 * time.Millisecond
	// targetListInterval is the time between two reads of the list of targets. A
	// change takes up to three, at two keepers and the entry host, and a leaving
	// target must get no new request after 2 s.
	targetListInterval = 400 * time.Millisecond
	// targetWatchWait is how long a keeper that reads the store waits for a change of
	// the targets. With targetListInterval and the time of the requests it is below
	// the age at which hosts stop using a keeper's list.
	targetWatchWait = 800 * time.Millisecond
	// storeReaders is the number of keepers that read the configuration and the
	// targets in the store; the others read them from these. It is one more than may
	// be lost at once in the deployments so far.
	storeReaders = 3
	// relayedConfigWait is how long such another keeper waits for a change. It adds
	// to the age of the configuration at entry hosts.
	relayedConfigWait = 400 * time.Millisecond
	// minHostLimit lets a host of a large fleet run two calls of one program at any
	// target. If 64 hosts divide the 18 places of a target, most get none.
	minHostLimit = 2
	// queueWait is how long a request waits for a place at a target.
	queueWait = 2 * time.Second
	// dialTimeout limits a connection attempt to a target.
	dialTimeout = 500 * time.Millisecond
	// requestCostTokens and prefillTokenTime describe engines that process a
	// prompt token in 4 µs: one more request at a target slows down the others by
	// as much as 1500 prompt tokens.
	requestCostTokens = 1500
	prefillTokenTime  = 4 * time.Microsecond
)

// controlPrefix is the prefix of the keys of the membership, the limit shares and
// the suspect requests.
const controlPrefix = "mimosarelay/control/"

// budgetPrefix is the prefix of the keys of program budgets. It is outside
// controlPrefix because no host watches these keys.
const budgetPrefix = "mimosarelay/budget/"

// suspectPrefix is the prefix, below controlPrefix, of the keys of requests that
// crash targets.
const suspectPrefix = "Suspect/"

// Host is one process, either an entry host or a keeper.
type Host struct {
	options Options
	log     *slog.Logger

	catalog *catalog.Service
	peers   *peer.Client
	metrics *metrics.Root
	memory  *memory.Account // nil without a limit
	// refusedPeers counts connections of peers that were closed at once for memory.
	refusedPeers atomic.Int64
	keeper       *keeper    // nil on entry hosts
	entry        *entryHost // nil on keepers

	draining   atomic.Bool
	drainState atomic.Pointer[ingress.Drain]
	tasks      sync.WaitGroup
}

// New assembles a host. It starts nothing; Run does.
func New(o Options) *Host {
	h := &Host{options: o, log: o.Log, metrics: metrics.New(), memory: account.New(account.Options{Memory: o.Memory, Descriptors: o.Descriptors, Clock: o.Clock})}
	if o.SetStoreMemory != nil {
		o.SetStoreMemory(h.memory)
	}
	h.peers = peer.NewClient(peer.Options{DialTimeout: peerDialTimeout, Memory: h.memory})
	if o.Keeper {
		h.keeper = newKeeper(h)
	} else {
		h.entry = newEntryHost(h)
	}
	return h
}

// newCatalog returns a catalog. A read of the targets may wait for a change for
// targetWait.
func newCatalog(o Options, source catalog.Source, targetWait time.Duration) *catalog.Service {
	return catalog.New(catalog.Options{
		Source: source, Clock: o.Clock, Log: o.Log, Interval: targetListInterval,
		Lifetime: evidence.MaxAge(o.Lifetime), FinalRefusalAge: evidence.MaxAge(o.FinalRefusalAge),
		TargetWait: targetWait,
	})
}

func (h *Host) revision() model.Revision {
	if v := h.catalog.Latest(); v != nil {
		return v.Revision()
	}
	return 0
}

// Run serves until ctx ends and then drains the host, so that running requests can
// complete.
func (h *Host) Run(ctx context.Context) error {
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	failed := make(chan error, maxTasks)
	if err := h.start(taskCtx, failed); err != nil {
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

// maxTasks is at least the number of background tasks, so that each can report a
// failure without blocking.
const maxTasks = 16

func (h *Host) start(ctx context.Context, failed chan<- error) error {
	run := func(name string, f func() error) {
		h.tasks.Go(func() {
			if err := f(); err != nil && ctx.Err() == nil {
				failed <- fmt.Errorf("%s: %w", name, err)
			}
		})
	}
	peerListener, err := edge.Listen(h.options.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	refused := h.metrics.Scope.Counter("peer_connections_refused_for_memory")
	run("peer server", func() error {
		return peer.Serve(ctx, peer.LimitMessages(peerListener, h.memory, func() {
			refused.Inc(1)
			h.refusedPeers.Add(1)
		}), h.peerHandler())
	})
	listeners := []listener{{"metrics", h.options.MetricsAddress, h.serveAuxiliary(h.serveDiagnostics)}}
	if h.entry != nil {
		listeners = append(listeners, h.entry.listeners()...)
	}
	for _, l := range listeners {
		if l.address == "" {
			continue
		}
		ln, err := edge.Listen(l.address)
		if err != nil {
			return fmt.Errorf("listen for %s: %w", l.name, err)
		}
		run(l.name, func() error { return l.serve(ln) })
	}
	run("catalog", func() error {
		if h.keeper != nil && !h.keeper.awaitJoined(ctx) {
			return nil
		}
		return h.catalog.Run(ctx)
	})
	if h.memory != nil {
		r := &account.Reporter{Account: h.memory, Scope: h.metrics.Scope.SubScope("memory"), Clock: h.options.Clock, Log: h.log, RefusedPeers: h.refusedPeers.Load}
		run("memory metrics", func() error { return r.Run(ctx) })
	}
	if h.keeper != nil {
		h.keeper.start(ctx, run)
	} else {
		h.entry.start(ctx, run)
	}
	return nil
}

// listener is an address and the function that serves it.
type listener struct {
	name, address string
	serve         func(net.Listener) error
}

// Ready reports whether this host is ready to serve, and otherwise the reason.
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
		return false, "no keeper with the right to act answers this host"
	}
	return true, ""
}

// drain makes a keeper leave the fleet. An entry host, which is not a member of
// the fleet, tells the keepers that it is leaving and waits for its running
// requests.
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
