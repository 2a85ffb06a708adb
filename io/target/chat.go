package target

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"unicode/utf8"

	"mimosarelay/core/model"
)

// ErrChatRequest reports a body that is not a usable chat completion request.
var ErrChatRequest = errors.New("invalid chat completion request")

const (
	// defaultMaxTokens is sent where the caller names no limit, so that the
	// most a call can cost is known before it runs.
	defaultMaxTokens = 1024
	// maxMaxTokens is the largest completion a call may ask for.
	maxTokensLimit = 1 << 20
	// bytesPerToken is a low estimate, so that the reservation for a prompt is
	// not below its cost for common tokenizers of Latin text.
	bytesPerToken = 2
	// tokensPerMessage is the usual overhead of role and separators.
	tokensPerMessage = 8
)

// ChatRequest is the part of a chat completion request that scheduling needs.
type ChatRequest struct {
	Model     model.ModelID
	Stream    bool
	MaxTokens model.Tokens
	Messages  []json.RawMessage
	fields    map[string]json.RawMessage
}

// ParseChatRequest checks a request body. Errors wrap ErrChatRequest.
func ParseChatRequest(body []byte) (*ChatRequest, error) {
	if !utf8.Valid(body) {
		return nil, fmt.Errorf("%w: body is not UTF-8", ErrChatRequest)
	}
	r := &ChatRequest{}
	if err := json.Unmarshal(body, &r.fields); err != nil {
		return nil, fmt.Errorf("%w: body is not a JSON object: %w", ErrChatRequest, err)
	}
	if err := r.readFields(); err != nil {
		return nil, err
	}
	return r, r.validate()
}

func (r *ChatRequest) readFields() error {
	for _, f := range []struct {
		name string
		to   any
	}{
		{"model", &r.Model},
		{"stream", &r.Stream},
		{"messages", &r.Messages},
		{"max_tokens", &r.MaxTokens},
		{"max_completion_tokens", &r.MaxTokens},
	} {
		raw, ok := r.fields[f.name]
		if !ok || bytes.Equal(raw, []byte("null")) {
			continue
		}
		if err := json.Unmarshal(raw, f.to); err != nil {
			return fmt.Errorf("%w: field %q: %w", ErrChatRequest, f.name, err)
		}
	}
	return nil
}

func (r *ChatRequest) validate() error {
	if r.Model == "" {
		return fmt.Errorf("%w: field \"model\" is missing", ErrChatRequest)
	}
	if len(r.Messages) == 0 {
		return fmt.Errorf("%w: field \"messages\" is missing or empty", ErrChatRequest)
	}
	for i, m := range r.Messages {
		var message struct {
			Role string `json:"role"`
		}
		if err := json.Unmarshal(m, &message); err != nil || message.Role == "" {
			return fmt.Errorf("%w: message %d has no role", ErrChatRequest, i)
		}
	}
	if raw, ok := r.fields["n"]; ok && !bytes.Equal(raw, []byte("1")) && !bytes.Equal(raw, []byte("null")) {
		return fmt.Errorf("%w: field \"n\" must be 1", ErrChatRequest)
	}
	if r.MaxTokens == 0 {
		r.MaxTokens = defaultMaxTokens
	}
	if r.MaxTokens < 1 || r.MaxTokens > maxTokensLimit {
		return fmt.Errorf("%w: field \"max_tokens\" must be between 1 and %d", ErrChatRequest, maxTokensLimit)
	}
	return nil
}

// PromptBound is an upper estimate of the prompt's tokens.
func (r *ChatRequest) EstimatePromptTokens() model.Tokens {
	var n int
	for _, m := range r.Messages {
		n += len(m)/bytesPerToken + tokensPerMessage
	}
	return model.Tokens(n)
}

// Body returns the request to send to an engine: the caller's fields with the
// token limit made explicit and usage reports switched on.
func (r *ChatRequest) Body() ([]byte, error) {
	limit, err := json.Marshal(r.MaxTokens)
	if err != nil {
		return nil, err
	}
	delete(r.fields, "max_completion_tokens")
	r.fields["max_tokens"] = limit
	if r.Stream {
		r.fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	return json.Marshal(r.fields)
}

// Usage is the token count that an engine reports.
type Usage struct {
	PromptTokens     model.Tokens `json:"prompt_tokens"`
	CompletionTokens model.Tokens `json:"completion_tokens"`
	Details          struct {
		CachedTokens model.Tokens `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// ParseUsage reads the usage of a whole response or of one stream payload.
func ParseUsage(payload []byte) (Usage, bool) {
	var message struct {
		Usage *Usage `json:"usage"`
	}
	if err := json.Unmarshal(payload, &message); err != nil || message.Usage == nil {
		return Usage{}, false
	}
	return *message.Usage, true
}
