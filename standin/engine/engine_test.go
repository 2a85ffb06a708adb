package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"mimosarelay/standin/fault"
)

// fasthttp starts a goroutine for the Date header that never ends, so the check
// for leaked goroutines ignores it.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

// eventTimeout bounds the wait for an expected event.
const eventTimeout = 5 * time.Second

// blockUntil waits until the fake clock has n pending timers.
func blockUntil(t *testing.T, clock *clockwork.FakeClock, n int) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), eventTimeout)
	defer stop()
	assert.NilError(t, clock.BlockUntilContext(ctx, n))
}

func start(t *testing.T, o Options) *Server {
	t.Helper()
	o.Listen = "127.0.0.1:0"
	s, err := Start(o)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	return s
}

func conversation(text string) []Message {
	return []Message{{Role: "system", Content: "You answer."}, {Role: "user", Content: Content(text)}}
}

// response is a response whose body was read to its end or to an error.
type response struct {
	status int
	body   []byte
	err    error
}

func send(t *testing.T, s *Server, method, path string, body any, headers ...string) response {
	t.Helper()
	data, err := json.Marshal(body)
	assert.NilError(t, err)
	r, err := http.NewRequest(method, "http://"+s.Address()+path, bytes.NewReader(data))
	assert.NilError(t, err)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: eventTimeout}
	got, err := c.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer got.Body.Close()
	data, err = io.ReadAll(got.Body)
	return response{got.StatusCode, data, err}
}

func decodeResponse[T any](t *testing.T, r response) T {
	t.Helper()
	var v T
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, 200, string(r.body))
	assert.NilError(t, json.Unmarshal(r.body, &v))
	return v
}

func chat(t *testing.T, s *Server, m []Message, stream bool, headers ...string) response {
	t.Helper()
	return send(t, s, "POST", "/v1/chat/completions", Request{Model: DefaultModel, Messages: m, Stream: stream}, headers...)
}

// events returns the data fields of the server-sent events.
func (r response) events() []string {
	var all []string
	for event := range strings.SplitSeq(string(r.body), "\n\n") {
		if data, ok := strings.CutPrefix(event, "data: "); ok {
			all = append(all, data)
		}
	}
	return all
}

// joinContent joins the content of the chunks and returns the usage, if any.
func joinContent(t *testing.T, events []string) (string, *Usage) {
	t.Helper()
	var joined strings.Builder
	var usage *Usage
	for _, e := range events {
		if e == "[DONE]" {
			continue
		}
		var c Chunk
		assert.NilError(t, json.Unmarshal([]byte(e), &c))
		for _, choice := range c.Choices {
			joined.WriteString(choice.Delta.Content)
		}
		if c.Usage != nil {
			usage = c.Usage
		}
	}
	return joined.String(), usage
}

// eventually waits until another goroutine makes the condition true.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(eventTimeout); !ok(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "condition not met in time: %s", what)
	}
}

// Guards against a stream that loses or reorders chunks, or that ends without the
// usage or [DONE].
func TestStreamDeliversAllChunks(t *testing.T) {
	s := start(t, Options{})
	m := conversation("What is the flag of Hobart?")
	got := chat(t, s, m, true)
	assert.NilError(t, got.err)
	all := got.events()
	assert.Equal(t, all[len(all)-1], "[DONE]")
	answer, usage := joinContent(t, all)
	assert.Equal(t, answer, Answer(m, 0))
	assert.Equal(t, usage.PromptTokens, CountTokens(m))
	assert.Equal(t, usage.CompletionTokens, len(answer)/tokenBytes)
	assert.Equal(t, usage.TotalTokens, usage.PromptTokens+usage.CompletionTokens)
}

// Guards against answers without streaming that differ from streamed ones, or that
// ignore the token limit.
func TestCompletionEqualsStreamedAnswer(t *testing.T) {
	s := start(t, Options{})
	m := conversation("Plan the stock. [tokens:100]")
	got := decodeResponse[Completion](t, chat(t, s, m, false))
	assert.Equal(t, string(got.Choices[0].Message.Content), Answer(m, 0))
	assert.Equal(t, got.Choices[0].FinishReason, "stop")
	assert.Equal(t, got.Usage.CompletionTokens, 100)
	short := Request{Model: DefaultModel, Messages: m, MaxTokens: 7}
	got = decodeResponse[Completion](t, send(t, s, "POST", "/v1/chat/completions", short))
	assert.Equal(t, string(got.Choices[0].Message.Content), Answer(m, 7))
	assert.Equal(t, got.Choices[0].FinishReason, "length")
	assert.Equal(t, got.Usage.CompletionTokens, 7)
}

// Guards against conversations that differ and get the same answer.
func TestAnswerDependsOnAllMessages(t *testing.T) {
	base := []Message{{"user", "a"}, {"assistant", "b"}, {"user", "c"}}
	seen := map[string]string{Answer(base, 0): "base"}
	for name, m := range map[string][]Message{
		"first content":             {{"user", "x"}, {"assistant", "b"}, {"user", "c"}},
		"role":                      {{"user", "a"}, {"user", "b"}, {"user", "c"}},
		"last content":              {{"user", "a"}, {"assistant", "b"}, {"user", "x"}},
		"order":                     {{"assistant", "b"}, {"user", "a"}, {"user", "c"}},
		"same text, other boundary": {{"user", "a"}, {"assistant", "bu"}, {"ser", "c"}},
	} {
		answer := Answer(m, 0)
		assert.Equal(t, seen[answer], "", name)
		seen[answer] = name
	}
}

// Guards against message content in the form of parts or null that is rejected or
// decoded wrongly.
func TestContentAcceptsPartsAndNull(t *testing.T) {
	var m []Message
	body := `[{"role": "user", "content": [{"type": "text", "text": "a"}, {"type": "image_url"}, {"type": "text", "text": "b"}]},
		{"role": "assistant", "content": null}]`
	assert.NilError(t, json.Unmarshal([]byte(body), &m))
	assert.DeepEqual(t, m, []Message{{"user", "ab"}, {"assistant", ""}})
	assert.ErrorContains(t, json.Unmarshal([]byte(`[{"role": "user", "content": 7}]`), &m), "neither a string nor")
}

// Guards against a resume that skips or repeats chunks after a cut, and against a
// cut stream that appears complete.
func TestCutStreamResumes(t *testing.T) {
	s := start(t, Options{})
	m := conversation("Resume me. [tokens:40]")
	assert.NilError(t, s.SetFault(fault.Fault{CutChunks: 10, Cuts: 1}))
	first := chat(t, s, m, true, "X-Request-Id", "r1")
	assert.ErrorIs(t, first.err, io.ErrUnexpectedEOF)
	assert.Equal(t, len(first.events()), 10)
	rest := send(t, s, "GET", "/v1/streams/r1?from=10", nil)
	assert.NilError(t, rest.err)
	answer, usage := joinContent(t, append(first.events(), rest.events()...))
	assert.Equal(t, answer, Answer(m, 0))
	assert.Equal(t, usage.CompletionTokens, 40)
	assert.Equal(t, send(t, s, "GET", "/v1/streams/none", nil).status, 404)
	assert.Equal(t, send(t, s, "GET", "/v1/streams/r1?from=1000", nil).status, 400)
}

// Guards against streams that run without a reader for longer than Retain, and
// against streams that are cancelled before they can be resumed.
func TestAbandonedStreamIsCancelledAfterRetain(t *testing.T) {
	for name, o := range map[string]Options{
		"retain":    {Retain: time.Minute},
		"no resume": {NoResume: true},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			o.Clock, o.OutputTokenTime = clock, time.Hour
			s := start(t, o)
			st, err := s.startStream("r1", "", Request{Model: DefaultModel, Messages: conversation("x")})
			assert.NilError(t, err)
			eventually(t, "running", func() bool { return s.Load().Running == 1 })
			s.detach(st)
			if !o.NoResume {
				clock.Advance(time.Minute - time.Second)
				assert.Assert(t, !st.ended())
				clock.Advance(time.Second)
			}
			eventually(t, "cancelled", func() bool { return s.Stats().Cancelled == 1 && s.Load().Running == 0 })
		})
	}
}

// Guards against a cancelled stream that stays in the batch or the queue, or whose
// response appears complete.
func TestCancelledStreamLeavesBatchAndQueue(t *testing.T) {
	s := start(t, Options{Clock: clockwork.NewFakeClock(), OutputTokenTime: time.Hour, MaxRunning: 1})
	responses := make(chan response, 2)
	go func() { responses <- chat(t, s, conversation("a"), true, "X-Request-Id", "a") }()
	eventually(t, "a runs", func() bool { return s.Load().Running == 1 })
	go func() { responses <- chat(t, s, conversation("b"), true, "X-Request-Id", "b") }()
	eventually(t, "b waits", func() bool { return s.Load().Waiting == 1 })
	assert.Equal(t, chat(t, s, conversation("a"), true, "X-Request-Id", "a").status, 409)
	for _, id := range []string{"b", "a"} {
		assert.Equal(t, send(t, s, "DELETE", "/v1/streams/"+id, nil).status, 204)
		r := <-responses
		assert.Assert(t, r.err != nil)
		assert.Equal(t, len(r.events()), 0)
	}
	eventually(t, "a and b are cancelled", func() bool { return s.Stats().Cancelled == 2 })
	assert.Equal(t, s.Load().Running+s.Load().Waiting, 0)
}

// Guards against streams that stay in the queue although the batch has room, and
// against a batch larger than MaxRunning.
func TestWaitingStreamStartsWhenAnotherEnds(t *testing.T) {
	s := start(t, Options{Clock: clockwork.NewFakeClock(), OutputTokenTime: time.Hour, MaxRunning: 1})
	for _, id := range []string{"a", "b", "c"} {
		_, err := s.startStream(id, "", Request{Model: DefaultModel, Messages: conversation(id)})
		assert.NilError(t, err)
	}
	assert.Equal(t, s.Load().Running, 1)
	assert.Equal(t, s.Load().Waiting, 2)
	assert.Equal(t, send(t, s, "DELETE", "/v1/streams/a", nil).status, 204)
	eventually(t, "b runs", func() bool { return s.Load().Waiting == 1 })
	assert.Equal(t, s.Load().Running, 1)
}

// Guards against a time model without batching: two streams that run at the same
// time must generate their tokens more slowly than one alone.
func TestBatchSlowsStreams(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := start(t, Options{Clock: clock, OutputTokenTime: time.Second, Slowdown: 0.5})
	_, err := s.startStream("a", "", Request{Model: DefaultModel, Messages: conversation("a")})
	assert.NilError(t, err)
	blockUntil(t, clock, 1)
	_, err = s.startStream("b", "", Request{Model: DefaultModel, Messages: conversation("b")})
	assert.NilError(t, err)
	blockUntil(t, clock, 2)
	done := func(id string) int {
		st := s.attach(id)
		defer s.detach(st)
		st.mu.Lock()
		defer st.mu.Unlock()
		return st.generated
	}
	clock.Advance(time.Second) // a ran alone when its token started
	eventually(t, "token of a", func() bool { return done("a") == 1 })
	assert.Equal(t, done("b"), 0)
	clock.Advance(time.Second / 2)
	eventually(t, "token of b", func() bool { return done("b") == 1 })
}
