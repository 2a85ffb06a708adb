package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// Request holds the fields of an OpenAI chat completion request that the engine
// uses.
type Request struct {
	Model               string    `json:"model"`
	Messages            []Message `json:"messages"`
	MaxTokens           int       `json:"max_tokens,omitempty"`
	MaxCompletionTokens int       `json:"max_completion_tokens,omitempty"`
	Stream              bool      `json:"stream,omitempty"`
}

// Usage is the number of tokens of a prompt and its answer.
type Usage struct {
	PromptTokens        int          `json:"prompt_tokens"`
	CompletionTokens    int          `json:"completion_tokens"`
	TotalTokens         int          `json:"total_tokens"`
	PromptTokensDetails TokenDetails `json:"prompt_tokens_details"`
}

// TokenDetails is the number of prompt tokens that were found in the cache.
type TokenDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Completion is the response to a request without streaming.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the answer in a Completion.
type Choice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// Chunk is one event of a stream.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

// ChunkChoice is the part of the answer in a Chunk.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the text that a Chunk adds to the answer.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Finish reasons.
const (
	finishReasonStop   = "stop"
	finishReasonLength = "length"
)

// decodeRequest decodes and validates a chat completion request. The field
// max_completion_tokens takes precedence over max_tokens, which is deprecated.
func decodeRequest(body []byte) (Request, error) {
	var r Request
	if err := json.Unmarshal(body, &r); err != nil {
		return Request{}, fmt.Errorf("decode request: %w", err)
	}
	switch {
	case r.Model == "":
		return Request{}, errors.New("field model is missing")
	case len(r.Messages) == 0:
		return Request{}, errors.New("field messages is missing or empty")
	case r.MaxTokens < 0 || r.MaxCompletionTokens < 0:
		return Request{}, errors.New("fields max_tokens and max_completion_tokens must not be negative")
	}
	if r.MaxCompletionTokens > 0 {
		r.MaxTokens = r.MaxCompletionTokens
	}
	return r, nil
}

// usage returns the token counts. The caller holds st.mu or the stream has ended.
func (st *stream) usage() *Usage {
	return &Usage{
		PromptTokens:        len(st.prompt),
		CompletionTokens:    st.generated,
		TotalTokens:         len(st.prompt) + st.generated,
		PromptTokensDetails: TokenDetails{CachedTokens: st.cached},
	}
}

// encodeChunk returns chunk n, which must exist, as a server-sent event.
func (st *stream) encodeChunk(n int) []byte {
	st.mu.Lock()
	defer st.mu.Unlock()
	c := Chunk{ID: st.id, Object: "chat.completion.chunk", Created: st.created.Unix(), Model: st.model}
	switch {
	case n == 0:
		c.Choices = []ChunkChoice{{Delta: Delta{Role: "assistant"}}}
	case n <= len(st.answer):
		c.Choices = []ChunkChoice{{Delta: Delta{Content: st.answer[n-1]}}}
	case n == len(st.answer)+1:
		c.Choices = []ChunkChoice{{FinishReason: &st.finishReason}}
	default:
		c.Choices = []ChunkChoice{}
		c.Usage = st.usage()
	}
	data, err := json.Marshal(c)
	if err != nil {
		panic(fmt.Sprintf("engine: encode chunk: %v", err)) // cannot happen: every value of the type can be encoded
	}
	return []byte("data: " + string(data) + "\n\n")
}

// completion returns the complete answer of a finished stream.
func (st *stream) completion() Completion {
	st.mu.Lock()
	defer st.mu.Unlock()
	return Completion{
		ID: st.id, Object: "chat.completion", Created: st.created.Unix(), Model: st.model,
		Choices: []Choice{{
			Message:      Message{Role: "assistant", Content: Content(strings.Join(st.answer, ""))},
			FinishReason: st.finishReason,
		}},
		Usage: st.usage(),
	}
}
