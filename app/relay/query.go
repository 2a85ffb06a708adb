package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"mimosarelay/core/model"
)

// runQuery answers a query about a program that this host owns.
func (s *Service) runQuery(ctx context.Context, r *Request) (*Answer, error) {
	if err := s.checkRight(r); err != nil {
		return nil, err
	}
	value, err := s.query(ctx, r)
	if err != nil {
		return nil, markRetryableAtOwner(err)
	}
	body, err := json.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encode the answer to query %q: %w", r.Query, err)
	}
	headers := []Header{{Name: "Content-Type", Value: "application/json"}}
	return &Answer{Status: http.StatusOK, Headers: headers, Body: newBytesBody(body), Length: len(body)}, nil
}

func (s *Service) query(ctx context.Context, r *Request) (any, error) {
	key := r.programKey()
	if r.Program == "" {
		key = r.ownerKey()
	}
	switch r.Query {
	case QueryState:
		return s.Programs.State(key)
	case QueryHistory:
		return s.history(r, key)
	case QueryOutcome:
		return s.Programs.Outcome(key, r.Call)
	case QueryEnd:
		if err := s.Programs.End(ctx, key); err != nil {
			return nil, err
		}
		return s.Programs.State(key)
	}
	return nil, model.NewRefusal(model.ErrBadRequest, model.RanNo, "unknown query %q", r.Query)
}

func (s *Service) history(r *Request, key model.ProgramKey) (programHistory, error) {
	turns, err := s.Programs.History(key)
	if err != nil {
		return programHistory{}, err
	}
	list, err := historyTurns(turns)
	return programHistory{Program: r.Program, Turns: list}, err
}
