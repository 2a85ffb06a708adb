package placement

import (
	"container/heap"
	"slices"
	"strings"
	"time"

	"mimosarelay/core/model"
)

// CallID identifies a call within a Scheduler.
type CallID uint64

// call is one waiting or running call.
type call struct {
	id       CallID
	request  Request
	program  *program // nil outside programs
	sequence uint64   // order of arrival
	arrived  time.Time
	attained float64 // service of the program on arrival, in prompt tokens
	class    *class  // nil once the call runs
	done     bool    // granted or cancelled; the queues drop it later
	pinEnds  time.Time
	target   *target
	started  time.Time
	charged  float64
}

func (r *Request) key() model.ProgramKey {
	return model.ProgramKey{Workspace: r.Workspace, Program: r.Program}
}

// classKey describes the targets that a call may use.
type classKey struct {
	model      model.ModelID
	candidates string
	exclude    string
	pin        model.TargetID
}

func keyOf(r *Request) classKey {
	return classKey{model: r.Model, candidates: join(r.Candidates), exclude: join(r.Exclude)}
}

func join(ids []model.TargetID) string {
	if len(ids) == 0 {
		return ""
	}
	names := make([]string, 0, len(ids))
	for _, id := range ids {
		names = append(names, string(id))
	}
	slices.Sort(names)
	return strings.Join(names, "\n") // names contain no control characters
}

// class holds the waiting calls that may use the same targets. Any of them can
// take any free target of the class, so none blocks another.
type class struct {
	key        classKey
	candidates []model.TargetID
	exclude    []model.TargetID
	targets    []*target
	free       int // number of targets with room
	next       int // position of RoundRobin
	lanes      []*lane
	byName     map[model.WorkspaceID]*lane
}

func (c *class) serves(t *target) bool {
	if c.key.pin != "" && c.key.pin != t.ID {
		return false
	}
	if slices.Contains(c.exclude, t.ID) {
		return false
	}
	if c.key.model != "" {
		return slices.Contains(t.Models, c.key.model)
	}
	return slices.Contains(c.candidates, t.ID)
}

// lane holds the waiting calls of a class that share a queue: those of one
// workspace with FairShare, all with FirstCome.
type lane struct {
	share    *share
	position int // in class.lanes
	waiting  int
	byAge    []*call
	byNeed   callHeap
}

// oldest returns the longest waiting call.
func (l *lane) oldest() *call {
	for l.byAge[0].done {
		l.byAge[0] = nil
		l.byAge = l.byAge[1:]
	}
	return l.byAge[0]
}

func (l *lane) add(c *call) {
	i := len(l.byAge)
	for i > 0 && l.byAge[i-1].sequence > c.sequence { // a call that was pinned before
		i--
	}
	l.byAge = slices.Insert(l.byAge, i, c)
	heap.Push(&l.byNeed, c)
	l.waiting++
}

// head returns the call that runs next. The lane is not empty.
func (l *lane) head(order Order, now time.Time) *call {
	oldest := l.oldest()
	p, ok := order.(FairShare)
	if !ok || now.Sub(oldest.arrived) >= p.AgeBound {
		return oldest
	}
	for l.byNeed[0].done {
		heap.Pop(&l.byNeed)
	}
	return l.byNeed[0]
}

// callHeap orders calls by attained service, then by arrival.
type callHeap []*call

func (h callHeap) Len() int { return len(h) }

func (h callHeap) Less(i, j int) bool {
	if h[i].attained != h[j].attained {
		return h[i].attained < h[j].attained
	}
	return h[i].sequence < h[j].sequence
}

func (h callHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *callHeap) Push(x any) { *h = append(*h, x.(*call)) }

// Pop implements heap.Interface.
func (h *callHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return c
}

// compact drops the entries of calls that left, once they outnumber the
// others.
func (l *lane) compact() {
	if len(l.byNeed) <= 2*l.waiting+8 && len(l.byAge) <= 2*l.waiting+8 {
		return
	}
	gone := func(c *call) bool { return c.done }
	l.byAge = slices.DeleteFunc(l.byAge, gone)
	l.byNeed = slices.DeleteFunc(l.byNeed, gone)
	heap.Init(&l.byNeed)
}

func (c *class) lane(s *share) *lane {
	l := c.byName[s.workspace]
	if l == nil {
		l = &lane{share: s, position: len(c.lanes)}
		c.byName[s.workspace] = l
		c.lanes = append(c.lanes, l)
	}
	return l
}

// leave removes a call from its lane.
func (c *class) leave(l *lane, k *call) {
	k.done = true
	k.class = nil
	l.waiting--
	if l.waiting > 0 {
		l.compact()
		return
	}
	last := c.lanes[len(c.lanes)-1]
	c.lanes[l.position] = last
	last.position = l.position
	c.lanes = c.lanes[:len(c.lanes)-1]
	delete(c.byName, l.share.workspace)
}

// first returns the lane that is served next, or nil. It passes over lanes of
// workspaces that exceed a part of the engines.
func (c *class) first(order Order, now time.Time, part float64) *lane {
	var best *lane
	for _, l := range c.lanes {
		if c.key.model != "" && l.share.exceeds(part) {
			continue
		}
		if best == nil || before(l, best, order, now) {
			best = l
		}
	}
	return best
}

func before(a, b *lane, order Order, now time.Time) bool {
	p, fair := order.(FairShare)
	switch {
	case fair && a.share.virtual != b.share.virtual:
		return a.share.virtual < b.share.virtual
	case fair && a.share == b.share: // lanes of one workspace in two classes
		return headBefore(a.head(order, now), b.head(order, now), p.AgeBound, now)
	}
	return a.oldest().sequence < b.oldest().sequence
}

// headBefore compares the heads of two lanes of a workspace.
func headBefore(a, b *call, bound time.Duration, now time.Time) bool {
	agedA, agedB := now.Sub(a.arrived) >= bound, now.Sub(b.arrived) >= bound
	if agedA != agedB {
		return agedA
	}
	if !agedA && a.attained != b.attained {
		return a.attained < b.attained
	}
	return a.sequence < b.sequence
}
