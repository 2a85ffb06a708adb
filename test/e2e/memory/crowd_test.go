//go:build linux

package memory

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"mimosarelay/platform/standin"
)

// caller writes its bytes to a connection and returns. The connection stays open
// and unread until the test ends.
type caller func(c net.Conn, n int) error

// writeLimit ends a caller whose bytes are not taken any more.
const writeLimit = 8 * time.Second

// settleTime is how long a crowd stays after its last byte before it is looked at.
const settleTime = time.Second

// sendCrowd runs a number of callers at once and waits until each has sent all or
// was cut off. Their connections stay open until the test ends.
func sendCrowd(t *testing.T, address string, callers int, send caller) {
	t.Helper()
	var all sync.WaitGroup
	for i := range callers {
		c, err := net.DialTimeout("tcp", address, writeLimit)
		if err != nil {
			t.Logf("caller %d is not accepted: %v", i, err)
			continue
		}
		t.Cleanup(func() { _ = c.Close() })
		all.Go(func() {
			_ = c.SetWriteDeadline(time.Now().Add(writeLimit))
			_ = send(c, i) // a caller may be refused or cut off
		})
	}
	all.Wait()
	time.Sleep(settleTime)
}

// request returns the header of request n of a crowd, with additional fields as lines.
type request func(n int, fields ...string) []byte

// post returns requests to a deployment.
func post(target, key string) request {
	return func(n int, fields ...string) []byte {
		return standin.RequestHead("POST", target, key, fmt.Sprint("crowd-", n), fields...)
	}
}

const (
	// fullBody is a legal size, of which callers send all but the last byte.
	fullBody = 4_000_000
	// bigCrowd callers with fullBody hold 2.5 times the memory of the machine.
	bigCrowd = 60
	// smallChunkCrowd callers send smallChunkBody bytes each in small chunks.
	smallChunkCrowd = 150
	smallChunkBody  = 600_000
	smallChunk      = 16
	largeChunk      = 64 << 10
)

// sendBody returns a caller that announces a body and sends all but its last byte,
// in pieces with a pause after each.
func sendBody(head request, announced, sent, piece int, pause time.Duration) caller {
	data := make([]byte, piece)
	return func(c net.Conn, n int) error {
		if _, err := c.Write(head(n, "Content-Length: "+strconv.Itoa(announced))); err != nil {
			return err
		}
		for left := sent; left > 0; left -= piece {
			if _, err := c.Write(data[:min(piece, left)]); err != nil {
				return err
			}
			time.Sleep(pause)
		}
		return nil
	}
}

// sendChunks returns a caller that sends a body in chunks without the last chunk.
// Many small chunks are written together, so that the test's own time stays small.
func sendChunks(head request, sent, chunk int) caller {
	one := append(append(fmt.Appendf(nil, "%x\r\n", chunk), make([]byte, chunk)...), "\r\n"...)
	perWrite := max(1, largeChunk/chunk)
	many := bytes.Repeat(one, perWrite)
	return func(c net.Conn, n int) error {
		if _, err := c.Write(head(n, "Transfer-Encoding: chunked")); err != nil {
			return err
		}
		for left := sent; left > 0; left -= chunk * perWrite {
			if _, err := c.Write(many); err != nil {
				return err
			}
		}
		return nil
	}
}

// sendSlowHeader returns a caller that sends a header one byte at a time.
func sendSlowHeader(head request, bytes int, pause time.Duration) caller {
	return func(c net.Conn, n int) error {
		for _, b := range head(n, "X-Long: "+string(make([]byte, bytes)))[:bytes] {
			if _, err := c.Write([]byte{b}); err != nil {
				return err
			}
			time.Sleep(pause)
		}
		return nil
	}
}

// postLarge returns requests for answers of fullBody bytes.
func postLarge() request {
	return post("/look/big?"+standin.SizeParameter+"="+strconv.Itoa(fullBody), "key-1")
}

// sendRequests returns a caller that sends a number of complete requests at once and
// never reads their answers.
func sendRequests(head request, requests int) caller {
	return func(c net.Conn, n int) error {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(4096)
		}
		for i := range requests {
			if _, err := c.Write(head(n*requests+i, "Content-Length: 0")); err != nil {
				return err
			}
		}
		return nil
	}
}
