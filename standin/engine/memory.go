package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"mimosarelay/standin/fault"
)

// LoadReport is the response to GET /v1/load.
type LoadReport struct {
	Time          time.Time // when the load was measured
	Running       int       // streams in the batch
	Waiting       int       // streams in the queue
	CacheBlocks   int       // blocks in use
	CacheCapacity int       // in blocks
	BlockTokens   int
	Programs      []ProgramEntry
}

// CacheExport is the response to an export request and the body of an import
// request.
type CacheExport struct {
	Program     string
	BlockTokens int
	Blocks      []blockID
}

// cacheEventsResponse is the response to GET /v1/cache/events.
type cacheEventsResponse struct {
	Events []Event
	Last   int64 // sequence of the last event returned, or the requested one if there is none
}

// programRequest is the body of an export or release request.
type programRequest struct {
	Program string
}

// Load returns the report that GET /v1/load responds with: the newest one that is
// at least LoadLag old, or the oldest one if none is.
func (s *Server) Load() LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.options.LoadLag <= 0 {
		return s.loadNow()
	}
	now := s.options.Clock.Now()
	best := s.loads[0]
	for _, l := range s.loads {
		if now.Sub(l.Time) >= s.options.LoadLag {
			best = l
		}
	}
	return best
}

// loadNow measures the current load. The caller holds s.mu.
func (s *Server) loadNow() LoadReport {
	return LoadReport{
		Time:          s.options.Clock.Now(),
		Running:       s.running,
		Waiting:       len(s.queue),
		CacheBlocks:   len(s.cache.blocks),
		CacheCapacity: s.cache.capacity,
		BlockTokens:   s.cache.blockTokens,
		Programs:      s.cache.programEntries(),
	}
}

// loadSamplesPerLag is the number of load samples per LoadLag.
const loadSamplesPerLag = 2

// sampleLoad stores a report of the current load and removes reports that are too
// old to be returned by Load.
func (s *Server) sampleLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads = append(s.loads, s.loadNow())
	if keep := loadSamplesPerLag + 2; len(s.loads) > keep {
		s.loads = append([]LoadReport(nil), s.loads[len(s.loads)-keep:]...)
	}
}

// sampleLoadLoop samples the load until the server is closed.
func (s *Server) sampleLoadLoop() {
	t := s.options.Clock.NewTicker(max(s.options.LoadLag/loadSamplesPerLag, time.Millisecond))
	defer t.Stop()
	for {
		select {
		case <-t.Chan():
			s.sampleLoad()
		case <-s.Stopped():
			return
		}
	}
}

// cacheEvents serves GET /v1/cache/events?since=N.
func (s *Server) cacheEvents(ctx *fasthttp.RequestCtx) {
	since, err := intArg(ctx, "since")
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	s.mu.Lock()
	found := s.events.since(int64(since), s.options.Clock.Now())
	s.mu.Unlock()
	last := int64(since)
	if len(found) > 0 {
		last = found[len(found)-1].Sequence
	}
	fault.WriteJSON(ctx, cacheEventsResponse{Events: found, Last: last})
}

// exportCache serves POST /v1/cache/export.
func (s *Server) exportCache(ctx *fasthttp.RequestCtx) {
	var r programRequest
	if !decode(ctx, &r) {
		return
	}
	s.mu.Lock()
	e := CacheExport{Program: r.Program, BlockTokens: s.cache.blockTokens, Blocks: s.cache.blocksOf(r.Program)}
	s.mu.Unlock()
	if len(e.Blocks) == 0 {
		writeError(ctx, fasthttp.StatusNotFound, "invalid_request_error", "program "+strconv.Quote(r.Program)+" has no cache entries")
		return
	}
	fault.WriteJSON(ctx, e)
}

// importCache serves POST /v1/cache/import.
func (s *Server) importCache(ctx *fasthttp.RequestCtx) {
	var e CacheExport
	if !decode(ctx, &e) {
		return
	}
	if e.BlockTokens != s.options.BlockTokens {
		writeError(ctx, fasthttp.StatusBadRequest, "invalid_request_error",
			fmt.Sprintf("blocks of %d tokens cannot be imported, this engine has blocks of %d", e.BlockTokens, s.options.BlockTokens))
		return
	}
	s.mu.Lock()
	s.cache.insert(e.Program, e.Blocks, s.options.Clock.Now())
	s.mu.Unlock()
	fault.WriteJSON(ctx, map[string]int{"Imported": len(e.Blocks)})
}

// releaseCache serves POST /v1/cache/release. Releasing a program without blocks
// frees 0 blocks and is not an error.
func (s *Server) releaseCache(ctx *fasthttp.RequestCtx) {
	var r programRequest
	if !decode(ctx, &r) {
		return
	}
	s.mu.Lock()
	freed := s.cache.release(r.Program, s.options.Clock.Now())
	s.stats.Released += int64(freed)
	s.mu.Unlock()
	fault.WriteJSON(ctx, map[string]int{"Freed": freed})
}

// decode decodes the JSON body into v. If that fails it responds with an error and
// returns false.
func decode(ctx *fasthttp.RequestCtx, v any) bool {
	d := json.NewDecoder(bytes.NewReader(ctx.PostBody()))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "invalid_request_error", "decode request: "+err.Error())
		return false
	}
	return true
}
