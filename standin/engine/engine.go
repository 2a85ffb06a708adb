// Package engine is a stand-in for a model engine. It serves OpenAI chat
// completions with deterministic answers, see Answer, and models continuous
// batching, a prefix cache of limited size, delayed load reports and cache events,
// and commands with fencing tokens, which the API calls orders.
//
// Time model: a stream waits until fewer than MaxRunning streams run,
// then takes PromptTokenTime for each prompt token that is not cached, then
// OutputTokenTime for each token of the answer. Both are multiplied by
// 1 + Slowdown*(n-1) while n streams run.
//
// The engine detects a closed connection only when it writes the next chunk, so a
// client that abandons a waiting request must cancel it with DELETE.
package engine

import (
	"cmp"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"mimosarelay/standin/fault"
)

// Defaults of Options.
const (
	DefaultModel       = "standin"
	defaultMaxRunning  = 64
	defaultBlockTokens = 16
	defaultCacheBlocks = 65536
	defaultRetain      = 30 * time.Second
)

// Options configures Start. A duration of 0 means no delay, except for Retain.
type Options struct {
	// Listen is the IP:port to listen on. Port 0 picks a free port.
	Listen string
	// Control is an IP:port that serves only the /standin/ paths and that no
	// fault affects. Empty means none.
	Control string
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// Models are the models that are loaded at the start; by default DefaultModel.
	Models []string
	// PromptTokenTime and OutputTokenTime are the times per token of a stream
	// that runs alone.
	PromptTokenTime time.Duration
	OutputTokenTime time.Duration
	// Slowdown is the fraction by which each additional running stream extends
	// the times per token of all streams.
	Slowdown float64
	// MaxRunning is the largest number of streams in the batch; 0 means 64.
	MaxRunning int
	// BlockTokens is the size of a cache block in tokens; 0 means 16.
	BlockTokens int
	// CacheBlocks is the capacity of the cache in blocks; 0 means 65536.
	CacheBlocks int
	// Retain is how long a stream without a reader keeps running, and how
	// long a finished stream can be resumed; 0 means 30 s.
	Retain time.Duration
	// NoResume cancels a stream as soon as its connection breaks.
	NoResume bool
	// LoadLag is the minimum age of load reports. The maximum is 1.5 times that.
	LoadLag time.Duration
	// EventLag is the age at which a cache event can be read.
	EventLag time.Duration
	// EventGapEvery drops the cache events whose sequence number is a multiple
	// of it; 0 drops none.
	EventGapEvery int
	// OrderTime is the time that an order takes.
	OrderTime time.Duration
	// NoFencing accepts orders with an old fencing token.
	NoFencing bool
}

// normalize validates the options and sets the defaults.
func (o *Options) normalize() error {
	for name, d := range map[string]time.Duration{
		"PromptTokenTime": o.PromptTokenTime, "OutputTokenTime": o.OutputTokenTime, "Retain": o.Retain,
		"LoadLag": o.LoadLag, "EventLag": o.EventLag, "OrderTime": o.OrderTime,
	} {
		if d < 0 {
			return fmt.Errorf("engine: %s is %v, must not be negative", name, d)
		}
	}
	for name, n := range map[string]int{
		"MaxRunning": o.MaxRunning, "BlockTokens": o.BlockTokens,
		"CacheBlocks": o.CacheBlocks, "EventGapEvery": o.EventGapEvery,
	} {
		if n < 0 {
			return fmt.Errorf("engine: %s is %d, must not be negative", name, n)
		}
	}
	if o.Slowdown < 0 {
		return fmt.Errorf("engine: Slowdown is %v, must not be negative", o.Slowdown)
	}
	if len(o.Models) == 0 {
		o.Models = []string{DefaultModel}
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	o.MaxRunning = cmp.Or(o.MaxRunning, defaultMaxRunning)
	o.BlockTokens = cmp.Or(o.BlockTokens, defaultBlockTokens)
	o.CacheBlocks = cmp.Or(o.CacheBlocks, defaultCacheBlocks)
	o.Retain = cmp.Or(o.Retain, defaultRetain)
	return nil
}

// Server is a running stand-in.
type Server struct {
	*fault.Server
	options    Options
	goroutines sync.WaitGroup // goroutines of streams and of sampleLoadLoop

	mu      sync.Mutex // locked before stream.mu
	streams map[string]*stream
	queue   []*stream // waiting, in order of arrival
	running int
	cache   *cache
	events  *eventLog
	control controlState
	loads   []LoadReport // oldest first
	stats   Stats
}

// Stats counts requests, tokens and orders since Start.
type Stats struct {
	Requests       int64 // chat completions accepted
	Finished       int64
	Cancelled      int64
	Resumed        int64 // by GET of a stream
	PromptTokens   int64
	CachedTokens   int64 // of PromptTokens
	OutputTokens   int64
	Orders         int64 // accepted
	OrdersRejected int64 // because of an old fencing token
	Released       int64 // cache blocks freed by a release request
}

// Start starts an engine that runs until Close.
func Start(o Options) (*Server, error) {
	if err := o.normalize(); err != nil {
		return nil, err
	}
	events := &eventLog{lag: o.EventLag, gapEvery: o.EventGapEvery}
	s := &Server{
		options: o,
		streams: map[string]*stream{},
		cache:   newCache(o.BlockTokens, o.CacheBlocks, events),
		events:  events,
		control: newControlState(o.Models),
	}
	s.sampleLoad()
	var err error
	s.Server, err = fault.Start(fault.Options{
		Listen:  o.Listen,
		Control: o.Control,
		Clock:   o.Clock,
		Handler: s.handle,
		IsWrite: func(ctx *fasthttp.RequestCtx) bool { return !ctx.IsGet() },
		OnCrash: s.dropVolatileState,
	})
	if err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	if o.LoadLag > 0 {
		s.goroutines.Go(s.sampleLoadLoop)
	}
	return s, nil
}

// Close stops the server, cancels all streams and waits for their goroutines.
func (s *Server) Close() error {
	err := s.Server.Close()
	s.cancelStreams()
	s.goroutines.Wait()
	return err
}

// Stats returns the counters since Start.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// dropVolatileState simulates a crash: it cancels and deletes all streams and
// clears the cache. Models, adapters, role, fencing token and order history
// survive.
func (s *Server) dropVolatileState() {
	s.cancelStreams()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams = map[string]*stream{}
	s.cache.clear(s.options.Clock.Now())
}

// cancelStreams cancels all streams that have not ended.
func (s *Server) cancelStreams() {
	s.mu.Lock()
	all := make([]*stream, 0, len(s.streams))
	for _, st := range s.streams {
		all = append(all, st)
	}
	s.mu.Unlock()
	for _, st := range all {
		st.cancel()
	}
}
