package main

import (
	"container/heap"
	"time"
)

// startTime is the simulated time at which each run starts.
var startTime = time.Unix(1_800_000_000, 0)

// event is a function that runs at a simulated time.
type event struct {
	at       time.Duration // since startTime
	sequence uint64
	run      func()
}

// eventQueue is the simulated clock and the events to come. Events at the same
// time run in the order in which they were scheduled.
type eventQueue struct {
	now      time.Duration
	sequence uint64
	pending  eventHeap
	recycled []*event // for reuse: allocating each event took a tenth of the run time
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(*event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return x
}

// clockTime returns the current simulated time.
func (q *eventQueue) clockTime() time.Time { return startTime.Add(q.now) }

// schedule runs a function after d of simulated time.
func (q *eventQueue) schedule(d time.Duration, run func()) {
	q.sequence++
	x := &event{}
	if n := len(q.recycled); n > 0 {
		x = q.recycled[n-1]
		q.recycled = q.recycled[:n-1]
	}
	*x = event{at: q.now + d, sequence: q.sequence, run: run}
	heap.Push(&q.pending, x)
}

// runNext runs the next event. It returns false if there is none.
func (q *eventQueue) runNext() bool {
	if len(q.pending) == 0 {
		return false
	}
	x := heap.Pop(&q.pending).(*event)
	q.now = x.at
	run := x.run
	x.run = nil
	q.recycled = append(q.recycled, x)
	run()
	return true
}
