package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The figures of the case full-queues.
const (
	lostAnswers   = 10 // one at a time, all of one server
	lostSpacing   = 4 * time.Second
	fullFor       = 1200 * time.Millisecond // how long no new channel is taken after the answer was lost
	queueLength   = 1
	askSpacing    = 20 * time.Millisecond
	maxOnMore     = 3 // of the rule
	queueAttempts = 1 // max_attempts of the route
)

// queueServer is a sound server with a short queue of new channels. While the queue is
// full, new channels are not taken, and those that are open work on.
type queueServer struct {
	id       string
	record   *record
	listener *net.TCPListener

	gate sync.RWMutex // locked while no new channel is taken

	mu       sync.Mutex
	ran      map[string]bool
	loseNext chan struct{} // closed when the next answer was lost; nil if none is to be lost
}

func newQueueServer(r *record, id string) (*queueServer, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	s := &queueServer{id: id, record: r, listener: l.(*net.TCPListener), ran: map[string]bool{}}
	raw, err := s.listener.SyscallConn()
	if err != nil {
		return nil, err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), queueLength) }); err != nil || listenErr != nil {
		return nil, fmt.Errorf("shorten the queue: %v %v", err, listenErr)
	}
	go s.accept()
	return s, nil
}

func (s *queueServer) address() string { return s.listener.Addr().String() }

func (s *queueServer) accept() {
	for {
		s.gate.RLock()
		s.gate.RUnlock() //nolint:staticcheck // only waits while the gate is closed
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *queueServer) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if !s.answer(c, r) {
			return
		}
	}
}

// answer runs one request. It returns false if its answer is lost.
func (s *queueServer) answer(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Attempt-Id")
	if r.URL.Path == "/health" {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
		return err == nil
	}
	if e := r.Header.Get("Expect-Instance"); e != "" && e != s.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	s.mu.Lock()
	s.ran[id] = true
	lost := s.loseNext
	s.loseNext = nil
	s.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	if lost != nil {
		s.record.add("server %s runs %s, its answer is lost", s.id, id)
		_ = c.Close()
		close(lost)
		return false
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Length: 2\r\n\r\nok", id, s.id)
	return err == nil
}

func (s *queueServer) runs(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// fillQueue opens channels until no more is taken, and returns them.
func (s *queueServer) fillQueue() []net.Conn {
	var list []net.Conn
	for range queueLength + 8 {
		c, err := net.DialTimeout("tcp", s.address(), 150*time.Millisecond)
		if err != nil {
			return list
		}
		list = append(list, c)
	}
	return list
}

// alive reports whether an open channel of the server still works.
func alive(c net.Conn, reader *bufio.Reader) bool {
	_ = c.SetDeadline(time.Now().Add(time.Second))
	_, _ = fmt.Fprint(c, "GET /health HTTP/1.1\r\nHost: x\r\n\r\n")
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// fullQueues loses single answers of servers whose queue of new channels is full. A
// request must not run at more servers than its route allows.
func fullQueues(r *record, trouble bool) (bool, error) {
	d, err := newDeployment(2)
	if err != nil {
		return false, err
	}
	defer d.stopAll()
	var servers []*queueServer
	for i, zone := range zones {
		s, err := newQueueServer(r, fmt.Sprintf("i-app%d", i))
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
		d.putServer(s.id, "notice-app", zone, s.address(), 6)
	}
	d.putManifest(1, []string{key}, route{name: "ping", prefix: "/ping/", kind: "safe", service: "notice-app", timeoutMS: 3000, maxAttempts: queueAttempts})
	if err := d.startAll(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var asking sync.WaitGroup
	var mu sync.Mutex
	statuses := map[string]int{}
	asking.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(askSpacing):
			}
			id := newAttempt()
			asking.Go(func() {
				a := send(d.entries[i%2].callers, "GET", "/ping/"+id, id, key, 3*time.Second, nil)
				mu.Lock()
				statuses[id] = a.status
				mu.Unlock()
			})
		}
	})
	time.Sleep(2 * time.Second)
	for range lostAnswers {
		if trouble {
			loseOne(r, servers[0])
		}
		time.Sleep(lostSpacing - fullFor)
	}
	close(stop)
	asking.Wait()
	onMore := 0
	for id, status := range statuses {
		var at []string
		for _, s := range servers {
			if s.runs(id) {
				at = append(at, s.id)
			}
		}
		if len(at) > queueAttempts {
			onMore++
			r.add("request %s ran at %v, the client got %d", id, at, status)
		}
	}
	r.add("%d requests were sent", len(statuses))
	r.conclude("BUDGET: %d requests ran, in one client attempt, on more servers than max_attempts (%d), at most %d may; all servers were alive", onMore, queueAttempts, maxOnMore)
	return onMore > maxOnMore, nil
}

// loseOne loses the answer of one request of a server whose queue is full.
func loseOne(r *record, s *queueServer) {
	own, err := dial(s.address())
	if err != nil {
		r.add("server %s takes no channel: %v", s.id, err)
		return
	}
	defer own.Close()
	reader := bufio.NewReader(own)
	if !alive(own, reader) {
		r.add("server %s does not answer", s.id)
	}
	s.gate.Lock()
	fillers := s.fillQueue()
	r.add("the queue of server %s is full", s.id)
	lost := make(chan struct{})
	s.mu.Lock()
	s.loseNext = lost
	s.mu.Unlock()
	select {
	case <-lost:
	case <-time.After(time.Second):
		r.add("server %s got no request", s.id)
	}
	s.mu.Lock()
	s.loseNext = nil
	s.mu.Unlock()
	time.Sleep(fullFor)
	r.add("an open channel of server %s works: %v", s.id, alive(own, reader))
	s.gate.Unlock()
	for _, c := range fillers {
		_ = c.Close()
	}
}
