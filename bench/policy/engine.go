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
	decodeTime    = 916 * time.Microsecond // per sequence that decodes, in each iteration
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
	refs int           // by running sequences
	idle *list.Element // in blockCache.idle, if uses is 0
}

// blockCache is the memory of an engine. Blocks that no sequence uses stay
// until their place is needed; the least recently used go first.
type blockCache struct {
	byHash     map[uint64]*block
	idle       *list.List // *block, least recently used first
	unshared   int        // blocks of responses that are being written
	peakBlocks int        // most blocks at once
}

func newBlockCache() blockCache {
	return blockCache{byHash: map[uint64]*block{}, idle: list.New()}
}

// hashOf names the i-th block of a program's prompt. Blocks within the system
// prompt are the same for all programs of a workspace.
func blockHash(s *script, i int) uint64 {
	if model.Tokens(i+1)*blockTokens <= s.systemTokens {
		return uint64(s.workspace)<<16 | uint64(i)
	}
	return s.id<<16 | uint64(i)
}

// find appends the leading blocks of a prompt that are in memory to list, and
// counts those that no sequence uses.
func (c *blockCache) matchPrefix(blocks []*block, s *script, fullBlocks int) (found []*block, idleCount int) {
	for i := range fullBlocks {
		b := c.byHash[blockHash(s, i)]
		if b == nil {
			break
		}
		blocks = append(blocks, b)
		if b.idle != nil {
			idleCount++
		}
	}
	return blocks, idleCount
}

func (c *blockCache) available() int { return cacheBlocks - len(c.byHash) - c.unshared + c.idle.Len() }

// makeRoom evicts idle blocks until there is room for one more.
func (c *blockCache) evictForOne() {
	for len(c.byHash)+c.unshared >= cacheBlocks && c.idle.Len() > 0 {
		b := c.idle.Remove(c.idle.Front()).(*block)
		delete(c.byHash, b.hash)
	}
}

// use takes a block into use.
func (c *blockCache) acquire(b *block) {
	if b.idle != nil {
		c.idle.Remove(b.idle)
		b.idle = nil
	}
	b.refs++
}

// create takes a block into use that may not be in memory.
func (c *blockCache) acquireOrCreate(hash uint64) *block {
	b := c.byHash[hash]
	if b == nil {
		c.evictForOne()
		b = &block{hash: hash}
		c.byHash[hash] = b
		c.peakBlocks = max(c.peakBlocks, len(c.byHash)+c.unshared)
	}
	c.acquire(b)
	return b
}

func (c *blockCache) release(b *block) {
	b.refs--
	if b.refs == 0 {
		b.idle = c.idle.PushBack(b)
	}
}

// clear forgets the idle blocks. Running sequences keep theirs.
func (c *blockCache) evictIdle() {
	for c.idle.Len() > 0 {
		b := c.idle.Remove(c.idle.Front()).(*block)
		delete(c.byHash, b.hash)
	}
}

// sequence is a call at an engine.
type sequence struct {
	script      *script
	prompt      model.Tokens
	output      model.Tokens
	cached      model.Tokens // found in the cache on admission
	prefillLeft model.Tokens // prompt tokens left to compute
	decodeLeft  model.Tokens // completion tokens left to compute
	unshared    int
	blocks      []*block // in use
	admitted    bool
	done        func(s *sequence, failed bool)
}

func (s *sequence) fullPromptBlocks() int { return int(s.prompt / blockTokens) }

func (s *sequence) totalBlocks() int {
	return int((s.prompt + s.output + blockTokens - 1) / blockTokens)
}

// engine is a fake model server with continuous batching.
type engine struct {
	id         model.TargetID
	zone       int
	events     *eventQueue
	cache      blockCache
	waiting    []*sequence // for memory
	batch      []*sequence
	busyTime   time.Duration
	iterating  bool // an iteration runs
	memoryFull bool // memory has no room for the first waiting sequence
	down       bool
	crashes    int
	peakCalls  int // most calls at once
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
	e.peakCalls = max(e.peakCalls, len(e.waiting)+len(e.batch))
	if !e.iterating {
		e.startIteration()
	}
}

// admit moves sequences into the batch while their blocks fit in memory.
func (e *engine) admit() {
	for len(e.waiting) > 0 && !e.memoryFull {
		s := e.waiting[0]
		fullBlocks := s.fullPromptBlocks()
		var idleCount int
		s.blocks, idleCount = e.cache.matchPrefix(s.blocks[:0], s.script, fullBlocks)
		hits := len(s.blocks)
		if len(e.batch) > 0 && e.cache.available()-idleCount < s.totalBlocks()-hits {
			e.memoryFull = true
			return
		}
		e.waiting = e.waiting[1:]
		for _, b := range s.blocks {
			e.cache.acquire(b)
		}
		for i := hits; i < fullBlocks; i++ {
			s.blocks = append(s.blocks, e.cache.acquireOrCreate(blockHash(s.script, i)))
		}
		s.unshared = s.totalBlocks() - fullBlocks
		for range s.unshared {
			e.cache.evictForOne()
			e.cache.unshared++
			e.cache.peakBlocks = max(e.cache.peakBlocks, len(e.cache.byHash)+e.cache.unshared)
		}
		s.admitted = true
		s.cached = model.Tokens(hits) * blockTokens
		s.prefillLeft = s.prompt - s.cached
		s.decodeLeft = s.output
		e.batch = append(e.batch, s)
	}
}

// iterate starts the next iteration of the batch, if there is one.
func (e *engine) startIteration() {
	e.admit()
	e.iterating = len(e.batch) > 0
	if !e.iterating {
		return
	}
	stepCount := e.decodeStepCount()
	duration := time.Duration(stepCount) * iterationTime
	budget := model.Tokens(prefillChunk)
	for _, s := range e.batch {
		if s.prefillLeft == 0 {
			s.decodeLeft -= stepCount
			duration += time.Duration(stepCount) * decodeTime
			continue
		}
		n := min(s.prefillLeft, budget)
		s.prefillLeft -= n
		budget -= n
		duration += time.Duration(n) * prefillTime
	}
	e.busyTime += duration
	crashes := e.crashes
	e.events.schedule(duration, func() {
		if crashes == e.crashes {
			e.endIteration()
		}
	})
}

// steps returns the completion tokens per sequence that the next iteration
// computes: one while prompts are computed, otherwise up to decodeSteps.
func (e *engine) decodeStepCount() model.Tokens {
	n := model.Tokens(decodeSteps)
	for _, s := range e.batch {
		if s.prefillLeft > 0 {
			return 1
		}
		n = min(n, s.decodeLeft)
	}
	return n
}

// finish ends an iteration.
func (e *engine) endIteration() {
	running := e.batch[:0]
	var ended []*sequence
	for _, s := range e.batch {
		if s.prefillLeft > 0 || s.decodeLeft > 0 {
			running = append(running, s)
			continue
		}
		ended = append(ended, s)
	}
	clear(e.batch[len(running):])
	e.batch = running
	for _, s := range ended {
		e.releaseBlocks(s)
		s.done(s, false)
	}
	e.startIteration()
}

// leave turns the memory of a sequence into cache.
func (e *engine) releaseBlocks(s *sequence) {
	e.memoryFull = false
	e.cache.unshared -= s.unshared
	fullBlocks := int((s.prompt + s.output) / blockTokens)
	for i := s.fullPromptBlocks(); i < fullBlocks; i++ {
		s.blocks = append(s.blocks, e.cache.acquireOrCreate(blockHash(s.script, i)))
	}
	for i := fullBlocks - 1; i >= 0; i-- { // the end of a prefix is evicted first
		e.cache.release(s.blocks[i])
	}
}

// crash breaks all calls and empties the memory.
func (e *engine) crash() {
	e.down = true
	e.crashes++
	aborted := append(e.batch, e.waiting...)
	e.batch, e.waiting, e.iterating, e.memoryFull = nil, nil, false, false
	e.cache = newBlockCache()
	for _, s := range aborted {
		s.done(s, true)
	}
}
