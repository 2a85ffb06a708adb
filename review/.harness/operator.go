package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

const host = "svc.example"

// tenant is a tenant of a manifest.
type tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api_keys"`
	Priority int      `json:"priority"`
	Rate     float64  `json:"rate_per_s"`
	Burst    float64  `json:"burst"`
}

// manifest returns a manifest with three routes: /stream/ (may be resumed), /safe/ and
// /once/ (unsafe).
func manifest(version int, tenants []tenant) map[string]any {
	route := func(name, prefix, kind, service string, timeout, attempts int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": kind, "timeout_ms": timeout, "target_latency_ms": 250, "priority": 1,
			"service": service, "max_attempts": attempts, "retain": false, "retention_s": 60.0, "public": false, "sticky": false,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-stream", "/stream/", "streaming", "pool", 4000, 1, map[string]any{"resumable": true, "sticky": true, "gap_aim_ms": 300}),
			route("r-safe", "/safe/", "safe", "app", 1000, 2, nil),
			route("r-once", "/once/", "unsafe", "app", 1500, 1, nil),
		},
		"services": []any{
			map[string]any{"name": "pool", "health_path": "/health", "max_connections": 230, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 32, "kv_capacity": 783000, "kv_token_bytes": 163840, "link_mbps": 4400000.0, "tokens_per_event": tokensPerEvent, "most": 12, "models": []any{map[string]string{"name": "m"}}}},
			map[string]any{"name": "app", "health_path": "/health", "max_connections": 230, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	}
}

// answer is what a client got for one request; status 0 means none.
type answer struct {
	status int
	header http.Header
	body   string
}

// request is one client attempt.
type request struct {
	id, method, path, key, body string
	deadline                    time.Duration
	headers                     [][2]string
}

func (r request) bytes() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", r.method, r.path, host, r.id, r.deadline.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&b, "Authorization: Token %s\r\n", r.key)
	}
	for _, h := range r.headers {
		fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
	}
	if r.body != "" || r.method != "GET" {
		fmt.Fprintf(&b, "Content-Length: %s\r\n", strconv.Itoa(len(r.body)))
	}
	b.WriteString("\r\n" + r.body)
	return b.Bytes()
}

// send sends a request on a new channel and reads the whole answer.
func (d *deployment) send(m *machine, r request) answer {
	if r.deadline == 0 {
		r.deadline = time.Second
	}
	d.record("sent     %s to %s: %s %s", r.id, m.name, r.method, r.path)
	a := exchange(m.front(), r)
	d.record("answered %s: status %d", r.id, a.status)
	return a
}

func exchange(address string, r request) answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(r.deadline + time.Second))
	if _, err := c.Write(r.bytes()); err != nil {
		return answer{}
	}
	return readAnswer(bufio.NewReader(c), r.method)
}

func readAnswer(b *bufio.Reader, method string) answer {
	res, err := http.ReadResponse(b, &http.Request{Method: method})
	if err != nil {
		return answer{}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return answer{}
	}
	return answer{res.StatusCode, res.Header, string(body)}
}

// allRuns returns what the servers have run.
func allRuns(servers ...*server) (list []run) {
	for _, s := range servers {
		s.mu.Lock()
		list = append(list, s.runs...)
		s.mu.Unlock()
	}
	return list
}
