package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// answer is the answer to one client attempt.
type answer struct {
	status     int
	body       []byte
	header     http.Header
	whole      bool
	retryAfter time.Duration
	err        error
}

// events returns the number of whole events of a stream.
func (a answer) events() int { return bytes.Count(a.body, []byte("\n\n")) }

// attemptCount numbers the client attempts.
var attemptCount atomic.Int64

func newAttempt() string { return fmt.Sprintf("%012x", attemptCount.Add(1)) }

// send makes one client attempt on a new channel.
func send(address, method, path, attempt, key string, deadline time.Duration, body []byte, fields ...string) answer {
	c, err := dial(address)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline + time.Second))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nAuthorization: Token %s\r\nDeadline-Ms: %d\r\n", method, path, host, attempt, key, deadline.Milliseconds())
	for _, f := range fields {
		b.WriteString(f + "\r\n")
	}
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	if _, err := c.Write(append([]byte(b.String()), body...)); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: resp.StatusCode, header: resp.Header}
	a.body, a.err = io.ReadAll(resp.Body)
	a.whole = a.err == nil
	var seconds float64
	if _, err := fmt.Sscan(resp.Header.Get("Retry-After"), &seconds); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return a
}
