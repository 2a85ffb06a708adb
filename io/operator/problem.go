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

// statuses maps sentinel errors to HTTP status codes. The first match is used,
// because contracts.ErrUnknownOutcome may wrap a store error that matches too.
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

// problemFromError returns the problem for an error of a handler.
func problemFromError(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	p = problemf(fasthttp.StatusInternalServerError, "%v", err)
	var faults config.Faults
	if errors.As(err, &faults) {
		p = problemf(fasthttp.StatusUnprocessableEntity, "the configuration has %d faults", len(faults))
		p.Faults = faults
	}
	for _, s := range statuses {
		if errors.Is(err, s.kind) {
			p = problemf(s.status, "%v", err)
			break
		}
	}
	var conflict *contracts.ConflictError
	if errors.As(err, &conflict) {
		p.Base, p.Current = &conflict.Base, &conflict.Current
	}
	return p
}

// changeProblem returns the problem for a failed change, which says whether the
// change may have been accepted.
func changeProblem(err error) error {
	p := problemFromError(err)
	p.Accepted = AcceptedNo
	if p.Status == fasthttp.StatusInternalServerError || errors.Is(err, contracts.ErrUnknownOutcome) {
		p.Accepted = AcceptedUnknown
	}
	return p
}

// problemf returns a problem with a formatted detail.
func problemf(status int, format string, args ...any) *Problem {
	return &Problem{
		Type:   problemType,
		Title:  fasthttp.StatusMessage(status),
		Status: status,
		Detail: fmt.Sprintf(format, args...),
	}
}
