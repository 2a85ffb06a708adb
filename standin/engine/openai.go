package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// Request is the part of an OpenAI chat completion request that is used.
type Request struct {
	Model               string    `json:"model"`
	Messages            []Message `json:"messages"`
	MaxTokens           int       `json:"max_tokens,omitempty"`
	MaxCompletionTokens int       `json:"max_completion_tokens,omitempty"`
	Stream              bool      `json:"stream,omitempty"`
}

// Usage is the token count of an answer.
type Usage struct {
	PromptTokens        int          `json:"prompt_tokens"`
	CompletionTokens    int          `json:"completion_tokens"`
	TotalTokens         int          `json:"total_tokens"`
	PromptTokensDetails TokenDetails `json:"prompt_tokens_details"`
}

// TokenDetails tells how much of the prompt was found in the cache.
type TokenDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Completion is the answer to a request without streaming.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the answer text of a Completion.
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

// ChunkChoice is the piece of an answer in a Chunk.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is what a Chunk adds to the answer.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Finish reasons.
const (
	finishReasonStop   = "stop"
	finishReasonLength = "length"
)

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
		return Request{}, errors.New("the token limit must not be negative")
	}
	if r.MaxCompletionTokens > 0 {
		r.MaxTokens = r.MaxCompletionTokens
	}
	return r, nil
}

// usage returns the counts. The caller holds st.mu or the stream has ended.
func (st *stream) usage() *Usage {
	return &Usage{
		PromptTokens:        len(st.prompt),
		CompletionTokens:    st.generated,
		TotalTokens:         len(st.prompt) + st.generated,
		PromptTokensDetails: TokenDetails{CachedTokens: st.cached},
	}
}

// event returns chunk n, which must exist, as a server-sent event.
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
		panic(fmt.Sprintf("engine: encode chunk: %v", err)) // the type has no values that cannot be encoded
	}
	return []byte("data: " + string(data) + "\n\n")
}

// completion returns the whole answer of a finished stream.
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
