package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"mimosarelay/app/programs"
	"mimosarelay/app/suspects"
	"mimosarelay/core/model"
	"mimosarelay/core/placement"
	"mimosarelay/core/program"
	"mimosarelay/io/target"
)

// chatCall is the state of one chat completion over all its attempts.
type chatCall struct {
	request        *Request
	chat           *target.ChatRequest
	body           []byte
	fingerprint    model.Fingerprint
	prefixHashes   []uint64      // one hash per leading part of the messages
	run            *programs.Run // nil for a call outside a program
	exclude        []model.TargetID
	place          Place
	suspectRun     *suspects.Run // claim of the current attempt; nil before
	exclusive      bool          // the request crashed a target before; no further attempt is made
	startCommitted bool
	ran            model.Ran
}

func (s *Service) runChat(ctx context.Context, r *Request) (*Answer, error) {
	c, err := s.newChatCall(r)
	if err != nil {
		return nil, err
	}
	if r.Program == "" {
		return s.attemptChat(ctx, c)
	}
	run, recorded, err := s.beginRun(ctx, c.spec(s.recordedPrefixes.get(r.programKey())))
	if err != nil || recorded != nil {
		return recorded, err
	}
	c.run = run
	return s.attemptChat(ctx, c)
}

func (s *Service) newChatCall(r *Request) (*chatCall, error) {
	chat, err := target.ParseChatRequest(r.Body)
	if err != nil {
		return nil, model.NewRefusal(model.ErrBadRequest, model.RanNo, "%v", err)
	}
	snapshot := s.Contracts.Current()
	workspace, ok := snapshot.Workspace(r.Workspace)
	if !ok {
		return nil, model.NewRefusal(model.ErrUnauthorized, model.RanNo, "workspace %q has no contract", r.Workspace)
	}
	if !workspace.MayUseModel(chat.Model) {
		return nil, model.NewRefusal(model.ErrForbidden, model.RanNo, "the contract does not grant model %q", chat.Model)
	}
	if !snapshot.Serves(chat.Model) {
		return nil, model.NewRefusal(model.ErrNotFound, model.RanNo, "model %q does not exist", chat.Model)
	}
	body, err := chat.Body()
	if err != nil {
		return nil, model.NewRefusal(model.ErrBadRequest, model.RanNo, "%v", err)
	}
	return &chatCall{request: r, chat: chat, body: body, fingerprint: fingerprint(body), prefixHashes: hashPrefixes(chat.Messages), ran: model.RanNo}, nil
}

// spec returns the description of the call for package programs. base describes
// the latest recorded call of the program.
func (c *chatCall) spec(base recordedPrefix) programs.CallSpec {
	record, _ := json.Marshal(newMessages(base, c.chat.Messages, c.prefixHashes)) // cannot fail: the raw messages were parsed before
	return programs.CallSpec{
		Key:         c.request.programKey(),
		Parent:      c.request.Parent,
		Call:        c.request.Call,
		Fingerprint: c.fingerprint,
		Reserve:     c.chat.EstimatePromptTokens() + c.chat.MaxTokens,
		Idempotent:  true,
		Messages:    record,
	}
}

// attemptChat tries up to maxAttempts targets until one starts to answer.
func (s *Service) attemptChat(ctx context.Context, c *chatCall) (*Answer, error) {
	var err error
	for i := 0; i < maxAttempts; i++ {
		var answer *Answer
		answer, err = s.attemptChatOnce(ctx, c, i > 0)
		if err == nil {
			return answer, nil
		}
		if !errors.Is(err, errTryNext) || c.exclusive || ctx.Err() != nil {
			break
		}
		s.metrics.retries.Inc(1)
	}
	return nil, s.abortChat(ctx, c, err)
}

// errTryNext marks failures after which another target may be tried.
var errTryNext = errors.New("try another target")

// abortChat records that the call failed and returns the refusal for the caller.
func (s *Service) abortChat(ctx context.Context, c *chatCall, cause error) error {
	s.abortRun(ctx, c.request, c.run, c.ran)
	if reason := context.Cause(ctx); errors.Is(reason, model.ErrUnauthorized) {
		return model.NewRefusal(model.ErrUnauthorized, c.ran, "the key was withdrawn")
	}
	refusal := *asRefusal(cause, c.ran)
	refusal.Ran = c.ran
	return &refusal
}

// attemptChatOnce sends the call to one target and returns the answer, whose
// body may still arrive if it is a stream.
func (s *Service) attemptChatOnce(ctx context.Context, c *chatCall, fresh bool) (*Answer, error) {
	place, err := s.Placer.Acquire(ctx, c.placeRequest())
	if err != nil {
		return nil, err
	}
	c.place = place
	resp, err := s.sendChat(ctx, c, fresh)
	if err != nil {
		err = s.classifyChatError(ctx, c, err)
		s.releaseFailed(c, true)
		return nil, err
	}
	if status := resp.Status(); status >= fasthttp.StatusInternalServerError || status == fasthttp.StatusTooManyRequests {
		_ = resp.Close()
		c.ran = model.RanUnknown
		s.releaseFailed(c, true)
		return nil, errors.Join(errTryNext, model.NewRefusal(model.ErrTargetFailed, c.ran, "target %q answered %d", place.Target().Name, status))
	}
	if c.chat.Stream && resp.Status() == fasthttp.StatusOK {
		return s.streamAnswer(ctx, c, resp), nil
	}
	return s.readAnswer(ctx, c, resp)
}

// releaseFailed ends the use of the target of a failed attempt. exclude keeps
// later attempts away from this target.
func (s *Service) releaseFailed(c *chatCall, exclude bool) {
	c.endSuspectRun(false)
	c.place.Release(placement.Usage{Failed: true})
	if exclude {
		c.exclude = append(c.exclude, c.place.Target().Name)
	}
}

func (c *chatCall) endSuspectRun(harmless bool) {
	if c.suspectRun != nil {
		c.suspectRun.End(harmless)
	}
}

// releaseSucceeded ends the use of the target of a completed call.
func (s *Service) releaseSucceeded(c *chatCall, usage target.Usage) {
	c.endSuspectRun(true)
	c.place.Release(placementUsage(usage))
}

func (c *chatCall) placeRequest() placement.Request {
	return placement.Request{
		Workspace:   c.request.Workspace,
		Program:     c.request.Program,
		Model:       c.chat.Model,
		Exclude:     c.exclude,
		Prompt:      c.chat.EstimatePromptTokens(),
		MaxTokens:   c.chat.MaxTokens,
		Prefixes:    c.prefixHashes,
		Fingerprint: c.fingerprint,
	}
}

// hashPrefixes returns one hash per message, over this message and all before
// it.
func hashPrefixes(messages []json.RawMessage) []uint64 {
	list := make([]uint64, 0, len(messages))
	h := xxhash.New()
	for _, m := range messages {
		_, _ = h.Write(m)
		list = append(list, h.Sum64())
	}
	return list
}

func (s *Service) sendChat(ctx context.Context, c *chatCall, fresh bool) (*target.Response, error) {
	c.suspectRun = nil
	run, err := s.Suspects.Begin(ctx, c.fingerprint)
	if err != nil {
		return nil, err
	}
	c.suspectRun, c.exclusive = run, run.Exclusive()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	beginHead(req, fasthttp.MethodPost, "/v1/chat/completions")
	req.Header.Set(fasthttp.HeaderHost, c.place.Target().Address)
	for _, h := range c.request.Headers {
		if !strings.EqualFold(h.Name, fasthttp.HeaderContentType) {
			req.Header.Add(h.Name, h.Value)
		}
	}
	req.Header.Set(fasthttp.HeaderContentType, "application/json")
	req.Header.Set("X-Request-Id", c.streamID())
	if c.request.Program != "" {
		req.Header.Set("X-Program", c.programName())
	}
	req.SetBodyRaw(c.body)
	return s.Targets.Do(ctx, c.place.Target().Address, req, target.CallOptions{
		Fresh:       fresh,
		IdleTimeout: s.StreamIdle, StallTimeout: stallFactor * s.StreamIdle,
		BeforeSend: func() error { return s.beforeSendChat(ctx, c) },
	})
}

// beforeSendChat commits that the call is about to be sent, so that its tokens
// are accounted for also if this host fails during the call.
func (s *Service) beforeSendChat(ctx context.Context, c *chatCall) error {
	if c.run != nil && !c.startCommitted {
		if err := c.run.Start(ctx); err != nil {
			return err
		}
		c.startCommitted = true
	}
	return s.checkRight(c.request)
}

// checkRight reports an error if this host does not have the right to act for the
// call. It runs immediately before a request is sent, because the process may
// have been paused since the call was admitted.
func (s *Service) checkRight(r *Request) error {
	if !s.mayActFor(r) {
		return model.NewRefusal(model.ErrNoRight, model.RanNo, "this host did not have the right to act for the request when it was about to run it").Retry(retryDelay)
	}
	return nil
}

func (s *Service) mayActFor(r *Request) bool {
	if !r.recorded() {
		return s.Owners.MayAct()
	}
	return s.Owners.ActsFor(program.ShardOf(r.ownerKey()))
}

// streamID returns the id under which the engine keeps the stream of the current
// attempt, so that it can be resumed.
func (c *chatCall) streamID() string {
	return fmt.Sprintf("%s-%d", c.request.ID, len(c.exclude))
}

// programName returns the id that engines use to account caches to programs.
func (c *chatCall) programName() string {
	return string(c.request.Workspace) + "/" + string(c.request.Program)
}

// classifyChatError returns the error of a failed exchange as a refusal, joined
// with errTryNext if another target may be tried. If the request may have been
// sent, it updates c.ran and reports a crash of the target.
func (s *Service) classifyChatError(ctx context.Context, c *chatCall, err error) error {
	name := c.place.Target().Name
	var refusal *model.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	if errors.Is(err, target.ErrNotSent) {
		return errors.Join(errTryNext, model.NewRefusal(model.ErrTargetFailed, c.ran, "target %q cannot be reached: %v", name, err))
	}
	c.ran = model.RanUnknown
	s.Targets.DropIdle(c.place.Target().Address)
	if !errors.Is(err, target.ErrIdle) && ctx.Err() == nil {
		s.reportCrash(ctx, c)
	}
	return errors.Join(errTryNext, model.NewRefusal(model.ErrTargetFailed, c.ran, "request to target %q failed: %v", name, err))
}

// reportCrash marks the request as suspect if its target is gone. If the target
// still answers, only the connection was lost.
func (s *Service) reportCrash(ctx context.Context, c *chatCall) {
	t := c.place.Target()
	if !s.Targets.Gone(ctx, t.Address) {
		return
	}
	s.Log.Warn("target crashed", "request", c.request.ID, "target", t.Name, "fingerprint", c.fingerprint)
	s.Suspects.RecordCrash(ctx, c.fingerprint, t.Name)
}

// readAnswer reads a response that is not a stream and commits the answer before
// returning it.
func (s *Service) readAnswer(ctx context.Context, c *chatCall, resp *target.Response) (*Answer, error) {
	c.ran = model.RanUnknown
	body, err := readWhole(ctx, c.request.Memory, resp)
	_ = resp.Close()
	if err != nil {
		err = s.classifyChatError(ctx, c, err)
		s.releaseFailed(c, true)
		return nil, err
	}
	c.ran = model.RanYes
	usage, _ := target.ParseUsage(body.Bytes())
	s.releaseSucceeded(c, usage)
	if err := s.finishChat(ctx, c, programs.Result{Answer: recordedBytes(c.run, body), ContentType: resp.ContentType(), Status: resp.Status(), Used: usedTokens(usage)}); err != nil {
		body.Release()
		return nil, err
	}
	headers := []Header{{Name: "Content-Type", Value: resp.ContentType()}}
	return &Answer{Status: resp.Status(), Headers: headers, Body: &bufferedAnswer{body: body}, Length: len(body.Bytes())}, nil
}

// finishChat commits the answer. It remembers the recorded messages, so that the
// next record of the program holds only those that follow.
func (s *Service) finishChat(ctx context.Context, c *chatCall, result programs.Result) error {
	if err := s.finishRun(ctx, c.run, result); err != nil || c.run == nil {
		return err
	}
	n := len(c.prefixHashes)
	s.recordedPrefixes.set(c.request.programKey(), recordedPrefix{call: c.request.Call, messageCount: n, hash: c.prefixHashes[n-1]})
	return nil
}

func placementUsage(u target.Usage) placement.Usage {
	return placement.Usage{Prompt: u.PromptTokens, Cached: u.Details.CachedTokens, Completion: u.CompletionTokens}
}

func usedTokens(u target.Usage) model.Tokens { return u.PromptTokens + u.CompletionTokens }
