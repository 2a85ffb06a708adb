package engine

import (
	"container/list"
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// blockID is the hash of all tokens up to the end of a block, so that equal
// prefixes have the same blocks.
type blockID uint64

// MarshalText implements encoding.TextMarshaler. It encodes the id in hexadecimal,
// because JSON decoders of other languages round large numbers.
func (id blockID) MarshalText() ([]byte, error) {
	return strconv.AppendUint(nil, uint64(id), 16), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *blockID) UnmarshalText(text []byte) error {
	v, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return fmt.Errorf("block id %q: %w", text, err)
	}
	*id = blockID(v)
	return nil
}

// block is a cached sequence of BlockTokens tokens.
type block struct {
	id       blockID
	programs map[string]struct{} // programs that used it and were not released since
	element  *list.Element
}

// cache is the prefix cache of the engine, with least-recently-used eviction.
// Blocks of running streams are not pinned and may be evicted too.
type cache struct {
	blockTokens int
	capacity    int // blocks
	blocks      map[blockID]*block
	lru         *list.List // *block, most recently used first
	programs    map[string]*programUsage
	events      *eventLog
}

// programUsage is the number of blocks of a program and the time of its last use.
type programUsage struct {
	blocks   int
	lastUsed time.Time
}

// ProgramEntry is the cache use of one program. A block that programs share is
// counted for each of them.
type ProgramEntry struct {
	Program  string
	Blocks   int
	Tokens   int
	LastUsed time.Time
}

func newCache(blockTokens, capacity int, events *eventLog) *cache {
	return &cache{
		blockTokens: blockTokens,
		capacity:    capacity,
		blocks:      map[blockID]*block{},
		lru:         list.New(),
		programs:    map[string]*programUsage{},
		events:      events,
	}
}

// blockIDs returns the ids of the blocks of a token sequence. A last block that is
// not full has none.
func (c *cache) blockIDs(tokens []uint64) []blockID {
	var ids []blockID
	hash := xxhash.New()
	var b [8]byte
	for i, t := range tokens {
		binary.LittleEndian.PutUint64(b[:], t)
		_, _ = hash.Write(b[:])
		if (i+1)%c.blockTokens == 0 {
			ids = append(ids, blockID(hash.Sum64()))
		}
	}
	return ids
}

// matchPrefix returns the number of leading tokens that are cached. If all are, it
// leaves out the last block, because an engine must compute at least the last
// token to generate the next one.
func (c *cache) matchPrefix(tokens []uint64) int {
	n := 0
	for _, id := range c.blockIDs(tokens) {
		if c.blocks[id] == nil {
			break
		}
		n++
	}
	cached := n * c.blockTokens
	if cached > 0 && cached == len(tokens) {
		cached -= c.blockTokens
	}
	return cached
}

// insert adds the blocks of a sequence for a program and evicts the least recently
// used blocks above the capacity.
func (c *cache) insert(program string, ids []blockID, now time.Time) {
	ids = ids[:min(len(ids), c.capacity)]
	var added []blockID
	// The first block is touched last, so that a prefix is evicted after its
	// continuation.
	for _, id := range slices.Backward(ids) {
		b := c.blocks[id]
		if b == nil {
			b = &block{id: id, programs: map[string]struct{}{}}
			b.element = c.lru.PushFront(b)
			c.blocks[id] = b
			added = append(added, id)
		}
		c.lru.MoveToFront(b.element)
		c.addUser(b, program, now)
	}
	if len(added) > 0 {
		slices.Reverse(added)
		c.events.add(EventStored, program, added, now)
	}
	c.evict(now)
}

// addUser records that a program uses a block.
func (c *cache) addUser(b *block, program string, now time.Time) {
	p := c.programs[program]
	if p == nil {
		p = &programUsage{}
		c.programs[program] = p
	}
	p.lastUsed = now
	if _, ok := b.programs[program]; !ok {
		b.programs[program] = struct{}{}
		p.blocks++
	}
}

// evict removes the least recently used blocks above the capacity.
func (c *cache) evict(now time.Time) {
	var removed []blockID
	for len(c.blocks) > c.capacity {
		b := c.lru.Back().Value.(*block)
		for program := range b.programs {
			c.removeUser(b, program)
		}
		c.removeBlock(b)
		removed = append(removed, b.id)
	}
	if len(removed) > 0 {
		c.events.add(EventRemoved, "", removed, now)
	}
}

// release removes the blocks that only this program uses and returns their number.
func (c *cache) release(program string, now time.Time) int {
	var removed []blockID
	for e := c.lru.Front(); e != nil; {
		b := e.Value.(*block)
		e = e.Next()
		if _, ok := b.programs[program]; !ok {
			continue
		}
		c.removeUser(b, program)
		if len(b.programs) == 0 {
			c.removeBlock(b)
			removed = append(removed, b.id)
		}
	}
	delete(c.programs, program)
	if len(removed) > 0 {
		c.events.add(EventRemoved, program, removed, now)
	}
	return len(removed)
}

// removeUser records that a program no longer uses a block, and removes the
// program with its last block.
func (c *cache) removeUser(b *block, program string) {
	delete(b.programs, program)
	p := c.programs[program]
	p.blocks--
	if p.blocks == 0 {
		delete(c.programs, program)
	}
}

// removeBlock removes a block whose users were removed before.
func (c *cache) removeBlock(b *block) {
	delete(c.blocks, b.id)
	c.lru.Remove(b.element)
}

// blocksOf returns the blocks of a program, most recently used first.
func (c *cache) blocksOf(program string) []blockID {
	var ids []blockID
	for e := c.lru.Front(); e != nil; e = e.Next() {
		b := e.Value.(*block)
		if _, ok := b.programs[program]; ok {
			ids = append(ids, b.id)
		}
	}
	return ids
}

// programEntries lists the programs in the cache in order of their ids.
func (c *cache) programEntries() []ProgramEntry {
	all := make([]ProgramEntry, 0, len(c.programs))
	for id, p := range c.programs {
		all = append(all, ProgramEntry{Program: id, Blocks: p.blocks, Tokens: p.blocks * c.blockTokens, LastUsed: p.lastUsed})
	}
	slices.SortFunc(all, func(a, b ProgramEntry) int { return strings.Compare(a.Program, b.Program) })
	return all
}

// clear removes all blocks, as a restart does.
func (c *cache) clear(now time.Time) {
	c.blocks = map[blockID]*block{}
	c.lru.Init()
	c.programs = map[string]*programUsage{}
	c.events.add(EventCleared, "", nil, now)
}
