package relay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"mimosarelay/app/suspects"
	"mimosarelay/core/config"
	"mimosarelay/core/conversation"
	"mimosarelay/core/dispatch"
	"mimosarelay/core/ingress"
	"mimosarelay/core/memory"
	"mimosarelay/core/model"
	"mimosarelay/core/pacing"
	"mimosarelay/core/placement"
	"mimosarelay/io/target"
)

// Forward is a request that is forwarded unchanged to a target of its route.
type Forward struct {
	ID        model.RequestID
	Workspace model.WorkspaceID // empty on public routes without a key
	Key       model.KeyID
	Route     *ingress.Route
	Service   ingress.Service
	Method    string
	// URI is the request target as the caller sent it.
	URI string
	// Headers holds the end-to-end header fields that are forwarded to targets.
	Headers []Header
	Body    []byte
	// Deadline is the earlier of the caller's deadline and the route's timeout.
	Deadline time.Time
	// LastEvent is the id of the event after which the caller resumes a stream;
	// empty for a new stream.
	LastEvent string
	// Prompt is zero for requests without a prompt.
	Prompt Prompt
	// Turn is nil for requests that are not charged to a program budget.
	Turn    *Turn
	Program model.ProgramID
	// Previous is the turn of the conversation that this request continues; empty
	// if it begins one. It is used only if the route keeps conversations.
	Previous model.RequestID
	// Object names the object that the request concerns; empty on routes whose
	// targets do not handle the same object faster.
	Object string
	// Memory reserves the memory of the answer; nil for no limit.
	Memory *memory.Holder
}

// Prompt describes the input of a generation.
type Prompt struct {
	Tokens    model.Tokens
	MaxTokens model.Tokens
	// Prefixes holds one hash per prefix of the prompt, shortest first.
	// PrefixTokens holds the number of tokens of each prefix.
	Prefixes     []uint64
	PrefixTokens []model.Tokens
}

// Turn is one generation of a program with a budget.
type Turn struct {
	Request model.RequestID
	// Budget is the number of tokens that all turns of the program may
	// generate.
	Budget    model.Tokens
	MaxTokens model.Tokens
	// Deadline is when a turn that was not ended expires.
	Deadline time.Time
}

// Dispatch is one attempt to run a forwarded request.
type Dispatch struct {
	Target config.Target
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// LastEvent is the id of the event after which the stream continues; empty
	// for a new stream.
	LastEvent string
}

// Reply is the metadata that a target adds to the response.
type Reply struct {
	// ID is the request that the response belongs to.
	ID model.RequestID
	// NotRun reports that the target rejected the request without running it.
	NotRun bool
	// Load is nil if the target does not report its load. Its time is not set.
	Load *placement.Load
	// Leaving says that the target is leaving and takes no new requests soon.
	Leaving bool
	// StatedRate is the rate of requests that the target takes from all hosts
	// together, if StatesRate is set.
	StatedRate pacing.Rate
	StatesRate bool
}

// nonRepeatableMaxIdle limits the idle time of a connection that is reused for a
// request that must not run twice. Targets close connections that are idle for
// longer, and the outcome of a request that is sent while the target closes the
// connection is unknown.
const nonRepeatableMaxIdle = time.Second

const (
	// busyRetryAfter is the Retry-After for requests that found no free place.
	busyRetryAfter = 200 * time.Millisecond
	// retryAfterDivisor limits Retry-After to a third of the time until the
	// deadline, so that another attempt can complete in the rest.
	retryAfterDivisor = 3
)

// forwardCall is the state of a forwarded request over all its attempts.
type forwardCall struct {
	*Forward
	attempts     dispatch.Attempts
	fingerprint  model.Fingerprint
	pinnedTarget model.TargetID // the only target to try, after dispatch.Again
	place        Place
	granted      pacing.Granted   // of the current place
	avoid        []model.TargetID // targets that are not tried as long as there are others
	trial        *suspects.Run    // claim of the current attempt; nil for most requests
	lease        TurnLease        // nil without a program budget
	started      time.Time
	sentAt       time.Time // when the present attempt was sent
	// chain is the conversation of a turn that is kept.
	chain conversation.ChainID
	// targetBody is the body for targets. It differs from Body for a turn that
	// continues a conversation.
	targetBody []byte
	// chainReserved is what targetBody holds beside Body, as reserved from Memory.
	chainReserved memory.Bytes
}

// fingerprint identifies the content that a target gets. The same input is another
// content in another conversation.
func (f *Forward) fingerprint() model.Fingerprint {
	parts := [][]byte{[]byte(f.Workspace), []byte(f.Method), []byte(f.URI), f.Body}
	if f.Route.Retention > 0 {
		parts = append(parts, []byte(f.Previous))
	}
	return fingerprint(parts...)
}

// Forward admits a request and forwards it to a target. Errors are
// *model.Refusal. The caller must Close the body of the answer.
func (s *Service) Forward(ctx context.Context, f *Forward) (*Answer, error) {
	s.metrics.calls.Inc(1)
	c := &forwardCall{
		Forward: f, started: s.Clock.Now(), fingerprint: f.fingerprint(),
		attempts: dispatch.Attempts{Repeatable: f.Route.Repeatable(), MaxTargets: f.Route.MaxTargets},
	}
	answer, err := s.admitAndForward(ctx, c)
	if err != nil {
		s.metrics.refusals.Inc(1)
		refusal := c.refusalFor(ctx, f.Deadline.Sub(s.Clock.Now()), err)
		c.endTurn(0)
		return nil, refusal
	}
	s.metrics.header.RecordDuration(s.Clock.Since(c.started))
	return answer, nil
}

// refusalFor returns the refusal for the caller. left is the time until the
// deadline.
func (c *forwardCall) refusalFor(ctx context.Context, left time.Duration, err error) *model.Refusal {
	ran := c.attempts.Ran()
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) && ran != model.RanNo {
		return model.NewRefusal(model.ErrOutcomeUnknown, ran, "no answer in time after %d attempts: %v", c.attempts.Count(), err)
	}
	refusal := *asRefusal(err, ran)
	refusal.Ran = ran
	if ran == model.RanUnknown {
		refusal.Kind = model.ErrTargetFailed
	}
	if ran == model.RanNo && errors.Is(&refusal, model.ErrUnavailable) && refusal.RetryAfter == 0 {
		refusal.RetryAfter = busyRetryAfter
	}
	refusal.RetryAfter = min(refusal.RetryAfter, max(0, left)/retryAfterDivisor)
	return &refusal
}

func (s *Service) admitAndForward(ctx context.Context, c *forwardCall) (*Answer, error) {
	if _, err := s.Suspects.Check(c.fingerprint); err != nil {
		return nil, err
	}
	if c.Workspace != "" {
		if err := s.Limiter.Admit(ctx, c.Workspace); err != nil {
			return nil, err
		}
	}
	c.targetBody = c.Body
	if c.keeps() {
		if err := s.beginConversation(ctx, c); err != nil {
			return nil, err
		}
	}
	if c.Turn != nil && s.Turns != nil {
		lease, err := s.Turns.Begin(ctx, model.ProgramKey{Workspace: c.Workspace, Program: c.Program}, *c.Turn)
		if err != nil {
			return nil, err
		}
		c.lease = lease
	}
	for {
		answer, next, err := s.forwardOnce(ctx, c)
		if err == nil {
			return answer, nil
		}
		if !c.prepareNext(ctx, next) {
			return nil, err
		}
		s.metrics.retries.Inc(1)
	}
}

// prepareNext prepares the next attempt and reports whether there is one.
func (c *forwardCall) prepareNext(ctx context.Context, next dispatch.Next) bool {
	if ctx.Err() != nil {
		return false
	}
	switch next.(type) {
	case dispatch.Elsewhere:
		c.pinnedTarget = ""
		return true
	case dispatch.Again:
		c.pinnedTarget = c.place.Target().Name
		return true
	}
	return false
}

func (c *forwardCall) placeRequest() placement.Request {
	r := placement.Request{
		Workspace: c.Workspace, Program: c.Program, Exclude: c.attempts.Exclude,
		Prompt: c.Prompt.Tokens, MaxTokens: c.Prompt.MaxTokens,
		Prefixes: c.Prompt.Prefixes, PrefixTokens: c.Prompt.PrefixTokens, Fingerprint: c.fingerprint,
		Model: model.ModelID(c.Service.ID), Repeatable: c.Route.Repeatable(),
	}
	if len(c.avoid) > 0 {
		r.Exclude = slices.Concat(r.Exclude, c.avoid)
	}
	if c.Object != "" {
		r.Object = max(1, xxhash.Sum64String(c.Object))
	}
	if c.pinnedTarget != "" {
		r.Model, r.Exclude = "", nil
		r.Candidates = []model.TargetID{c.pinnedTarget}
	}
	return r
}

// forwardOnce makes one attempt. On an error, Next is nil if no attempt was made.
func (s *Service) forwardOnce(ctx context.Context, c *forwardCall) (*Answer, dispatch.Next, error) {
	if err := s.startAttempt(ctx, c); err != nil {
		return nil, nil, err
	}
	resp, err := s.dispatch(ctx, c, c.LastEvent)
	if err != nil {
		next := s.handleFailedAttempt(ctx, c, err)
		return nil, next, err
	}
	if c.Route.Streaming() && resp.Status() == fasthttp.StatusOK && isEventStream(resp.ContentType()) {
		return s.forwardStream(ctx, c, resp), nil, nil
	}
	return s.forwardAnswer(ctx, c, resp)
}

// dispatch sends the request to the target of the current place and reads the
// header of the response.
func (s *Service) dispatch(ctx context.Context, c *forwardCall, lastEvent string) (*target.Response, error) {
	t := c.place.Target()
	left := c.Deadline.Sub(s.Clock.Now())
	if left <= 0 {
		return nil, model.NewRefusal(model.ErrUnavailable, model.RanNo, "the deadline passed before the request was sent")
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	beginHead(req, c.Method, c.URI)
	for _, h := range c.Headers {
		addHeader(&req.Header, h)
	}
	req.SetBodyRaw(c.targetBody)
	s.Dialect.Encode(req, c.Forward, Dispatch{Target: t, TimeLeft: left, LastEvent: lastEvent})
	var reply Reply // of the response that belongs to the request
	resp, err := s.Targets.Do(ctx, t.Address, req, target.CallOptions{
		Fresh:           c.attempts.Count() > 0,
		MaxConnIdleTime: c.maxConnIdle(),
		IdleTimeout:     left,
		BeforeSend: func() error {
			c.sentAt = s.Clock.Now()
			return cmp.Or(s.checkBeforeForward(ctx), s.checkTarget(c))
		},
		Match: func(m *fasthttp.Response) bool {
			reply = s.Dialect.Decode(m)
			return reply.ID == c.ID
		},
		Unframed: true,
	})
	if err != nil {
		return nil, err
	}
	if reply.Load != nil && s.Loads != nil {
		s.Loads.Report(t.Name, *reply.Load)
	}
	if reply.Leaving && s.Departures != nil {
		s.Departures.MarkLeaving(t.Name)
	}
	if s.Pacer != nil {
		s.Pacer.Observe(t.Name, reply.StatedRate, reply.StatesRate, c.sentAt)
	}
	if reply.NotRun {
		status := resp.Status()
		_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxNotRunAnswer))
		_ = resp.Close()
		return nil, fmt.Errorf("%w: target %q answered %d", errNotRun, t.Name, status)
	}
	return resp, nil
}

// workKind identifies the requests whose answers take comparable times.
func (c *forwardCall) workKind(suffix string) placement.WorkKind {
	return placement.WorkKind(xxhash.Sum64String(string(c.Service.ID) + "\n" + c.Route.Name + suffix))
}

// errNotRun reports that the target rejected a request without running it.
var errNotRun = errors.New("request was rejected without being run")

func (c *forwardCall) maxConnIdle() time.Duration {
	if c.Route.Repeatable() {
		return 0
	}
	return nonRepeatableMaxIdle
}

// checkBeforeForward reports an error if the request must not be sent any more.
// It runs immediately before a request is sent, because the process may have
// been paused since the request was admitted.
func (s *Service) checkBeforeForward(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if !s.Rights.MayAct() {
		return model.NewRefusal(model.ErrNoRight, model.RanNo, "this host did not have the right to act for the request when it was about to run it").Retry(retryDelay)
	}
	return nil
}

// handleFailedAttempt classifies the error of an attempt, releases its place and
// returns the next step.
func (s *Service) handleFailedAttempt(ctx context.Context, c *forwardCall, cause error) dispatch.Next {
	t := c.place.Target()
	recordOutcome(c.place, failureOutcome(ctx, cause))
	s.recordMalformed(c, cause)
	defer s.endRun(c, false) // after the crash was recorded
	var outcome dispatch.Outcome
	failed := false
	var refusal *model.Refusal
	switch {
	case errors.As(cause, &refusal):
		c.place.Release(placement.Usage{})
		return dispatch.GiveUp{}
	case errors.Is(cause, errNotRun):
		outcome = dispatch.NotRun{}
	case errors.Is(cause, target.ErrNotSent):
		s.recordLost(ctx, t.Name, cause)
		outcome, failed = dispatch.Unsent{}, ctx.Err() == nil
	default:
		s.recordLost(ctx, t.Name, cause)
		s.Targets.DropIdle(t.Address)
		gone := !errors.Is(cause, target.ErrIdle) && s.Targets.Unreachable(ctx, t.Address)
		outcome, failed = dispatch.Lost{Gone: gone}, gone
		if gone {
			s.Suspects.RecordCrash(ctx, c.fingerprint, t.Name)
		}
	}
	c.place.Release(placement.Usage{Failed: failed})
	next := c.attempts.RecordOutcome(t.Name, outcome)
	s.Log.Info("attempt failed", "request", c.ID, "target", t.Name, "outcome", fmt.Sprintf("%T", outcome), "attempt", c.attempts.Count(),
		"next", fmt.Sprintf("%T", next), "error", cause)
	return next
}

// endTurn ends what the call holds beside its place.
func (c *forwardCall) endTurn(used model.Tokens) {
	c.releaseChain()
	if c.lease != nil {
		c.lease.End(used)
		c.lease = nil
	}
}

// logRequestEnded writes the log line of a request that a target answered.
func (s *Service) logRequestEnded(c *forwardCall, status int, complete bool, events int) {
	s.Log.Info("request ended", "request", c.ID, "workspace", c.Workspace, "route", c.Route.Name, "program", c.Program,
		"target", c.place.Target().Name, "status", status, "whole", complete, "events", events,
		"attempts", c.attempts.Count()+1, "duration", s.Clock.Since(c.started))
}

// hopByHopHeaders are the header fields that apply to a single connection.
var hopByHopHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-authenticate": true, "proxy-authorization": true, "proxy-connection": true,
	"te": true, "trailer": true, "transfer-encoding": true, "upgrade": true, "content-length": true,
}

// EndToEnd reports whether an intermediary forwards a header field.
func EndToEnd(name string) bool { return !hopByHopHeaders[strings.ToLower(name)] }

func endToEndHeaders(m *fasthttp.Response) []Header {
	var list []Header
	for name, value := range m.Header.All() {
		if EndToEnd(string(name)) {
			list = append(list, Header{Name: string(name), Value: string(value)})
		}
	}
	return list
}

func isEventStream(contentType string) bool {
	return strings.HasPrefix(strings.ToLower(contentType), "text/event-stream")
}
