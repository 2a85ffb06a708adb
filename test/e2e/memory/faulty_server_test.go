//go:build linux

package memory

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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
	modelName  = "faulty"
)

// faultyServer sends head, with the id of the request in it, then begin, and then piece
// again and again until its peer closes the connection. Without a piece it sends nothing
// more.
type faultyServer struct {
	head, begin, piece string
}

// faultyServers are the ways in which an answer does not end.
func faultyServers() map[string]faultyServer {
	text := strings.Repeat("x", 4<<10)
	number := "id: 1\ndata: "
	return map[string]faultyServer{
		"event without a line end":   {streamHead, number, text},
		"event of endless lines":     {streamHead, "id: 1\n", "data: " + text[:100] + "\n"},
		"event just below its limit": {streamHead, number + strings.Repeat("x", nearEventLimit), ""},
		"event with usage":           {streamHead, number + `"usage":{` + strings.Repeat("x", nearEventLimit) + "\n\n", ""},
		"endless large events":       {streamHead, "", "data: " + strings.Repeat("x", nearEventLimit) + "\n\n"},
		"endless events":             {streamHead, "", "data: " + text + "\n\n"},
		"endless body":               {plainHead, "", text},
		"head without an end":        {"HTTP/1.1 200 OK\r\nX-Long: ", "", text},
		"head of endless fields":     {"HTTP/1.1 200 OK\r\n", "", "X-Field: " + text[:100] + "\r\n"},
		"endless trailers":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + standin.IDField + ": %s\r\n\r\n0\r\n", "", "X-Field: " + text[:100] + "\r\n"},
	}
}

// serve answers one request.
func (f faultyServer) serve(c net.Conn, r *http.Request) {
	head := strings.ReplaceAll(f.head, "%s", r.Header.Get(standin.IDField))
	if _, err := io.WriteString(c, head+f.begin); err != nil {
		return
	}
	number := 1 // events need ascending ids on the platform
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

// Guards against processes that hold what the store sends without an end. Each of their
// requests gets such a response for some time.
func TestFaultyStore(t *testing.T) {
	d := newDeployment(t)
	d.store.SetFault(func(*http.Request) standin.Fault { return standin.ResponseEndless })
	time.Sleep(2 * endlessTime)
	d.store.SetFault(func(*http.Request) standin.Fault { return standin.NoFault })
	d.checkHeld()
}

func (d *deployment) addFaultyServer(f faultyServer) {
	d.t.Helper()
	server, err := standin.NewRawBackend(d.store, "gen-0", standin.StreamService, f.serve)
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
	store, err := standin.NewStore()
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	server, err := standin.NewRawBackend(store, "gen-0", standin.StreamService, f.serve)
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	return server.Address()
}
