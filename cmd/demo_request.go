package cmd

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"mimosarelay/standin/engine"
)

// sendDemoRequest sends a streamed chat completion and returns the text of the
// answer.
func sendDemoRequest(ctx context.Context, address, key string) (string, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":8,"messages":[{"role":"user","content":"hello"}]}`, engine.DefaultModel)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Mimosarelay-Program", "demo")
	req.Header.Set("Mimosarelay-Call", "1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		detail, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
		return "", fmt.Errorf("demo request failed with status %s: %s", resp.Status, detail)
	}
	return readStreamedText(resp.Body)
}

// readStreamedText joins the content of a stream of server-sent events.
func readStreamedText(body io.Reader) (string, error) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		var chunk engine.Chunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return "", fmt.Errorf("failed to decode event %q: %w", data, err)
		}
		for _, c := range chunk.Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	return "", errors.Join(errors.New("stream ended without the event [DONE]"), lines.Err())
}
