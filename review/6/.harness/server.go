package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a sound server of a service. It answers requests with a Token-Usage header
// with a stream of events, and others with a short body.
type server struct {
	id      string
	record  *record
	address string
	// firstEvent is the time from the head of a stream to its first event, eventGap the
	// time between two events, and events their number.
	firstEvent, eventGap time.Duration
	events               int
	work                 time.Duration // of a plain request

	mu     sync.Mutex
	ran    map[string]int // runs by attempt id
	broken map[string]bool
}

func newServer(r *record, id string) (*server, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	s := &server{id: id, record: r, address: l.Addr().String(), ran: map[string]int{}, broken: map[string]bool{}}
	go func() {
		_ = (&http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute}).Serve(l)
	}()
	return s, nil
}

func (s *server) runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// cancelled reports whether the channel of a running request was closed by the caller.
func (s *server) cancelled(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.broken[id]
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", s.id)
	if r.URL.Path == "/health" {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if e := r.Header.Get("Expect-Instance"); e != "" && e != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.ran[id]++
	s.mu.Unlock()
	s.record.add("server %s runs %s %s %s", s.id, r.Method, r.URL.Path, id)
	w.Header().Set("Response-Seal", "seal-"+s.id)
	if r.Header.Get("Token-Usage") == "" {
		time.Sleep(s.work)
		_, _ = fmt.Fprintf(w, "answer to %s", id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	w.(http.Flusher).Flush()
	pause := s.firstEvent
	for i := 1; i <= s.events; i++ {
		select {
		case <-r.Context().Done():
			s.mu.Lock()
			s.broken[id] = true
			s.mu.Unlock()
			s.record.add("server %s: the channel of %s was closed before event %d", s.id, id, i)
			return
		case <-time.After(pause):
		}
		pause = s.eventGap
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %0100d\n\n", i, i)
		w.(http.Flusher).Flush()
	}
}

// dial opens a channel to an address.
func dial(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, time.Second) }
