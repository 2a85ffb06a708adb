package relay

import (
	"context"
	"encoding/json"
	"net/http"

	"mimosarelay/core/model"
	"mimosarelay/core/program"
)

// programHistory is the answer to QueryHistory.
type programHistory struct {
	Program model.ProgramID
	Turns   []historyTurn
}

// historyTurn is one finished call. Messages and Answer are text as it was
// exchanged with the caller.
type historyTurn struct {
	Call        model.CallNumber
	Messages    string
	Answer      string
	ContentType string
	Status      int
}

// runQuery answers a question about a program that this host owns.
func (s *Service) runQuery(ctx context.Context, r *Request) (*Answer, error) {
	if err := s.checkRight(r); err != nil {
		return nil, err
	}
	value, err := s.query(ctx, r)
	if err != nil {
		return nil, moved(err)
	}
	body, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	headers := []Header{{Name: "Content-Type", Value: "application/json"}}
	return &Answer{Status: http.StatusOK, Headers: headers, Body: newBytesBody(body), Length: len(body)}, nil
}

func (s *Service) query(ctx context.Context, r *Request) (any, error) {
	key := r.key()
	if r.Program == "" {
		key = r.root()
	}
	switch r.Query {
	case QueryState:
		return s.Programs.State(key)
	case QueryHistory:
		turns, err := s.Programs.History(key)
		return programHistory{Program: r.Program, Turns: historyTurns(turns)}, err
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

func historyTurns(turns []program.Turn) []historyTurn {
	list := make([]historyTurn, 0, len(turns))
	for _, t := range turns {
		list = append(list, historyTurn{
			Call: t.Call, Messages: string(t.Messages), Answer: string(t.Answer),
			ContentType: t.ContentType, Status: t.Status,
		})
	}
	return list
}
