// Package service is a stand-in for a plain HTTP service. It records every request
// that arrives and responds with a text that is derived from the request.
package service

import (
	"fmt"
	"hash/crc32"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"mimosarelay/standin/fault"
)

// maxArrivals bounds the arrivals that are kept. Arrivals.Total counts all.
const maxArrivals = 100000

// headerIdempotencyKey identifies a call that must not run twice.
const headerIdempotencyKey = "Idempotency-Key"

// Options configures Start.
type Options struct {
	// Listen is the IP:port to listen on. Port 0 picks a free port.
	Listen string
	// Control is an IP:port that serves only the /standin/ paths and that no
	// fault affects. Empty means none.
	Control string
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// Delay is the time between the arrival of a request and its response.
	Delay time.Duration
	// AnswerBytes is the minimum length of a response body; shorter ones are
	// padded with dots.
	AnswerBytes int
	// LoadLag is the delay until a change of the load is reported.
	LoadLag time.Duration
}

// Arrival is one request as it was received.
type Arrival struct {
	Number      int64 // from 1, in order of arrival
	Time        time.Time
	Client      string // IP:port
	Method      string
	Path        string // with query
	Headers     map[string][]string
	Trailers    map[string][]string `json:",omitempty"`
	Body        string
	Idempotency string `json:",omitempty"` // header Idempotency-Key
}

// Arrivals is the response to GET /standin/arrivals.
type Arrivals struct {
	Total    int64
	Arrivals []Arrival // the latest 100,000, oldest first
}

// Server is a running stand-in.
type Server struct {
	*fault.Server
	options Options

	mu       sync.Mutex
	total    int64
	arrivals []Arrival
	running  int
	loads    []LoadReport // one for each change of the load, oldest first
}

// LoadReport is the response to GET /v1/load.
type LoadReport struct {
	Time    time.Time // when the load changed to this value
	Running int       // requests in progress
}

// Start starts a server that runs until Close.
func Start(o Options) (*Server, error) {
	if o.Delay < 0 || o.AnswerBytes < 0 || o.LoadLag < 0 {
		return nil, fmt.Errorf("service: Delay %v, AnswerBytes %d and LoadLag %v must not be negative", o.Delay, o.AnswerBytes, o.LoadLag)
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	s := &Server{options: o, loads: []LoadReport{{Time: o.Clock.Now()}}}
	var err error
	s.Server, err = fault.Start(fault.Options{
		Listen:    o.Listen,
		Control:   o.Control,
		Clock:     o.Clock,
		Handler:   s.handle,
		OnArrival: s.recordArrival,
	})
	if err != nil {
		return nil, fmt.Errorf("service: %w", err)
	}
	return s, nil
}

// Answer returns the response body for a request, without the padding that
// AnswerBytes adds.
func Answer(method, path, body string) string {
	return fmt.Sprintf("%s %s %08x\n", method, path, crc32.ChecksumIEEE([]byte(body)))
}

// Arrivals returns the response to GET /standin/arrivals.
func (s *Server) Arrivals() Arrivals {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Arrivals{Total: s.total, Arrivals: slices.Clone(s.arrivals)}
}

// Load returns the response to GET /v1/load.
func (s *Server) Load() LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads = s.loads[s.dueReport():]
	return s.loads[0]
}

// dueReport returns the index of the newest report that is at least LoadLag old,
// or 0 if none is. The caller holds s.mu.
func (s *Server) dueReport() int {
	due := s.options.Clock.Now().Add(-s.options.LoadLag)
	i := len(s.loads) - 1
	for i > 0 && s.loads[i].Time.After(due) {
		i--
	}
	return i
}

// countRunning adds n to the number of requests in progress and stores a report.
func (s *Server) countRunning(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += n
	s.loads = append(s.loads[s.dueReport():], LoadReport{Time: s.options.Clock.Now(), Running: s.running})
}

// recordArrival stores a request when it arrives, so that a request that gets no
// response because of a fault is recorded as well.
func (s *Server) recordArrival(ctx *fasthttp.RequestCtx) {
	a := Arrival{
		Time:        s.options.Clock.Now(),
		Client:      ctx.RemoteAddr().String(),
		Method:      string(ctx.Method()),
		Path:        string(ctx.RequestURI()),
		Headers:     map[string][]string{},
		Trailers:    trailers(&ctx.Request.Header),
		Body:        string(ctx.PostBody()),
		Idempotency: string(ctx.Request.Header.Peek(headerIdempotencyKey)),
	}
	// AllInOrder returns the fields as received; All joins cookies and omits
	// trailers.
	for k, v := range ctx.Request.Header.AllInOrder() {
		a.Headers[string(k)] = append(a.Headers[string(k)], string(v))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	a.Number = s.total
	s.arrivals = append(s.arrivals, a)
	if len(s.arrivals) > maxArrivals {
		s.arrivals = s.arrivals[1:]
	}
}

// trailers returns the trailer fields, whether a Trailer header announced them or
// not.
func trailers(h *fasthttp.RequestHeader) map[string][]string {
	var names []string
	for name := range h.Trailers() {
		names = append(names, string(name))
	}
	found := map[string][]string{}
	for _, name := range names {
		for _, v := range h.PeekAllTrailer(name) {
			found[name] = append(found[name], string(v))
		}
	}
	return found
}

// ArrivalsContaining returns the arrivals in which text occurs in the path, a
// header, a trailer or the body. It ignores case, because header names are
// recorded in canonical form. Tests use it to search for keys of callers.
func (s *Server) ArrivalsContaining(text string) []Arrival {
	text = strings.ToLower(text)
	var found []Arrival
	for _, a := range s.Arrivals().Arrivals {
		if containsFold(text, a.Path, a.Body) || fieldsContainFold(text, a.Headers) || fieldsContainFold(text, a.Trailers) {
			found = append(found, a)
		}
	}
	return found
}

// containsFold reports whether one of the texts contains lower, ignoring case.
func containsFold(lower string, texts ...string) bool {
	return slices.ContainsFunc(texts, func(t string) bool {
		return strings.Contains(strings.ToLower(t), lower)
	})
}

// fieldsContainFold reports whether a field name or value contains lower, ignoring
// case.
func fieldsContainFold(lower string, fields map[string][]string) bool {
	for name, values := range fields {
		if containsFold(lower, name) || containsFold(lower, values...) {
			return true
		}
	}
	return false
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/standin/arrivals":
		fault.WriteJSON(ctx, s.Arrivals())
		return
	case "/v1/load":
		fault.WriteJSON(ctx, s.Load())
		return
	}
	s.countRunning(1)
	defer s.countRunning(-1)
	if !s.Sleep(s.options.Delay) {
		fault.DropConnection(ctx)
		return
	}
	answer := Answer(string(ctx.Method()), string(ctx.RequestURI()), string(ctx.PostBody()))
	if missing := s.options.AnswerBytes - len(answer); missing > 0 {
		answer += strings.Repeat(".", missing)
	}
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(answer)
}
