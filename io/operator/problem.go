package operator

import (
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"

	"mimosarelay/app/contracts"
	"mimosarelay/core/config"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
)

const problemType = "about:blank"

// statuses maps sentinel errors to HTTP status codes. The first match counts:
// an unknown outcome may also wrap the error of the store that caused it.
var statuses = []struct {
	kind   error
	status int
}{
	{contracts.ErrUnknownOutcome, fasthttp.StatusGatewayTimeout},
	{contracts.ErrConflict, fasthttp.StatusConflict},
	{contracts.ErrKeyExists, fasthttp.StatusConflict},
	{model.ErrConflict, fasthttp.StatusConflict},
	{model.ErrNotFound, fasthttp.StatusNotFound},
	{model.ErrBadRequest, fasthttp.StatusBadRequest},
	{model.ErrTooLarge, fasthttp.StatusRequestEntityTooLarge},
	{model.ErrUnavailable, fasthttp.StatusServiceUnavailable},
	{model.ErrDraining, fasthttp.StatusServiceUnavailable},
	{store.ErrUnavailable, fasthttp.StatusServiceUnavailable},
	{store.ErrUnknown, fasthttp.StatusServiceUnavailable},
}

// newProblem describes an error of the backend.
func newProblem(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	p = problem(fasthttp.StatusInternalServerError, "%v", err)
	var faults config.Faults
	if errors.As(err, &faults) {
		p = problem(fasthttp.StatusUnprocessableEntity, "%d faults in the document", len(faults))
		p.Faults = faults
	}
	for _, s := range statuses {
		if errors.Is(err, s.kind) {
			p = problem(s.status, "%v", err)
			break
		}
	}
	var conflict *contracts.ConflictError
	if errors.As(err, &conflict) {
		p.Base, p.Current = &conflict.Base, &conflict.Current
	}
	return p
}

// notAccepted adds to the problem of a change whether it may have been made.
func notAccepted(err error) error {
	p := newProblem(err)
	p.Accepted = AcceptedNo
	if p.Status == fasthttp.StatusInternalServerError || errors.Is(err, contracts.ErrUnknownOutcome) {
		p.Accepted = AcceptedUnknown
	}
	return p
}

func problem(status int, format string, args ...any) *Problem {
	return &Problem{
		Type:   problemType,
		Title:  fasthttp.StatusMessage(status),
		Status: status,
		Detail: fmt.Sprintf(format, args...),
	}
}
