package relay

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"mimosarelay/app/programs"
	"mimosarelay/core/config"
	"mimosarelay/core/model"
	"mimosarelay/core/placement"
	"mimosarelay/io/target"
)

// serviceCall is the state of one call to a plain service over all its attempts.
type serviceCall struct {
	request        *Request
	route          config.Route
	run            *programs.Run // nil for calls that are not recorded
	exclude        []model.TargetID
	startCommitted bool
	ran            model.Ran
}

func (s *Service) runService(ctx context.Context, r *Request) (*Answer, error) {
	route, ok := s.Contracts.Current().Route(r.Route)
	if !ok {
		return nil, model.NewRefusal(model.ErrNotFound, model.RanNo, "route %q does not exist", r.Route)
	}
	if err := checkMethod(route, r.Method); err != nil {
		return nil, err
	}
	c := &serviceCall{request: r, route: route, ran: model.RanNo}
	timeout := route.CallTimeout()
	if !r.recorded() || r.Program == "" && route.Repeatable {
		return s.attemptService(ctx, c, timeout)
	}
	run, recorded, err := s.beginRun(ctx, c.spec())
	if err != nil || recorded != nil {
		return recorded, err
	}
	c.run = run
	return s.attemptService(ctx, c, timeout)
}

func checkMethod(route config.Route, method string) error {
	if route.Allows(method) {
		return nil
	}
	allowed := route.Methods
	if len(allowed) == 0 {
		allowed = []string{http.MethodPost}
	}
	return model.NewRefusal(model.ErrBadRequest, model.RanNo, "route %q allows %s", route.Name, strings.Join(allowed, ", "))
}

func (c *serviceCall) spec() programs.CallSpec {
	r := c.request
	record, _ := json.Marshal(recordedRequest{Body: r.Body}) // cannot fail for bytes
	return programs.CallSpec{
		Key:            r.programKey(),
		Parent:         r.Parent,
		Call:           r.Call,
		IdempotencyKey: r.IdempotencyKey,
		Fingerprint:    fingerprint([]byte(r.Route), []byte(r.Method), []byte(r.Path), r.Body),
		Idempotent:     c.route.Repeatable,
		Messages:       record,
	}
}

func (s *Service) attemptService(ctx context.Context, c *serviceCall, timeout time.Duration) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var err error
	for i := 0; i < maxAttempts; i++ {
		var answer *Answer
		answer, err = s.attemptServiceOnce(ctx, c, timeout)
		if err == nil {
			return answer, nil
		}
		if !errors.Is(err, errTryNext) || ctx.Err() != nil {
			break
		}
		s.metrics.retries.Inc(1)
	}
	return nil, s.abortService(ctx, c, err)
}

func (s *Service) abortService(ctx context.Context, c *serviceCall, cause error) error {
	s.abortRun(ctx, c.request, c.run, c.ran)
	refusal := *asRefusal(cause, c.ran)
	refusal.Ran = c.ran
	if c.ran == model.RanUnknown && !c.route.Repeatable {
		refusal.Kind = model.ErrOutcomeUnknown
	}
	return &refusal
}

func (s *Service) attemptServiceOnce(ctx context.Context, c *serviceCall, timeout time.Duration) (*Answer, error) {
	place, err := s.Placer.Acquire(ctx, placement.Request{
		Workspace: c.request.Workspace, Program: c.request.Program, Candidates: c.route.Targets, Exclude: c.exclude,
	})
	if err != nil {
		return nil, err
	}
	answer, err := s.exchange(ctx, c, place, timeout)
	place.Release(placement.Usage{Failed: err != nil})
	if err != nil {
		c.exclude = append(c.exclude, place.Target().Name)
	}
	return answer, err
}

// exchange sends the call to one target and reads the complete response, so that
// a truncated response is never returned to the caller.
func (s *Service) exchange(ctx context.Context, c *serviceCall, place Place, timeout time.Duration) (*Answer, error) {
	t := place.Target()
	if c.run != nil && !c.route.Repeatable {
		// Such a call goes on after its caller has disconnected; otherwise its
		// outcome would stay unknown.
		ctx = context.WithoutCancel(ctx)
	}
	// IdleTimeout does not end a call whose target sends a byte now and then.
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	c.fillRequest(req, t.Address)
	resp, err := s.Targets.Do(ctx, t.Address, req, target.CallOptions{
		// The target may already have closed a reused connection, which a write
		// does not report. A non-idempotent call could then not be retried.
		Fresh:       !c.route.Repeatable || len(c.exclude) > 0,
		IdleTimeout: timeout,
		BeforeSend:  func() error { return s.beforeSendService(ctx, c) },
	})
	if err != nil {
		return nil, s.classifyServiceError(c, t, err)
	}
	c.ran = model.RanUnknown
	body, err := readWhole(ctx, c.request.Memory, resp)
	headers := allowedHeaders(resp)
	status, contentType := resp.Status(), resp.ContentType()
	_ = resp.Close()
	if err != nil {
		return nil, s.classifyServiceError(c, t, err)
	}
	if status >= fasthttp.StatusInternalServerError && c.route.Repeatable {
		body.Release()
		return nil, errors.Join(errTryNext, model.NewRefusal(model.ErrTargetFailed, c.ran, "target %q answered %d", t.Name, status))
	}
	c.ran = model.RanYes
	if err := s.finishRun(ctx, c.run, programs.Result{Answer: recordedBytes(c.run, body), ContentType: contentType, Status: status}); err != nil {
		body.Release()
		return nil, err
	}
	return &Answer{Status: status, Headers: headers, Body: &bufferedAnswer{body: body}, Length: len(body.Bytes())}, nil
}

func (c *serviceCall) fillRequest(req *fasthttp.Request, address string) {
	beginHead(req, c.request.Method, "/"+c.request.Path)
	req.Header.Set(fasthttp.HeaderHost, address)
	for _, h := range c.request.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	req.Header.Set("X-Request-Id", string(c.request.ID))
	if c.request.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", c.request.IdempotencyKey)
	}
	req.SetBodyRaw(c.request.Body)
}

// beforeSendService commits that a recorded call is about to be sent. The first
// byte is written immediately afterwards.
func (s *Service) beforeSendService(ctx context.Context, c *serviceCall) error {
	if c.run != nil && !c.startCommitted {
		if err := c.run.Start(ctx); err != nil {
			return err
		}
		c.startCommitted = true
	}
	return s.checkRight(c.request)
}

// classifyServiceError returns the error of a failed exchange as a refusal,
// joined with errTryNext if another target may be tried. It updates c.ran if the
// request may have been sent.
func (s *Service) classifyServiceError(c *serviceCall, t config.Target, err error) error {
	var refusal *model.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	if errors.Is(err, target.ErrNotSent) {
		return errors.Join(errTryNext, model.NewRefusal(model.ErrTargetFailed, c.ran, "target %q cannot be reached: %v", t.Name, err))
	}
	c.ran = model.RanUnknown
	s.Targets.DropIdle(t.Address)
	failed := model.NewRefusal(model.ErrTargetFailed, c.ran, "request to target %q failed: %v", t.Name, err)
	if !c.route.Repeatable {
		return failed
	}
	return errors.Join(errTryNext, failed)
}

func allowedHeaders(resp *target.Response) []Header {
	var headers []Header
	for name, value := range resp.Headers() {
		if PassResponseHeader(string(name)) {
			headers = append(headers, Header{Name: string(name), Value: string(value)})
		}
	}
	return headers
}
