package relay

import (
	"errors"
	"io"
	"time"

	"mimosarelay/core/model"
	"mimosarelay/io/peer/peerpb"
)

// refusalKinds maps the sentinel errors of package model to names on the wire.
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
	"Owner":          errOwner,
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

func decodeAnswer(stream peerpb.DRPCPeer_CallClient, first *peerpb.CallResponse) *Answer {
	return &Answer{
		Status:  int(first.Status),
		Headers: decodeHeaders(first.Headers),
		Body:    &forwardedBody{stream: stream, pending: first.Body, end: first.End},
		Length:  -1,
	}
}

// forwardBuffer is the size of the read buffer of a forwarded answer, in bytes.
const forwardBuffer = 32 << 10

// HandleCall serves a call that another host forwarded to this one.
func (s *Service) HandleCall(m *peerpb.CallRequest, stream peerpb.DRPCPeer_CallStream) error {
	answer, err := s.runOwned(stream.Context(), decodeRequest(m))
	if err != nil {
		return stream.Send(encodeRefusal(asRefusal(err, model.RanUnknown)))
	}
	defer func() { _ = answer.Body.Close() }()
	head := &peerpb.CallResponse{Status: int32(answer.Status), Headers: encodeHeaders(answer.Headers)}
	if err := stream.Send(head); err != nil {
		return err
	}
	buffer := make([]byte, forwardBuffer)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if err := stream.Send(&peerpb.CallResponse{Body: buffer[:n]}); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return stream.Send(&peerpb.CallResponse{End: true})
		}
		if err != nil {
			return stream.Send(encodeRefusal(asRefusal(err, model.RanUnknown)))
		}
	}
}
