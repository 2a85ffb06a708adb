// Package entry wires a host whose requests are passed on unchanged, and whose
// configuration and targets other programs write to the store.
package entry

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
	"github.com/valyala/fasthttp"

	"mimosarelay/app/catalog"
	"mimosarelay/app/fleet"
	"mimosarelay/app/limits"
	"mimosarelay/app/placement"
	"mimosarelay/app/relay"
	"mimosarelay/app/suspects"
	"mimosarelay/app/turns"
	"mimosarelay/app/wait"
	coreingress "mimosarelay/core/ingress"
	"mimosarelay/core/member"
	"mimosarelay/core/model"
	coreplacement "mimosarelay/core/placement"
	"mimosarelay/core/store"
	"mimosarelay/io/ingress"
	"mimosarelay/io/metrics"
	"mimosarelay/io/peer"
	"mimosarelay/io/target"
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
	Dialect  Dialect
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
	lingerTime   = 3*directoryTTL + 250*time.Millisecond
	// exitReserve is the part of Grace that is kept for leaving the fleet.
	exitReserve = 1500 * time.Millisecond
	// limitWait is how long a request waits for a token of its workspace.
	limitWait = 250 * time.Millisecond
	// burstSlack is half of the 20 requests by which the platform's quotas may be
	// exceeded in a window.
	burstSlack = 10
	// The times of the membership let a host that was killed be removed within
	// 2.5 s. A host notices an outage and hears the others' confirmation within
	// renewEvery + renewTimeout + heartbeatEvery = 1.3 s, before its
	// right to act ends at leaseTTL - leaseMargin.
	leaseTTL     = 2 * time.Second
	leaseMargin  = 200 * time.Millisecond
	renewEvery   = 500 * time.Millisecond
	renewTimeout = 500 * time.Millisecond
	goneSteady   = 300 * time.Millisecond
	// goneAfter covers a renewal that just failed, renewEvery until the next one
	// and the calls that acquire a lease.
	goneAfter = renewEvery + renewTimeout + 200*time.Millisecond
	// watchPause lets one watch return the entry reports of several hosts.
	watchPause = 40 * time.Millisecond
	// A process that follows another one reports its first entry at most wordTTL
	// + leaseMargin after its start, when every confirmation of its predecessor
	// has expired.
	heartbeatEvery = 300 * time.Millisecond
	wordTTL        = 700 * time.Millisecond
	// settleWait is how long a request waits while the fleet forms again.
	settleWait = 1200 * time.Millisecond
	// changeDelay is how long a larger part of the places waits for a change of
	// the membership. Targets refuse what exceeds their queue as not run, so
	// that parts need not add up at every moment.
	changeDelay = 10 * time.Millisecond
	// peerDialTimeout bounds a connection attempt to another host.
	peerDialTimeout = 250 * time.Millisecond
	// leastPart lets a host of a large fleet run two calls of one program at any
	// target: with whole parts, most of 64 hosts have no place at a target of 18.
	leastPart = 2
	// queueWait is how long a request waits for a place.
	queueWait = 2 * time.Second
	// dialTimeout bounds a connection attempt to a target.
	dialTimeout = 500 * time.Millisecond
	// callCost and tokenTime describe engines that read a prompt token in 4 µs:
	// one more request at a target slows the others by as much as reading 1500
	// tokens.
	callCost  = 1500
	tokenTime = 4 * time.Microsecond
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

	catalog   *catalog.Service
	fleet     *fleet.Service
	limits    *limits.Service
	placement *placement.Service
	suspects  *suspects.Service
	turnOwner *turns.Owner
	relay     *relay.Service
	peers     *peer.Client
	targets   *target.Client
	callers   *ingress.Server
	metrics   *metrics.Root

	draining atomic.Bool
	work     sync.WaitGroup
}

// New wires a host. Nothing runs before Run.
func New(o Options) *Host {
	h := &Host{options: o, log: o.Log, metrics: metrics.New()}
	h.peers = peer.NewClient(peer.Options{DialTimeout: peerDialTimeout})
	h.targets = target.NewClient(target.Options{DialTimeout: dialTimeout})
	h.catalog = catalog.New(catalog.Options{Source: o.Source, Clock: o.Clock, Log: o.Log, Lifetime: o.Lifetime})
	h.wireFleet()
	h.wireRelay()
	h.subscribe()
	return h
}

func (h *Host) wireFleet() {
	o := h.options
	control := o.Keyspace(controlPrefix)
	h.fleet = fleet.New(fleet.Options{
		Store: control, Clock: o.Clock, Peers: h.peers,
		Self: member.Member{
			Host: o.Host, Incarnation: model.Incarnation(uuid.NewString()), Zone: o.Zone,
			CallerAddress: o.CallerAddress, PeerAddress: o.PeerAddress, Keeper: o.Keeper,
		},
		Holdings:       func(e model.Epoch) map[model.WorkspaceID]int64 { return h.limits.Holdings(e) },
		ConfigRevision: h.revision,
		Logger:         o.Log, Scope: h.metrics.Scope,
		LeaseTTL: leaseTTL, Margin: leaseMargin, RenewEvery: renewEvery, RenewTimeout: renewTimeout,
		GoneAfter: goneAfter, GoneSteady: goneSteady,
		HeartbeatEvery: heartbeatEvery, WordTTL: wordTTL, WatchPause: watchPause,
	})
	h.limits = limits.New(limits.Options{
		Host: o.Host, Clock: o.Clock, Store: control, Peers: h.peers, MayAct: h.fleet.MayAct, LimitWait: limitWait,
		SettleWait: settleWait, BurstSlack: burstSlack, Isolated: h.fleet.Isolated,
	})
	h.turnOwner = turns.NewOwner(turns.OwnerOptions{
		Host: o.Host, Tenure: h.fleet, Store: o.Keyspace(budgetPrefix), Clock: o.Clock, Log: o.Log,
		Keepers: h.otherKeepers, Copies: h.peers, Disk: o.Disk,
	})
	h.suspects = suspects.New(suspects.Options{
		Host: o.Host, Self: o.PeerAddress, Peers: suspectPeers{h.peers, h}, Store: control, KeyPrefix: suspectPrefix,
		Incarnation: func() model.Incarnation { return h.fleet.Self().Incarnation },
		Clock:       o.Clock, Log: o.Log,
	})
}

func (h *Host) revision() model.Revision {
	if v := h.catalog.Latest(); v != nil {
		return v.Revision()
	}
	return 0
}

func (h *Host) wireRelay() {
	o := h.options
	h.placement = placement.New(placement.Options{
		Host: o.Host, Hosts: h.entryHosts, Snapshot: h.snapshot, Prober: h.targets,
		Policy: coreplacement.Options{
			Choice:    coreplacement.CacheAware{CallCost: callCost, Slack: callCost},
			Retention: coreplacement.HoldThroughPause{TokenTime: tokenTime},
		},
		LeastPart: leastPart, QueueWait: queueWait, ChangeDelay: changeDelay, Clock: o.Clock, Log: o.Log,
	})
	var turnClient relay.Turns
	if o.Budgets {
		turnClient = &turns.Client{Owner: h.turnOwner, Owners: owners{h}, Peers: h.peers, Isolated: h.fleet.Isolated, Clock: o.Clock, Log: o.Log}
	}
	h.relay = relay.New(relay.Options{
		Turns:   turnClient,
		Limiter: limiter{h}, Rights: h.fleet, Placer: placer{h}, Suspects: h.suspects, Targets: h.targets,
		Dialect: o.Dialect, Loads: h.placement, Clock: o.Clock, Log: o.Log, Scope: h.metrics.Scope,
	})
	h.callers = ingress.New(ingress.Options{
		Relay: h.relay, Dialect: o.Dialect, View: h.catalog.View, Limits: h.catalog.Limits,
		Draining: h.draining.Load, Clock: o.Clock, Log: o.Log, Scope: h.metrics.Scope,
	})
}

func (h *Host) subscribe() {
	h.fleet.Subscribe(limits.EnterPrefix, h.limits.EntriesChanged)
	h.fleet.Subscribe(limits.SharesKey, h.limits.SharesChanged)
	h.fleet.Subscribe(suspectPrefix, h.suspects.EntriesChanged)
	h.fleet.OnEpoch(h.epochChanged)
	h.catalog.OnChange(func(v *coreingress.View) { h.limits.ContractsChanged(v.Document()) })
}

func (h *Host) epochChanged(old, current member.Record) {
	was, _ := old.Member(h.options.Host)
	is, _ := current.Member(h.options.Host)
	h.turnOwner.TenureChanged(func(s model.Shard) bool {
		owner, ok := current.Owner(s)
		return ok && owner.Host == h.options.Host
	}, was.Incarnation == is.Incarnation && is.Incarnation != "")
	m := limits.Membership{Epoch: current.Epoch, Incarnation: h.fleet.Self().Incarnation}
	var live []model.Incarnation
	for _, one := range current.Members {
		live = append(live, one.Incarnation)
		m.Members = append(m.Members, limits.Member{
			Host: one.Host, Incarnation: one.Incarnation, PeerAddress: one.PeerAddress,
			// Keepers spend no tokens, so they get no shares.
			Leaving: one.Leaving || one.Keeper,
		})
	}
	h.limits.EpochChanged(m)
	h.suspects.MembersChanged(live)
}

// Run serves until ctx ends, then shuts down without cutting a request.
func (h *Host) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	failed := make(chan error, maxTasks)
	if err := h.start(work, failed); err != nil {
		return err
	}
	h.log.Info("host started", "host", h.options.Host, "zone", h.options.Zone, "caller", h.options.CallerAddress, "incarnation", h.fleet.Self().Incarnation)
	var err error
	select {
	case <-ctx.Done():
		h.drain()
	case err = <-failed:
		h.log.Error("host failed", "error", err)
	}
	stop()
	h.limits.Close()
	h.suspects.Close()
	h.metrics.Close()
	h.log.Info("host stopped")
	return err
}

// maxTasks bounds the background tasks that can report a failure.
const maxTasks = 16

func (h *Host) start(ctx context.Context, failed chan<- error) error {
	run := func(name string, f func() error) {
		h.work.Go(func() {
			if err := f(); err != nil && ctx.Err() == nil {
				failed <- fmt.Errorf("%s: %w", name, err)
			}
		})
	}
	peers, err := net.Listen("tcp", h.options.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	run("peer server", func() error { return peer.Serve(ctx, peers, peerHandler{host: h}) })
	for _, l := range []struct {
		name, address string
		serve         func(net.Listener) error
	}{
		{"readiness", h.options.ReadyAddress, serveSmall(h.options.Readiness(h.Ready))},
		{"directory", h.options.DirectoryAddress, serveSmall(h.options.Directory(h.addresses, directoryTTL))},
		{"metrics", h.options.MetricsAddress, serveSmall(h.diagnose)},
		{"callers", h.options.CallerAddress, h.callers.Serve},
	} {
		if l.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return fmt.Errorf("listen for %s: %w", l.name, err)
		}
		run(l.name, func() error { return l.serve(listener) })
	}
	if h.options.CallerAddress != "" {
		run("catalog", func() error { return h.catalog.Run(ctx) })
		run("placement", func() error { return h.placement.Run(ctx) })
	}
	if h.options.Keeper && h.options.Evacuations != nil {
		run("evacuation", func() error { return h.evacuate(ctx) })
	}
	run("budgets", func() error { return h.turnOwner.Run(ctx) })
	run("fleet", func() error { return h.fleet.Run(ctx) })
	return nil
}

// smallTimeout bounds a request to the directory or for the readiness.
const smallTimeout = 5 * time.Second

func serveSmall(handler fasthttp.RequestHandler) func(net.Listener) error {
	s := &fasthttp.Server{
		Handler: handler, ReadTimeout: smallTimeout, WriteTimeout: smallTimeout, ReadBufferSize: 4096,
		NoDefaultServerHeader: true, NoDefaultDate: true,
	}
	return s.Serve
}

// Ready says whether this host serves callers, and why not.
func (h *Host) Ready() (bool, string) {
	if h.draining.Load() {
		return false, "the host is leaving"
	}
	if _, err := h.catalog.View(); err != nil {
		return false, err.Error()
	}
	return h.fleet.Ready()
}

// drain leaves the fleet without cutting a request.
func (h *Host) drain() {
	h.draining.Store(true)
	start := h.options.Clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), h.options.Grace-exitReserve)
	defer cancel()
	h.log.Info("drain started", "requests", h.callers.Running())
	if h.options.CallerAddress == "" {
		h.leave()
		h.log.Info("drain ended")
		return
	}
	mark, done := context.WithTimeout(ctx, time.Second)
	err := h.fleet.MarkLeaving(mark)
	done()
	wait.For(ctx, h.options.Clock, lingerTime-h.options.Clock.Since(start))
	err = errors.Join(err, h.callers.Shutdown(ctx))
	leave, done := context.WithTimeout(context.Background(), exitReserve/2)
	defer done()
	err = errors.Join(err, h.fleet.Leave(leave))
	h.log.Info("drain ended", "requests", h.callers.Running(), "error", err)
}
