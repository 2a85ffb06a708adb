package caller

import (
	"bytes"
	"net/url"
	"regexp"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"mimosarelay/app/relay"
	"mimosarelay/core/model"
	"mimosarelay/io/rawhead"
)

// Header fields of the HTTP API for callers.
const (
	headerProgram     = "Mimosarelay-Program"
	headerCall        = "Mimosarelay-Call"
	headerParent      = "Mimosarelay-Parent"
	headerIdempotency = "Idempotency-Key"
)

// identifierPattern matches program ids and idempotency keys. A slash is not
// allowed because both are path segments.
var identifierPattern = regexp.MustCompile(`^[A-Za-z0-9._:~-]{1,128}$`)

// authenticate returns a request with the workspace of its key. Without a key
// the request is refused, unless keyOptional is set, as for open routes.
func (s *Server) authenticate(ctx *fasthttp.RequestCtx, id model.RequestID, keyOptional bool) (*relay.Request, error) {
	r := &relay.Request{ID: id}
	key, present, err := bearerKey(ctx)
	if err != nil {
		return nil, err
	}
	if !present {
		if keyOptional {
			return r, nil
		}
		return nil, model.NewRefusal(model.ErrUnauthorized, model.RanNo, "header Authorization: Bearer KEY is missing")
	}
	workspace, keyID, ok := s.options.Snapshot().Authenticate(string(key))
	if !ok {
		return nil, model.NewRefusal(model.ErrUnauthorized, model.RanNo, "the key is unknown or was withdrawn")
	}
	if err := checkKeyNotForwarded(ctx, key); err != nil {
		return nil, err
	}
	r.Workspace, r.Key = workspace, keyID
	return r, nil
}

// bearerKey returns the key in the header Authorization.
func bearerKey(ctx *fasthttp.RequestCtx) (key []byte, present bool, err error) {
	values := ctx.Request.Header.PeekAll(fasthttp.HeaderAuthorization)
	if len(values) == 0 {
		return nil, false, nil
	}
	if len(values) > 1 {
		return nil, true, model.NewRefusal(model.ErrUnauthorized, model.RanNo, "header Authorization occurs more than once")
	}
	scheme, key, ok := bytes.Cut(values[0], []byte(" "))
	key = bytes.TrimSpace(key)
	if !ok || !bytes.EqualFold(scheme, []byte("Bearer")) || len(key) == 0 {
		return nil, true, model.NewRefusal(model.ErrUnauthorized, model.RanNo, "header Authorization must be: Bearer KEY")
	}
	return key, true, nil
}

var errKeyForwarded = model.NewRefusal(model.ErrBadRequest, model.RanNo, "the key may only be sent in the header Authorization")

// checkKeyNotForwarded refuses requests that contain the caller's key in a part of the
// header that is forwarded to a target.
func checkKeyNotForwarded(ctx *fasthttp.RequestCtx, key []byte) error {
	uri := rawhead.Target(&ctx.Request)
	decoded, err := url.PathUnescape(string(uri))
	if err != nil {
		return model.NewRefusal(model.ErrBadRequest, model.RanNo, "the request path is not well formed")
	}
	parts := [][]byte{uri, []byte(decoded)}
	for _, h := range rawhead.Fields(&ctx.Request) {
		if relay.PassRequestHeader(h.Name) {
			parts = append(parts, []byte(h.Value))
		}
	}
	if containsKey(key, parts...) {
		return errKeyForwarded
	}
	return nil
}

// readCall reads the header fields and the body of a call into r. The caller must
// release the result.
func (s *Server) readCall(ctx *fasthttp.RequestCtx, r *relay.Request, keyOptional bool) (*callBody, error) {
	for _, h := range rawhead.Fields(&ctx.Request) {
		if relay.PassRequestHeader(h.Name) {
			r.Headers = append(r.Headers, relay.Header(h))
		}
	}
	if err := readProgramHeaders(ctx, r); err != nil {
		return nil, err
	}
	return s.readBody(ctx, r, keyOptional)
}

// readProgramHeaders reads and validates the header fields that assign a call to a
// program.
func readProgramHeaders(ctx *fasthttp.RequestCtx, r *relay.Request) error {
	program, err := identifierHeader(ctx, headerProgram)
	if err != nil {
		return err
	}
	parent, err := identifierHeader(ctx, headerParent)
	if err != nil {
		return err
	}
	idempotency, err := identifierHeader(ctx, headerIdempotency)
	if err != nil {
		return err
	}
	call, err := callNumberHeader(ctx)
	if err != nil {
		return err
	}
	switch {
	case program == "" && (call != 0 || parent != ""):
		return model.NewRefusal(model.ErrBadRequest, model.RanNo, "headers %s and %s need header %s", headerCall, headerParent, headerProgram)
	case program != "" && call == 0:
		return model.NewRefusal(model.ErrBadRequest, model.RanNo, "header %s needs header %s", headerProgram, headerCall)
	case program != "" && program == parent:
		return model.NewRefusal(model.ErrBadRequest, model.RanNo, "a program cannot be its own parent")
	case program != "" && r.Workspace == "":
		return model.NewRefusal(model.ErrUnauthorized, model.RanNo, "calls that belong to a program need a key")
	}
	r.Program, r.Parent, r.Call = model.ProgramID(program), model.ProgramID(parent), call
	if program == "" {
		r.IdempotencyKey = idempotency
	}
	return nil
}

func identifierHeader(ctx *fasthttp.RequestCtx, name string) (string, error) {
	value := string(ctx.Request.Header.Peek(name))
	if value != "" && !identifierPattern.MatchString(value) {
		return "", model.NewRefusal(model.ErrBadRequest, model.RanNo, "header %s must match %s", name, identifierPattern)
	}
	return value, nil
}

func callNumberHeader(ctx *fasthttp.RequestCtx) (model.CallNumber, error) {
	value := string(ctx.Request.Header.Peek(headerCall))
	if value == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(value, 10, 32)
	if err != nil || n == 0 {
		return 0, model.NewRefusal(model.ErrBadRequest, model.RanNo, "header %s must be an integer from 1 to 4294967295", headerCall)
	}
	return model.CallNumber(n), nil
}

// parseProgramPath parses the rest of a path below /v1/programs/: {id},
// {id}/history or {id}/calls/{n}.
func parseProgramPath(ctx *fasthttp.RequestCtx, r *relay.Request, rest string) error {
	method := string(ctx.Method())
	parts := strings.Split(rest, "/")
	if !identifierPattern.MatchString(parts[0]) {
		return model.NewRefusal(model.ErrNotFound, model.RanNo, "program id must match %s", identifierPattern)
	}
	r.Program, r.Method = model.ProgramID(parts[0]), method
	parent, err := identifierHeader(ctx, headerParent)
	if err != nil {
		return err
	}
	r.Parent = model.ProgramID(parent)
	switch {
	case len(parts) == 1 && method == fasthttp.MethodGet:
		r.Query = relay.QueryState
	case len(parts) == 1 && method == fasthttp.MethodDelete:
		r.Query = relay.QueryEnd
	case len(parts) == 2 && parts[1] == "history" && method == fasthttp.MethodGet:
		r.Query = relay.QueryHistory
	case len(parts) == 3 && parts[1] == "calls" && method == fasthttp.MethodGet:
		return parseOutcomePath(r, parts[2])
	default:
		return model.NewRefusal(model.ErrNotFound, model.RanNo, "%s /v1/programs/%s does not exist", method, rest)
	}
	return nil
}

func parseOutcomePath(r *relay.Request, number string) error {
	n, err := strconv.ParseUint(number, 10, 32)
	if err != nil || n == 0 {
		return model.NewRefusal(model.ErrNotFound, model.RanNo, "call number %q must be an integer from 1 to 4294967295", number)
	}
	r.Query, r.Call = relay.QueryOutcome, model.CallNumber(n)
	return nil
}

func parseIdempotencyPath(r *relay.Request, key string) error {
	if !identifierPattern.MatchString(key) {
		return model.NewRefusal(model.ErrNotFound, model.RanNo, "idempotency key must match %s", identifierPattern)
	}
	r.Query, r.IdempotencyKey, r.Call = relay.QueryOutcome, key, 1
	return nil
}
