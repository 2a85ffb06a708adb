package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// The figures of the case evicted-streams.
const (
	streamClients  = 24                     // ordinary callers, each with one kept channel
	streamSpacing  = 150 * time.Millisecond // between the starts of their streams
	crowdStart     = 1600 * time.Millisecond
	crowdClients   = 24      // callers that send a body of legal size at once
	crowdBody      = 4 << 20 // max_body_bytes of the manifest
	maxClosed      = 3       // of the rule
	ordinaryBytes  = 17_000
	streamDeadline = 4000 // ms, timeout_ms of the route
)

// outcome is how the request of an ordinary caller ended.
type outcome struct {
	id     string
	bytes  int // of the answer, with its head
	events int
	whole  bool
	err    error
}

// evictedStreams sends ordinary streams, and some large bodies of legal size beside
// them. A stream that waits for its server must not lose its channel.
func evictedStreams(r *record, trouble bool) (bool, error) {
	d, err := newDeployment(1)
	if err != nil {
		return false, err
	}
	defer d.stopAll()
	servers := map[string]*server{}
	for i, zone := range zones {
		engine, err := newServer(r, fmt.Sprintf("i-engine%d", i))
		if err != nil {
			return false, err
		}
		engine.firstEvent, engine.eventGap, engine.events = 1900*time.Millisecond, 250*time.Millisecond, 8
		app, err := newServer(r, fmt.Sprintf("i-app%d", i))
		if err != nil {
			return false, err
		}
		app.work = 20 * time.Millisecond
		d.putServer(engine.id, "model-pool", zone, engine.address, 32)
		d.putServer(app.id, "notice-app", zone, app.address, 6)
		servers[engine.id], servers[app.id] = engine, app
	}
	d.putManifest(1, []string{key},
		route{name: "draft", prefix: "/draft/", kind: "streaming", service: "model-pool", timeoutMS: streamDeadline, maxAttempts: 1},
		route{name: "ping", prefix: "/ping/", kind: "safe", service: "notice-app", timeoutMS: 5000, maxAttempts: 2},
		route{name: "send", prefix: "/send/", kind: "unsafe", service: "notice-app", timeoutMS: 5000, maxAttempts: 1})
	if err := d.startAll(); err != nil {
		return false, err
	}
	address := d.entries[0].callers
	outcomes := make([]outcome, streamClients)
	var callers sync.WaitGroup
	for i := range outcomes {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * streamSpacing)
			outcomes[i] = keptStream(r, address, fmt.Sprintf("stream-%02d", i))
		})
	}
	var crowd sync.WaitGroup
	if trouble {
		time.Sleep(crowdStart)
		r.add("%d callers send a body of %d bytes at once", crowdClients, crowdBody)
		for i := range crowdClients {
			crowd.Go(func() { largeBody(r, address, fmt.Sprintf("large-%02d", i)) })
		}
	}
	callers.Wait()
	crowd.Wait()
	closed := 0
	for _, o := range outcomes {
		ran := 0
		for _, s := range servers {
			ran += s.runs(o.id)
		}
		r.add("%s: ran %d, bytes of the answer %d, events %d, whole %v, error %v", o.id, ran, o.bytes, o.events, o.whole, o.err)
		if ran > 0 && o.bytes == 0 && errors.Is(o.err, io.EOF) {
			closed++
		}
	}
	if !d.entries[0].running() {
		r.conclude("the entry host has ended")
		return true, nil
	}
	partial := 0
	for _, o := range outcomes {
		if o.bytes > 0 && !o.whole {
			partial++
		}
	}
	r.conclude("LOST: %d requests from kept channels were passed on to a sound server and their channels closed without an answer, at most %d are allowed; %d more streams were broken off after some events", closed, maxClosed, partial)
	return closed > maxClosed, nil
}

// keptStream sends a short request and then a stream on the same channel.
func keptStream(r *record, address, id string) outcome {
	o := outcome{id: id}
	c, err := dial(address)
	if err != nil {
		o.err = err
		return o
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add((streamDeadline + 2000) * time.Millisecond))
	counted := &countingConn{Conn: c}
	reader := bufio.NewReader(counted)
	_, _ = fmt.Fprintf(c, "GET /ping/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s-ping\r\nAuthorization: Token %s\r\nDeadline-Ms: 5000\r\n\r\n", host, id, key)
	resp, err := http.ReadResponse(reader, nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		o.err = fmt.Errorf("the first request on the channel failed: %v", err)
		return o
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	counted.n = 0
	r.add("%s is sent on its kept channel", id)
	head := fmt.Sprintf("POST /draft/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nAuthorization: Token %s\r\nDeadline-Ms: %d\r\nModel: m\r\nToken-Usage: 13440,560\r\nPrompt-Prefix: 5c1e07a2:12600,%x:840\r\nContent-Length: %d\r\n\r\n",
		host, id, key, streamDeadline, []byte(id), ordinaryBytes)
	if _, err := c.Write(append([]byte(head), bytes.Repeat([]byte("p"), ordinaryBytes)...)); err != nil {
		o.err = err
		return o
	}
	resp, err = http.ReadResponse(reader, nil)
	o.bytes = counted.n
	if err != nil {
		o.err = err
		if errors.Is(err, io.ErrUnexpectedEOF) && o.bytes == 0 {
			o.err = io.EOF
		}
		var op *net.OpError
		if errors.As(err, &op) && !op.Timeout() && o.bytes == 0 { // reset
			o.err = io.EOF
		}
		return o
	}
	body, err := io.ReadAll(resp.Body)
	o.bytes, o.events, o.whole, o.err = counted.n, bytes.Count(body, []byte("\n\n")), err == nil && resp.StatusCode == http.StatusOK, err
	if resp.StatusCode != http.StatusOK {
		o.err = fmt.Errorf("status %d", resp.StatusCode)
	}
	return o
}

// countingConn counts the bytes that were read.
type countingConn struct {
	net.Conn
	n int
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n += n
	return n, err
}

// largeBody sends one request with a body of legal size.
func largeBody(r *record, address, id string) {
	c, err := dial(address)
	if err != nil {
		r.add("%s: no channel: %v", id, err)
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(12 * time.Second))
	_, _ = fmt.Fprintf(c, "POST /send/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nAuthorization: Token %s\r\nDeadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n", host, id, key, crowdBody)
	piece := make([]byte, 64<<10)
	for sent := 0; sent < crowdBody; sent += len(piece) {
		if _, err := c.Write(piece); err != nil {
			break
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.add("%s: %v", id, err)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	r.add("%s: status %d", id, resp.StatusCode)
}
