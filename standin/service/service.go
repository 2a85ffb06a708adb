// Package service is a stand-in of a plain HTTP service. It records every
// request that arrives and answers with a text that depends on the request.
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

// maxArrivals bounds the arrivals that are kept; Total counts on.
const maxArrivals = 100000

// headerIdempotency names a call that must not run twice.
const headerIdempotency = "Idempotency-Key"

// Options of Start.
type Options struct {
	// Listen is the IP:port to serve. Port 0 picks a free one.
	Listen string
	// Control is an IP:port that serves the /standin/ paths through all
	// faults. Empty means none.
	Control string
	// Clock defaults to the real one.
	Clock clockwork.Clock
	// Delay is the time between the arrival of a request and its answer.
	Delay time.Duration
	// AnswerBytes is the least length of an answer, which is filled up with
	// dots.
	AnswerBytes int
	// LoadLag is the age of load reports.
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

// Arrivals is the answer to GET /standin/arrivals.
type Arrivals struct {
	Total    int64
	Arrivals []Arrival // the latest 100,000, oldest first
}

// Server is a running service.
type Server struct {
	*fault.Server
	options Options

	mu       sync.Mutex
	total    int64
	arrivals []Arrival
	running  int
	loads    []LoadReport // changes of the load, oldest first
}

// LoadReport is the answer to GET /v1/load.
type LoadReport struct {
	Time    time.Time // when the report was true
	Running int
}

// Start serves until Close.
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
		Listen:  o.Listen,
		Control: o.Control,
		Clock:   o.Clock,
		Handler: s.handle,
		Arrived: s.record,
	})
	if err != nil {
		return nil, fmt.Errorf("service: %w", err)
	}
	return s, nil
}

// Answer returns the body of the answer to a request, without the dots that
// AnswerBytes adds.
func Answer(method, path, body string) string {
	return fmt.Sprintf("%s %s %08x\n", method, path, crc32.ChecksumIEEE([]byte(body)))
}

// Arrivals returns what GET /standin/arrivals answers.
func (s *Server) Arrivals() Arrivals {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Arrivals{Total: s.total, Arrivals: slices.Clone(s.arrivals)}
}

// Load returns what GET /v1/load answers.
func (s *Server) Load() LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads = s.loads[s.current():]
	return s.loads[0]
}

// current returns the newest change that is old enough to be reported, or the
// oldest kept. The caller holds s.mu.
func (s *Server) current() int {
	due := s.options.Clock.Now().Add(-s.options.LoadLag)
	i := len(s.loads) - 1
	for i > 0 && s.loads[i].Time.After(due) {
		i--
	}
	return i
}

// countRunning adds to the number of requests that are being answered.
func (s *Server) countRunning(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += n
	s.loads = append(s.loads[s.current():], LoadReport{Time: s.options.Clock.Now(), Running: s.running})
}

// record keeps a request when it arrives, so that a request that a fault
// leaves without an answer counts as well.
func (s *Server) record(ctx *fasthttp.RequestCtx) {
	a := Arrival{
		Time:        s.options.Clock.Now(),
		Client:      ctx.RemoteAddr().String(),
		Method:      string(ctx.Method()),
		Path:        string(ctx.RequestURI()),
		Headers:     map[string][]string{},
		Trailers:    trailers(&ctx.Request.Header),
		Body:        string(ctx.PostBody()),
		Idempotency: string(ctx.Request.Header.Peek(headerIdempotency)),
	}
	// In order means as received: All joins cookies and omits trailers.
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

// trailers returns the fields that followed the body, announced or not.
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
		if occurs(text, a.Path, a.Body) || occursIn(text, a.Headers) || occursIn(text, a.Trailers) {
			found = append(found, a)
		}
	}
	return found
}

func occurs(lower string, texts ...string) bool {
	return slices.ContainsFunc(texts, func(t string) bool {
		return strings.Contains(strings.ToLower(t), lower)
	})
}

func occursIn(lower string, fields map[string][]string) bool {
	for name, values := range fields {
		if occurs(lower, name) || occurs(lower, values...) {
			return true
		}
	}
	return false
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/standin/arrivals":
		fault.JSON(ctx, s.Arrivals())
		return
	case "/v1/load":
		fault.JSON(ctx, s.Load())
		return
	}
	s.countRunning(1)
	defer s.countRunning(-1)
	if !s.Sleep(s.options.Delay) {
		fault.Drop(ctx)
		return
	}
	answer := Answer(string(ctx.Method()), string(ctx.RequestURI()), string(ctx.PostBody()))
	if missing := s.options.AnswerBytes - len(answer); missing > 0 {
		answer += strings.Repeat(".", missing)
	}
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(answer)
}
