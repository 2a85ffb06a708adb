package target

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"unicode/utf8"

	"mimosarelay/core/model"
)

// ErrChatRequest reports a body that is not a valid chat completion request.
var ErrChatRequest = errors.New("invalid chat completion request")

const (
	// defaultMaxTokens is sent if the caller sets no limit, so that the maximum
	// cost of a call is known before it runs.
	defaultMaxTokens = 1024
	// maxTokensLimit is the largest value of max_tokens that a call may set.
	maxTokensLimit = 1 << 20
	// bytesPerToken is a low estimate, so that the tokens reserved for a prompt
	// are not fewer than common tokenizers produce for Latin text.
	bytesPerToken = 2
	// tokensPerMessage is the usual overhead of the role and the separators of a
	// message.
	tokensPerMessage = 8
)

// ChatRequest holds the fields of a chat completion request that scheduling
// needs, and keeps the other fields for Body.
type ChatRequest struct {
	Model     model.ModelID
	Stream    bool
	MaxTokens model.Tokens
	Messages  []json.RawMessage
	fields    map[string]json.RawMessage // all fields of the request
}

// ParseChatRequest parses and validates a request body. Errors wrap
// ErrChatRequest.
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

// EstimatePromptTokens returns a high estimate of the number of tokens in the
// prompt, see bytesPerToken.
func (r *ChatRequest) EstimatePromptTokens() model.Tokens {
	var n int
	for _, m := range r.Messages {
		n += len(m)/bytesPerToken + tokensPerMessage
	}
	return model.Tokens(n)
}

// Body returns the request body for an engine: the caller's fields with
// max_tokens set explicitly and, for a stream, with usage reports enabled.
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

// Usage holds the token counts that an engine reports for one request.
type Usage struct {
	PromptTokens     model.Tokens `json:"prompt_tokens"`
	CompletionTokens model.Tokens `json:"completion_tokens"`
	Details          struct {
		CachedTokens model.Tokens `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// ParseUsage reads the usage from a complete response body or from the payload
// of one stream event. It returns false if there is none.
func ParseUsage(payload []byte) (Usage, bool) {
	var message struct {
		Usage *Usage `json:"usage"`
	}
	if err := json.Unmarshal(payload, &message); err != nil || message.Usage == nil {
		return Usage{}, false
	}
	return *message.Usage, true
}
