package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"mimosarelay/app/conversations"
	"mimosarelay/app/fleet"
	"mimosarelay/app/follow"
	"mimosarelay/app/pacing"
	"mimosarelay/app/placement"
	"mimosarelay/app/relay"
	"mimosarelay/app/suspects"
	"mimosarelay/app/turns"
	"mimosarelay/app/wait"
	coreingress "mimosarelay/core/ingress"
	"mimosarelay/core/model"
	coreplacement "mimosarelay/core/placement"
	"mimosarelay/core/presence"
	"mimosarelay/core/store"
	"mimosarelay/core/suspect"
	"mimosarelay/io/ingress"
	"mimosarelay/io/target"
)

const (
	// harmlessRequests is the number of requests that are remembered as harmless, about
	// 2 MB on the smallest hosts.
	harmlessRequests = 1 << 13
	// trialLifetime is how long the claim of a lost host keeps a request from its next
	// trial. It is longer than the time limit of usual routes.
	trialLifetime = time.Minute
)

// entryHost is the part of a Host that serves callers. It is not a member of the
// fleet but gets the membership, the configuration and the targets from keepers.
type entryHost struct {
	*Host
	follow    *follow.Client
	placement *placement.Service
	suspects  *suspects.Service
	relay     *relay.Service
	targets   *target.Client
	callers   *ingress.Server
	cold      *pacing.ColdTargets
}

func newEntryHost(h *Host) *entryHost {
	e := &entryHost{Host: h}
	o := h.options
	control := o.Keyspace(controlPrefix)
	e.targets = target.NewClient(target.Options{DialTimeout: dialTimeout})
	var targetOutcomes follow.Outcomes
	var targetLoads follow.Loads
	var health *placement.HealthOptions
	if o.Health {
		targetOutcomes, health = placementOutcomes{e}, &placement.HealthOptions{Scope: h.metrics.Scope}
		targetLoads = placementOutcomes{e}
	}
	e.follow = follow.NewClient(follow.Options{
		Self: presence.Host{Host: o.Host, CallerAddress: o.CallerAddress, PeerAddress: o.PeerAddress},
		Zone: o.Zone, Store: control, RecordKey: fleet.RecordKey, Peers: h.peers,
		KnownLimit:      h.knownLimit,
		SuspectsChanged: func(entries []store.Entry) { e.suspects.EntriesChanged(entries) },
		Outcomes:        targetOutcomes,
		Loads:           targetLoads,
		StoreAway:       func() bool { return h.catalog.StoreAway() }, SettleWait: settleWait, Clock: o.Clock, Log: o.Log,
	})
	h.catalog = newCatalog(o, &follow.Source{Relays: e.follow, Peers: h.peers, Store: o.Source, Decode: o.Decode, Clock: o.Clock}, 0)
	incarnation := model.Incarnation(uuid.NewString())
	e.suspects = suspects.New(suspects.Options{
		Host: o.Host, Self: o.PeerAddress, Peers: suspectPeers{h.peers, e}, Store: control, KeyPrefix: suspectPrefix,
		Incarnation: func() model.Incarnation { return incarnation },
		Bans:        suspect.ShortBans, Harmless: harmlessRequests, ClaimLifetime: trialLifetime,
		Clock: o.Clock, Log: o.Log,
	})
	e.placement = placement.New(placement.Options{
		Host: o.Host, Hosts: e.hosts, Snapshot: h.snapshot, Prober: e.targets,
		Policy: coreplacement.Options{
			Zone:      o.Zone,
			Zones:     o.Zones,
			Choice:    coreplacement.CacheAware{CallCost: requestCostTokens, Slack: requestCostTokens},
			Retention: coreplacement.HoldThroughPause{TokenTime: prefillTokenTime},
		},
		Health:       health,
		MinHostLimit: minHostLimit, QueueWait: queueWait, ChangeDelay: limitRaiseDelay, Clock: o.Clock, Log: o.Log,
	})
	var turnClient relay.Turns
	if o.Budgets {
		turnClient = &turns.Client{Owners: e.follow, Peers: h.peers, Isolated: e.follow.Isolated, Clock: o.Clock, Log: o.Log}
	}
	e.cold = pacing.NewColdTargets(pacing.ColdOptions{
		View: h.catalog.Latest, Bound: o.Cold, Prober: o.HealthProber(e.targets), Clock: o.Clock, Log: o.Log, Scope: h.metrics.Scope,
	})
	pacer := pacing.NewClient(e.follow, h.peers, e.cold, o.Clock, o.Log)
	h.catalog.OnTargets(e.cold.SetTargets)
	evacuated := h.metrics.Scope.Gauge("evacuated_zones")
	h.catalog.OnChange(func(v *coreingress.View) {
		e.cold.ViewChanged(v)
		evacuated.Update(float64(len(v.Evacuated())))
		pacer.Retain(func(id model.TargetID) bool { _, ok := v.Target(id); return ok })
	})
	e.relay = relay.New(relay.Options{
		Conversations: conversations.NewClient(conversations.ClientOptions{
			Zone: o.Zone, Keepers: e.follow.TurnKeepers, Copies: max(1, o.TurnCopies), Peers: h.peers, Clock: o.Clock, Log: o.Log, Scope: h.metrics.Scope,
		}),
		Turns: turnClient, Departures: h.catalog, Pacer: pacer, Pauser: e.placement, PauseMalformed: health == nil, Zones: h.catalog,
		Limiter: limiter{e}, Rights: e.follow, Placer: placer{e.placement}, Suspects: e.suspects, Targets: e.targets,
		Dialect: o.Dialect, Loads: e.placement, Clock: o.Clock, Log: o.Log, Scope: h.metrics.Scope,
	})
	e.callers = ingress.New(ingress.Options{
		Relay: e.relay, Dialect: o.Dialect, View: h.catalog.View, Limits: h.catalog.Limits,
		Confirm: h.catalog.Confirm, Confirmation: h.catalog.Confirmation, Drain: h.drainState.Load, Memory: h.memory, Clock: o.Clock, Log: o.Log, Scope: h.metrics.Scope,
	})
	return e
}

func (e *entryHost) listeners() []listener {
	o := e.options
	return []listener{
		{"readiness", o.ReadyAddress, e.serveAuxiliary(o.Readiness(e.Ready))},
		{"directory", o.DirectoryAddress, e.serveAuxiliary(o.Directory(e.addresses, directoryTTL))},
		{"callers", o.CallerAddress, e.callers.Serve},
	}
}

func (e *entryHost) start(ctx context.Context, run func(string, func() error)) {
	run("placement", func() error { return e.placement.Run(ctx) })
	run("cold targets", func() error { return e.cold.Run(ctx) })
	run("follow", func() error { return e.follow.Run(ctx) })
}

// hosts returns the entry hosts that are not leaving, and always this one, because
// callers that have its address still connect while it is leaving.
func (e *entryHost) hosts() []model.HostID {
	list := []model.HostID{e.options.Host}
	for _, h := range e.follow.Hosts() {
		if !h.Leaving && h.Host != e.options.Host {
			list = append(list, h.Host)
		}
	}
	return list
}

// addresses returns the addresses of the hosts for callers, in random order. It
// returns none on an isolated host, so that callers ask another host: the list may
// be outdated and this host cannot serve them.
func (e *entryHost) addresses() []string {
	if _, err := e.catalog.View(); err != nil || !e.follow.MayAct() {
		return nil
	}
	var list []string
	for _, h := range e.follow.Hosts() {
		if h.Leaving || h.Host == e.options.Host && e.draining.Load() {
			continue
		}
		list = append(list, h.CallerAddress)
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// drain announces to the keepers that this host is leaving, keeps serving while
// callers may still connect (leavingGracePeriod), and waits for running
// requests.
func (e *entryHost) drain() {
	start := e.options.Clock.Now()
	e.drainState.Store(&ingress.Drain{
		AcceptAll: start.Add(time.Duration(acceptAllFraction * float64(e.options.Grace))), End: start.Add(e.options.Grace - exitReserve),
	})
	ctx, cancel := context.WithTimeout(context.Background(), e.options.Grace-exitReserve/2)
	defer cancel()
	e.log.Info("drain started", "requests", e.callers.Running())
	e.follow.Leave()
	wait.For(ctx, e.options.Clock, leavingGracePeriod-e.options.Clock.Since(start))
	err := e.callers.Shutdown(ctx)
	e.log.Info("drain ended", "requests", e.callers.Running(), "error", err)
}
