//go:build linux

package memory

import (
	"net"
	"testing"
	"time"
)

const (
	// openCrowd callers keep their connections open and send little.
	openCrowd = 1000
	wrongKey  = "crowd.AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"
	// handshakeBytes of a TLS record that announces more are sent by halted callers.
	handshakeBytes = 2 << 10
)

// crowd is a number of callers that do the same.
type crowd struct {
	callers int
	send    caller
}

// bodyCrowds returns the crowds that send bodies.
func bodyCrowds(head request) map[string]crowd {
	return map[string]crowd{
		"whole":                {bigCrowd, sendBody(head, fullBody, fullBody-1, fullBody, 0)},
		"in pieces":            {bigCrowd, sendBody(head, fullBody, fullBody-1, 64<<10, 10*time.Millisecond)},
		"large chunks":         {bigCrowd, sendChunks(head, fullBody, largeChunk)},
		"small chunks":         {smallChunkCrowd, sendChunks(head, smallChunkBody, smallChunk)},
		"over limit announced": {bigCrowd, sendBody(head, 25*maxBodyBytes, 5*maxBodyBytes, 64<<10, 0)},
		"over limit in chunks": {bigCrowd, sendChunks(head, 5*maxBodyBytes, largeChunk)},
	}
}

// Guards against a host that runs out of memory at its own interface when many callers
// send bodies at once and stop just short of their end.
func TestOwnInterfaceBodies(t *testing.T) {
	for name := range bodyCrowds(nil) {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, false)
			c := bodyCrowds(s.post("stock", s.key))[name]
			sendCrowd(t, s.callers, c.callers, c.send)
			s.checkHeld()
		})
	}
}

// The same without a valid key.
func TestOwnInterfaceBodiesWithWrongKey(t *testing.T) {
	for name := range bodyCrowds(nil) {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, false)
			c := bodyCrowds(s.post("stock", wrongKey))[name]
			sendCrowd(t, s.callers, c.callers, c.send)
			s.checkHeld()
		})
	}
}

// The same over TLS.
func TestOwnInterfaceBodiesOverTLS(t *testing.T) {
	for _, name := range []string{"whole", "large chunks", "over limit in chunks"} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, true)
			c := bodyCrowds(s.post("stock", s.key))[name]
			sendCrowd(t, s.callers, c.callers, s.overTLS(c.send))
			s.checkHeld()
		})
	}
}

// Guards against connections that are held open with little or nothing sent, and
// against answers that are held for callers that never read them.
func TestOwnInterfaceConnections(t *testing.T) {
	for name, c := range map[string]struct {
		withTLS bool
		crowd   func(s *site) crowd
	}{
		"slow headers": {false, func(s *site) crowd {
			return crowd{10 * bigCrowd, sendSlowHeader(s.post("stock", s.key), 100, 20*time.Millisecond)}
		}},
		"nothing sent":      {false, func(*site) crowd { return crowd{openCrowd, sendNothing} }},
		"halted handshakes": {true, func(*site) crowd { return crowd{openCrowd, sendHandshake} }},
		"unread answers": {false, func(s *site) crowd {
			return crowd{bigCrowd, sendRequests(s.post("large", s.key), 1)}
		}},
		"requests behind an unread answer": {false, func(s *site) crowd {
			return crowd{bigCrowd, sendRequests(s.post("large", s.key), 50)}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, c.withTLS)
			callers := c.crowd(s)
			sendCrowd(t, s.callers, callers.callers, callers.send)
			s.checkHeld()
		})
	}
}

func sendNothing(net.Conn, int) error { return nil }

// sendHandshake sends the beginning of a TLS record.
func sendHandshake(c net.Conn, _ int) error {
	const recordHeader = "\x16\x03\x01\x40\x00\x01\x00\x3f\xfc\x03\x03" // a ClientHello of 16 KiB
	_, err := c.Write(append([]byte(recordHeader), make([]byte, handshakeBytes)...))
	return err
}

// Guards against the same crowds at the port for operators, without a credential.
func TestOwnOperatorPort(t *testing.T) {
	for name := range bodyCrowds(nil) {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, false)
			c := bodyCrowds(func(_ int, fields ...string) []byte {
				head := "PUT /operator/v1/config HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer wrong-credential\r\n"
				for _, f := range fields {
					head += f + "\r\n"
				}
				return []byte(head + "\r\n")
			})[name]
			sendCrowd(t, s.operators, c.callers, c.send)
			s.checkHeld()
		})
	}
}

// Guards against messages at the port for other hosts that stop short of their end.
func TestOwnPeerPort(t *testing.T) {
	for name, c := range map[string]crowd{
		"one frame": {bigCrowd, sendFrames(fullBody)}, "many frames": {bigCrowd, sendFrames(largeChunk)},
		"small messages": {wideCrowd, sendPartialMessage},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, false)
			sendCrowd(t, s.peers, c.callers, c.send)
			s.checkHeld()
		})
	}
}
