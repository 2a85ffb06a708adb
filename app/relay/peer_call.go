package relay

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"strings"
	"sync"
	"time"

	"mimosarelay/core/memory"
	"mimosarelay/core/model"
	"mimosarelay/io/peer/peerpb"
	"mimosarelay/io/target"
)

// refusalKinds maps the names of refusal kinds in messages between hosts to their
// sentinel errors.
var refusalKinds = map[string]error{
	"Unauthorized":   model.ErrUnauthorized,
	"Forbidden":      model.ErrForbidden,
	"NotFound":       model.ErrNotFound,
	"BadRequest":     model.ErrBadRequest,
	"TooLarge":       model.ErrTooLarge,
	"RateLimited":    model.ErrRateLimited,
	"Budget":         model.ErrBudget,
	"Order":          model.ErrOrder,
	"Conflict":       model.ErrConflict,
	"ProgramEnded":   model.ErrProgramEnded,
	"NoRight":        model.ErrNoRight,
	"Unavailable":    model.ErrUnavailable,
	"TargetFailed":   model.ErrTargetFailed,
	"OutcomeUnknown": model.ErrOutcomeUnknown,
	"Suspect":        model.ErrSuspect,
	"Draining":       model.ErrDraining,
	"Owner":          errOwnerUnavailable,
}

func kindName(err error) string {
	for name, kind := range refusalKinds {
		if errors.Is(err, kind) {
			return name
		}
	}
	return "Unavailable"
}

func encodeRequest(r *Request) *peerpb.CallRequest {
	m := &peerpb.CallRequest{
		RequestId: string(r.ID), Workspace: string(r.Workspace), KeyId: string(r.Key),
		Route: string(r.Route), Method: r.Method, Path: r.Path, Body: r.Body,
		Query: string(r.Query), Program: string(r.Program), Parent: string(r.Parent), Call: uint32(r.Call),
		IdempotencyKey: r.IdempotencyKey,
	}
	m.Headers = encodeHeaders(r.Headers)
	return m
}

func decodeRequest(m *peerpb.CallRequest) *Request {
	return &Request{
		ID: model.RequestID(m.RequestId), Workspace: model.WorkspaceID(m.Workspace), Key: model.KeyID(m.KeyId),
		Route: model.RouteID(m.Route), Method: m.Method, Path: m.Path, Body: m.Body,
		Query: Query(m.Query), Program: model.ProgramID(m.Program), Parent: model.ProgramID(m.Parent), Call: model.CallNumber(m.Call),
		IdempotencyKey: m.IdempotencyKey, Headers: decodeHeaders(m.Headers),
	}
}

func encodeHeaders(headers []Header) []*peerpb.Header {
	list := make([]*peerpb.Header, 0, len(headers))
	for _, h := range headers {
		list = append(list, &peerpb.Header{Name: h.Name, Value: h.Value})
	}
	return list
}

func decodeHeaders(headers []*peerpb.Header) []Header {
	list := make([]Header, 0, len(headers))
	for _, h := range headers {
		list = append(list, Header{Name: h.Name, Value: h.Value})
	}
	return list
}

func encodeRefusal(r *model.Refusal) *peerpb.CallResponse {
	return &peerpb.CallResponse{
		ErrorKind:    kindName(r.Kind),
		ErrorDetail:  r.Detail,
		Ran:          string(r.Ran),
		RetryAfterMs: r.RetryAfter.Milliseconds(),
	}
}

func decodeRefusal(m *peerpb.CallResponse) *model.Refusal {
	kind, ok := refusalKinds[m.ErrorKind]
	if !ok {
		kind = model.ErrUnavailable
	}
	ran := model.Ran(m.Ran)
	if ran != model.RanNo && ran != model.RanYes {
		ran = model.RanUnknown
	}
	return model.NewRefusal(kind, ran, "%s", m.ErrorDetail).Retry(time.Duration(m.RetryAfterMs) * time.Millisecond)
}

func decodeAnswer(id model.RequestID, stream peerpb.DRPCPeer_CallClient, cancel context.CancelFunc, first *peerpb.CallResponse) *Answer {
	a := &Answer{Status: int(first.Status), Headers: decodeHeaders(first.Headers), Length: -1}
	events := false
	for _, h := range a.Headers {
		if strings.EqualFold(h.Name, "Content-Type") && strings.HasPrefix(h.Value, "text/event-stream") {
			events = true
		}
	}
	a.Body = &peerBody{id: id, events: events, stream: stream, cancel: cancel, pending: first.Body, ended: first.End}
	return a
}

// peerBodyBufferSize is the size of the read buffer for the body of a forwarded
// call, in bytes.
const peerBodyBufferSize = 32 << 10

// pingInterval is the time between two empty messages on a forwarded call. They
// keep the host that forwarded it from treating this host as unresponsive.
const pingInterval = 2 * time.Second

// answerSender sends the answer of one call to the host that forwarded it.
type answerSender struct {
	mu     sync.Mutex // guards stream, which allows one sender at a time
	stream peerpb.DRPCPeer_CallStream
	holder *memory.Holder // of the answer; nil for no limit
}

func (a *answerSender) send(m *peerpb.CallResponse) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stream.Send(m)
}

// ping sends empty messages until ctx ends.
func (s *Service) ping(ctx context.Context, a *answerSender) {
	tick := s.Clock.NewTicker(pingInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.Chan():
			if a.send(&peerpb.CallResponse{}) != nil {
				return
			}
		}
	}
}

// HandleCall runs a call that another host forwarded to this one.
func (s *Service) HandleCall(m *peerpb.CallRequest, stream peerpb.DRPCPeer_CallStream) error {
	s.peerCalls.Add(1)
	defer s.peerCalls.Add(-1)
	ctx, cancel := context.WithCancel(stream.Context())
	a := &answerSender{stream: stream}
	var pings sync.WaitGroup
	pings.Go(func() { s.ping(ctx, a) })
	// drpc reuses the stream when this function returns, so the pings must have
	// stopped.
	defer pings.Wait()
	defer cancel()
	holder, err := s.Memory.Open(netip.Addr{}, peerBodyBufferSize, func(memory.Phase) { cancel() })
	if err != nil {
		return a.send(encodeRefusal(model.NewRefusal(errOwnerUnavailable, model.RanNo, "the owner has no memory for the answer now")))
	}
	defer holder.Close()
	holder.SetPhase(memory.Running)
	a.holder = holder
	r := decodeRequest(m)
	r.Memory = holder
	answer, err := s.runOwned(ctx, r)
	if err != nil {
		return a.send(encodeRefusal(asRefusal(err, model.RanUnknown)))
	}
	defer func() { _ = answer.Body.Close() }()
	holder.SetPhase(memory.Answering)
	if err := a.send(&peerpb.CallResponse{Status: int32(answer.Status), Headers: encodeHeaders(answer.Headers)}); err != nil {
		return err
	}
	return a.sendBody(answer.Body)
}

// Forwarded returns the number of running calls that other hosts forwarded.
func (s *Service) Forwarded() int { return int(s.peerCalls.Load()) }

func (a *answerSender) sendBody(body io.Reader) error {
	buffer := make([]byte, peerBodyBufferSize)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			a.holder.BeginWrite()
			if err := a.send(&peerpb.CallResponse{Body: buffer[:n]}); err != nil {
				return err
			}
			a.holder.EndWrite(n)
		}
		if target.AtEnd(err) {
			return a.send(&peerpb.CallResponse{End: true})
		}
		if err != nil {
			return a.send(encodeRefusal(asRefusal(err, model.RanUnknown)))
		}
	}
}

// receiveHead returns the first message of an answer that is not a ping.
func receiveHead(stream peerpb.DRPCPeer_CallClient) (*peerpb.CallResponse, error) {
	for {
		m, err := stream.Recv()
		if err != nil || m.Status != 0 || m.ErrorKind != "" {
			return m, err
		}
	}
}
