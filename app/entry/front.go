package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"mimosarelay/app/fleet"
	"mimosarelay/app/follow"
	"mimosarelay/app/placement"
	"mimosarelay/app/relay"
	"mimosarelay/app/suspects"
	"mimosarelay/app/turns"
	"mimosarelay/app/wait"
	"mimosarelay/core/model"
	coreplacement "mimosarelay/core/placement"
	"mimosarelay/core/presence"
	"mimosarelay/io/ingress"
	"mimosarelay/io/target"
)

// front is the part of a host that serves callers. It is no member of the fleet
// but follows the keepers.
type front struct {
	*Host
	follow    *follow.Client
	placement *placement.Service
	suspects  *suspects.Service
	relay     *relay.Service
	targets   *target.Client
	callers   *ingress.Server
}

func newFront(h *Host) *front {
	f := &front{Host: h}
	o := h.options
	control := o.Keyspace(controlPrefix)
	f.targets = target.NewClient(target.Options{DialTimeout: dialTimeout})
	f.follow = follow.NewClient(follow.Options{
		Self: presence.Host{Host: o.Host, CallerAddress: o.CallerAddress, PeerAddress: o.PeerAddress},
		Zone: o.Zone, Store: control, RecordKey: fleet.RecordKey, Peers: h.peers,
		StoreAway: func() bool { return h.catalog.Away() }, SettleWait: settleWait, Clock: o.Clock, Log: o.Log,
	})
	h.catalog = newCatalog(o, &follow.Source{Client: f.follow, Peers: h.peers, Store: o.Source, Decode: o.Decode})
	incarnation := model.Incarnation(uuid.NewString())
	f.suspects = suspects.New(suspects.Options{
		Host: o.Host, Self: o.PeerAddress, Peers: suspectPeers{h.peers, f}, Store: control, KeyPrefix: suspectPrefix,
		Incarnation: func() model.Incarnation { return incarnation },
		Clock:       o.Clock, Log: o.Log,
	})
	f.placement = placement.New(placement.Options{
		Host: o.Host, Hosts: f.hosts, Snapshot: h.snapshot, Prober: f.targets,
		Policy: coreplacement.Options{
			Choice:    coreplacement.CacheAware{CallCost: callCost, Slack: callCost},
			Retention: coreplacement.HoldThroughPause{TokenTime: tokenTime},
		},
		LeastPart: leastPart, QueueWait: queueWait, ChangeDelay: changeDelay, Clock: o.Clock, Log: o.Log,
	})
	var turnClient relay.Turns
	if o.Budgets {
		turnClient = &turns.Client{Owners: f.follow, Peers: h.peers, Isolated: f.follow.Isolated, Clock: o.Clock, Log: o.Log}
	}
	f.relay = relay.New(relay.Options{
		Turns:   turnClient,
		Limiter: limiter{f}, Rights: f.follow, Placer: placer{f.placement}, Suspects: f.suspects, Targets: f.targets,
		Dialect: o.Dialect, Loads: f.placement, Clock: o.Clock, Log: o.Log, Scope: h.metrics.Scope,
	})
	f.callers = ingress.New(ingress.Options{
		Relay: f.relay, Dialect: o.Dialect, View: h.catalog.View, Limits: h.catalog.Limits,
		Draining: h.draining.Load, Clock: o.Clock, Log: o.Log, Scope: h.metrics.Scope,
	})
	return f
}

func (f *front) listeners() []listener {
	o := f.options
	return []listener{
		{"readiness", o.ReadyAddress, serveSmall(o.Readiness(f.Ready))},
		{"directory", o.DirectoryAddress, serveSmall(o.Directory(f.addresses, directoryTTL))},
		{"callers", o.CallerAddress, f.callers.Serve},
	}
}

func (f *front) start(ctx context.Context, run func(string, func() error)) {
	run("placement", func() error { return f.placement.Run(ctx) })
	run("follow", func() error { return f.follow.Run(ctx) })
	run("suspects", func() error { return f.readSuspects(ctx) })
}

const (
	// suspectsEvery is the time between two reads of the requests that crash
	// targets. Hosts that live are told at once; a read serves those that joined
	// later.
	suspectsEvery = 30 * time.Second
	// suspectsRetry is the time until the next read after a failure.
	suspectsRetry = time.Second
)

// readSuspects takes over what other hosts saved of requests that crash targets.
func (f *front) readSuspects(ctx context.Context) error {
	control := f.options.Keyspace(controlPrefix)
	for ctx.Err() == nil {
		pause := suspectsEvery
		entries, _, err := control.List(ctx, suspectPrefix)
		if err != nil {
			f.log.Warn("requests that crash targets not read", "error", err)
			pause = suspectsRetry
		} else {
			f.suspects.EntriesChanged(entries)
		}
		wait.For(ctx, f.options.Clock, pause)
	}
	return nil
}

// hosts lists the entry hosts that are not leaving, and this one in any case:
// while it leaves, callers that have its address still come.
func (f *front) hosts() []model.HostID {
	list := []model.HostID{f.options.Host}
	for _, h := range f.follow.Hosts() {
		if !h.Leaving && h.Host != f.options.Host {
			list = append(list, h.Host)
		}
	}
	return list
}

// addresses lists the hosts for callers, in random order. It is empty on a host
// that is cut off: its list may be old and it cannot serve itself, so that
// callers had better ask another host.
func (f *front) addresses() []string {
	if _, err := f.catalog.View(); err != nil || !f.follow.MayAct() {
		return nil
	}
	var list []string
	for _, h := range f.follow.Hosts() {
		if h.Leaving || h.Host == f.options.Host && f.draining.Load() {
			continue
		}
		list = append(list, h.CallerAddress)
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// drain ends this host without cutting a request.
func (f *front) drain() {
	start := f.options.Clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), f.options.Grace-exitReserve)
	defer cancel()
	f.log.Info("drain started", "requests", f.callers.Running())
	f.follow.Leave()
	wait.For(ctx, f.options.Clock, lingerTime-f.options.Clock.Since(start))
	err := f.callers.Shutdown(ctx)
	f.log.Info("drain ended", "requests", f.callers.Running(), "error", err)
}
