package engine

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// tokenBytes is the size of a token: message contents are split into pieces of
// four bytes, of which the last may be shorter.
const tokenBytes = 4

// Bounds of the length of an answer whose length the last message does not
// request.
const (
	minAnswerTokens = 16
	maxAnswerTokens = 64
)

// maxRequestedTokens bounds the answer length that a message can request.
const maxRequestedTokens = 1 << 17

// lengthDirective matches the part of a message that requests an answer length in
// tokens.
var lengthDirective = regexp.MustCompile(`\[tokens:(\d+)\]`)

// Message is one message of a conversation.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is the text of a message. In JSON it is a string, null, or a list of
// parts; the parts of type text are joined and the others are ignored.
type Content string

// UnmarshalJSON implements json.Unmarshaler.
func (c *Content) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		*c = Content(text)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return fmt.Errorf("message content is neither a string nor a list of parts: %w", err)
	}
	var joined strings.Builder
	for _, p := range parts {
		if p.Type == "text" {
			joined.WriteString(p.Text)
		}
	}
	*c = Content(joined.String())
	return nil
}

// CountTokens returns the length of the messages in tokens: for each message one
// token for the role and one for each piece of four bytes of the content.
func CountTokens(messages []Message) int {
	n := 0
	for _, m := range messages {
		n += 1 + (len(m.Content)+tokenBytes-1)/tokenBytes
	}
	return n
}

// tokenHashes returns one hash for each token that CountTokens counts.
func tokenHashes(messages []Message) []uint64 {
	all := make([]uint64, 0, CountTokens(messages))
	for _, m := range messages {
		all = append(all, xxhash.Sum64String("role:"+m.Role))
		text := string(m.Content)
		for len(text) > 0 {
			n := min(tokenBytes, len(text))
			all = append(all, xxhash.Sum64String(text[:n]))
			text = text[n:]
		}
	}
	return all
}

// Answer returns the answer of every engine to the messages, truncated to
// maxTokens unless that is 0. It depends on all roles and contents. Its length is
// 16 to 64 tokens, or N tokens if the last message contains "[tokens:N]". Each
// token of an answer is three letters and a space.
func Answer(messages []Message, maxTokens int) string {
	return strings.Join(answerTokens(messages, maxTokens), "")
}

// answerTokens returns the tokens of Answer.
func answerTokens(messages []Message, maxTokens int) []string {
	seed := hashMessages(messages)
	n := answerLength(messages, seed)
	if maxTokens > 0 {
		n = min(n, maxTokens)
	}
	answer := make([]string, n)
	for i := range answer {
		answer[i] = answerToken(seed, i)
	}
	return answer
}

// answerLength returns the length in tokens of the answer before truncation.
func answerLength(messages []Message, seed uint64) int {
	if len(messages) > 0 {
		last := string(messages[len(messages)-1].Content)
		if m := lengthDirective.FindStringSubmatch(last); m != nil {
			if n, err := strconv.Atoi(m[1]); err == nil {
				return min(max(n, 1), maxRequestedTokens)
			}
		}
	}
	return minAnswerTokens + int(seed%(maxAnswerTokens-minAnswerTokens+1))
}

// hashMessages returns a hash of the messages. Roles and contents are hashed with
// their lengths, so that moving text between fields changes the hash.
func hashMessages(messages []Message) uint64 {
	d := xxhash.New()
	for _, m := range messages {
		_, _ = fmt.Fprintf(d, "%d:%s%d:%s", len(m.Role), m.Role, len(m.Content), m.Content)
	}
	return d.Sum64()
}

// answerToken returns token i of the answer with that seed.
func answerToken(seed uint64, i int) string {
	h := xxhash.Sum64String(strconv.FormatUint(seed, 16) + "/" + strconv.Itoa(i))
	letters := [tokenBytes]byte{}
	for j := range letters {
		letters[j] = 'a' + byte(h%26)
		h /= 26
	}
	letters[tokenBytes-1] = ' '
	return string(letters[:])
}
