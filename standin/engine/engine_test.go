package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func start(t *testing.T, o Options) *Server {
	t.Helper()
	o.Listen = "127.0.0.1:0"
	s, err := Start(o)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	return s
}

func ask(text string) []Message {
	return []Message{{Role: "system", Content: "You answer."}, {Role: "user", Content: Content(text)}}
}

func send(t *testing.T, s *Server, method, path string, body any, headers ...string) *http.Response {
	t.Helper()
	data, err := json.Marshal(body)
	assert.NilError(t, err)
	r, err := http.NewRequest(method, "http://"+s.Address()+path, bytes.NewReader(data))
	assert.NilError(t, err)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	answer, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = answer.Body.Close() })
	return answer
}

// events returns the data of the server-sent events until the body ends.
func events(t *testing.T, answer *http.Response) ([]string, error) {
	t.Helper()
	var all []string
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			all = append(all, data)
		}
	}
	return all, lines.Err()
}

// text joins the content of the chunks.
func text(t *testing.T, events []string) (string, *Usage) {
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

// Guards against a stream that loses or reorders chunks, or that ends without
// usage and [DONE].
func TestStreamIsWhole(t *testing.T) {
	s := start(t, Options{})
	m := ask("What is the flag of Hobart?")
	got, err := events(t, send(t, s, "POST", "/v1/chat/completions", Request{Model: DefaultModel, Messages: m, Stream: true}))
	assert.NilError(t, err)
	assert.Equal(t, got[len(got)-1], "[DONE]")
	answer, usage := text(t, got)
	assert.Equal(t, answer, Answer(m, 0))
	assert.Equal(t, usage.PromptTokens, CountTokens(m))
	assert.Equal(t, usage.CompletionTokens, len(answer)/tokenBytes)
}
