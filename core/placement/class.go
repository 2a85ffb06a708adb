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

// call is a waiting or running call.
type call struct {
	id              CallID
	request         Request
	program         *program // nil outside programs
	sequence        uint64   // order of arrival
	arrived         time.Time
	attainedService float64   // of the program on arrival, in prompt tokens
	class           *class    // nil once the call has left its queue
	done            bool      // granted, cancelled or requeued; the queue drops the entry later
	pinEnds         time.Time // end of the wait for the target in classKey.pin
	target          *target
	started         time.Time
	charged         float64 // service counted at the grant, corrected on release
	pool            *pool   // of the class in which it was granted
}

func (r *Request) programKey() model.ProgramKey {
	return model.ProgramKey{Workspace: r.Workspace, Program: r.Program}
}

// classKey identifies the set of targets that a call may use. The pin is the only
// allowed target of a call that waits for the target that holds its program.
type classKey struct {
	model      model.ModelID
	candidates string
	exclude    string
	pin        model.TargetID
}

func newClassKey(r *Request) classKey {
	return classKey{model: r.Model, candidates: joinSorted(r.Candidates), exclude: joinSorted(r.Exclude)}
}

func joinSorted(ids []model.TargetID) string {
	if len(ids) == 0 {
		return ""
	}
	names := make([]string, 0, len(ids))
	for _, id := range ids {
		names = append(names, string(id))
	}
	slices.Sort(names)
	return strings.Join(names, "\n") // target IDs contain no control characters
}

// class holds the waiting calls that may use the same targets. Each of them can
// run at any available target of the class, so no call blocks another.
type class struct {
	key              classKey
	candidates       []model.TargetID
	exclude          []model.TargetID
	targets          []*target
	available        int // number of available targets
	nextTarget       int // index in targets at which RoundRobin continues
	queues           []*callQueue
	queueByWorkspace map[model.WorkspaceID]*callQueue
	pool             *pool // nil: the class leaves no choice
}

func (c *class) mayUse(t *target) bool {
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

// callQueue holds waiting calls of a class: those of one workspace with
// FairShare, all of them with FirstCome. Entries of done calls are removed later.
type callQueue struct {
	share     *share
	index     int // in class.queues
	waiting   int
	byAge     []*call
	byService callHeap
}

// oldest returns the call that has waited longest.
func (q *callQueue) oldest() *call {
	for q.byAge[0].done {
		q.byAge[0] = nil
		q.byAge = q.byAge[1:]
	}
	return q.byAge[0]
}

func (q *callQueue) add(c *call) {
	i := len(q.byAge)
	for i > 0 && q.byAge[i-1].sequence > c.sequence { // a requeued call may be older
		i--
	}
	q.byAge = slices.Insert(q.byAge, i, c)
	heap.Push(&q.byService, c)
	q.waiting++
}

// head returns the call that runs next. The queue must not be empty.
func (q *callQueue) head(order Order, now time.Time) *call {
	oldest := q.oldest()
	p, ok := order.(FairShare)
	if !ok || now.Sub(oldest.arrived) >= p.AgeBound {
		return oldest
	}
	for q.byService[0].done {
		heap.Pop(&q.byService)
	}
	return q.byService[0]
}

// callHeap is a min-heap of calls by attained service, then by arrival.
type callHeap []*call

func (h callHeap) Len() int { return len(h) }

func (h callHeap) Less(i, j int) bool {
	if h[i].attainedService != h[j].attainedService {
		return h[i].attainedService < h[j].attainedService
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

// compact removes the entries of done calls once they outnumber those of
// waiting calls.
func (q *callQueue) compact() {
	if len(q.byService) <= 2*q.waiting+8 && len(q.byAge) <= 2*q.waiting+8 {
		return
	}
	isDone := func(c *call) bool { return c.done }
	q.byAge = slices.DeleteFunc(q.byAge, isDone)
	q.byService = slices.DeleteFunc(q.byService, isDone)
	heap.Init(&q.byService)
}

func (c *class) queueFor(s *share) *callQueue {
	q := c.queueByWorkspace[s.workspace]
	if q == nil {
		q = &callQueue{share: s, index: len(c.queues)}
		c.queueByWorkspace[s.workspace] = q
		c.queues = append(c.queues, q)
	}
	return q
}

// remove takes a call out of its queue, and an empty queue out of the class.
func (c *class) remove(q *callQueue, k *call) {
	k.done = true
	k.class = nil
	q.waiting--
	if q.waiting > 0 {
		q.compact()
		return
	}
	last := c.queues[len(c.queues)-1]
	c.queues[q.index] = last
	last.index = q.index
	c.queues = c.queues[:len(c.queues)-1]
	delete(c.queueByWorkspace, q.share.workspace)
}

// nextQueue returns the queue that is served next, or nil. In classes of engines
// it skips the queues of workspaces whose next call would exceed level.
func (c *class) nextQueue(order Order, now time.Time, level float64) *callQueue {
	var best *callQueue
	for _, q := range c.queues {
		if c.key.model != "" && q.share.exceedsLevel(level) {
			continue
		}
		if best == nil || queueBefore(q, best, order, now) {
			best = q
		}
	}
	return best
}

// queueBefore reports whether queue a is served before b.
func queueBefore(a, b *callQueue, order Order, now time.Time) bool {
	p, fair := order.(FairShare)
	switch {
	case fair && a.share.virtualTime != b.share.virtualTime:
		return a.share.virtualTime < b.share.virtualTime
	case fair && a.share == b.share: // queues of one workspace in two classes
		return headBefore(a.head(order, now), b.head(order, now), p.AgeBound, now)
	}
	return a.oldest().sequence < b.oldest().sequence
}

// headBefore reports whether a runs before b. They are the heads of two queues of
// one workspace.
func headBefore(a, b *call, bound time.Duration, now time.Time) bool {
	agedA, agedB := now.Sub(a.arrived) >= bound, now.Sub(b.arrived) >= bound
	if agedA != agedB {
		return agedA
	}
	if !agedA && a.attainedService != b.attainedService {
		return a.attainedService < b.attainedService
	}
	return a.sequence < b.sequence
}
