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

	"mimosarelay/core/loadboard"
	"mimosarelay/core/model"
)

// ErrNoTarget is returned for a call that no configured target can run.
var ErrNoTarget = errors.New("no target can run the call")

// Grant assigns a waiting call to a target, where it may run now.
type Grant struct {
	Call   CallID
	Target model.TargetID
}

// Scheduler holds the waiting and running calls of one host. It is not safe
// for concurrent use.
type Scheduler struct {
	options       Options
	random        *rand.Rand
	sequence      uint64
	targets       map[model.TargetID]*target
	sortedTargets []*target // by ID
	targetsByKey  map[loadboard.Key]*target
	classes       map[classKey]*class
	waiting       map[CallID]*call
	running       map[CallID]*call
	shares        map[model.WorkspaceID]*share
	fairLevel     float64 // see computeFairLevel
	heldBack      bool    // a call waits only because its workspace has used up its share
	allWorkspaces *share  // used for all workspaces with FirstCome
	virtualTime   float64 // highest virtual time of a share at a grant
	// promptScale is the moving average of the ratio of actual prompt tokens to
	// Request.Prompt, which is an upper bound.
	promptScale  float64
	programs     map[model.ProgramKey]*program
	lastSweep    time.Time
	heldPrograms []*program
	pinnedCalls  []*call
	prefixes     prefixIndex
	scored       []scoredTarget // reused by each decision
	homes        []scoredHome   // reused by each decision
	decision     uint64         // number of calls of findCached so far
	pools        map[classKey]*pool
	lastJudgment time.Time // of the speeds of targets
}

// NewScheduler returns a Scheduler without targets.
func NewScheduler(o Options) *Scheduler {
	return &Scheduler{
		options:       o.withDefaults(),
		random:        rand.New(rand.NewPCG(o.Seed, 0)),
		targets:       map[model.TargetID]*target{},
		classes:       map[classKey]*class{},
		waiting:       map[CallID]*call{},
		running:       map[CallID]*call{},
		shares:        map[model.WorkspaceID]*share{},
		allWorkspaces: &share{weight: 1},
		promptScale:   1,
		programs:      map[model.ProgramKey]*program{},
		prefixes:      newPrefixIndex(),
		fairLevel:     math.Inf(1),
		pools:         map[classKey]*pool{},
	}
}

// SetTargets replaces the targets. Calls in flight at a target that is no
// longer listed stay counted until they are released.
func (s *Scheduler) SetTargets(now time.Time, list []Target) []Grant {
	targets := make(map[model.TargetID]*target, len(list))
	for _, x := range list {
		t := s.targets[x.ID]
		if t == nil {
			t = &target{inFlight: map[CallID]*call{}, idHash: xxhash.Sum64String(string(x.ID))}
		}
		t.Target = x
		targets[x.ID] = t
	}
	for id, t := range s.targets {
		if targets[id] == nil {
			t.Limit = 0
			t.Models = nil
			t.cacheLostAt = now
			if len(t.inFlight) > 0 {
				targets[id] = t
			}
		}
	}
	s.targets = targets
	s.sortedTargets = slices.SortedFunc(maps.Values(targets), func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
	s.indexKeys()
	for _, t := range s.sortedTargets {
		t.classes = nil
	}
	for _, c := range s.classes {
		s.attachTargets(c)
	}
	for key, p := range s.pools {
		s.attachPool(key, p)
	}
	return s.grantAllWaiting(now)
}

// SetWeight sets the weight of a workspace, which must be positive. The default is
// 1.
func (s *Scheduler) SetWeight(w model.WorkspaceID, weight float64) {
	s.shareOf(w).weight = weight
}

// attachTargets finds the targets of a class and adds the class to each of them.
func (s *Scheduler) attachTargets(c *class) {
	c.targets = c.targets[:0]
	c.available = 0
	for _, t := range s.sortedTargets {
		if !c.mayUse(t) {
			continue
		}
		c.targets = append(c.targets, t)
		t.classes = append(t.classes, c)
		t.available = t.hasCapacity()
		if t.available {
			c.available++
		}
	}
}

// refresh updates the classes of a target after a change of its limit, skip or
// calls in flight.
func (t *target) refresh() {
	available := t.hasCapacity()
	if available == t.available {
		return
	}
	t.available = available
	for _, c := range t.classes {
		if available {
			c.available++
		} else {
			c.available--
		}
	}
}

// classFor returns the class with the key, created on first use.
func (s *Scheduler) classFor(key classKey, r *Request) *class {
	c := s.classes[key]
	if c == nil {
		c = &class{
			key: key, candidates: r.Candidates, exclude: r.Exclude,
			queueByWorkspace: map[model.WorkspaceID]*callQueue{},
		}
		s.classes[key] = c
		s.attachTargets(c)
		c.pool = s.poolFor(c)
	}
	return c
}

// dropIfEmpty removes an empty class that has exclusions or a pin, because few
// later calls would use it.
func (s *Scheduler) dropIfEmpty(c *class) {
	if len(c.queues) > 0 || c.key.exclude == "" && c.key.pin == "" {
		return
	}
	delete(s.classes, c.key)
	for _, t := range c.targets {
		// grantWaiting may be iterating over the old slice.
		t.classes = slices.DeleteFunc(slices.Clone(t.classes), func(x *class) bool { return x == c })
	}
}

// Add queues a call and returns the calls that are granted, which may include it.
// It fails with ErrNoTarget if no target is configured for the call or the call
// excludes all of them. IDs must be unique.
func (s *Scheduler) Add(now time.Time, id CallID, r Request) ([]Grant, error) {
	if s.waiting[id] != nil || s.running[id] != nil {
		return nil, fmt.Errorf("call %d is already waiting or running", id)
	}
	c := s.classFor(newClassKey(&r), &r)
	if len(c.targets) == 0 {
		s.dropIfUnused(c)
		return nil, ErrNoTarget
	}
	s.sequence++
	k := &call{id: id, request: r, sequence: s.sequence, arrived: now}
	var p *program
	if r.Program != "" {
		p = s.programFor(r.programKey())
		k.program = p
		if r.Model != "" {
			p.endPause(now)
		}
		p.activeCalls++
		k.attainedService = p.attainedService
	}
	sh := s.shareOf(r.Workspace)
	if sh.calls == 0 { // an idle workspace accumulates no credit
		sh.virtualTime = max(sh.virtualTime, s.virtualTime)
	}
	sh.calls++
	if r.Model != "" {
		sh.engineDemand++
	}
	if t, ends := s.pinTarget(p, c, now); t != nil {
		k.pinEnds = ends
		key := c.key
		key.pin = t.ID
		c = s.classFor(key, &r)
		s.pinnedCalls = append(s.pinnedCalls, k)
	}
	if p != nil && r.Model != "" { // a call to a service does not end the pause
		p.releaseHold()
	}
	s.waiting[id] = k
	s.enqueue(c, k)
	return s.grantWaiting(now, []*class{c}), nil
}

// dropIfUnused removes a class without targets that has no waiting calls.
func (s *Scheduler) dropIfUnused(c *class) {
	if len(c.queues) == 0 {
		delete(s.classes, c.key)
	}
}

func (s *Scheduler) enqueue(c *class, k *call) {
	k.class = c
	k.done = false
	c.queueFor(s.queueShare(k.request.Workspace)).add(k)
}

// dequeue removes a call from its queue.
func (s *Scheduler) dequeue(k *call) {
	c := k.class
	c.remove(c.queueByWorkspace[s.queueShare(k.request.Workspace).workspace], k)
	s.dropIfEmpty(c)
}

// programFor returns the state of a program, created on first use.
func (s *Scheduler) programFor(key model.ProgramKey) *program {
	p := s.programs[key]
	if p == nil {
		p = &program{}
		s.programs[key] = p
	}
	return p
}

// grantWaiting grants waiting calls of the classes while targets are available.
func (s *Scheduler) grantWaiting(now time.Time, classes []*class) []Grant {
	var grants []Grant
	for {
		var nextClass *class
		var nextQueue *callQueue
		level := s.currentLevel()
		for _, c := range classes {
			if c.available == 0 || len(c.queues) == 0 {
				continue
			}
			q := c.nextQueue(s.options.Order, now, level)
			if q == nil {
				s.heldBack = true
				continue
			}
			if nextQueue == nil || queueBefore(q, nextQueue, s.options.Order, now) {
				nextClass, nextQueue = c, q
			}
		}
		if nextQueue == nil {
			return grants
		}
		k := nextQueue.head(s.options.Order, now)
		grants = append(grants, s.grant(now, nextClass, k))
	}
}

func (s *Scheduler) grantAllWaiting(now time.Time) []Grant {
	return s.grantWaiting(now, slices.SortedFunc(maps.Values(s.classes), compareClasses))
}

func compareClasses(a, b *class) int {
	return cmp.Or(
		cmp.Compare(a.key.model, b.key.model),
		cmp.Compare(a.key.candidates, b.key.candidates),
		cmp.Compare(a.key.exclude, b.key.exclude),
		cmp.Compare(a.key.pin, b.key.pin),
	)
}

// grant starts a call at an available target of the class.
func (s *Scheduler) grant(now time.Time, c *class, k *call) Grant {
	t := s.chooseTarget(c, k, now)
	k.pool = c.pool
	s.dequeue(k)
	delete(s.waiting, k.id)
	s.running[k.id] = k
	k.target = t
	k.started = now
	t.startCall(k)
	t.refresh()
	sh := s.shareOf(k.request.Workspace)
	if k.request.Model != "" {
		sh.engineCalls++
	}
	s.virtualTime = max(s.virtualTime, sh.virtualTime)
	prompt := s.expectedPrompt(&k.request)
	k.charged = float64(prompt)
	sh.virtualTime += k.charged / sh.weight
	s.recordPrefixes(&k.request, prompt, t, now)
	return Grant{Call: k.id, Target: t.ID}
}

// Cancel removes a waiting call from the queue. It returns false if the call is
// not waiting, for example because it was granted.
func (s *Scheduler) Cancel(id CallID) bool {
	k := s.waiting[id]
	if k == nil {
		return false
	}
	delete(s.waiting, id)
	s.dequeue(k)
	s.finishCall(k, time.Time{})
	return true
}

// finishCall removes a call from the counts of its workspace and program, and
// returns the program, or nil for a call outside programs. For a call that was
// cancelled before it ran, ended is the zero time.
func (s *Scheduler) finishCall(k *call, ended time.Time) *program {
	sh := s.shareOf(k.request.Workspace)
	sh.calls--
	if k.request.Model != "" {
		sh.engineDemand--
	}
	p := k.program
	if p == nil {
		return nil
	}
	p.activeCalls--
	if !ended.IsZero() && k.request.Model != "" {
		p.lastEngineEnd = ended
	}
	return p
}

// Release ends a granted call and returns the calls that are granted in turn.
// Releasing a call twice has no effect.
func (s *Scheduler) Release(now time.Time, id CallID, u Usage) []Grant {
	k := s.running[id]
	if k == nil {
		return nil
	}
	delete(s.running, id)
	t := k.target
	t.endCall(k, now)
	served := s.serviceCost(u)
	if u.Failed {
		served = max(served, k.charged) // the target worked but did not report its usage
	}
	s.updatePromptScale(&k.request, u)
	if k.pool != nil && !u.Failed {
		k.pool.observe(t, u, now.Sub(k.started), now)
	}
	sh := s.shareOf(k.request.Workspace)
	if k.request.Model != "" {
		sh.engineCalls--
	}
	sh.virtualTime += (served - k.charged) / sh.weight
	p := s.finishCall(k, now)
	if p != nil {
		p.attainedService += served
	}
	if !u.Failed && u.Prompt > 0 {
		s.recordPrefixes(&k.request, u.Prompt, t, now)
		if p != nil {
			p.lastMessages = len(k.request.Prefixes)
		}
		if p != nil && p.activeCalls == 0 {
			s.hold(p, t, u.Prompt+u.Completion, now)
		}
	}
	t.refresh()
	return s.grantWaiting(now, t.classes)
}

// promptScaleWeight is the weight of the last call in the moving average.
const promptScaleWeight = 0.02

// updatePromptScale updates promptScale with the actual size of a prompt.
func (s *Scheduler) updatePromptScale(r *Request, u Usage) {
	if u.Prompt <= 0 || r.Prompt <= 0 {
		return
	}
	ratio := min(float64(u.Prompt)/float64(r.Prompt), 1)
	s.promptScale += promptScaleWeight * (ratio - s.promptScale)
}

// expectedPrompt estimates the prompt tokens of a call.
func (s *Scheduler) expectedPrompt(r *Request) model.Tokens {
	return model.Tokens(s.promptScale * float64(r.Prompt))
}

// SetLimit changes the limit of a target and returns the calls that are granted.
func (s *Scheduler) SetLimit(now time.Time, id model.TargetID, limit int) []Grant {
	t := s.targets[id]
	if t == nil || t.Limit == limit {
		return nil
	}
	t.Limit = limit
	t.refresh()
	return s.grantWaiting(now, t.classes)
}

// Report records a target's report of its load.
func (s *Scheduler) Report(id model.TargetID, l Load) {
	if t := s.targets[id]; t != nil {
		t.setLoad(l)
		t.sharing.heard = l
	}
}

// SetSkip takes a target out of use or puts it back into use.
func (s *Scheduler) SetSkip(now time.Time, id model.TargetID, skip bool) []Grant {
	t := s.targets[id]
	if t == nil {
		return nil
	}
	t.Skip = skip
	t.refresh()
	return s.grantWaiting(now, t.classes)
}

// LostCache records that a target restarted and has lost its cached prefixes.
func (s *Scheduler) LostCache(now time.Time, id model.TargetID) {
	if t := s.targets[id]; t != nil {
		t.cacheLostAt = now
	}
}

// EndProgram releases the hold of a program. It also removes the program's state
// if none of its calls is waiting or running.
func (s *Scheduler) EndProgram(key model.ProgramKey) {
	p := s.programs[key]
	if p == nil {
		return
	}
	p.releaseHold()
	if p.activeCalls == 0 {
		delete(s.programs, key)
	}
}

// sweepInterval is the time between two removals of idle programs.
const sweepInterval = time.Minute

// Tick computes the fair level, ends expired holds and pins, removes idle
// programs and returns the calls that are granted as a result. It must be called
// about every 100 ms.
func (s *Scheduler) Tick(now time.Time) []Grant {
	if p, ok := s.options.Order.(FairShare); ok {
		s.fairLevel = s.computeFairLevel(p)
	}
	s.updatePools(now)
	s.releaseExpiredHolds(now)
	moved := s.requeueExpiredPins(now)
	if now.Sub(s.lastSweep) >= sweepInterval {
		s.lastSweep = now
		for key, p := range s.programs {
			if p.activeCalls == 0 && now.Sub(p.lastEngineEnd) >= programIdleTimeout {
				p.releaseHold()
				delete(s.programs, key)
			}
		}
	}
	if !moved && !s.heldBack {
		return nil
	}
	s.heldBack = false
	return s.grantAllWaiting(now)
}

// requeueExpiredPins moves calls that have waited long enough for the target of
// their program, or whose target is out of use, to the queue for all targets. It
// reports whether it moved any.
func (s *Scheduler) requeueExpiredPins(now time.Time) bool {
	moved := false
	kept := s.pinnedCalls[:0]
	for _, k := range s.pinnedCalls {
		switch {
		case k.done:
		case now.Before(k.pinEnds) && !k.class.blocked():
			kept = append(kept, k)
		default:
			key := k.class.key
			key.pin = ""
			s.dequeue(k)
			requeued := *k // the queues of the old class may still hold k
			s.waiting[k.id] = &requeued
			s.enqueue(s.classFor(key, &requeued.request), &requeued)
			moved = true
		}
	}
	clear(s.pinnedCalls[len(kept):])
	s.pinnedCalls = kept
	return moved
}

// blocked reports whether every target of the class is skipped or has limit 0.
func (c *class) blocked() bool {
	for _, t := range c.targets {
		if !t.Skip && t.Limit > 0 {
			return false
		}
	}
	return true
}
