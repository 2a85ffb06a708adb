package engine

import (
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"mimosarelay/standin/fault"
)

// runTurn sends a conversation and returns it with the answer and a next user
// message, and the usage.
func runTurn(t *testing.T, s *Server, program string, m []Message) ([]Message, Usage) {
	t.Helper()
	got := decodeResponse[Completion](t, chat(t, s, m, false, "X-Program", program))
	return append(m, got.Choices[0].Message, Message{"user", "go on"}), *got.Usage
}

// longConversation returns a message of 200 tokens and one for the role.
func longConversation(name string) []Message {
	return []Message{{"user", Content(name + strings.Repeat("x", 800-len(name)))}}
}

// Guards against wrong counts of cached tokens in the usage: a first call has
// none, and the next one has those in all full blocks of the history with the
// answer.
func TestUsageReportsCachedTokens(t *testing.T) {
	s := start(t, Options{BlockTokens: 16})
	next, first := runTurn(t, s, "p", longConversation("a"))
	assert.Equal(t, first.PromptTokensDetails.CachedTokens, 0)
	_, second := runTurn(t, s, "p", next)
	history := first.PromptTokens + 1 + first.CompletionTokens
	assert.Equal(t, second.PromptTokensDetails.CachedTokens, history/16*16)
	_, other := runTurn(t, s, "q", longConversation("b"))
	assert.Equal(t, other.PromptTokensDetails.CachedTokens, 0)
}

// Guards against cached prompt tokens that take time, which would hide the benefit
// of the cache.
func TestCachedTokensCostNoTime(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := start(t, Options{Clock: clock, PromptTokenTime: time.Second})
	call := func(waiters int) chan response {
		responses := make(chan response, 1)
		go func() { responses <- chat(t, s, longConversation("a"), false) }()
		blockUntil(t, clock, waiters)
		return responses
	}
	cachedIn := func(r response) int { return decodeResponse[Completion](t, r).Usage.PromptTokensDetails.CachedTokens }
	cold := call(1)
	clock.Advance(201 * time.Second)
	assert.Equal(t, cachedIn(<-cold), 0)
	warm := call(2) // the other timer is Retain of the first stream
	clock.Advance(9 * time.Second)
	assert.Equal(t, cachedIn(<-warm), 192)
}

// Guards against a cache that exceeds its capacity or evicts recently used blocks.
func TestCacheStaysWithinItsCapacity(t *testing.T) {
	s := start(t, Options{CacheBlocks: 20})
	runTurn(t, s, "old", longConversation("a"))
	next, _ := runTurn(t, s, "new", longConversation("b"))
	assert.Equal(t, s.Load().CacheBlocks, 20)
	_, u := runTurn(t, s, "new", next)
	assert.Assert(t, u.PromptTokensDetails.CachedTokens >= 192)
	_, u = runTurn(t, s, "old", longConversation("a"))
	assert.Assert(t, u.PromptTokensDetails.CachedTokens < 192)
}

// Guards against eviction in order of insertion instead of use, and against a
// prompt that counts as cached completely, which leaves no token to compute.
func TestCacheEvictsLeastRecentlyUsedBlock(t *testing.T) {
	now := time.Unix(0, 0)
	c := newCache(1, 3, &eventLog{})
	for _, id := range []blockID{1, 2, 3, 1, 4} {
		c.insert("p", []blockID{id}, now)
	}
	assert.DeepEqual(t, c.blocksOf("p"), []blockID{4, 1, 3})
	c = newCache(2, 3, &eventLog{})
	prompt := []uint64{1, 2, 3, 4}
	c.insert("p", c.blockIDs(prompt), now)
	assert.Equal(t, c.matchPrefix(prompt), 2)
	assert.Equal(t, c.matchPrefix(append(prompt, 5)), 4)
}

// Guards against blocks that stay in the cache after a release, and against the
// release of blocks that another program shares.
func TestReleaseFreesWhatNoOtherProgramUses(t *testing.T) {
	s := start(t, Options{})
	runTurn(t, s, "one", longConversation("a"))
	runTurn(t, s, "two", longConversation("a"))
	release := func(program string) int {
		return decodeResponse[map[string]int](t, send(t, s, "POST", "/v1/cache/release", programRequest{program}))["Freed"]
	}
	assert.Equal(t, release("one"), 0)
	load := decodeResponse[LoadReport](t, send(t, s, "GET", "/v1/load", nil))
	assert.Equal(t, len(load.Programs), 1)
	assert.Equal(t, load.Programs[0].Program, "two")
	assert.Equal(t, load.Programs[0].Blocks, load.CacheBlocks)
	assert.Equal(t, release("two"), load.CacheBlocks)
	assert.Equal(t, s.Load().CacheBlocks, 0)
	assert.Equal(t, release("two"), 0)
}

// Guards against an export that another engine cannot import.
func TestExportedCacheCanBeImported(t *testing.T) {
	from, to := start(t, Options{}), start(t, Options{})
	next, _ := runTurn(t, from, "p", longConversation("a"))
	e := decodeResponse[CacheExport](t, send(t, from, "POST", "/v1/cache/export", programRequest{"p"}))
	assert.Equal(t, send(t, to, "POST", "/v1/cache/import", e).status, 200)
	_, u := runTurn(t, to, "p", next)
	assert.Assert(t, u.PromptTokensDetails.CachedTokens >= 192)
	assert.Equal(t, send(t, from, "POST", "/v1/cache/export", programRequest{"none"}).status, 404)
	e.BlockTokens = 8
	assert.Equal(t, send(t, to, "POST", "/v1/cache/import", e).status, 400)
}

// Guards against cache events that can be read before EventLag has passed, or that
// have no gaps: readers must handle lag and gaps.
func TestCacheEventsAreLateAndHaveGaps(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := start(t, Options{Clock: clock, EventLag: time.Second, EventGapEvery: 2})
	read := func() cacheEventsResponse {
		return decodeResponse[cacheEventsResponse](t, send(t, s, "GET", "/v1/cache/events?since=0", nil))
	}
	runTurn(t, s, "p", longConversation("a")) // stores the prompt, then the answer
	_ = decodeResponse[map[string]int](t, send(t, s, "POST", "/v1/cache/release", programRequest{"p"}))
	assert.Equal(t, len(read().Events), 0)
	clock.Advance(time.Second)
	got := read()
	assert.Equal(t, len(got.Events), 2)
	assert.Equal(t, got.Events[0].Kind, EventStored)
	assert.Equal(t, got.Events[1].Kind, EventRemoved)
	assert.Equal(t, got.Events[1].Sequence, int64(3))
	assert.Equal(t, got.Last, int64(3))
}

// Guards against load reports that are newer than LoadLag allows.
func TestLoadReportLags(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := start(t, Options{Clock: clock, LoadLag: time.Second})
	runTurn(t, s, "p", longConversation("a"))
	assert.Equal(t, s.Load().CacheBlocks, 0)
	for range 2 * loadSamplesPerLag {
		blockUntil(t, clock, 1)
		clock.Advance(time.Second / loadSamplesPerLag)
		eventually(t, "sample", func() bool { return s.lastSample().Equal(clock.Now()) })
	}
	report := s.Load()
	assert.Assert(t, report.CacheBlocks > 0)
	assert.Equal(t, clock.Since(report.Time), time.Second)
}

func (s *Server) lastSample() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads[len(s.loads)-1].Time
}

// Guards against an engine that executes the order of a sender that has been
// replaced, and against one that checks the fencing token in spite of NoFencing.
func TestOrderWithOldFencingTokenIsRejected(t *testing.T) {
	for name, noFencing := range map[string]bool{"checked": false, "not checked": true} {
		t.Run(name, func(t *testing.T) {
			s := start(t, Options{NoFencing: noFencing})
			post := func(o Order) int { return send(t, s, "POST", "/v1/orders", o).status }
			assert.Equal(t, post(Order{Fence: 5, Kind: SetRole, Role: "new"}), 200)
			assert.Equal(t, post(Order{Fence: 5, Kind: LoadModel, Model: "m2", Version: "v1"}), 200)
			want, role := 409, "new"
			if noFencing {
				want, role = 200, "old"
			}
			assert.Equal(t, post(Order{Fence: 4, Kind: SetRole, Role: "old"}), want)
			state := decodeResponse[OrderState](t, send(t, s, "GET", "/v1/orders/state", nil))
			assert.Equal(t, state.Role, role)
			assert.Equal(t, state.Fence, uint64(5))
			assert.Equal(t, state.Models["m2"], "v1")
		})
	}
}

// Guards against invalid orders that are accepted, orders that are accepted
// without effect, and models that are listed but not served.
func TestOrdersChangeModels(t *testing.T) {
	s := start(t, Options{})
	r := Request{Model: "tuned", Messages: conversation("x")}
	assert.Equal(t, send(t, s, "POST", "/v1/chat/completions", r).status, 404)
	for name, o := range map[string]Order{
		"kind":    {Fence: 1, Kind: "Reboot"},
		"model":   {Fence: 1, Kind: LoadModel},
		"role":    {Fence: 1, Kind: SetRole},
		"no base": {Fence: 1, Kind: LoadAdapter, Adapter: "tuned", Model: "none"},
	} {
		assert.Equal(t, send(t, s, "POST", "/v1/orders", o).status, 400, name)
	}
	adapter := Order{Fence: 1, Kind: LoadAdapter, Adapter: "tuned", Model: DefaultModel, Version: "3"}
	assert.Equal(t, send(t, s, "POST", "/v1/orders", adapter).status, 200)
	assert.Equal(t, send(t, s, "POST", "/v1/chat/completions", r).status, 200)
	listed := send(t, s, "GET", "/v1/models", nil)
	assert.Assert(t, strings.Contains(string(listed.body), `"id":"tuned"`), string(listed.body))
}

// Guards against a crash after which streams or cached blocks remain.
func TestCrashDropsStreamsAndCache(t *testing.T) {
	s := start(t, Options{Retain: time.Hour})
	runTurn(t, s, "p", longConversation("a"))
	assert.Assert(t, s.Load().CacheBlocks > 0)
	assert.NilError(t, s.SetFault(fault.Fault{CrashMarker: "poison"}))
	assert.Assert(t, chat(t, s, conversation("poison"), true, "X-Request-Id", "r1").err != nil)
	assert.Equal(t, s.Load().CacheBlocks, 0)
	assert.Equal(t, s.Counters().CrashArrival, int64(1))
	assert.Equal(t, send(t, s, "GET", "/v1/streams/r1", nil).status, 404)
	assert.Equal(t, chat(t, s, conversation("fine"), false).status, 200)
}
