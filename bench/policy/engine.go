package main

import (
	"container/list"
	"time"

	"mimosarelay/core/model"
)

// Parameters of the simulated engine. An iteration with a full batch takes
// 34 ms, the inter-token latency in section 4 of docs/design.md.
const (
	iterationTime = 12 * time.Millisecond  // fixed part, per step
	decodeTime    = 916 * time.Microsecond // per decoding sequence and decode step
	prefillTime   = 40 * time.Microsecond  // per prompt token
	prefillChunk  = 1024                   // prompt tokens per iteration
	decodeSteps   = 4                      // per iteration without prompt tokens (multi-step decoding)
	maxInFlight   = 24                     // calls per engine, the MaxInFlight of its target
	blockTokens   = 256
	cacheBlocks   = 1536 // 393,216 tokens
)

// block is a KV cache block of blockTokens tokens in engine memory.
type block struct {
	hash uint64
	refs int           // running sequences that use the block
	idle *list.Element // position in blockCache.idle; nil unless refs is 0
}

// blockCache is the block memory of an engine with its prefix cache. Idle
// blocks, which no running sequence uses, stay cached until their memory is
// needed. The least recently used are evicted first.
type blockCache struct {
	byHash     map[uint64]*block
	idle       *list.List // *block, least recently used first
	unshared   int        // blocks of running sequences that are not in byHash
	peakBlocks int        // most blocks in memory at the same time
}

func newBlockCache() blockCache {
	return blockCache{byHash: map[uint64]*block{}, idle: list.New()}
}

// blockHash returns the key of the i-th block of a program's prompt. All
// programs of a workspace share the blocks within the system prompt.
func blockHash(s *script, i int) uint64 {
	if model.Tokens(i+1)*blockTokens <= s.systemTokens {
		return uint64(s.workspace)<<16 | uint64(i)
	}
	return s.id<<16 | uint64(i)
}

// matchPrefix appends the cached leading blocks of a prompt to blocks and counts
// the idle ones among them. fullBlocks is the number of full prompt blocks.
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

// available returns the number of blocks that are unallocated or idle.
func (c *blockCache) available() int { return cacheBlocks - len(c.byHash) - c.unshared + c.idle.Len() }

// evictForOne evicts idle blocks until one more block fits in memory.
func (c *blockCache) evictForOne() {
	for len(c.byHash)+c.unshared >= cacheBlocks && c.idle.Len() > 0 {
		b := c.idle.Remove(c.idle.Front()).(*block)
		delete(c.byHash, b.hash)
	}
}

// acquire adds a reference of a running sequence to a block.
func (c *blockCache) acquire(b *block) {
	if b.idle != nil {
		c.idle.Remove(b.idle)
		b.idle = nil
	}
	b.refs++
}

// acquireOrCreate acquires the block with a hash and creates it if it is not
// cached.
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

// release drops a reference. A block without references becomes idle.
func (c *blockCache) release(b *block) {
	b.refs--
	if b.refs == 0 {
		b.idle = c.idle.PushBack(b)
	}
}

// evictIdle evicts all idle blocks. Running sequences keep theirs.
func (c *blockCache) evictIdle() {
	for c.idle.Len() > 0 {
		b := c.idle.Remove(c.idle.Front()).(*block)
		delete(c.byHash, b.hash)
	}
}

// sequence is one call in an engine.
type sequence struct {
	script      *script
	prompt      model.Tokens
	output      model.Tokens
	cached      model.Tokens // found in the cache on admission
	prefillLeft model.Tokens // prompt tokens left to compute
	decodeLeft  model.Tokens // completion tokens left to compute
	unshared    int          // blocks that other sequences can't use
	blocks      []*block     // acquired
	admitted    bool         // was in the batch
	done        func(s *sequence, failed bool)
}

func (s *sequence) fullPromptBlocks() int { return int(s.prompt / blockTokens) }

func (s *sequence) totalBlocks() int {
	return int((s.prompt + s.output + blockTokens - 1) / blockTokens)
}

// engine simulates a model server with continuous batching.
type engine struct {
	id         model.TargetID
	zone       int
	events     *eventQueue
	cache      blockCache
	waiting    []*sequence // for free memory
	batch      []*sequence
	busyTime   time.Duration
	iterating  bool // an iteration is in progress
	memoryFull bool // the first waiting sequence does not fit in memory
	down       bool
	crashes    int // a changed count invalidates the end of a scheduled iteration
	peakCalls  int // most calls in the engine at the same time
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

// admit moves waiting sequences into the batch while their blocks fit in memory.
// An empty batch takes the first sequence without this check.
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

// startIteration admits waiting sequences and, unless the batch is empty, starts
// its next iteration.
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

// decodeStepCount returns the number of completion tokens that the next
// iteration computes per sequence: one if a sequence still has prompt tokens to
// compute, otherwise up to decodeSteps.
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

// endIteration reports the sequences that have completed and starts the next
// iteration.
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

// releaseBlocks leaves the full blocks of a completed sequence in the cache and
// frees the rest.
func (e *engine) releaseBlocks(s *sequence) {
	e.memoryFull = false
	e.cache.unshared -= s.unshared
	fullBlocks := int((s.prompt + s.output) / blockTokens)
	for i := s.fullPromptBlocks(); i < fullBlocks; i++ {
		s.blocks = append(s.blocks, e.cache.acquireOrCreate(blockHash(s.script, i)))
	}
	for i := fullBlocks - 1; i >= 0; i-- { // so that the end of a prefix is evicted before its start
		e.cache.release(s.blocks[i])
	}
}

// crash fails all calls and empties the memory.
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
