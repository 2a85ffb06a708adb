package ingress_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mimosarelay/core/memory"
)

// Guards against a refusal that is lost because the connection is reset while the
// caller still sends its body, and against a body that is taken for requests.
func TestRefusalBeforeBodyArrives(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newAccount(16<<20))
	for name, c := range map[string]struct{ size, want int }{
		"legal size": {1 << 20, http.StatusUnauthorized},
		"over limit": {3 << 20, http.StatusUnauthorized},
		"small":      {17_000, http.StatusUnauthorized},
	} {
		for range 20 {
			conn, r := h.dial(t)
			smuggled := head(goodKey, "Content-Length: 0")
			post(t, conn, "wrong", bytes.Repeat(smuggled, c.size/len(smuggled)+1)[:c.size])
			status, _, _ := answer(t, r)
			assert.Equal(t, status, c.want, name)
		}
	}
	assert.Equal(t, h.ran.Load(), int64(0))
}

// Guards against a caller that loses its connection because a small request of it was
// refused, and against the rest of its body being taken for the next request.
func TestConnectionIsReusedAfterRefusal(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newAccount(16<<20))
	conn, r := h.dial(t)
	for range 3 {
		post(t, conn, "wrong", bytes.Repeat([]byte("GET / HTTP/1.1\r\n\r\n"), 1000))
		status, _, _ := answer(t, r)
		assert.Equal(t, status, http.StatusUnauthorized)
		body := bytes.Repeat([]byte("x"), 17_000)
		post(t, conn, goodKey, body)
		status, got, _ := answer(t, r)
		assert.Equal(t, status, http.StatusOK)
		assert.Assert(t, bytes.Equal(got, body))
	}
	assert.Equal(t, h.ran.Load(), int64(3))
}

// Guards against a body that is changed by the way it is read.
func TestBodiesArriveUnchanged(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newAccount(16<<20))
	conn, r := h.dial(t)
	for _, size := range []int{0, 1, 2, 4096, 17_000, 65_536, 65_537, 100_000, bodyLimit} {
		body := bytes.Repeat([]byte(fmt.Sprint(size, ",")), size/2+1)[:size]
		post(t, conn, goodKey, body)
		status, got, _ := answer(t, r)
		assert.Equal(t, status, http.StatusOK)
		assert.Assert(t, bytes.Equal(got, body), "%d bytes", size)

		_, err := conn.Write(head(goodKey, "Transfer-Encoding: chunked"))
		assert.NilError(t, err)
		for part := range bytes.Lines(bytes.ReplaceAll(body, []byte(","), []byte("\n"))) {
			_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part)
			assert.NilError(t, err)
			if size > 4096 {
				break // one chunk of many
			}
		}
		_, err = fmt.Fprint(conn, "0\r\n\r\n")
		assert.NilError(t, err)
		status, _, _ = answer(t, r)
		assert.Equal(t, status, http.StatusOK)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s := h.account.Stats()
		if s.ByKind[memory.Bodies] == 0 {
			return poll.Success()
		}
		return poll.Continue("%d bytes held", s.ByKind[memory.Bodies])
	})
}

// Guards against a caller that waits for 100 Continue and sends a body in vain, and
// against one that waits for the refusal of a body it has not sent.
func TestRefusalOfAnnouncedBodies(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newAccount(16<<20))
	for name, c := range map[string]struct {
		head []byte
		want int
	}{
		"wrong key":              {head("wrong", "Content-Length: 10"), http.StatusUnauthorized},
		"wrong key, chunks":      {head("wrong", "Transfer-Encoding: chunked"), http.StatusUnauthorized},
		"wrong key with Expect":  {head("wrong", "Content-Length: 10", "Expect: 100-continue"), http.StatusUnauthorized},
		"over limit":             {head(goodKey, fmt.Sprint("Content-Length: ", bodyLimit+1)), http.StatusRequestEntityTooLarge},
		"over limit with Expect": {head(goodKey, fmt.Sprint("Content-Length: ", bodyLimit+1), "Expect: 100-continue"), http.StatusRequestEntityTooLarge},
		"valid with Expect":      {head(goodKey, "Content-Length: 10", "Expect: 100-continue"), http.StatusContinue},
	} {
		conn, r := h.dial(t)
		_, err := conn.Write(c.head)
		assert.NilError(t, err)
		line, err := r.ReadString('\n')
		assert.NilError(t, err, name)
		assert.Assert(t, strings.HasPrefix(line, fmt.Sprint("HTTP/1.1 ", c.want)), "%s: %s", name, line)
	}
	assert.Equal(t, h.ran.Load(), int64(0))
}

// Guards against a request that runs without memory for its body, and against a
// refusal that does not tell when to come back.
func TestFullAccountRefuses(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newAccount(256<<10))
	conn, r := h.dial(t)
	post(t, conn, goodKey, make([]byte, bodyLimit))
	status, _, retryAfter := answer(t, r)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, retryAfter != "")
	assert.Equal(t, h.ran.Load(), int64(0))

	conn, r = h.dial(t)
	post(t, conn, goodKey, make([]byte, 17_000))
	status, _, _ = answer(t, r)
	assert.Equal(t, status, http.StatusOK)
}

// Guards against callers that stop short of the end of their bodies and keep others
// out, and against their eviction without a refusal.
func TestStalledBodyIsEvicted(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newAccount(1536<<10))
	stalled, r := h.dial(t)
	_, err := stalled.Write(append(head(goodKey, fmt.Sprint("Content-Length: ", bodyLimit)), make([]byte, bodyLimit-1)...))
	assert.NilError(t, err)
	time.Sleep(1500 * time.Millisecond) // longer than a stall
	conn, other := h.dial(t)
	post(t, conn, goodKey, make([]byte, 900_000))
	status, _, _ := answer(t, other)
	assert.Equal(t, status, http.StatusOK)
	status, _, retryAfter := answer(t, r)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, retryAfter != "")
	assert.Equal(t, h.ran.Load(), int64(1))
}

// Guards against a key that still works because it was checked before a slow body
// was received.
func TestKeyWithdrawnWhileBodyArrives(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newAccount(16<<20))
	conn, r := h.dial(t)
	_, err := conn.Write(append(head(goodKey, "Content-Length: 10"), "12345"...))
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if h.account.Stats().ByKind[memory.Bodies] > 0 {
			return poll.Success()
		}
		return poll.Continue("the body is not received")
	})
	time.Sleep(150 * time.Millisecond) // longer than a decision is valid
	h.setKey(t, "key-other")
	_, err = conn.Write([]byte("67890"))
	assert.NilError(t, err)
	status, _, _ := answer(t, r)
	assert.Equal(t, status, http.StatusUnauthorized)
	assert.Equal(t, h.ran.Load(), int64(0))
}

// FuzzChunkedBodies guards against a server that hangs, fails or keeps memory when
// the chunks of a body are invalid.
func FuzzChunkedBodies(f *testing.F) {
	for _, s := range []string{"3\r\nabc\r\n0\r\n\r\n", "ffffffffffffffff\r\n", "0\r\nA: b\r\n\r\n", "3;x=y\r\nabc\r\n0\r\n\r\n", "-1\r\n", "3\nabc", ""} {
		f.Add([]byte(s))
	}
	h := newHarness(f, newAccount(16<<20))
	f.Fuzz(func(t *testing.T, chunks []byte) {
		conn, r := h.dial(t)
		_, _ = conn.Write(append(head(goodKey, "Transfer-Encoding: chunked"), chunks...)) // the server may close first
		if c, ok := conn.(interface{ CloseWrite() error }); ok {
			_ = c.CloseWrite()
		}
		_, _ = r.ReadString(0) // to the end of the connection
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if h.account.Stats().Held == 0 {
				return poll.Success()
			}
			return poll.Continue("%d bytes held", h.account.Stats().Held)
		})
	})
}

// BenchmarkOrdinaryRequest compares a request with a body of 17 kB with and without
// the account.
func BenchmarkOrdinaryRequest(b *testing.B) {
	for name, account := range map[string]*memory.Account{"without account": nil, "with account": newAccount(36 << 20)} {
		b.Run(name, func(b *testing.B) {
			h := newHarness(b, account)
			conn, r := h.dial(b)
			body := make([]byte, 17_000)
			b.ReportAllocs()
			for b.Loop() {
				post(b, conn, goodKey, body)
				status, _, _ := answer(b, r)
				assert.Equal(b, status, http.StatusOK)
			}
		})
	}
}
