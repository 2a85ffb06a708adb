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

// request describes a chat call or a service call.
type request struct {
	key         string
	program     string
	call        int
	model       string // empty means the default model
	messages    []engine.Message
	maxTokens   int
	route       string // route and path of a service call, such as "pay/x"; empty means a chat call
	body        string // body of a service call
	idempotency string
}

// answer is the response that a caller received, or the error instead of one.
type answer struct {
	host     string
	status   int // 0 if no response header arrived
	ran      model.Ran
	problem  string
	text     string // body, or the concatenated deltas of a stream
	complete bool   // the whole response arrived, with status 200
	err      error  // why the answer is not complete
	header   http.Header
	endedAt  time.Time
}

func (a answer) String() string {
	return fmt.Sprintf("%s: status %d, ran %q, complete %v, problem %q, error %v", a.host, a.status, a.ran, a.complete, a.problem, a.err)
}

// singleUseClient opens a connection for each request. On a reused connection
// net/http may send a request again by itself.
var singleUseClient = &http.Client{Transport: &http.Transport{
	DisableKeepAlives: true,
	DialContext:       (&net.Dialer{Timeout: time.Second}).DialContext,
}}

func (r request) newHTTPRequest(ctx context.Context, address string) (*http.Request, error) {
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

// send sends a call to one host and reads the answer. It calls started, unless
// nil, when the first text of a stream arrives.
func (r request) send(ctx context.Context, c *http.Client, address string, started func()) (a answer) {
	a.host = address
	defer func() { a.endedAt = time.Now() }()
	q, err := r.newHTTPRequest(ctx, address)
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
		a.text, a.complete = string(data), a.err == nil
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
		a.err = fmt.Errorf("status %d without a problem document: %w", a.status, err)
	}
	a.ran, a.problem = p.Ran, p.Type+": "+p.Detail
}

func (a *answer) readStream(body io.Reader, started func()) {
	a.text, a.err = readEvents(body, started)
	a.complete = a.err == nil
}

// readEvents returns the concatenated text of an event stream. A stream that ends
// without [DONE] is an error.
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

// retryingCaller sends calls to the hosts listed by GET /v1/hosts, one after the
// other, and retries them. It caches the list for MaxAge, as callers do.
type retryingCaller struct {
	client        *http.Client
	hostAddresses []string // hosts to ask for the list, in this order
	// attemptTimeout bounds one attempt of sendWithRetries; 0 means no bound. A
	// frozen host keeps its connections open and does not answer.
	attemptTimeout time.Duration

	mu      sync.Mutex
	cached  []string
	expires time.Time
	next    int
}

func (s *site) newRetryingCaller(c *http.Client) *retryingCaller {
	r := &retryingCaller{client: c}
	for _, h := range s.hosts {
		r.hostAddresses = append(r.hostAddresses, h.callerAddress)
	}
	return r
}

// nextAddress returns the addresses of the cached list in turn.
func (c *retryingCaller) nextAddress() (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.cached) == 0 || time.Now().After(c.expires) {
		if err := c.fetch(); err != nil {
			return "", err
		}
	}
	c.next++
	return c.cached[c.next%len(c.cached)], nil
}

// drop removes an address that does not answer from the cached list.
func (c *retryingCaller) drop(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cached = slices.DeleteFunc(slices.Clone(c.cached), func(a string) bool { return a == address })
}

// fetch gets the list from the first host that answers. mu is held.
func (c *retryingCaller) fetch() error {
	var errs []error
	for _, a := range c.hostAddresses {
		begin := time.Now()
		data, err := httpGet("http://"+a+"/v1/hosts", "", time.Second)
		var l struct {
			Hosts  []string
			MaxAge int
		}
		if err == nil {
			err = json.Unmarshal(data, &l)
		}
		if err == nil && len(l.Hosts) > 0 {
			c.cached, c.expires = l.Hosts, begin.Add(time.Duration(l.MaxAge)*time.Second)
			return nil
		}
		errs = append(errs, err)
	}
	return errors.Join(append(errs, errors.New("no host returned a list of addresses"))...)
}

// retryPause is the pause between two attempts of a call.
const retryPause = 100 * time.Millisecond

// sendWithRetries sends a call to one address after the other until it gets a
// complete answer, or a refusal that a retry cannot change. All attempts have the
// same call number. It returns the answers to all attempts.
func (c *retryingCaller) sendWithRetries(limit time.Duration, r request, started func()) []answer {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var all []answer
	for ctx.Err() == nil {
		address, err := c.nextAddress()
		if err != nil {
			all = append(all, answer{err: err})
			time.Sleep(retryPause)
			continue
		}
		a := c.sendAttempt(ctx, r, address, started)
		all = append(all, a)
		if a.complete || a.status != 0 && a.status != http.StatusOK && a.status < http.StatusInternalServerError && a.status != http.StatusTooManyRequests {
			break
		}
		if a.status == 0 {
			c.drop(address)
		}
		time.Sleep(retryPause)
	}
	return all
}

func (c *retryingCaller) sendAttempt(ctx context.Context, r request, address string, started func()) answer {
	if c.attemptTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.attemptTimeout)
		defer cancel()
	}
	return r.send(ctx, c.client, address, started)
}

func lastAnswer(all []answer) answer {
	if len(all) == 0 {
		return answer{err: errors.New("no attempt was made")}
	}
	return all[len(all)-1]
}

// conversation is a program in which each prompt holds all earlier prompts and
// answers.
type conversation struct {
	key      string
	program  string
	messages []engine.Message
	lastCall int
}

// nextCall returns the next call, with text as its new message.
func (c *conversation) nextCall(text string) request {
	c.lastCall++
	c.messages = append(c.messages, engine.Message{Role: "user", Content: engine.Content(text)})
	return request{key: c.key, program: c.program, call: c.lastCall, messages: slices.Clone(c.messages), maxTokens: 4096}
}

// checkAndAppend adds an answer to the messages. It returns an error if the answer
// is not complete or differs from the text that the engine stand-in generates.
func (c *conversation) checkAndAppend(a answer) error {
	if !a.complete {
		return fmt.Errorf("call %d of %s: %v", c.lastCall, c.program, a)
	}
	if want := engine.Answer(c.messages, 4096); a.text != want {
		return fmt.Errorf("call %d of %s at %s: got text %q, want %q", c.lastCall, c.program, a.host, a.text, want)
	}
	c.messages = append(c.messages, engine.Message{Role: "assistant", Content: engine.Content(a.text)})
	return nil
}

// checkHistory verifies that the history that a host returns for the program
// holds exactly the calls, prompts and answers of the conversation.
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
		data, err := httpGet("http://"+address+"/v1/programs/"+c.program+"/history", c.key, 5*time.Second)
		return err == nil && json.Unmarshal(data, &h) == nil
	})
	assert.Equal(t, len(h.Turns), c.lastCall, "turns in the history of %s", c.program)
	full := make([][]engine.Message, len(h.Turns)) // prompt of each call
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

func contextWithTimeout(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}
