package pacing

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"mimosarelay/core/cold"
	"mimosarelay/core/config"
	"mimosarelay/core/ingress"
	"mimosarelay/core/model"
	"mimosarelay/core/pacing"
)

// HealthProber asks a target at its health path how long it stays cold.
type HealthProber interface {
	ProbeHealth(ctx context.Context, t config.Target, path string) (coldFor time.Duration, err error)
}

// ColdOptions configures ColdTargets. All fields but Scope are required.
type ColdOptions struct {
	// View returns the newest configuration with its targets, or nil.
	View   func() *ingress.View
	Bound  cold.Bound
	Prober HealthProber
	Clock  clockwork.Clock
	Log    *slog.Logger
	Scope  tally.Scope
}

// ColdTargets knows which targets are cold, or may be, as far as this host has learnt
// it. Targets of services that are never cold are not. It is safe for concurrent use.
type ColdTargets struct {
	options          ColdOptions
	granted, denied  tally.Counter
	probed, unprobed tally.Counter
	targets          tally.Gauge

	mu      sync.Mutex // guards tracker; View is called without it
	tracker *cold.Tracker
	logged  []model.TargetID // cold targets that were logged last; used by Run only
}

// NewColdTargets returns ColdTargets without targets. Run keeps probing them.
func NewColdTargets(o ColdOptions) *ColdTargets {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	s := o.Scope.SubScope("cold")
	return &ColdTargets{
		options: o, tracker: cold.NewTracker(rand.Float64),
		granted: s.Counter("granted"), denied: s.Counter("denied"), probed: s.Counter("probes"), unprobed: s.Counter("probes_failed"),
		targets: s.Gauge("targets"),
	}
}

// service returns the service of a target if its targets may be cold.
func (c *ColdTargets) service(v *ingress.View, id model.TargetID) (ingress.Service, bool) {
	if v == nil {
		return ingress.Service{}, false
	}
	t, ok := v.Target(id)
	if !ok || len(t.Models) == 0 {
		return ingress.Service{}, false
	}
	s := v.Service(ingress.ServiceID(t.Models[0]))
	return s, s.ColdPerSecond > 0
}

// SetTargets applies a list of the targets that was read just now.
func (c *ColdTargets) SetTargets(list []ingress.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.SetTargets(c.options.Clock.Now(), list)
}

// ViewChanged applies the evacuated zones.
func (c *ColdTargets) ViewChanged(v *ingress.View) {
	evacuated := func(id model.TargetID) bool {
		t, ok := v.Target(id)
		return ok && t.Evacuated
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.SetEvacuated(c.options.Clock.Now(), evacuated)
}

// Lost records that a target refused a connection or broke one. down says that its
// machine answered so, which a network that loses packets does not.
func (c *ColdTargets) Lost(id model.TargetID, down bool) {
	v := c.options.View()
	s, ok := c.service(v, id)
	if !ok {
		return
	}
	var group []model.TargetID
	if self, _ := v.Target(id); down {
		for _, t := range v.Document().Targets {
			if t.Zone == self.Zone && slices.Contains(t.Models, model.ModelID(s.ID)) {
				group = append(group, t.Name)
			}
		}
	}
	c.mu.Lock()
	all := false
	if now := c.options.Clock.Now(); len(group) > 1 {
		all = c.tracker.SuspectGroup(now, id, group)
	} else {
		c.tracker.Suspect(now, id)
	}
	c.mu.Unlock()
	if all {
		c.options.Log.Warn("targets of a zone failed together, all of them count as cold", "target", id, "service", s.ID, "targets", len(group))
	}
}

// rate returns the rate at which one keeper may grant requests to a target, and
// whether the target is cold, or may be.
func (c *ColdTargets) rate(id model.TargetID) (pacing.Rate, bool) {
	if c == nil {
		return 0, false
	}
	c.mu.Lock()
	isCold := c.tracker.Cold(c.options.Clock.Now(), id)
	c.mu.Unlock()
	if !isCold {
		return 0, false
	}
	s, ok := c.service(c.options.View(), id)
	return c.options.Bound.GrantRate(s.ColdPerSecond), ok
}

func (c *ColdTargets) count(d pacing.Decision) {
	if _, ok := d.(pacing.Granted); ok {
		c.granted.Inc(1)
		return
	}
	c.denied.Inc(1)
}

// list returns the targets that are cold, or may be.
func (c *ColdTargets) list() []model.TargetID {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	list := c.tracker.List(c.options.Clock.Now())
	c.mu.Unlock()
	if len(list) == 0 {
		return nil
	}
	v := c.options.View()
	return slices.DeleteFunc(list, func(id model.TargetID) bool { _, ok := c.service(v, id); return !ok })
}

const (
	// coldTick is the time between two looks for probes that are due.
	coldTick = 500 * time.Millisecond
	// probeTimeout bounds one request for the health of a target.
	probeTimeout = time.Second
	// maxProbes is the number of probes that one host starts in a coldTick. Probes cost
	// the targets something.
	maxProbes = 4
)

// Run probes the targets that may be cold, and logs the cold ones, until ctx ends.
func (c *ColdTargets) Run(ctx context.Context) error {
	var probes sync.WaitGroup
	defer probes.Wait()
	ticker := c.options.Clock.NewTicker(coldTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
		}
		v := c.options.View()
		for _, p := range c.startProbes(v) {
			probes.Go(func() { c.probe(ctx, v, p) })
		}
		if list := c.list(); !slices.Equal(list, c.logged) {
			c.options.Log.Info("cold targets changed", "targets", list)
			c.targets.Update(float64(len(list)))
			c.logged = list
		}
	}
}

func (c *ColdTargets) startProbes(v *ingress.View) []cold.Probe {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.StartProbes(c.options.Clock.Now(), maxProbes, func(id model.TargetID) bool {
		s, ok := c.service(v, id)
		return ok && s.HealthPath != ""
	})
}

func (c *ColdTargets) probe(ctx context.Context, v *ingress.View, p cold.Probe) {
	ctx, cancel := clockwork.WithTimeout(ctx, c.options.Clock, probeTimeout)
	defer cancel()
	t, _ := v.Target(p.Target)
	s, _ := c.service(v, p.Target)
	coldFor, err := c.options.Prober.ProbeHealth(ctx, t, s.HealthPath)
	c.probed.Inc(1)
	if err != nil {
		c.unprobed.Inc(1)
		c.options.Log.Info("target did not say whether it is cold", "target", p.Target, "error", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.FinishProbe(c.options.Clock.Now(), p, err == nil, coldFor)
}

// Dump returns the state as shown to operators: the cold targets, as cold.State.
func (c *ColdTargets) Dump() any {
	list := c.list()
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(c.tracker.Dump(c.options.Clock.Now()), func(s cold.State) bool { return !slices.Contains(list, s.Target) })
}
