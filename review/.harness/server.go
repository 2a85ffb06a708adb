package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one request that a server began to work on.
type run struct {
	at                            time.Time
	server, id, method, uri, body string
	header                        http.Header
}

// server is a server of the platform. It serves plain requests and, if the request
// carries Token-Usage, streams of events.
type server struct {
	id, service, address string
	deployment           *deployment
	delay                time.Duration // work of a plain request

	mu       sync.Mutex
	runs     []run
	sequence int
	stopped  bool
	http     *http.Server
	born     int64
}

func (d *deployment) startServer(id, service string) *server {
	l, err := net.Listen("tcp", d.freeIP()+":0")
	if err != nil {
		cannotRun("listen for a server: %v", err)
	}
	s := &server{id: id, service: service, address: l.Addr().String(), deployment: d, born: time.Now().UnixMilli()}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	s.register("ready")
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			s.mu.Lock()
			stopped := s.stopped
			s.mu.Unlock()
			if stopped {
				return
			}
			s.register("ready")
		}
	}()
	return s
}

func (s *server) register(state string) {
	s.mu.Lock()
	s.sequence++
	n := s.sequence
	s.mu.Unlock()
	s.deployment.store.put("servers/"+s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": "z1", "version": "v1", "slots": 32, "state": state,
		"cold_remaining_ms": 0, "sequence": n, "born": s.born,
	})
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, run{time.Now(), s.id, id, r.Method, r.RequestURI, string(body), r.Header})
	s.mu.Unlock()
	s.deployment.record("ran      %s at %s: %s %s, Tenant %q", id, s.id, r.Method, r.RequestURI, r.Header.Get("Tenant"))
	w.Header().Set("Response-Seal", "seal-"+s.id+"-"+id)
	w.Header().Set("Server-Load", "1,0,32")
	if r.Header.Get("Token-Usage") == "" {
		time.Sleep(s.delay)
		_, _ = fmt.Fprintf(w, "answer of %s to %s", s.id, id)
		return
	}
	s.stream(w, r)
}

func (s *server) stream(w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := last + 1; i <= eventsPerTurn; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// eventsPerTurn and tokensPerEvent are what one turn generates.
const (
	eventsPerTurn  = 5
	tokensPerEvent = 10
)
