//go:build linux

package memory

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/config"
	"mimosarelay/core/model"
	"mimosarelay/platform/standin"
)

const (
	// streamCrowd callers at a faulty server get a stream or an answer each at the same
	// time.
	streamCrowd = 300
	// endlessTime is how long the crowd stays, while the server sends.
	endlessTime = 3 * time.Second
	// nearEventLimit is just below the size of the largest event, in bytes.
	nearEventLimit = 1<<20 - 1<<10

	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + standin.IDField + ": %s\r\n\r\n"
	plainHead  = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + standin.IDField + ": %s\r\n\r\n"
	// cutStream is the beginning of a stream, with one event of 15 bytes.
	cutStream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + standin.IDField + ": %s\r\n\r\n" +
		"f\r\nid: 1\ndata: x\n\n\r\n"
	// longEvents events just below their limit are an output that fits a conversation.
	longEvents = 6

	modelName = "faulty"
	// loadEngines is the number of engines with faulty load reports.
	loadEngines = 100
)

// faultyServer sends head, with the id of the request in it, then begin, and then piece
// again and again until its peer closes the connection. Without a piece it sends nothing
// more.
type faultyServer struct {
	head, begin, piece string
	first              int // id of the first event of an endless stream; 0 for 1
}

// faultyServers are the ways in which an answer does not end.
func faultyServers() map[string]faultyServer {
	text := strings.Repeat("x", 4<<10)
	number := "id: 1\ndata: "
	return map[string]faultyServer{
		"event without a line end":   {head: streamHead, begin: number, piece: text},
		"event of endless lines":     {head: streamHead, begin: "id: 1\n", piece: "data: " + text[:100] + "\n"},
		"event just below its limit": {head: streamHead, begin: number + strings.Repeat("x", nearEventLimit)},
		"event with usage":           {head: streamHead, begin: number + `"usage":{` + strings.Repeat("x", nearEventLimit) + "\n\n"},
		"endless large events":       {head: streamHead, piece: "data: " + strings.Repeat("x", nearEventLimit) + "\n\n"},
		"endless events":             {head: streamHead, piece: "data: " + text + "\n\n"},
		"endless body":               {head: plainHead, piece: text},
		"head without an end":        {head: "HTTP/1.1 200 OK\r\nX-Long: ", piece: text},
		"head of endless fields":     {head: "HTTP/1.1 200 OK\r\n", piece: "X-Field: " + text[:100] + "\r\n"},
		"endless trailers":           {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + standin.IDField + ": %s\r\n\r\n0\r\n", piece: "X-Field: " + text[:100] + "\r\n"},
	}
}

// serve answers one request.
func (f faultyServer) serve(c net.Conn, r *http.Request) {
	head := strings.ReplaceAll(f.head, "%s", r.Header.Get(standin.IDField))
	if _, err := io.WriteString(c, head+f.begin); err != nil {
		return
	}
	number := max(f.first, 1) // events need ascending ids on the platform
	for piece := []byte(f.piece); len(piece) > 0; number++ {
		data := piece
		if bytes.HasPrefix(piece, []byte("data: ")) && bytes.HasSuffix(piece, []byte("\n\n")) {
			data = append(fmt.Appendf(nil, "id: %d\n", number), piece...)
		}
		if _, err := c.Write(data); err != nil {
			return
		}
	}
	_, _ = c.Read(make([]byte, 1)) // until the connection is closed
}

// drain reads what arrives until the connection ends, one piece in each interval.
func drain(send caller, piece int, interval time.Duration) caller {
	return func(c net.Conn, n int) error {
		if err := send(c, n); err != nil {
			return err
		}
		if err := c.SetReadDeadline(time.Now().Add(endlessTime)); err != nil {
			return err
		}
		data := make([]byte, piece)
		for {
			if _, err := c.Read(data); err != nil {
				return err
			}
			time.Sleep(interval)
		}
	}
}

// readers are the paces at which callers read.
func readers() map[string]func(caller) caller {
	return map[string]func(caller) caller{
		"at once": func(send caller) caller { return drain(send, 64<<10, 0) },
		"slowly":  func(send caller) caller { return drain(send, 1<<10, 100*time.Millisecond) },
		"not at all": func(send caller) caller {
			return func(c net.Conn, n int) error { defer time.Sleep(endlessTime); return send(c, n) }
		},
	}
}

// Guards against a host that holds what a faulty server sends without an end: a process
// on a machine of 96 MB held up to 1,017 MiB of events.
func TestFaultyServer(t *testing.T) {
	for name, server := range faultyServers() {
		for pace, reader := range readers() {
			if pace != "at once" && !strings.HasPrefix(name, "endless") {
				continue // the caller gets nothing
			}
			t.Run(name+", read "+pace, func(t *testing.T) {
				d := newDeployment(t)
				d.addFaultyServer(server)
				sendCrowd(t, d.callers, streamCrowd, reader(sendRequests(post("/flow/x", "key-1"), 1)))
				d.checkHeld()
			})
		}
	}
}

// Guards against a host that holds the whole output of a turn that is kept and does not
// end.
func TestFaultyServerOfKeptTurns(t *testing.T) {
	for _, name := range []string{"endless events", "endless large events"} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.addFaultyServer(faultyServers()[name])
			sendCrowd(t, d.callers, streamCrowd, readers()["at once"](sendRequests(post("/talk/x", "key-1"), 1)))
			d.checkHeld()
		})
	}
}

// Guards against processes that hold a long output once for each turn that continues it:
// the keeper that has it, and the host that sends it to a server.
func TestTurnsThatContinueLongOutput(t *testing.T) {
	d := newDeployment(t)
	var continued atomic.Int64
	d.addServer(func(c net.Conn, r *http.Request) {
		id := r.Header.Get(standin.IDField)
		answer := strings.ReplaceAll(cutStream, "%s", id)
		if id == "long" {
			for i := range longEvents {
				event := fmt.Sprintf("id: %d\ndata: %s\n\n", i+2, strings.Repeat("x", nearEventLimit))
				answer += fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
			}
		} else {
			continued.Add(1)
		}
		_, _ = io.WriteString(c, answer+"0\r\n\r\n")
	})
	turn := func(id string, fields ...string) []byte {
		return standin.RequestHead("POST", "/talk/x", "key-1", id, append(fields, "Content-Length: 0")...)
	}
	c, err := net.DialTimeout("tcp", d.callers, ordinaryLimit)
	assert.NilError(t, err)
	defer c.Close()
	_, err = c.Write(turn("long"))
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	size, err := io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	assert.Assert(t, size >= longEvents*nearEventLimit, "%d bytes", size)
	sendCrowd(t, d.callers, streamCrowd, readers()["at once"](func(c net.Conn, n int) error {
		_, err := c.Write(turn(fmt.Sprint("next-", n), "Previous-Turn: long"))
		return err
	}))
	assert.Assert(t, continued.Load() > 0, "no turn was continued")
	d.checkHeld()
}

// Guards against a host that holds what a server sends without an end when it resumes a
// stream that broke off after one event.
func TestFaultyServerOfResumedStreams(t *testing.T) {
	for _, name := range []string{"event without a line end", "event just below its limit", "endless large events", "endless events"} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			server := faultyServers()[name]
			server.begin, server.first = strings.Replace(server.begin, "id: 1", "id: 2", 1), 2
			var resumed atomic.Int64
			d.addServer(func(c net.Conn, r *http.Request) {
				if r.Header.Get("Last-Event-Id") != "" {
					resumed.Add(1)
					server.serve(c, r)
					return
				}
				_, _ = io.WriteString(c, strings.ReplaceAll(cutStream, "%s", r.Header.Get(standin.IDField)))
				_ = c.Close()
			})
			sendCrowd(t, d.callers, streamCrowd, readers()["at once"](sendRequests(post("/flow/x", "key-1"), 1)))
			assert.Assert(t, resumed.Load() >= streamCrowd/2, "%d streams were resumed", resumed.Load())
			d.checkHeld()
		})
	}
}

// Guards against processes that hold what the store sends without an end. Each of their
// requests gets such a response for some time.
func TestFaultyStore(t *testing.T) {
	d := newDeployment(t)
	d.store.SetFault(func(*http.Request) standin.Fault { return standin.ResponseEndless })
	time.Sleep(2 * endlessTime)
	d.store.SetFault(func(*http.Request) standin.Fault { return standin.NoFault })
	d.checkHeld()
}

func (d *deployment) addFaultyServer(f faultyServer) { d.addServer(f.serve) }

func (d *deployment) addServer(serve func(c net.Conn, r *http.Request)) {
	d.t.Helper()
	server, err := standin.NewRawBackend(d.store, "gen-0", standin.StreamService, serve)
	assert.NilError(d.t, err)
	d.t.Cleanup(server.Close)
	server.SetSlots(streamCrowd)
	time.Sleep(settleTime) // until the host knows it
}

// Guards against the same at the own interface, and against the answers of calls of
// programs, which are recorded whole.
func TestOwnInterfaceFaultyServer(t *testing.T) {
	for name, server := range faultyServers() {
		for kind, program := range map[string]bool{"calls": false, "calls of programs": true} {
			if program && !strings.HasPrefix(name, "endless") {
				continue // as without a program
			}
			t.Run(name+", "+kind, func(t *testing.T) {
				address := startRawServer(t, server)
				s := newSite(t, false, config.Target{
					Name: "faulty", Kind: config.Engine, Address: address, Zone: "zone-1", Models: []model.ModelID{modelName}, MaxInFlight: 2 * streamCrowd,
				})
				sendCrowd(t, s.callers, streamCrowd, readers()["at once"](s.sendChat(true, program)))
				s.checkHeld()
			})
		}
	}
}

// Guards against the same with answers that are read whole before the caller gets any of
// them: chat completions that are not streamed, and calls of services.
func TestOwnInterfaceFaultyWholeAnswers(t *testing.T) {
	for _, name := range []string{"endless body", "head without an end", "head of endless fields", "endless trailers"} {
		for _, kind := range []config.TargetKind{config.Engine, config.Service} {
			t.Run(fmt.Sprintf("%s, %s", name, kind), func(t *testing.T) {
				faulty := config.Target{Name: "faulty", Kind: kind, Address: startRawServer(t, faultyServers()[name]), Zone: "zone-1", MaxInFlight: 2 * streamCrowd}
				if kind == config.Engine {
					faulty.Models = []model.ModelID{modelName}
				}
				s := newSite(t, false, faulty)
				send := s.sendChat(false, false)
				if kind == config.Service {
					send = sendRequests(s.post("faulty", s.key), 1)
				}
				sendCrowd(t, s.callers, streamCrowd, readers()["at once"](send))
				s.checkHeld()
			})
		}
	}
}

// Guards against a host that holds the answers of calls that other hosts forwarded to it.
// All callers use one of two hosts, which owns about half of the programs.
func TestFaultyServerOfForwardedCalls(t *testing.T) {
	for _, name := range []string{"endless events", "endless large events", "endless body"} {
		t.Run(name, func(t *testing.T) {
			address := startRawServer(t, faultyServers()[name])
			s := newSite(t, false, config.Target{
				Name: "faulty", Kind: config.Engine, Address: address, Zone: "zone-1", Models: []model.ModelID{modelName}, MaxInFlight: 2 * streamCrowd,
			})
			other := s.addHost("host-2")
			sendCrowd(t, s.callers, streamCrowd, readers()["at once"](s.sendChat(true, true)))
			s.checkHeld()
			other.checkHeld()
		})
	}
}

// Guards against a host that holds what engines send without an end when it asks for
// their load. The same client reads the responses to orders.
func TestFaultyLoadReports(t *testing.T) {
	var asked atomic.Int64
	endless := faultyServers()["endless body"]
	var engines []config.Target
	for i := range loadEngines {
		address := startServer(t, func(c net.Conn, r *http.Request) {
			asked.Add(1)
			endless.serve(c, r)
		})
		engines = append(engines, config.Target{
			Name: model.TargetID(fmt.Sprint("faulty-", i)), Kind: config.Engine, Address: address, Zone: "zone-1", Models: []model.ModelID{modelName}, MaxInFlight: 4,
		})
	}
	s := newSite(t, false, engines...)
	time.Sleep(2 * endlessTime)
	assert.Assert(t, asked.Load() >= loadEngines, "%d requests", asked.Load())
	s.checkHeld()
}

// sendChat returns a caller that sends a chat request, in a program of its own if program
// is set.
func (s *site) sendChat(streamed, program bool) caller {
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":10,"messages":[{"role":"user","content":"x"}]}`, modelName, streamed)
	return func(c net.Conn, n int) error {
		fields := ""
		if program {
			fields = fmt.Sprintf("Mimosarelay-Program: p-%d\r\nMimosarelay-Call: 1\r\n", n)
		}
		_, err := fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n%s",
			s.key, fields, len(body), body)
		return err
	}
}

// startRawServer starts a faulty server and returns its address.
func startRawServer(t *testing.T, f faultyServer) string {
	t.Helper()
	return startServer(t, f.serve)
}

func startServer(t *testing.T, serve func(c net.Conn, r *http.Request)) string {
	t.Helper()
	store, err := standin.NewStore()
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	server, err := standin.NewRawBackend(store, "gen-0", standin.StreamService, serve)
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	return server.Address()
}
