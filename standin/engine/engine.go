// Package engine is a stand-in of a model engine. It serves OpenAI chat
// completions with a deterministic answer, see Answer, and models continuous
// batching, a prefix cache in limited memory, late reports, and commands with
// fencing tokens.
//
// Time model: a stream first waits until fewer than MaxRunning streams run,
// then takes PromptTokenTime for each prompt token that is not cached, then
// OutputTokenTime for each token of the answer. Both are multiplied by
// 1 + Slowdown*(n-1) while n streams run.
//
// A closed connection is noticed only when the next chunk is written to it, so
// a caller that gives up on a waiting request cancels it by DELETE.
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

// Options of Start. Times that are 0 mean no delay.
type Options struct {
	// Listen is the IP:port to serve. Port 0 picks a free one.
	Listen string
	// Control is an IP:port that serves the /standin/ paths through all
	// faults. Empty means none.
	Control string
	// Clock defaults to the real one.
	Clock clockwork.Clock
	// Models are loaded at the start; by default DefaultModel.
	Models []string
	// PromptTokenTime and OutputTokenTime are for one stream that runs alone.
	PromptTokenTime time.Duration
	OutputTokenTime time.Duration
	// Slowdown is the share by which each further running stream slows all.
	Slowdown float64
	// MaxRunning is the number of streams in the batch; 0 means 64.
	MaxRunning int
	// BlockTokens is the size of a cache block; 0 means 16.
	BlockTokens int
	// CacheBlocks is the size of the cache; 0 means 65536.
	CacheBlocks int
	// Retain is how long a stream without a reader keeps running, and how
	// long a finished stream can be resumed; 0 means 30 s.
	Retain time.Duration
	// NoResume cancels a stream as soon as its connection breaks.
	NoResume bool
	// LoadLag is the least age of load reports, which is at most half more.
	LoadLag time.Duration
	// EventLag is the age at which cache events can be read, and each event
	// whose sequence number is a multiple of EventGapEvery is lost.
	EventLag      time.Duration
	EventGapEvery int
	// OrderTime is the time that a command takes.
	OrderTime time.Duration
	// NoFencing accepts commands with an old fencing token.
	NoFencing bool
}

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

// Server is a running engine.
type Server struct {
	*fault.Server
	options Options
	goroutines    sync.WaitGroup // goroutines of streams

	mu      sync.Mutex // before stream.mu
	streams map[string]*stream
	queue   []*stream // waiting, in order of arrival
	running int
	cache   *cache
	events  *eventLog
	control  controlState
	loads   []LoadReport // in order of time
	stats  Stats
}

// Stats counts what the engine did since Start.
type Stats struct {
	Requests       int64 // chat completions accepted
	Finished       int64
	Cancelled      int64
	Resumed        int64 // GET of a stream
	PromptTokens   int64
	CachedTokens   int64 // of PromptTokens
	OutputTokens   int64
	Orders         int64 // accepted
	OrdersRejected int64 // old fencing token
	Released       int64 // cache blocks freed by command
}

// Start serves until Close.
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
		control:  newControlState(o.Models),
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

// Close cancels all streams and ends the server.
func (s *Server) Close() error {
	err := s.Server.Close()
	s.cancelStreams()
	s.goroutines.Wait()
	return err
}

// Stats returns the counts since Start.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// crashed drops the streams and the cache. Models, role and fencing token
// survive.
func (s *Server) dropVolatileState() {
	s.cancelStreams()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams = map[string]*stream{}
	s.cache.clear(s.options.Clock.Now())
}

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
