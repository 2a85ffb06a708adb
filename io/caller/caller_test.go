package caller_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"mimosarelay/core/config"
	"mimosarelay/standin/engine"
	"mimosarelay/standin/fault"
)

func chatBody(text string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":40,"stream":%t}`, engine.DefaultModel, text, stream)
}

// wantAnswer is the answer of the stand-in to a prompt with at most 40 tokens.
func wantAnswer(text string) string {
	return engine.Answer([]engine.Message{{Role: "user", Content: engine.Content(text)}}, 40)
}

// joinStream joins the content of the chunks of a stream and reports whether it
// ended with [DONE].
func joinStream(t *testing.T, body string) (text string, done bool) {
	t.Helper()
	for event := range strings.SplitSeq(body, "\n\n") {
		data, ok := strings.CutPrefix(event, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var chunk engine.Chunk
		assert.NilError(t, json.Unmarshal([]byte(data), &chunk))
		for _, c := range chunk.Choices {
			text += c.Delta.Content
		}
	}
	return text, false
}

// Guards against a relay that changes, reorders or truncates an answer.
func TestStreamedAnswerIsComplete(t *testing.T) {
	h := newHarness(t, engine.Options{})
	a := h.send("POST", "/v1/chat/completions", chatBody("when is half-mast", true))
	assert.NilError(t, a.err)
	assert.Equal(t, a.status, http.StatusOK, a.body)
	text, done := joinStream(t, a.body)
	assert.Assert(t, done)
	assert.Equal(t, text, wantAnswer("when is half-mast"))
}

// Guards against a repeated call that is executed again instead of returning the
// recorded answer, and against a call that is accepted before the call with the
// preceding number.
func TestProgramCallsAreOrderedAndRecorded(t *testing.T) {
	h := newHarness(t, engine.Options{})
	call := func(n, text string) response {
		return h.send("POST", "/v1/chat/completions", chatBody(text, true), "Mimosarelay-Program", "p1", "Mimosarelay-Call", n)
	}
	early := call("2", "second")
	assert.Equal(t, early.status, http.StatusConflict, early.body)
	assert.Assert(t, strings.Contains(early.body, `"Ran":"no"`))
	first := call("1", "first")
	assert.Equal(t, first.status, http.StatusOK, first.body)
	again := call("1", "first")
	assert.Equal(t, again.body, first.body)
	assert.Equal(t, again.header.Get("Mimosarelay-Replayed"), "true")
	assert.Equal(t, h.engines[0].Stats().Requests, int64(1))
	other := call("1", "other content")
	assert.Equal(t, other.status, http.StatusConflict, other.body)
	assert.Equal(t, call("2", "second").status, http.StatusOK)
	history := h.send("GET", "/v1/programs/p1/history", "")
	assert.Assert(t, strings.Contains(history.body, "second"), history.body)
}

// Guards against a history whose size is quadratic in the number of calls, because
// each call repeats the earlier messages, and against lost messages.
func TestHistoryKeepsEachMessageOnce(t *testing.T) {
	h := newHarness(t, engine.Options{})
	var messages []string
	for n := 1; n <= 4; n++ {
		messages = append(messages, fmt.Sprintf(`{"role":"user","content":"question-%d"}`, n))
		body := fmt.Sprintf(`{"model":%q,"messages":[%s],"max_tokens":5}`, engine.DefaultModel, strings.Join(messages, ","))
		a := h.send("POST", "/v1/chat/completions", body, "Mimosarelay-Program", "p1", "Mimosarelay-Call", strconv.Itoa(n))
		assert.Equal(t, a.status, http.StatusOK, a.body)
		messages = append(messages, fmt.Sprintf(`{"role":"assistant","content":"answer-%d"}`, n))
	}
	// The caller replaces its history, so the recorded messages are no prefix of it.
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"summary"}],"max_tokens":5}`, engine.DefaultModel)
	assert.Equal(t, h.send("POST", "/v1/chat/completions", body, "Mimosarelay-Program", "p1", "Mimosarelay-Call", "5").status, http.StatusOK)
	history := h.send("GET", "/v1/programs/p1/history", "").body
	for _, text := range []string{"question-1", "question-2", "question-3", "question-4", "answer-3", "summary"} {
		assert.Equal(t, strings.Count(history, text), 1, history)
	}
}

// Guards against a stream that a target interrupts and that is passed on as
// complete.
func TestInterruptedStreamIsResumedOrEndsWithError(t *testing.T) {
	h := newHarness(t, engine.Options{})
	assert.NilError(t, h.engines[0].SetFault(fault.Fault{CutChunks: 3}))
	a := h.send("POST", "/v1/chat/completions", chatBody("cut stream", true))
	text, done := joinStream(t, a.body)
	if done {
		assert.Equal(t, text, wantAnswer("cut stream"))
		return
	}
	assert.Assert(t, strings.Contains(a.body, "event: error"), a.body)
}

// Guards against a non-idempotent call that is sent twice when the caller repeats
// it after the answer was lost or the service did not answer.
func TestNonIdempotentCallReachesServiceOnce(t *testing.T) {
	tests := map[string]struct {
		fault fault.Fault
		ran   string
	}{
		"answer lost":     {fault.Fault{CutBytes: 10}, `"Ran":"unknown"`},
		"service hangs":   {fault.Fault{Hang: true}, `"Ran":"unknown"`},
		"service healthy": {fault.Fault{}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, engine.Options{})
			assert.NilError(t, h.service.SetFault(test.fault))
			pay := func() response {
				return h.send("POST", "/v1/routes/pay/charge", `{"amount":5}`, "Mimosarelay-Program", "p1", "Mimosarelay-Call", "1")
			}
			first := pay()
			assert.Assert(t, strings.Contains(first.body, test.ran), first.body)
			assert.NilError(t, h.service.SetFault(fault.Fault{}))
			second := pay()
			assert.Assert(t, strings.Contains(second.body, test.ran), second.body)
			assert.Equal(t, len(h.service.Arrivals().Arrivals), 1)
		})
	}
}

// Guards against a key that is forwarded to a target in the path, the body or a
// header field.
func TestKeyNeverReachesATarget(t *testing.T) {
	h := newHarness(t, engine.Options{})
	assert.Equal(t, h.send("POST", "/v1/routes/pay/charge", "{}", "X-Api-Key", h.key, "Cookie", h.key).status, http.StatusOK)
	for name, a := range map[string]response{
		"query":  h.send("POST", "/v1/routes/pay/charge?key="+h.key, "{}"),
		"body":   h.send("POST", "/v1/routes/pay/charge", `{"key":"`+h.key+`"}`),
		"header": h.send("POST", "/v1/routes/pay/charge", "{}", "Accept-Language", h.key),
	} {
		assert.Equal(t, a.status, http.StatusBadRequest, name)
	}
	assert.Equal(t, len(h.service.ArrivalsContaining(h.key)), 0)
	assert.Equal(t, len(h.service.Arrivals().Arrivals), 1)
}

// Guards against requests that are executed without a valid key of the workspace.
func TestInvalidKeyIsRefused(t *testing.T) {
	h := newHarness(t, engine.Options{})
	tests := map[string]struct {
		method, path, key string
		status            int
	}{
		"wrong key":                {"POST", "/v1/chat/completions", "Bearer mr_k1_wrong", 401},
		"no key":                   {"POST", "/v1/chat/completions", "", 401},
		"wrong scheme":             {"POST", "/v1/chat/completions", "Basic " + h.key, 401},
		"open route without key":   {"GET", "/v1/routes/look/stock", "", 200},
		"open route, wrong key":    {"GET", "/v1/routes/look/stock", "Bearer mr_k1_wrong", 401},
		"closed route without key": {"POST", "/v1/routes/pay/charge", "", 401},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := h.send(test.method, test.path, chatBody("x", false), "Authorization", test.key)
			assert.Equal(t, a.status, test.status, a.body)
		})
	}
	h.updateConfig(func(d *config.Document) { d.Workspaces[0].Keys = nil })
	assert.Equal(t, h.send("POST", "/v1/chat/completions", chatBody("x", false)).status, 401)
}

// Guards against a stream that continues after its key was withdrawn.
func TestWithdrawnKeyEndsOpenStreams(t *testing.T) {
	h := newHarness(t, engine.Options{OutputTokenTime: 100 * time.Millisecond})
	done := make(chan response, 1)
	go func() { done <- h.send("POST", "/v1/chat/completions", chatBody("long", true)) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if h.engines[0].Load().Running > 0 {
			return poll.Success()
		}
		return poll.Continue("the stream has not started")
	}, poll.WithTimeout(5*time.Second))
	h.updateConfig(func(d *config.Document) { d.Workspaces[0].Keys = nil })
	a := <-done
	_, complete := joinStream(t, a.body)
	assert.Assert(t, !complete)
	assert.Assert(t, strings.Contains(a.body, "withdrawn"), a.body)
}

// Guards against a running non-idempotent call that is aborted, and whose outcome
// is therefore unknown, because the key of its caller is withdrawn.
func TestNonIdempotentCallOfWithdrawnKeyIsRecorded(t *testing.T) {
	h := newHarness(t, engine.Options{})
	assert.NilError(t, h.service.SetFault(fault.Fault{Slow: fault.Duration(300 * time.Millisecond)}))
	done := make(chan response, 1)
	go func() {
		done <- h.send("POST", "/v1/routes/pay/charge", `{"amount":5}`, "Mimosarelay-Program", "p1", "Mimosarelay-Call", "1")
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if h.service.Arrivals().Total > 0 {
			return poll.Success()
		}
		return poll.Continue("the call has not arrived at the service")
	}, poll.WithTimeout(5*time.Second))
	other := config.NewKey("k2")
	hash, err := config.HashKey(other)
	assert.NilError(t, err)
	h.updateConfig(func(d *config.Document) { d.Workspaces[0].Keys = []config.Key{{ID: "k2", Hash: hash}} })
	<-done
	h.key = other
	outcome := h.send("GET", "/v1/programs/p1/calls/1", "")
	assert.Assert(t, strings.Contains(outcome.body, `"Ran":"yes"`), outcome.body)
	assert.Equal(t, h.service.Arrivals().Total, int64(1))
}

// Guards against a malformed request that crashes the host, reaches a target or is
// answered without a problem.
func TestMalformedRequestIsRefused(t *testing.T) {
	h := newHarness(t, engine.Options{})
	chat := "/v1/chat/completions"
	tests := map[string]struct {
		method, path, body string
		headers            []string
		status             int
	}{
		"unknown model":          {"POST", chat, `{"model":"m","messages":[{"role":"user"}]}`, nil, 404},
		"invalid JSON":           {"POST", chat, "{", nil, 400},
		"model not a string":     {"POST", chat, `{"model":1,"messages":[]}`, nil, 400},
		"no model":               {"POST", chat, `{"messages":[{"role":"user"}]}`, nil, 400},
		"no messages":            {"POST", chat, `{"model":"m"}`, nil, 400},
		"message without role":   {"POST", chat, `{"model":"m","messages":[{}]}`, nil, 400},
		"not UTF-8":              {"POST", chat, "{\"model\":\"\xff\"}", nil, 400},
		"two choices":            {"POST", chat, `{"model":"m","messages":[{"role":"user"}],"n":2}`, nil, 400},
		"body too large":         {"POST", chat, strings.Repeat("x", 65<<10), nil, 413},
		"wrong method for chat":  {"GET", chat, "", nil, 405},
		"unknown path":           {"GET", "/v2", "", nil, 404},
		"unknown route":          {"POST", "/v1/routes/nope/x", "{}", nil, 404},
		"wrong method for route": {"DELETE", "/v1/routes/pay/x", "", nil, 400},
		"call not a number":      {"POST", chat, chatBody("x", false), []string{"Mimosarelay-Program", "p", "Mimosarelay-Call", "x"}, 400},
		"call zero":              {"POST", chat, chatBody("x", false), []string{"Mimosarelay-Program", "p", "Mimosarelay-Call", "0"}, 400},
		"call without program":   {"POST", chat, chatBody("x", false), []string{"Mimosarelay-Call", "1"}, 400},
		"slash in program id":    {"POST", chat, chatBody("x", false), []string{"Mimosarelay-Program", "a/b", "Mimosarelay-Call", "1"}, 400},
		"header too large":       {"POST", chat, "", []string{"X-Long", strings.Repeat("x", 20<<10)}, 413},
		"unknown program":        {"GET", "/v1/programs/none", "", nil, 404},
		"unknown outcome":        {"GET", "/v1/calls/none", "", nil, 404},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := h.send(test.method, test.path, test.body, test.headers...)
			assert.Equal(t, a.status, test.status, a.body)
			assert.Equal(t, a.header.Get("Content-Type"), "application/problem+json")
			var p struct{ Ran, RequestID, Detail string }
			assert.NilError(t, json.Unmarshal([]byte(a.body), &p))
			assert.Equal(t, p.Ran, "no")
			assert.Assert(t, p.RequestID != "" && p.Detail != "", a.body)
		})
	}
	assert.Equal(t, h.engines[0].Stats().Requests, int64(0))
	assert.Equal(t, len(h.service.Arrivals().Arrivals), 0)
}

// Guards against bytes that are not HTTP and crash the host or get no answer.
func TestNonHTTPBytesAreRefused(t *testing.T) {
	h := newHarness(t, engine.Options{})
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte("\x00\x01 no http\r\n\r\n"))
	assert.NilError(t, err)
	buffer := make([]byte, 4096)
	n, _ := conn.Read(buffer)
	assert.Assert(t, strings.Contains(string(buffer[:n]), "400"), string(buffer[:n]))
	assert.Equal(t, h.send("GET", "/healthz", "").status, 200)
}

// Guards against an engine that continues to generate after the caller has
// disconnected.
func TestDisconnectedCallerCancelsStream(t *testing.T) {
	h := newHarness(t, engine.Options{OutputTokenTime: 50 * time.Millisecond})
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	assert.NilError(t, err)
	body := chatBody("long", true)
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", h.key, len(body), body)
	assert.NilError(t, err)
	_, err = conn.Read(make([]byte, 100))
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if h.engines[0].Load().Running == 0 && h.streams.Count() == 0 {
			return poll.Success()
		}
		return poll.Continue("the stream is still running")
	}, poll.WithTimeout(5*time.Second))
	assert.Equal(t, h.engines[0].Stats().Cancelled, int64(1))
}

// Guards against a stream that is never ended, and occupies a slot of the engine,
// because the caller keeps the connection open without reading.
func TestCallerThatStopsReadingLosesTheStream(t *testing.T) {
	h := newHarness(t, engine.Options{OutputTokenTime: 50 * time.Microsecond}) // the answer takes at least 5 s
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(4096))
	// The answer is larger than the socket buffers of both sides.
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"[tokens:100000]"}],"max_tokens":200000,"stream":true}`, engine.DefaultModel)
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", h.key, len(body), body)
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if h.engines[0].Stats().Requests > 0 && h.engines[0].Load().Running == 0 && h.streams.Count() == 0 {
			return poll.Success()
		}
		return poll.Continue("the stream is still held")
	}, poll.WithTimeout(15*time.Second))
	assert.Equal(t, h.engines[0].Stats().Cancelled, int64(1))
}

// Guards against a host that is not ready and accepts calls, or refuses them
// without saying that they were not executed.
func TestNotReadyHostRefusesCallsAsNotRun(t *testing.T) {
	h := newHarness(t, engine.Options{})
	h.setReady(false)
	a := h.send("POST", "/v1/chat/completions", chatBody("x", false))
	assert.Equal(t, a.status, 503)
	assert.Assert(t, strings.Contains(a.body, `"Ran":"no"`), a.body)
	assert.Equal(t, h.send("GET", "/readyz", "").status, 503)
	assert.Equal(t, h.send("GET", "/healthz", "").status, 200)
}

// Guards against final refusals by a host that has lost the right to act.
func TestNotReadyHostRefusesNothingForGood(t *testing.T) {
	h := newHarness(t, engine.Options{})
	h.setReady(false)
	h.key = config.NewKey("k2") // may have been granted meanwhile
	for name, c := range map[string]struct{ method, path, body string }{
		"chat":    {"POST", "/v1/chat/completions", chatBody("x", false)},
		"route":   {"POST", "/v1/routes/pay/now", "x"},
		"added":   {"POST", "/v1/routes/added/now", "x"},
		"models":  {"GET", "/v1/models", ""},
		"history": {"GET", "/v1/programs/letter-17/history", ""},
		"outcome": {"GET", "/v1/calls/key-17", ""},
	} {
		a := h.send(c.method, c.path, c.body)
		assert.Check(t, is.Equal(a.status, 503), "%s: %s", name, a.body)
		assert.Check(t, a.header.Get("Retry-After") != "", name)
	}
}

// Guards against a draining host that refuses callers which know its address, and
// against one that still reports itself as ready for new callers.
func TestDrainingHostAcceptsCalls(t *testing.T) {
	h := newHarness(t, engine.Options{})
	h.setReady(false)
	h.draining.Store(true)
	a := h.send("POST", "/v1/chat/completions", chatBody("x", false))
	assert.Equal(t, a.status, 200, a.body)
	assert.Equal(t, h.send("GET", "/readyz", "").status, 503)
}
