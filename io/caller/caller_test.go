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
	"gotest.tools/v3/poll"

	"mimosarelay/core/config"
	"mimosarelay/standin/engine"
	"mimosarelay/standin/fault"
	"mimosarelay/test/knownred"
)

func chatBody(text string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":40,"stream":%t}`, engine.DefaultModel, text, stream)
}

func wantAnswer(text string) string {
	return engine.Answer([]engine.Message{{Role: "user", Content: engine.Content(text)}}, 40)
}

// streamed joins the content of a stream's chunks and says whether [DONE] came.
func streamed(t *testing.T, body string) (text string, done bool) {
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

// Guards against answers that are changed, mixed up or cut on their way.
func TestStreamedAnswerIsWhole(t *testing.T) {
	s := newSite(t, engine.Options{})
	a := s.do("POST", "/v1/chat/completions", chatBody("when is half-mast", true))
	assert.NilError(t, a.err)
	assert.Equal(t, a.status, http.StatusOK, a.body)
	text, done := streamed(t, a.body)
	assert.Assert(t, done)
	assert.Equal(t, text, wantAnswer("when is half-mast"))
}

// Guards against a repeated call that runs again instead of returning the
// recorded answer, and against calls that overtake each other.
func TestProgramCallsAreOrderedAndRecorded(t *testing.T) {
	s := newSite(t, engine.Options{})
	call := func(n, text string) answer {
		return s.do("POST", "/v1/chat/completions", chatBody(text, true), "Mimosarelay-Program", "p1", "Mimosarelay-Call", n)
	}
	early := call("2", "second")
	assert.Equal(t, early.status, http.StatusConflict, early.body)
	assert.Assert(t, strings.Contains(early.body, `"Ran":"no"`))
	first := call("1", "first")
	assert.Equal(t, first.status, http.StatusOK, first.body)
	again := call("1", "first")
	assert.Equal(t, again.body, first.body)
	assert.Equal(t, again.header.Get("Mimosarelay-Replayed"), "true")
	assert.Equal(t, s.engines[0].Stats().Requests, int64(1))
	other := call("1", "other content")
	assert.Equal(t, other.status, http.StatusConflict, other.body)
	assert.Equal(t, call("2", "second").status, http.StatusOK)
	history := s.do("GET", "/v1/programs/p1/history", "")
	assert.Assert(t, strings.Contains(history.body, "second"), history.body)
}

// Guards against a history that grows with the square of its turns, and against
// messages that are missing from it.
func TestHistoryKeepsEachMessageOnce(t *testing.T) {
	s := newSite(t, engine.Options{})
	var messages []string
	for n := 1; n <= 4; n++ {
		messages = append(messages, fmt.Sprintf(`{"role":"user","content":"question-%d"}`, n))
		body := fmt.Sprintf(`{"model":%q,"messages":[%s],"max_tokens":5}`, engine.DefaultModel, strings.Join(messages, ","))
		a := s.do("POST", "/v1/chat/completions", body, "Mimosarelay-Program", "p1", "Mimosarelay-Call", strconv.Itoa(n))
		assert.Equal(t, a.status, http.StatusOK, a.body)
		messages = append(messages, fmt.Sprintf(`{"role":"assistant","content":"answer-%d"}`, n))
	}
	// The caller replaces its history: nothing before is a prefix any more.
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"summary"}],"max_tokens":5}`, engine.DefaultModel)
	assert.Equal(t, s.do("POST", "/v1/chat/completions", body, "Mimosarelay-Program", "p1", "Mimosarelay-Call", "5").status, http.StatusOK)
	history := s.do("GET", "/v1/programs/p1/history", "").body
	for _, text := range []string{"question-1", "question-2", "question-3", "question-4", "answer-3", "summary"} {
		assert.Equal(t, strings.Count(history, text), 1, history)
	}
}

// Guards against answers cut by a target that are passed on as whole.
func TestHalfAnswerIsResumedOrMarked(t *testing.T) {
	s := newSite(t, engine.Options{})
	assert.NilError(t, s.engines[0].SetFault(fault.Fault{CutChunks: 3}))
	a := s.do("POST", "/v1/chat/completions", chatBody("cut stream", true))
	text, done := streamed(t, a.body)
	if done {
		assert.Equal(t, text, wantAnswer("cut stream"))
		return
	}
	assert.Assert(t, strings.Contains(a.body, "event: error"), a.body)
}

// Guards against a non-idempotent call that is sent twice, whatever its caller
// or the target does.
func TestPaymentReachesTheServiceOnce(t *testing.T) {
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
			s := newSite(t, engine.Options{})
			assert.NilError(t, s.service.SetFault(test.fault))
			pay := func() answer {
				return s.do("POST", "/v1/routes/pay/charge", `{"amount":5}`, "Mimosarelay-Program", "p1", "Mimosarelay-Call", "1")
			}
			first := pay()
			assert.Assert(t, strings.Contains(first.body, test.ran), first.body)
			assert.NilError(t, s.service.SetFault(fault.Fault{}))
			second := pay()
			assert.Assert(t, strings.Contains(second.body, test.ran), second.body)
			assert.Equal(t, len(s.service.Arrivals().Arrivals), 1)
		})
	}
}

// Guards against a key that leaks to a target through any part of a request.
func TestKeyNeverReachesATarget(t *testing.T) {
	s := newSite(t, engine.Options{})
	assert.Equal(t, s.do("POST", "/v1/routes/pay/charge", "{}", "X-Api-Key", s.key, "Cookie", s.key).status, http.StatusOK)
	for name, a := range map[string]answer{
		"query":  s.do("POST", "/v1/routes/pay/charge?key="+s.key, "{}"),
		"body":   s.do("POST", "/v1/routes/pay/charge", `{"key":"`+s.key+`"}`),
		"header": s.do("POST", "/v1/routes/pay/charge", "{}", "Accept-Language", s.key),
	} {
		assert.Equal(t, a.status, http.StatusBadRequest, name)
	}
	assert.Equal(t, len(s.service.ArrivalsContaining(s.key)), 0)
	assert.Equal(t, len(s.service.Arrivals().Arrivals), 1)
}

// Guards against requests that run without the workspace's own key.
func TestKeysAreChecked(t *testing.T) {
	s := newSite(t, engine.Options{})
	tests := map[string]struct {
		method, path, key string
		status            int
	}{
		"wrong key":                {"POST", "/v1/chat/completions", "Bearer mr_k1_wrong", 401},
		"no key":                   {"POST", "/v1/chat/completions", "", 401},
		"other scheme":             {"POST", "/v1/chat/completions", "Basic " + s.key, 401},
		"open route without key":   {"GET", "/v1/routes/look/stock", "", 200},
		"open route, wrong key":    {"GET", "/v1/routes/look/stock", "Bearer mr_k1_wrong", 401},
		"closed route without key": {"POST", "/v1/routes/pay/charge", "", 401},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := s.do(test.method, test.path, chatBody("x", false), "Authorization", test.key)
			assert.Equal(t, a.status, test.status, a.body)
		})
	}
	s.change(func(d *config.Document) { d.Workspaces[0].Keys = nil })
	assert.Equal(t, s.do("POST", "/v1/chat/completions", chatBody("x", false)).status, 401)
}

// Guards against a stream that goes on after its key was withdrawn.
func TestWithdrawnKeyEndsOpenStreams(t *testing.T) {
	s := newSite(t, engine.Options{OutputTokenTime: 100 * time.Millisecond})
	done := make(chan answer, 1)
	go func() { done <- s.do("POST", "/v1/chat/completions", chatBody("long", true)) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.engines[0].Load().Running > 0 {
			return poll.Success()
		}
		return poll.Continue("stream has not started")
	}, poll.WithTimeout(5*time.Second))
	s.change(func(d *config.Document) { d.Workspaces[0].Keys = nil })
	a := <-done
	_, whole := streamed(t, a.body)
	assert.Assert(t, !whole)
	assert.Assert(t, strings.Contains(a.body, "withdrawn"), a.body)
}

// Guards against a payment that is cut off, and so has no known outcome, because
// the key of its caller was withdrawn or its caller left meanwhile.
func TestPaymentOfWithdrawnKeyIsRecorded(t *testing.T) {
	s := newSite(t, engine.Options{})
	assert.NilError(t, s.service.SetFault(fault.Fault{Slow: fault.Duration(300 * time.Millisecond)}))
	done := make(chan answer, 1)
	go func() {
		done <- s.do("POST", "/v1/routes/pay/charge", `{"amount":5}`, "Mimosarelay-Program", "p1", "Mimosarelay-Call", "1")
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.service.Arrivals().Total > 0 {
			return poll.Success()
		}
		return poll.Continue("the payment has not arrived")
	}, poll.WithTimeout(5*time.Second))
	other := config.NewKey("k2")
	hash, err := config.HashKey(other)
	assert.NilError(t, err)
	s.change(func(d *config.Document) { d.Workspaces[0].Keys = []config.Key{{ID: "k2", Hash: hash}} })
	<-done
	s.key = other
	outcome := s.do("GET", "/v1/programs/p1/calls/1", "")
	assert.Assert(t, strings.Contains(outcome.body, `"Ran":"yes"`), outcome.body)
	assert.Equal(t, s.service.Arrivals().Total, int64(1))
}

// Guards against malformed input that crashes the host, reaches a target or
// gets no clear error.
func TestMalformedInput(t *testing.T) {
	s := newSite(t, engine.Options{})
	chat := "/v1/chat/completions"
	tests := map[string]struct {
		method, path, body string
		headers            []string
		status             int
	}{
		"unknown model":        {"POST", chat, `{"model":"m","messages":[{"role":"user"}]}`, nil, 404},
		"no JSON":              {"POST", chat, "{", nil, 400},
		"wrong type":           {"POST", chat, `{"model":1,"messages":[]}`, nil, 400},
		"no model":             {"POST", chat, `{"messages":[{"role":"user"}]}`, nil, 400},
		"no messages":          {"POST", chat, `{"model":"m"}`, nil, 400},
		"message without role": {"POST", chat, `{"model":"m","messages":[{}]}`, nil, 400},
		"not UTF-8":            {"POST", chat, "{\"model\":\"\xff\"}", nil, 400},
		"two answers":          {"POST", chat, `{"model":"m","messages":[{"role":"user"}],"n":2}`, nil, 400},
		"too large":            {"POST", chat, strings.Repeat("x", 65<<10), nil, 413},
		"wrong method":         {"GET", chat, "", nil, 405},
		"unknown path":         {"GET", "/v2", "", nil, 404},
		"unknown route":        {"POST", "/v1/routes/nope/x", "{}", nil, 404},
		"route method":         {"DELETE", "/v1/routes/pay/x", "", nil, 400},
		"call not a number":    {"POST", chat, chatBody("x", false), []string{"Mimosarelay-Program", "p", "Mimosarelay-Call", "x"}, 400},
		"call zero":            {"POST", chat, chatBody("x", false), []string{"Mimosarelay-Program", "p", "Mimosarelay-Call", "0"}, 400},
		"call, no program":     {"POST", chat, chatBody("x", false), []string{"Mimosarelay-Call", "1"}, 400},
		"bad program id":       {"POST", chat, chatBody("x", false), []string{"Mimosarelay-Program", "a/b", "Mimosarelay-Call", "1"}, 400},
		"huge header":          {"POST", chat, "", []string{"X-Long", strings.Repeat("x", 20<<10)}, 413},
		"unknown program":      {"GET", "/v1/programs/none", "", nil, 404},
		"unknown outcome":      {"GET", "/v1/calls/none", "", nil, 404},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := s.do(test.method, test.path, test.body, test.headers...)
			assert.Equal(t, a.status, test.status, a.body)
			assert.Equal(t, a.header.Get("Content-Type"), "application/problem+json")
			var p struct{ Ran, RequestID, Detail string }
			assert.NilError(t, json.Unmarshal([]byte(a.body), &p))
			assert.Equal(t, p.Ran, "no")
			assert.Assert(t, p.RequestID != "" && p.Detail != "", a.body)
		})
	}
	assert.Equal(t, s.engines[0].Stats().Requests, int64(0))
	assert.Equal(t, len(s.service.Arrivals().Arrivals), 0)
}

// Guards against bytes that are not HTTP.
func TestGarbageOnTheConnection(t *testing.T) {
	s := newSite(t, engine.Options{})
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte("\x00\x01 no http\r\n\r\n"))
	assert.NilError(t, err)
	buffer := make([]byte, 4096)
	n, _ := conn.Read(buffer)
	assert.Assert(t, strings.Contains(string(buffer[:n]), "400"), string(buffer[:n]))
	assert.Equal(t, s.do("GET", "/healthz", "").status, 200)
}

// Guards against work that goes on at the engine for a caller that is gone.
func TestCallerThatGoesAwayCancelsTheStream(t *testing.T) {
	s := newSite(t, engine.Options{OutputTokenTime: 50 * time.Millisecond})
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	assert.NilError(t, err)
	body := chatBody("long", true)
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", s.key, len(body), body)
	assert.NilError(t, err)
	_, err = conn.Read(make([]byte, 100))
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.engines[0].Load().Running == 0 && s.streams.Count() == 0 {
			return poll.Success()
		}
		return poll.Continue("the stream still runs")
	}, poll.WithTimeout(5*time.Second))
	assert.Equal(t, s.engines[0].Stats().Cancelled, int64(1))
}

// Guards against a stream that is held for ever, with its place at the engine,
// for a caller that stops reading.
func TestCallerThatStopsReadingLosesTheStream(t *testing.T) {
	knownred.Skip(t)
	s := newSite(t, engine.Options{})
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(4096))
	// More than the buffers of both sides hold.
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"[tokens:100000]"}],"max_tokens":200000,"stream":true}`, engine.DefaultModel)
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", s.key, len(body), body)
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.engines[0].Stats().Requests > 0 && s.engines[0].Load().Running == 0 && s.streams.Count() == 0 {
			return poll.Success()
		}
		return poll.Continue("the stream is still held")
	}, poll.WithTimeout(15*time.Second))
	assert.Equal(t, s.engines[0].Stats().Cancelled, int64(1))
}

// Guards against refusals that hide that the host does not serve.
func TestNotReadyRefusesWithRanNo(t *testing.T) {
	s := newSite(t, engine.Options{})
	s.ready(false)
	a := s.do("POST", "/v1/chat/completions", chatBody("x", false))
	assert.Equal(t, a.status, 503)
	assert.Assert(t, strings.Contains(a.body, `"Ran":"no"`), a.body)
	assert.Equal(t, s.do("GET", "/readyz", "").status, 503)
	assert.Equal(t, s.do("GET", "/healthz", "").status, 200)
}

// Guards against a leaving host that refuses callers which were told its
// address before, and against one that still tells new callers to come.
func TestLeavingHostServes(t *testing.T) {
	s := newSite(t, engine.Options{})
	s.ready(false)
	s.leaving.Store(true)
	a := s.do("POST", "/v1/chat/completions", chatBody("x", false))
	assert.Equal(t, a.status, 200, a.body)
	assert.Equal(t, s.do("GET", "/readyz", "").status, 503)
}
