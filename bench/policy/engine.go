package main

import (
	"container/list"
	"time"

	"mimosarelay/core/model"
)

// The fake engine. An iteration with a full batch takes 34 ms, which is the
// inter-token latency of section 4 of the design.
const (
	iterationTime = 12 * time.Millisecond
	sequenceTime  = 916 * time.Microsecond // per sequence that decodes, in each iteration
	prefillTime   = 40 * time.Microsecond  // per prompt token
	prefillChunk  = 1024                   // prompt tokens per iteration
	decodeSteps   = 4                      // multi-step decoding, if no prompt is computed
	maxInFlight   = 24                     // calls, the target's bound
	blockTokens   = 256
	cacheBlocks   = 1536 // 393,216 tokens
)

// block is a part of a prompt in engine memory.
type block struct {
	hash uint64
	uses int           // by running sequences
	idle *list.Element // in blockCache.idle, if uses is 0
}

// blockCache is the memory of an engine. Blocks that no sequence uses stay
// until their place is needed; the least recently used go first.
type blockCache struct {
	byHash  map[uint64]*block
	idle    *list.List // *block, least recently used first
	private int        // blocks of responses that are being written
	peak    int        // most blocks at once
}

func newBlockCache() blockCache {
	return blockCache{byHash: map[uint64]*block{}, idle: list.New()}
}

// hashOf names the i-th block of a program's prompt. Blocks within the system
// prompt are the same for all programs of a workspace.
func hashOf(s *script, i int) uint64 {
	if model.Tokens(i+1)*blockTokens <= s.system {
		return uint64(s.workspace)<<16 | uint64(i)
	}
	return s.id<<16 | uint64(i)
}

// find appends the leading blocks of a prompt that are in memory to list, and
// counts those that no sequence uses.
func (c *blockCache) find(list []*block, s *script, full int) (found []*block, idle int) {
	for i := range full {
		b := c.byHash[hashOf(s, i)]
		if b == nil {
			break
		}
		list = append(list, b)
		if b.idle != nil {
			idle++
		}
	}
	return list, idle
}

func (c *blockCache) free() int { return cacheBlocks - len(c.byHash) - c.private + c.idle.Len() }

// makeRoom evicts idle blocks until there is room for one more.
func (c *blockCache) makeRoom() {
	for len(c.byHash)+c.private >= cacheBlocks && c.idle.Len() > 0 {
		b := c.idle.Remove(c.idle.Front()).(*block)
		delete(c.byHash, b.hash)
	}
}

// use takes a block into use.
func (c *blockCache) use(b *block) {
	if b.idle != nil {
		c.idle.Remove(b.idle)
		b.idle = nil
	}
	b.uses++
}

// create takes a block into use that may not be in memory.
func (c *blockCache) create(hash uint64) *block {
	b := c.byHash[hash]
	if b == nil {
		c.makeRoom()
		b = &block{hash: hash}
		c.byHash[hash] = b
		c.peak = max(c.peak, len(c.byHash)+c.private)
	}
	c.use(b)
	return b
}

func (c *blockCache) release(b *block) {
	b.uses--
	if b.uses == 0 {
		b.idle = c.idle.PushBack(b)
	}
}

// clear forgets the idle blocks. Running sequences keep theirs.
func (c *blockCache) clear() {
	for c.idle.Len() > 0 {
		b := c.idle.Remove(c.idle.Front()).(*block)
		delete(c.byHash, b.hash)
	}
}

// sequence is a call at an engine.
type sequence struct {
	script   *script
	prompt   model.Tokens
	output   model.Tokens
	cached   model.Tokens // found in the cache on admission
	prefill  model.Tokens // prompt tokens left to compute
	decode   model.Tokens // completion tokens left to compute
	private  int
	blocks   []*block // in use
	admitted bool
	done     func(s *sequence, failed bool)
}

func (s *sequence) fullBlocks() int { return int(s.prompt / blockTokens) }

func (s *sequence) allBlocks() int { return int((s.prompt + s.output + blockTokens - 1) / blockTokens) }

// engine is a fake model server with continuous batching.
type engine struct {
	id      model.TargetID
	zone    int
	events  *eventQueue
	cache   blockCache
	waiting []*sequence // for memory
	batch   []*sequence
	busy    time.Duration
	active  bool // an iteration runs
	full    bool // memory has no room for the first waiting sequence
	down    bool
	crashes int
	peak    int // most calls at once
}

func newEngine(id model.TargetID, zone int, events *eventQueue) *engine {
	return &engine{id: id, zone: zone, events: events, cache: newBlockCache()}
}

func (e *engine) submit(s *sequence) {
	if e.down {
		s.done(s, true)
		return
	}
	e.waiting = append(e.waiting, s)
	e.peak = max(e.peak, len(e.waiting)+len(e.batch))
	if !e.active {
		e.iterate()
	}
}

// admit moves sequences into the batch while their blocks fit in memory.
func (e *engine) admit() {
	for len(e.waiting) > 0 && !e.full {
		s := e.waiting[0]
		full := s.fullBlocks()
		var idle int
		s.blocks, idle = e.cache.find(s.blocks[:0], s.script, full)
		hits := len(s.blocks)
		if len(e.batch) > 0 && e.cache.free()-idle < s.allBlocks()-hits {
			e.full = true
			return
		}
		e.waiting = e.waiting[1:]
		for _, b := range s.blocks {
			e.cache.use(b)
		}
		for i := hits; i < full; i++ {
			s.blocks = append(s.blocks, e.cache.create(hashOf(s.script, i)))
		}
		s.private = s.allBlocks() - full
		for range s.private {
			e.cache.makeRoom()
			e.cache.private++
			e.cache.peak = max(e.cache.peak, len(e.cache.byHash)+e.cache.private)
		}
		s.admitted = true
		s.cached = model.Tokens(hits) * blockTokens
		s.prefill = s.prompt - s.cached
		s.decode = s.output
		e.batch = append(e.batch, s)
	}
}

// iterate starts the next iteration of the batch, if there is one.
func (e *engine) iterate() {
	e.admit()
	e.active = len(e.batch) > 0
	if !e.active {
		return
	}
	steps := e.steps()
	duration := time.Duration(steps) * iterationTime
	budget := model.Tokens(prefillChunk)
	for _, s := range e.batch {
		if s.prefill == 0 {
			s.decode -= steps
			duration += time.Duration(steps) * sequenceTime
			continue
		}
		n := min(s.prefill, budget)
		s.prefill -= n
		budget -= n
		duration += time.Duration(n) * prefillTime
	}
	e.busy += duration
	crashes := e.crashes
	e.events.after(duration, func() {
		if crashes == e.crashes {
			e.finish()
		}
	})
}

// steps returns the completion tokens per sequence that the next iteration
// computes: one while prompts are computed, otherwise up to decodeSteps.
func (e *engine) steps() model.Tokens {
	n := model.Tokens(decodeSteps)
	for _, s := range e.batch {
		if s.prefill > 0 {
			return 1
		}
		n = min(n, s.decode)
	}
	return n
}

// finish ends an iteration.
func (e *engine) finish() {
	kept := e.batch[:0]
	var ended []*sequence
	for _, s := range e.batch {
		if s.prefill > 0 || s.decode > 0 {
			kept = append(kept, s)
			continue
		}
		ended = append(ended, s)
	}
	clear(e.batch[len(kept):])
	e.batch = kept
	for _, s := range ended {
		e.leave(s)
		s.done(s, false)
	}
	e.iterate()
}

// leave turns the memory of a sequence into cache.
func (e *engine) leave(s *sequence) {
	e.full = false
	e.cache.private -= s.private
	full := int((s.prompt + s.output) / blockTokens)
	for i := s.fullBlocks(); i < full; i++ {
		s.blocks = append(s.blocks, e.cache.create(hashOf(s.script, i)))
	}
	for i := full - 1; i >= 0; i-- { // the end of a prefix is evicted first
		e.cache.release(s.blocks[i])
	}
}

// crash breaks all calls and empties the memory.
func (e *engine) crash() {
	e.down = true
	e.crashes++
	broken := append(e.batch, e.waiting...)
	e.batch, e.waiting, e.active, e.full = nil, nil, false, false
	e.cache = newBlockCache()
	for _, s := range broken {
		s.done(s, true)
	}
}
