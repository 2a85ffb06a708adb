package placement

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosarelay/core/model"
)

// ErrNoTarget reports a call that no configured target may run.
var ErrNoTarget = errors.New("no target can run the call")

// Grant lets a waiting call run at a target.
type Grant struct {
	Call   CallID
	Target model.TargetID
}

// share is the service that a workspace received.
type share struct {
	workspace model.WorkspaceID
	weight    float64
	// virtual is the service in prompt tokens divided by the weight.
	virtual float64
	calls   int // waiting and running
	engines int // calls that run at engines
	wanted  int // calls that wait for engines or run there
}

// exceeds reports whether one more call exceeds a workspace's part of the
// places at engines, given as places by weight.
func (sh *share) exceeds(part float64) bool {
	return sh.engines > 0 && float64(sh.engines+1) > part*sh.weight
}

// Scheduler holds the waiting and running calls of one host. It is not safe
// for concurrent use.
type Scheduler struct {
	options  Options
	random   *rand.Rand
	sequence uint64
	targets  map[model.TargetID]*target
	sorted   []*target // by id
	classes  map[classKey]*class
	waiting  map[CallID]*call
	running  map[CallID]*call
	shares   map[model.WorkspaceID]*share
	level    float64 // see fairLevel
	kept     bool    // a call waits although a target has room
	all      *share  // stands for all workspaces with FirstCome
	virtual  float64 // of the workspace that was served last
	// scale is the mean of actual prompt tokens by Request.Prompt, which is an
	// upper bound.
	scale    float64
	programs map[model.ProgramKey]*program
	swept    time.Time
	holds    []*program
	pinned   []*call
	index    prefixIndex
	scratch  []scored
	homes    []scoredHome // of the present decision
	decision uint64       // number of searches for cached prefixes
}

// NewScheduler returns a Scheduler without targets.
func NewScheduler(o Options) *Scheduler {
	return &Scheduler{
		options:  o.withDefaults(),
		random:   rand.New(rand.NewPCG(o.Seed, 0)),
		targets:  map[model.TargetID]*target{},
		classes:  map[classKey]*class{},
		waiting:  map[CallID]*call{},
		running:  map[CallID]*call{},
		shares:   map[model.WorkspaceID]*share{},
		all:      &share{weight: 1},
		scale:    1,
		programs: map[model.ProgramKey]*program{},
		index:    newPrefixIndex(),
		level:    math.Inf(1),
	}
}

// SetTargets replaces the targets. Calls in flight at a target that is no
// longer listed stay counted until they are released.
func (s *Scheduler) SetTargets(now time.Time, list []Target) []Grant {
	targets := make(map[model.TargetID]*target, len(list))
	for _, x := range list {
		t := s.targets[x.ID]
		if t == nil {
			t = &target{inFlight: map[CallID]*call{}, hash: xxhash.Sum64String(string(x.ID))}
		}
		t.Target = x
		targets[x.ID] = t
	}
	for id, t := range s.targets {
		if targets[id] == nil {
			t.Limit = 0
			t.Models = nil
			t.lost = now
			if len(t.inFlight) > 0 {
				targets[id] = t
			}
		}
	}
	s.targets = targets
	s.sorted = slices.SortedFunc(maps.Values(targets), func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
	for _, t := range s.sorted {
		t.classes = nil
	}
	for _, c := range s.classes {
		s.attach(c)
	}
	return s.fillAll(now)
}

// SetWeight sets the weight of a workspace, which must be positive. Without a
// call it is 1.
func (s *Scheduler) SetWeight(w model.WorkspaceID, weight float64) {
	s.share(w).weight = weight
}

// attach finds the targets of a class.
func (s *Scheduler) attach(c *class) {
	c.targets = c.targets[:0]
	c.free = 0
	for _, t := range s.sorted {
		if !c.serves(t) {
			continue
		}
		c.targets = append(c.targets, t)
		t.classes = append(t.classes, c)
		t.free = t.hasRoom()
		if t.free {
			c.free++
		}
	}
}

// refresh updates the classes of a target after a change of its state.
func (t *target) refresh() {
	free := t.hasRoom()
	if free == t.free {
		return
	}
	t.free = free
	for _, c := range t.classes {
		if free {
			c.free++
		} else {
			c.free--
		}
	}
}

func (s *Scheduler) class(key classKey, r *Request) *class {
	c := s.classes[key]
	if c == nil {
		c = &class{key: key, candidates: r.Candidates, exclude: r.Exclude, byName: map[model.WorkspaceID]*lane{}}
		s.classes[key] = c
		s.attach(c)
	}
	return c
}

// tidy drops an empty class that few calls share.
func (s *Scheduler) tidy(c *class) {
	if len(c.lanes) > 0 || c.key.exclude == "" && c.key.pin == "" {
		return
	}
	delete(s.classes, c.key)
	for _, t := range c.targets {
		// fill may be reading the old slice.
		t.classes = slices.DeleteFunc(slices.Clone(t.classes), func(x *class) bool { return x == c })
	}
}

func (s *Scheduler) share(w model.WorkspaceID) *share {
	sh := s.shares[w]
	if sh == nil {
		sh = &share{workspace: w, weight: 1, virtual: s.virtual}
		s.shares[w] = sh
	}
	return sh
}

// laneShare is the share whose lane a call joins.
func (s *Scheduler) laneShare(w model.WorkspaceID) *share {
	if _, ok := s.options.Order.(FairShare); ok {
		return s.share(w)
	}
	return s.all
}

// Add queues a call. It fails with ErrNoTarget if no target is configured for
// it, apart from those it excludes. Ids must be unique.
func (s *Scheduler) Add(now time.Time, id CallID, r Request) ([]Grant, error) {
	if s.waiting[id] != nil || s.running[id] != nil {
		return nil, fmt.Errorf("call %d is already queued", id)
	}
	c := s.class(keyOf(&r), &r)
	if len(c.targets) == 0 {
		s.tidyUnused(c)
		return nil, ErrNoTarget
	}
	s.sequence++
	k := &call{id: id, request: r, sequence: s.sequence, arrived: now}
	var p *program
	if r.Program != "" {
		p = s.program(r.key())
		k.program = p
		if r.Model != "" {
			p.resume(now)
		}
		p.active++
		k.attained = p.attained
	}
	sh := s.share(r.Workspace)
	if sh.calls == 0 { // an idle workspace saves up no service
		sh.virtual = max(sh.virtual, s.virtual)
	}
	sh.calls++
	if r.Model != "" {
		sh.wanted++
	}
	if t, ends := s.pin(p, c, now); t != nil {
		k.pinEnds = ends
		key := c.key
		key.pin = t.ID
		c = s.class(key, &r)
		s.pinned = append(s.pinned, k)
	}
	if p != nil && r.Model != "" { // calls to services are part of the pause
		p.unhold()
	}
	s.waiting[id] = k
	s.enqueue(c, k)
	return s.fill(now, []*class{c}), nil
}

func (s *Scheduler) tidyUnused(c *class) {
	if len(c.lanes) == 0 {
		delete(s.classes, c.key)
	}
}

func (s *Scheduler) enqueue(c *class, k *call) {
	k.class = c
	k.done = false
	c.lane(s.laneShare(k.request.Workspace)).add(k)
}

// dequeue takes a call out of its class.
func (s *Scheduler) dequeue(k *call) {
	c := k.class
	c.leave(c.byName[s.laneShare(k.request.Workspace).workspace], k)
	s.tidy(c)
}

func (s *Scheduler) program(key model.ProgramKey) *program {
	p := s.programs[key]
	if p == nil {
		p = &program{}
		s.programs[key] = p
	}
	return p
}

// enginePlaces returns the places at engines in use and those that are taken.
func (s *Scheduler) enginePlaces() (places, taken int) {
	for _, t := range s.sorted {
		if len(t.Models) > 0 && !t.Skip {
			places += t.Limit
			taken += len(t.inFlight)
		}
	}
	return places, taken
}

// part returns the places at engines per weight that bind workspaces now.
// None are bound while more places are open than FairShare keeps.
func (s *Scheduler) part() float64 {
	p, ok := s.options.Order.(FairShare)
	if !ok || math.IsInf(s.level, 1) {
		return math.Inf(1)
	}
	places, taken := s.enginePlaces()
	if float64(taken) < p.UnreservedFraction*float64(places) {
		return math.Inf(1)
	}
	return s.level
}

// fairLevel divides the open places at engines among the workspaces by weight,
// where none gets more than it wants (max-min fairness), and returns the
// places by weight of those that want more. It is infinite if all get what
// they want. It is at least the part of all places that each workspace gets
// if all want more, so that all places are used then.
func (s *Scheduler) fairLevel(p FairShare) float64 {
	var active []*share
	weights := 0.0
	for _, sh := range s.shares {
		if sh.wanted > 0 {
			active = append(active, sh)
		}
	}
	slices.SortFunc(active, func(a, b *share) int {
		return cmp.Or(
			cmp.Compare(float64(a.wanted)/a.weight, float64(b.wanted)/b.weight),
			cmp.Compare(a.workspace, b.workspace),
		)
	})
	for _, sh := range active {
		weights += sh.weight
	}
	places, _ := s.enginePlaces()
	least := float64(places) / weights
	left := p.UnreservedFraction * float64(places)
	for _, sh := range active {
		if float64(sh.wanted)*weights > left*sh.weight {
			return max(left/weights, least)
		}
		left -= float64(sh.wanted)
		weights -= sh.weight
	}
	return math.Inf(1)
}

// fill grants waiting calls of the classes while their targets have room.
func (s *Scheduler) fill(now time.Time, classes []*class) []Grant {
	var grants []Grant
	for {
		var from *class
		var next *lane
		part := s.part()
		for _, c := range classes {
			if c.free == 0 || len(c.lanes) == 0 {
				continue
			}
			l := c.first(s.options.Order, now, part)
			if l == nil {
				s.kept = true
				continue
			}
			if next == nil || before(l, next, s.options.Order, now) {
				from, next = c, l
			}
		}
		if next == nil {
			return grants
		}
		k := next.head(s.options.Order, now)
		grants = append(grants, s.grant(now, from, k))
	}
}

func (s *Scheduler) fillAll(now time.Time) []Grant {
	return s.fill(now, slices.SortedFunc(maps.Values(s.classes), compareClasses))
}

func compareClasses(a, b *class) int {
	return cmp.Or(
		cmp.Compare(a.key.model, b.key.model),
		cmp.Compare(a.key.candidates, b.key.candidates),
		cmp.Compare(a.key.exclude, b.key.exclude),
		cmp.Compare(a.key.pin, b.key.pin),
	)
}

// grant starts a call at a target of the class with room.
func (s *Scheduler) grant(now time.Time, c *class, k *call) Grant {
	t := s.choose(c, k, now)
	s.dequeue(k)
	delete(s.waiting, k.id)
	s.running[k.id] = k
	k.target = t
	k.started = now
	t.begin(k)
	t.refresh()
	sh := s.share(k.request.Workspace)
	if k.request.Model != "" {
		sh.engines++
	}
	s.virtual = max(s.virtual, sh.virtual)
	prompt := s.expected(&k.request)
	k.charged = float64(prompt)
	sh.virtual += k.charged / sh.weight
	s.remember(&k.request, prompt, t, now)
	return Grant{Call: k.id, Target: t.ID}
}

// Cancel takes a waiting call out of the queue. It returns false if the call
// does not wait, for example because it was granted.
func (s *Scheduler) Cancel(id CallID) bool {
	k := s.waiting[id]
	if k == nil {
		return false
	}
	delete(s.waiting, id)
	s.dequeue(k)
	s.leave(k, time.Time{})
	return true
}

// leave ends the use of the shared records by a call.
func (s *Scheduler) leave(k *call, ended time.Time) *program {
	sh := s.share(k.request.Workspace)
	sh.calls--
	if k.request.Model != "" {
		sh.wanted--
	}
	p := k.program
	if p == nil {
		return nil
	}
	p.active--
	if !ended.IsZero() && k.request.Model != "" {
		p.ended = ended
	}
	return p
}

// Release ends a granted call. A second release of the same call changes
// nothing.
func (s *Scheduler) Release(now time.Time, id CallID, u Usage) []Grant {
	k := s.running[id]
	if k == nil {
		return nil
	}
	delete(s.running, id)
	t := k.target
	t.end(k, now)
	served := s.service(u)
	if u.Failed {
		served = max(served, k.charged) // the target worked without reporting it
	}
	s.learn(&k.request, u)
	sh := s.share(k.request.Workspace)
	if k.request.Model != "" {
		sh.engines--
	}
	sh.virtual += (served - k.charged) / sh.weight
	p := s.leave(k, now)
	if p != nil {
		p.attained += served
	}
	if !u.Failed && u.Prompt > 0 {
		s.remember(&k.request, u.Prompt, t, now)
		if p != nil {
			p.messages = len(k.request.Prefixes)
		}
		if p != nil && p.active == 0 {
			s.hold(p, t, u.Prompt+u.Completion, now)
		}
	}
	t.refresh()
	return s.fill(now, t.classes)
}

// service returns the cost of a call in prompt tokens. Cached tokens are free.
func (s *Scheduler) service(u Usage) float64 {
	weight := float64(defaultOutputWeight)
	if p, ok := s.options.Order.(FairShare); ok {
		weight = p.OutputWeight
	}
	return float64(max(u.Prompt-u.Cached, 0)) + weight*float64(u.Completion)
}

// scaleWeight is the weight of the last call in the mean.
const scaleWeight = 0.02

// learn compares the bound of a prompt with its actual size.
func (s *Scheduler) learn(r *Request, u Usage) {
	if u.Prompt <= 0 || r.Prompt <= 0 {
		return
	}
	ratio := min(float64(u.Prompt)/float64(r.Prompt), 1)
	s.scale += scaleWeight * (ratio - s.scale)
}

// expected estimates the prompt tokens of a call.
func (s *Scheduler) expected(r *Request) model.Tokens {
	return model.Tokens(s.scale * float64(r.Prompt))
}

// SetLimit changes the limit of a target.
func (s *Scheduler) SetLimit(now time.Time, id model.TargetID, limit int) []Grant {
	t := s.targets[id]
	if t == nil || t.Limit == limit {
		return nil
	}
	t.Limit = limit
	t.refresh()
	return s.fill(now, t.classes)
}

// InFlight returns the calls in flight at a target from this host.
func (s *Scheduler) InFlight(id model.TargetID) int {
	if t := s.targets[id]; t != nil {
		return len(t.inFlight)
	}
	return 0
}

// Awaited reports whether a waiting call may use the target.
func (s *Scheduler) Awaited(id model.TargetID) bool {
	t := s.targets[id]
	if t == nil {
		return false
	}
	for _, c := range t.classes {
		if len(c.lanes) > 0 {
			return true
		}
	}
	return false
}

// Capacity describes what this host could offer a call.
type Capacity struct {
	Targets int // that serve the call and are in use
	Places  int // of this host at these targets
	Taken   int // places in which calls run
	Waiting int // calls that wait for the same targets
}

// Capacity describes the targets that a request may use.
func (s *Scheduler) Capacity(r Request) Capacity {
	var room Capacity
	c := s.classes[keyOf(&r)]
	if c == nil {
		return room
	}
	for _, t := range c.targets {
		if t.Skip {
			continue
		}
		room.Targets++
		room.Places += t.Limit
		room.Taken += len(t.inFlight)
	}
	for _, l := range c.lanes {
		room.Waiting += l.waiting
	}
	return room
}

// Starved returns the targets without a place for this host that waiting calls
// need, because no other target that they may use has one. They are sorted.
func (s *Scheduler) Starved() []model.TargetID {
	var list []model.TargetID
	for _, c := range s.classes {
		if len(c.lanes) == 0 || !c.stuck() {
			continue
		}
		for _, t := range c.targets {
			if t.Limit <= 0 {
				list = append(list, t.ID)
			}
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// Report takes over a target's report of its load.
func (s *Scheduler) Report(id model.TargetID, l Load) {
	if t := s.targets[id]; t != nil {
		t.report(l)
	}
}

// SetSkip takes a target out of use or into use again.
func (s *Scheduler) SetSkip(now time.Time, id model.TargetID, skip bool) []Grant {
	t := s.targets[id]
	if t == nil {
		return nil
	}
	t.Skip = skip
	t.refresh()
	return s.fill(now, t.classes)
}

// LostCache tells that a target restarted and holds no prefix any more.
func (s *Scheduler) LostCache(now time.Time, id model.TargetID) {
	if t := s.targets[id]; t != nil {
		t.lost = now
	}
}

// EndProgram forgets a program.
func (s *Scheduler) EndProgram(key model.ProgramKey) {
	p := s.programs[key]
	if p == nil {
		return
	}
	p.unhold()
	if p.active == 0 {
		delete(s.programs, key)
	}
}

// sweepInterval is the time between two searches for programs to forget.
const sweepInterval = time.Minute

// Tick handles the passing of time: the ends of holds and of waits for a
// particular target. It is called about every 100 ms.
func (s *Scheduler) Tick(now time.Time) []Grant {
	if p, ok := s.options.Order.(FairShare); ok {
		s.level = s.fairLevel(p)
	}
	s.endHolds(now)
	moved := s.endPins(now)
	if now.Sub(s.swept) >= sweepInterval {
		s.swept = now
		for key, p := range s.programs {
			if p.active == 0 && now.Sub(p.ended) >= forgetProgram {
				p.unhold()
				delete(s.programs, key)
			}
		}
	}
	if !moved && !s.kept {
		return nil
	}
	s.kept = false
	return s.fillAll(now)
}

// endPins moves calls that waited long enough for the target of their program
// to the queue for all targets.
func (s *Scheduler) endPins(now time.Time) bool {
	moved := false
	kept := s.pinned[:0]
	for _, k := range s.pinned {
		switch {
		case k.done:
		case now.Before(k.pinEnds) && !k.class.stuck():
			kept = append(kept, k)
		default:
			key := k.class.key
			key.pin = ""
			s.dequeue(k)
			again := *k // the queues of the old class may still refer to k
			s.waiting[k.id] = &again
			s.enqueue(s.class(key, &again.request), &again)
			moved = true
		}
	}
	clear(s.pinned[len(kept):])
	s.pinned = kept
	return moved
}

// stuck reports whether no target of the class is in use.
func (c *class) stuck() bool {
	for _, t := range c.targets {
		if !t.Skip && t.Limit > 0 {
			return false
		}
	}
	return true
}
