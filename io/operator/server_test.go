package operator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"mimosarelay/app/contracts"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
)

const (
	credential = "operator-credential-1"
	document   = "Revision: 3\nWorkspaces: []\nTargets: []\n"
)

// backend is a fake Backend that records its calls and returns err.
type backend struct {
	err     error
	missing []model.HostID
	calls   []string
}

func (b *backend) record(format string, args ...any) {
	b.calls = append(b.calls, fmt.Sprintf(format, args...))
}

func (b *backend) CurrentDocument() (model.Revision, []byte) { return 3, []byte(document) }

func (b *backend) Apply(_ context.Context, d []byte, base model.Revision) (model.Revision, error) {
	b.record("apply %d bytes on %d", len(d), base)
	return base + 1, b.err
}

func (b *backend) Grant(_ context.Context, w model.WorkspaceID, id model.KeyID) (string, model.Revision, error) {
	b.record("grant %s %s", w, id)
	return "mr_secret", 4, b.err
}

func (b *backend) Withdraw(_ context.Context, id model.KeyID) (model.Revision, error) {
	b.record("withdraw %s", id)
	return 4, b.err
}

func (b *backend) History(context.Context) ([]contracts.HistoryEntry, error) {
	return []contracts.HistoryEntry{{Revision: 3}}, b.err
}

func (b *backend) HistoryDocument(_ context.Context, r model.Revision) ([]byte, error) {
	b.record("history %d", r)
	return []byte(document), b.err
}

func (b *backend) AwaitEffect(_ context.Context, r model.Revision) []model.HostID {
	b.record("wait %d", r)
	return b.missing
}

func (b *backend) Status(context.Context) (any, error) { return map[string]int{"Hosts": 2}, b.err }
func (b *backend) Dump(context.Context) (any, error)   { panic("broken dump") }

func (b *backend) Drain(context.Context) error {
	b.record("drain")
	return b.err
}

func (b *backend) DeclareGone(_ context.Context, h model.HostID) error {
	b.record("gone %s", h)
	return b.err
}

func (b *backend) LiftSuspect(_ context.Context, f model.Fingerprint) error {
	b.record("lift %s", f)
	return b.err
}

func (b *backend) Ready() error { return b.err }

// lockedBuffer is a buffer for log lines that is safe for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// fixture is a running server with its backend, credential file and log.
type fixture struct {
	*backend
	url  string
	file string
	log  *lockedBuffer
}

func start(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{backend: &backend{}, log: &lockedBuffer{}, file: filepath.Join(t.TempDir(), "credential")}
	assert.NilError(t, os.WriteFile(f.file, []byte(credential+"\n"), 0o600))
	s, err := New(Options{
		Backend: f.backend, CredentialFile: f.file, Wait: time.Second,
		Log:     slog.New(slog.NewTextHandler(f.log, &slog.HandlerOptions{Level: slog.LevelDebug})),
		Metrics: func(c *fasthttp.RequestCtx) { c.SetBodyString("requests 1\n") },
	})
	assert.NilError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f.url = "http://" + l.Addr().String()
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		assert.NilError(t, s.Shutdown(context.Background()))
		assert.NilError(t, <-done)
	})
	return f
}

// response is an answer whose body was read already.
type response struct {
	StatusCode int
	Header     http.Header
}

// request sends a request on a connection of its own and returns the answer and
// its body.
func (f *fixture) request(t *testing.T, method, path, body, token string) (response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, f.url+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Close = true
	if token != "" {
		req.Header.Set("Authorization", token)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return response{StatusCode: resp.StatusCode, Header: resp.Header}, string(text)
}

// TestMain checks for leaked goroutines. Two goroutines of fasthttp are ignored
// because they outlive a server: the one that updates the Date header and the one
// that removes idle workers.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

// Guards against a route that calls the wrong method of the backend or returns
// another result.
func TestRoutesCallBackend(t *testing.T) {
	const keyBody = `{"Workspace":"w","ID":"k"}`
	for name, c := range map[string]struct {
		method, path, body string
		status             int
		answer, calls      string
	}{
		"get":          {"GET", "/operator/v1/config", "", 200, document, ""},
		"put":          {"PUT", "/operator/v1/config?base=3", document, 200, `{"Revision":4,"Waited":false,"InEffect":false,"Missing":null}`, "apply 39 bytes on 3"},
		"put and wait": {"PUT", "/operator/v1/config?base=3&wait=true", document, 200, `{"Revision":4,"Waited":true,"InEffect":true,"Missing":null}`, "apply 39 bytes on 3,wait 4"},
		"history":      {"GET", "/operator/v1/config/history", "", 200, `{"Revisions":[{"Revision":3,"At":"0001-01-01T00:00:00Z"}]}`, ""},
		"old document": {"GET", "/operator/v1/config/history/2", "", 200, document, "history 2"},
		"validate":     {"POST", "/operator/v1/config/validate", document, 200, `{"Revision":3,"Changes":null}`, ""},
		"grant":        {"POST", "/operator/v1/keys", keyBody, 201, `{"Secret":"mr_secret","Revision":4,`, "grant w k"},
		"withdraw":     {"DELETE", "/operator/v1/keys/k?wait=true", "", 200, `{"Revision":4,"Waited":true`, "withdraw k,wait 4"},
		"status":       {"GET", "/operator/v1/status", "", 200, `{"Hosts":2}`, ""},
		"drain":        {"POST", "/operator/v1/drain", "", 202, `{"Done":true}`, "drain"},
		"gone":         {"POST", "/operator/v1/gone/h7", "", 200, `{"Done":true}`, "gone h7"},
		"lift":         {"DELETE", "/operator/v1/suspects/ab12", "", 200, `{"Done":true}`, "lift ab12"},
		"metrics":      {"GET", "/metrics", "", 200, "requests 1", ""},
		"ready":        {"GET", "/readyz", "", 200, `{"Ready":true}`, ""},
		"health":       {"GET", "/healthz", "", 200, `{"Healthy":true}`, ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t)
			a, text := f.request(t, c.method, c.path, c.body, "Bearer "+credential)
			assert.Equal(t, a.StatusCode, c.status, text)
			assert.Assert(t, strings.HasPrefix(text, c.answer), text)
			assert.Equal(t, strings.Join(f.calls, ","), c.calls)
		})
	}
}

// Guards against operations that are executed without the credential, against a
// replaced credential that is still accepted, and against a credential in the log.
func TestCredentialIsRequired(t *testing.T) {
	f := start(t)
	for _, token := range []string{"", "Bearer", "Bearer ", "Bearer wrong", "Basic " + credential, credential, "Bearer " + credential + "1"} {
		for _, r := range [][2]string{
			{"GET", "/operator/v1/config"},
			{"PUT", "/operator/v1/config?base=0"},
			{"POST", "/operator/v1/keys"},
			{"DELETE", "/operator/v1/keys/k"},
			{"GET", "/operator/v1/dump"},
			{"POST", "/operator/v1/drain"},
			{"GET", "/metrics"},
		} {
			a, text := f.request(t, r[0], r[1], document, token)
			assert.Equal(t, a.StatusCode, 401, "%s with %q: %s", r[1], token, text)
			assert.Equal(t, a.Header.Get("Content-Type"), "application/problem+json")
		}
	}
	assert.Equal(t, len(f.calls), 0)
	// The credential is checked before the body arrives.
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(c, "PUT /operator/v1/config?base=0 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer wrong\r\nContent-Length: 1000\r\n\r\n")
	assert.NilError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	defer func() { _ = answer.Body.Close() }()
	assert.Equal(t, answer.StatusCode, 401)
	assert.NilError(t, os.WriteFile(f.file, []byte("another-credential"), 0o600))
	a, _ := f.request(t, "GET", "/operator/v1/status", "", "Bearer "+credential)
	assert.Equal(t, a.StatusCode, 401, "the replaced credential is still accepted")
	a, _ = f.request(t, "GET", "/operator/v1/status", "", "Bearer another-credential")
	assert.Equal(t, a.StatusCode, 200)
	assert.NilError(t, os.Remove(f.file))
	a, _ = f.request(t, "GET", "/operator/v1/status", "", "Bearer another-credential")
	assert.Equal(t, a.StatusCode, 503)
	assert.Assert(t, !strings.Contains(f.log.String(), credential) && !strings.Contains(f.log.String(), "another"), f.log.String())
}

// Guards against an error that says that a change was not accepted although its
// outcome is unknown, or the other way round.
func TestFailedChangeReportsWhetherAccepted(t *testing.T) {
	for name, c := range map[string]struct {
		err      error
		status   int
		accepted Accepted
		detail   string
	}{
		"conflict":    {&contracts.ConflictError{Base: 3, Current: 5}, 409, AcceptedNo, "based on revision 3, the current revision is 5"},
		"unknown":     {fmt.Errorf("%w: %w", contracts.ErrUnknownOutcome, store.ErrUnavailable), 504, AcceptedUnknown, "unknown"},
		"store down":  {fmt.Errorf("reading: %w", store.ErrUnavailable), 503, AcceptedNo, "unavailable"},
		"key exists":  {contracts.ErrKeyExists, 409, AcceptedNo, "key exists"},
		"not found":   {model.ErrNotFound, 404, AcceptedNo, "not found"},
		"bad request": {model.ErrBadRequest, 400, AcceptedNo, "malformed"},
		"unexpected":  {errors.New("odd"), 500, AcceptedUnknown, "odd"},
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t)
			f.err = c.err
			for _, r := range [][3]string{
				{"PUT", "/operator/v1/config?base=3&wait=true", document},
				{"POST", "/operator/v1/keys?wait=true", `{"Workspace":"w","ID":"k"}`},
				{"DELETE", "/operator/v1/keys/k?wait=true", ""},
			} {
				a, text := f.request(t, r[0], r[1], r[2], "Bearer "+credential)
				var p Problem
				assert.NilError(t, json.Unmarshal([]byte(text), &p))
				assert.Equal(t, a.StatusCode, c.status)
				assert.Equal(t, p.Status, c.status)
				assert.Equal(t, p.Accepted, c.accepted)
				assert.Assert(t, strings.Contains(p.Detail, c.detail) && p.RequestID != "", text)
				assert.Equal(t, p.Current != nil, name == "conflict")
			}
			assert.Assert(t, !strings.Contains(strings.Join(f.calls, ","), "wait"))
		})
	}
}

// Guards against invalid requests that reach the backend or are answered without
// the reason, and against hosts without confirmation that are not reported.
func TestInvalidRequestIsRefused(t *testing.T) {
	f := start(t)
	for name, c := range map[string]struct {
		method, path, body string
		status             int
		detail             string
	}{
		"missing base":       {"PUT", "/operator/v1/config", document, 400, "must be a revision"},
		"negative base":      {"PUT", "/operator/v1/config?base=-1", document, 400, "must be a revision"},
		"invalid wait":       {"PUT", "/operator/v1/config?base=3&wait=maybe", document, 400, "must be true or false"},
		"unknown field":      {"POST", "/operator/v1/config/validate", "Workspaces: []\nTarget: 1\n", 422, `"Line":2,"Field":"Target"`},
		"document too large": {"POST", "/operator/v1/config/validate", strings.Repeat("#", store.MaxValue+1), 422, "at most 1048576 are allowed"},
		"unknown member":     {"POST", "/operator/v1/keys", `{"Workspace":"w","Id2":"k"}`, 400, "unknown field"},
		"two values":         {"POST", "/operator/v1/keys", `{} {}`, 400, "text after"},
		"missing key id":     {"DELETE", "/operator/v1/keys/", "", 404, "no such path"},
		"wrong method":       {"DELETE", "/operator/v1/config", "", 405, "allowed are GET, PUT"},
		"unknown path":       {"GET", "/operator/v2/config", "", 404, "no such path"},
		"panic in handler":   {"GET", "/operator/v1/dump", "", 500, "internal error"},
	} {
		t.Run(name, func(t *testing.T) {
			a, text := f.request(t, c.method, c.path, c.body, "Bearer "+credential)
			assert.Equal(t, a.StatusCode, c.status, text)
			assert.Assert(t, strings.Contains(text, c.detail), text)
		})
	}
	assert.Equal(t, len(f.calls), 0)
	f.err = errors.New("store not read yet")
	a, text := f.request(t, "GET", "/readyz", "", "")
	assert.Equal(t, a.StatusCode, 503)
	assert.Assert(t, strings.Contains(text, "store not read yet"))
	f.err = nil
	f.missing = []model.HostID{"h2"}
	_, text = f.request(t, "PUT", "/operator/v1/config?base=3&wait=true", document, "Bearer "+credential)
	assert.Equal(t, text, `{"Revision":4,"Waited":true,"InEffect":false,"Missing":["h2"]}`+"\n")
}

// Guards against a body without a size limit, and against a credential that is
// logged or returned when its request cannot be parsed.
func TestUnparsableRequestDoesNotLeakCredential(t *testing.T) {
	f := start(t)
	for name, c := range map[string]struct{ lines, want string }{
		"body too large":   {"PUT /operator/v1/config?base=0 HTTP/1.1\r\nHost: a\r\nContent-Length: 999999999\r\n\r\n", "413"},
		"malformed header": {"PUT / HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + credential + "\r\n broken\r\nx y\r\n\r\n", "400"},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
			assert.NilError(t, err)
			defer func() { assert.Check(t, conn.Close()) }()
			_, err = io.WriteString(conn, c.lines)
			assert.NilError(t, err)
			answer, err := io.ReadAll(conn)
			assert.NilError(t, err)
			assert.Assert(t, strings.HasPrefix(string(answer), "HTTP/1.1 "+c.want), string(answer))
			assert.Assert(t, !strings.Contains(string(answer)+f.log.String(), credential))
		})
	}
}
