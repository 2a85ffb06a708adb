//go:build linux

package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/model"
	"mimosarelay/standin/engine"
)

// request is one call as a caller sends it.
type request struct {
	key         string
	program     string
	call        int
	model       string // empty means the default model
	messages    []engine.Message
	maxTokens   int
	route       string // of a service call: "pay/x"; empty means chat
	body        string // of a service call
	idempotency string
}

// answer is what a caller got.
type answer struct {
	host    string
	status  int // 0 without a response header
	ran     model.Ran
	problem string
	text    string // of a stream: the joined deltas
	whole   bool   // complete response of status 200
	err     error  // why it is not whole
	header  http.Header
	at      time.Time
}

func (a answer) String() string {
	return fmt.Sprintf("%s: status %d, ran %q, whole %v, problem %q, error %v", a.host, a.status, a.ran, a.whole, a.problem, a.err)
}

// strict makes a connection for each request, so that net/http repeats none.
var strict = &http.Client{Transport: &http.Transport{
	DisableKeepAlives: true,
	DialContext:       (&net.Dialer{Timeout: time.Second}).DialContext,
}}

func (r request) make(ctx context.Context, address string) (*http.Request, error) {
	path, body := "/v1/chat/completions", r.body
	if r.route != "" {
		path = "/v1/routes/" + r.route
	} else {
		m := r.model
		if m == "" {
			m = engine.DefaultModel
		}
		data, err := json.Marshal(engine.Request{Model: m, Messages: r.messages, MaxTokens: r.maxTokens, Stream: true})
		if err != nil {
			return nil, err
		}
		body = string(data)
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	q.Header.Set("Authorization", "Bearer "+r.key)
	if r.program != "" {
		q.Header.Set("Mimosarelay-Program", r.program)
		q.Header.Set("Mimosarelay-Call", strconv.Itoa(r.call))
	}
	if r.idempotency != "" {
		q.Header.Set("Idempotency-Key", r.idempotency)
	}
	return q, nil
}

// send sends a call to one host. started is called at the first piece of text
// of a stream; it may be nil.
func (r request) send(ctx context.Context, c *http.Client, address string, started func()) (a answer) {
	a.host = address
	defer func() { a.at = time.Now() }()
	q, err := r.make(ctx, address)
	if err != nil {
		a.err = err
		return a
	}
	resp, err := c.Do(q)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.header = resp.StatusCode, resp.Header
	switch {
	case resp.StatusCode != http.StatusOK:
		a.readProblem(resp.Body)
	case r.route != "":
		var data []byte
		data, a.err = io.ReadAll(resp.Body)
		a.text, a.whole = string(data), a.err == nil
	default:
		a.readStream(resp.Body, started)
	}
	return a
}

func (a *answer) readProblem(body io.Reader) {
	var p struct {
		Type   string `json:"type"`
		Detail string `json:"detail"`
		Ran    model.Ran
	}
	a.err = fmt.Errorf("status %d", a.status)
	data, err := io.ReadAll(io.LimitReader(body, 1<<16))
	if err == nil {
		err = json.Unmarshal(data, &p)
	}
	if err != nil {
		a.err = fmt.Errorf("status %d without a problem: %w", a.status, err)
	}
	a.ran, a.problem = p.Ran, p.Type+": "+p.Detail
}

func (a *answer) readStream(body io.Reader, started func()) {
	a.text, a.err = readEvents(body, started)
	a.whole = a.err == nil
}

// readEvents joins the text of a stream. It is an error if [DONE] is missing.
func readEvents(body io.Reader, started func()) (string, error) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		var chunk struct {
			engine.Chunk
			Error json.RawMessage `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return text.String(), fmt.Errorf("malformed event %q: %w", data, err)
		}
		if chunk.Error != nil {
			return text.String(), fmt.Errorf("error event: %s", chunk.Error)
		}
		for _, c := range chunk.Choices {
			text.WriteString(c.Delta.Content)
		}
		if started != nil && text.Len() > 0 {
			started()
			started = nil
		}
	}
	return text.String(), errors.Join(errors.New("the stream ended without [DONE]"), lines.Err())
}

// callers shares the address list of GET /v1/hosts, which it keeps for MaxAge
// as callers do.
type callers struct {
	client *http.Client
	known  []string // addresses to ask, in this order
	// attempt bounds one attempt of persist; 0 means no bound. A frozen host
	// keeps its connections open without an answer.
	attempt time.Duration

	mu    sync.Mutex
	list  []string
	until time.Time
	next  int
}

func (s *site) callers(c *http.Client) *callers {
	l := &callers{client: c}
	for _, h := range s.hosts {
		l.known = append(l.known, h.caller)
	}
	return l
}

// address returns the address to use: the hosts of the kept list in turn.
func (c *callers) address() (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.list) == 0 || time.Now().After(c.until) {
		if err := c.fetch(); err != nil {
			return "", err
		}
	}
	c.next++
	return c.list[c.next%len(c.list)], nil
}

// drop removes an address that does not answer from the kept list.
func (c *callers) drop(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = slices.DeleteFunc(slices.Clone(c.list), func(a string) bool { return a == address })
}

// fetch asks the hosts in turn for the list.
func (c *callers) fetch() error {
	var errs []error
	for _, a := range c.known {
		begin := time.Now()
		data, err := get("http://"+a+"/v1/hosts", "", time.Second)
		var l struct {
			Hosts  []string
			MaxAge int
		}
		if err == nil {
			err = json.Unmarshal(data, &l)
		}
		if err == nil && len(l.Hosts) > 0 {
			c.list, c.until = l.Hosts, begin.Add(time.Duration(l.MaxAge)*time.Second)
			return nil
		}
		errs = append(errs, err)
	}
	return errors.Join(append(errs, errors.New("no host lists addresses"))...)
}

// retryPause is the pause of a caller between two attempts.
const retryPause = 100 * time.Millisecond

// persist sends a call with the same number, at one address after the other,
// until it has a whole answer or a refusal that a retry does not change. It
// returns all answers.
func (c *callers) persist(limit time.Duration, r request, started func()) []answer {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var all []answer
	for ctx.Err() == nil {
		address, err := c.address()
		if err != nil {
			all = append(all, answer{err: err})
			time.Sleep(retryPause)
			continue
		}
		a := c.try(ctx, r, address, started)
		all = append(all, a)
		if a.whole || a.status != 0 && a.status != http.StatusOK && a.status < http.StatusInternalServerError && a.status != http.StatusTooManyRequests {
			break
		}
		if a.status == 0 {
			c.drop(address)
		}
		time.Sleep(retryPause)
	}
	return all
}

func (c *callers) try(ctx context.Context, r request, address string, started func()) answer {
	if c.attempt > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.attempt)
		defer cancel()
	}
	return r.send(ctx, c.client, address, started)
}

func last(all []answer) answer {
	if len(all) == 0 {
		return answer{err: errors.New("no attempt")}
	}
	return all[len(all)-1]
}

// conversation is a program whose calls depend on each other: each prompt
// holds all earlier messages and answers.
type conversation struct {
	key      string
	program  string
	messages []engine.Message
	calls    int
}

// next returns the next call, with a prompt text of its own.
func (c *conversation) next(text string) request {
	c.calls++
	c.messages = append(c.messages, engine.Message{Role: "user", Content: engine.Content(text)})
	return request{key: c.key, program: c.program, call: c.calls, messages: slices.Clone(c.messages), maxTokens: 4096}
}

// accept adds an answer, which must be whole and have the expected text.
func (c *conversation) accept(a answer) error {
	if !a.whole {
		return fmt.Errorf("call %d of %s: %v", c.calls, c.program, a)
	}
	if want := engine.Answer(c.messages, 4096); a.text != want {
		return fmt.Errorf("call %d of %s at %s: got text %q, want %q", c.calls, c.program, a.host, a.text, want)
	}
	c.messages = append(c.messages, engine.Message{Role: "assistant", Content: engine.Content(a.text)})
	return nil
}

// checkHistory compares the recorded history with the conversation.
func (c *conversation) checkHistory(t *testing.T, address string) {
	t.Helper()
	var h struct {
		Turns []struct {
			Call        int
			After, Kept int
			Messages    []engine.Message
			Answer      string
			Status      int
		}
	}
	eventually(t, 10*time.Second, "history of "+c.program, func() bool {
		data, err := get("http://"+address+"/v1/programs/"+c.program+"/history", c.key, 5*time.Second)
		return err == nil && json.Unmarshal(data, &h) == nil
	})
	assert.Equal(t, len(h.Turns), c.calls, "turns in the history of %s", c.program)
	full := make([][]engine.Message, len(h.Turns)) // messages of each call
	for i, turn := range h.Turns {
		assert.Equal(t, turn.Call, i+1)
		text, err := readEvents(strings.NewReader(turn.Answer), nil)
		assert.NilError(t, err, "answer of call %d", turn.Call)
		assert.Equal(t, text, string(c.messages[2*i+1].Content), "answer of call %d", turn.Call)
		if turn.Kept > 0 {
			assert.Assert(t, turn.After >= 1 && turn.After <= i, "call %d continues call %d", turn.Call, turn.After)
			full[i] = slices.Clone(full[turn.After-1][:turn.Kept])
		}
		full[i] = append(full[i], turn.Messages...)
		assert.DeepEqual(t, full[i], c.messages[:2*i+1])
	}
}

func timeout(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}
