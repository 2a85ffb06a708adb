//go:build linux

package memory

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/platform/standin"
	"mimosarelay/test/knownred"
)

const (
	ordinaryCallers = 300
	ordinaryRounds  = 6
	// largeOrdinaryBody is the size of one body in ten, in bytes.
	largeOrdinaryBody = 100_000
	// ordinaryPause is the time between two requests on a connection.
	ordinaryPause = 2 * time.Second
)

// Guards against an account that refuses or closes ordinary callers: some hundred
// connections that are idle for seconds and used again, with bodies of 17 to 100 kB.
func TestOrdinaryCallersAreServed(t *testing.T) {
	knownred.Skip(t)
	d := newDeployment(t)
	var all sync.WaitGroup
	var failed, served atomic.Int64
	var first atomic.Pointer[string]
	for i := range ordinaryCallers {
		all.Go(func() {
			if err := useConnection(d.callers, i, &served); err != nil {
				failed.Add(1)
				text := err.Error()
				first.CompareAndSwap(nil, &text)
			}
		})
	}
	all.Wait()
	if text := first.Load(); text != nil {
		t.Log(*text)
	}
	assert.Equal(t, failed.Load(), int64(0))
	assert.Equal(t, served.Load(), int64(ordinaryCallers*ordinaryRounds))
	d.host.checkHeld()
}

// useConnection sends requests on one connection.
func useConnection(address string, caller int, served *atomic.Int64) error {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	r := bufio.NewReader(c)
	for round := range ordinaryRounds {
		time.Sleep(ordinaryPause * time.Duration(caller) / ordinaryCallers) // callers are spread over the pause
		size := ordinaryBody
		if (caller+round)%10 == 0 {
			size = largeOrdinaryBody
		}
		_ = c.SetDeadline(time.Now().Add(patience))
		status, body, err := sendOrdinary(c, r, fmt.Sprintf("o-%d-%d", caller, round), size)
		if err != nil {
			return fmt.Errorf("round %d: %w", round, err)
		}
		if status != http.StatusOK {
			return fmt.Errorf("round %d: status %d: %s", round, status, body)
		}
		served.Add(1)
		time.Sleep(ordinaryPause - ordinaryPause*time.Duration(caller)/ordinaryCallers)
	}
	return nil
}

// sendOrdinary sends a request and reads its answer.
func sendOrdinary(c net.Conn, r *bufio.Reader, id string, size int) (status int, body string, err error) {
	data := standin.RequestHead("POST", "/look/x", standin.CallerKey, id, fmt.Sprint("Content-Length: ", size))
	if _, err := c.Write(append(data, make([]byte, size)...)); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// Guards against an answer that is changed or looks complete although it is not, when
// there is no memory to read it to its end first.
func TestAnswersAreWholeUnderPressure(t *testing.T) {
	d := newDeployment(t)
	sendCrowd(t, d.callers, bigCrowd, sendRequests(postLarge(), 1))
	whole := 0
	for end := time.Now().Add(patience); whole < 10 && time.Now().Before(end); {
		size, err := d.largeAnswer(whole)
		if err != nil {
			t.Log(err) // the answer is visibly incomplete, or the request was refused
			continue
		}
		assert.Equal(t, size, fullBody)
		whole++
	}
	assert.Equal(t, whole, 10)
	d.checkHeld()
}

// largeAnswer requests an answer of fullBody bytes and returns the size of what arrived
// as complete.
func (d *deployment) largeAnswer(n int) (int, error) {
	c, err := net.Dial("tcp", d.callers)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(patience))
	target := fmt.Sprintf("/look/large?%s=%d", standin.SizeParameter, fullBody)
	if _, err := c.Write(standin.RequestHead("POST", target, standin.CallerKey, fmt.Sprint("large-", n), "Content-Length: 0")); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	return len(body), err
}
