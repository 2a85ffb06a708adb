package fault

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

// fasthttp starts a goroutine for the Date header that never ends, so the check
// for leaked goroutines ignores it.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

// eventTimeout bounds the wait for an expected event. quietPeriod is how long a
// test waits to see that an event does not occur.
const (
	eventTimeout = 5 * time.Second
	quietPeriod  = 100 * time.Millisecond
)

// testServer responds with "answer" and counts the requests that were handled and
// the simulated crashes.
type testServer struct {
	*Server
	handled, crashes atomic.Int64
}

func start(t *testing.T) *testServer {
	t.Helper()
	x := &testServer{}
	var err error
	x.Server, err = Start(Options{
		Listen:  "127.0.0.1:0",
		Control: "127.0.0.1:0",
		Handler: func(ctx *fasthttp.RequestCtx) {
			x.handled.Add(1)
			ctx.SetBodyString("answer")
		},
		IsWrite: func(ctx *fasthttp.RequestCtx) bool { return ctx.IsPut() },
		OnCrash: func() {
			time.Sleep(quietPeriod / 4) // dropping the state is not instantaneous
			x.crashes.Add(1)
		},
	})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, x.Close()) })
	return x
}

// clientConn is a single connection, so that a test controls which connection a
// request uses.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address, from string) *clientConn {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	c, err := d.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &clientConn{Conn: c, reader: bufio.NewReader(c)}
}

// send sends a request and reads the response within the given time.
func (c *clientConn) send(method, path, body string, within time.Duration) (int, string, error) {
	_ = c.SetDeadline(time.Now().Add(within))
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body)
	if err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

func assertAnswered(t *testing.T, c *clientConn) {
	t.Helper()
	_, body, err := c.send("GET", "/x", "", eventTimeout)
	assert.NilError(t, err)
	assert.Equal(t, body, "answer")
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error) //nolint:errorlint // the connection returns it unwrapped
	return ok && timeout.Timeout()
}

// assertConnectionClosed sends a request and fails if it gets a response or times
// out.
func assertConnectionClosed(t *testing.T, c *clientConn, method, path, body string) {
	t.Helper()
	_, _, err := c.send(method, path, body, eventTimeout)
	assert.Assert(t, err != nil && !isTimeout(err), "%v", err)
}

// Guards against an outage that leaves open connections alive, or that cannot be
// ended because the control address is affected too.
func TestDownClosesConnectionsUntilLifted(t *testing.T) {
	x := start(t)
	old := dial(t, x.Address(), "127.0.0.1")
	assertAnswered(t, old)
	control := dial(t, x.ControlAddress(), "127.0.0.1")
	status, _, err := control.send("PUT", "/standin/fault", `{"Down": true}`, eventTimeout)
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	assertConnectionClosed(t, old, "GET", "/x", "")
	assertConnectionClosed(t, dial(t, x.Address(), "127.0.0.1"), "GET", "/x", "")
	status, _, err = dial(t, x.ControlAddress(), "127.0.0.1").send("PUT", "/standin/fault", `{}`, eventTimeout)
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	assertAnswered(t, dial(t, x.Address(), "127.0.0.1"))
	assert.Equal(t, x.Counters().Refused, int64(1))
}

// Guards against a lost response whose write did not take effect, and against
// losing the responses of reads, of other paths or of more writes than requested.
func TestLoseAnswersAfterTheWriteTookEffect(t *testing.T) {
	x := start(t)
	assert.NilError(t, x.SetFault(Fault{LoseAnswers: 1, LoseMatch: "/key"}))
	c := dial(t, x.Address(), "127.0.0.1")
	assertAnswered(t, c)
	for path, method := range map[string]string{"/other": "PUT", "/key": "GET"} {
		_, body, err := c.send(method, path, "", eventTimeout)
		assert.NilError(t, err)
		assert.Equal(t, body, "answer")
	}
	before := x.handled.Load()
	assertConnectionClosed(t, c, "PUT", "/key", "v")
	assert.Equal(t, x.handled.Load(), before+1)
	_, body, err := dial(t, x.Address(), "127.0.0.1").send("PUT", "/key", "v", eventTimeout)
	assert.NilError(t, err)
	assert.Equal(t, body, "answer")
}

// Guards against a cut response that is delivered completely, or with fewer bytes
// than configured.
func TestCutBytesBreaksTheAnswer(t *testing.T) {
	x := start(t)
	assert.NilError(t, x.SetFault(Fault{CutBytes: 3, Cuts: 1}))
	_, body, err := dial(t, x.Address(), "127.0.0.1").send("GET", "/x", "", eventTimeout)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, body, "ans")
	assertAnswered(t, dial(t, x.Address(), "127.0.0.1"))
}

// Guards against hanging requests that get a response, or that are handled when
// the fault is lifted.
func TestHangNeverAnswers(t *testing.T) {
	x := start(t)
	assert.NilError(t, x.SetFault(Fault{Hang: true}))
	c := dial(t, x.Address(), "127.0.0.1")
	_, _, err := c.send("GET", "/x", "", quietPeriod)
	assert.Assert(t, isTimeout(err), "%v", err)
	assert.NilError(t, x.SetFault(Fault{}))
	_ = c.SetDeadline(time.Now().Add(eventTimeout))
	_, err = c.reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, x.handled.Load(), int64(0))
	assertAnswered(t, dial(t, x.Address(), "127.0.0.1"))
}

// Guards against silent connections that are closed or still deliver requests,
// and against new connections that are silent too.
func TestSilentAffectsOpenConnectionsOnly(t *testing.T) {
	x := start(t)
	old := dial(t, x.Address(), "127.0.0.1")
	assertAnswered(t, old)
	before := x.handled.Load()
	assert.NilError(t, x.SetFault(Fault{Silent: true}))
	_, _, err := old.send("GET", "/x", "", quietPeriod)
	assert.Assert(t, isTimeout(err), "%v", err)
	assert.Equal(t, x.handled.Load(), before)
	assertAnswered(t, dial(t, x.Address(), "127.0.0.1"))
}

// Guards against a response that is sent before the delay has passed.
func TestSlowDelaysRequests(t *testing.T) {
	x := start(t)
	assert.NilError(t, x.SetFault(Fault{Slow: Duration(time.Hour)}))
	_, _, err := dial(t, x.Address(), "127.0.0.1").send("GET", "/x", "", quietPeriod)
	assert.Assert(t, isTimeout(err), "%v", err)
	assert.Equal(t, x.handled.Load(), int64(0))
	assert.NilError(t, x.SetFault(Fault{Slow: Duration(time.Millisecond)}))
	assertAnswered(t, dial(t, x.Address(), "127.0.0.1"))
}

// Guards against a crash that leaves other connections open or is not counted.
func TestCrashMarkerTakesTheServerDown(t *testing.T) {
	x := start(t)
	other := dial(t, x.Address(), "127.0.0.1")
	assertAnswered(t, other)
	assert.NilError(t, x.SetFault(Fault{CrashMarker: "poison", CrashTime: Duration(quietPeriod)}))
	before := x.handled.Load()
	assertConnectionClosed(t, dial(t, x.Address(), "127.0.0.1"), "PUT", "/x", "some poison here")
	assertConnectionClosed(t, other, "GET", "/x", "")
	assertConnectionClosed(t, dial(t, x.Address(), "127.0.0.1"), "GET", "/x", "")
	assert.Equal(t, x.handled.Load(), before)
	assert.Equal(t, x.crashes.Load(), int64(1))
	assert.Equal(t, x.Counters().CrashArrival, int64(1))
	time.Sleep(2 * quietPeriod)
	assertAnswered(t, dial(t, x.Address(), "127.0.0.1"))
}

// Guards against a request that arrived before a crash and is handled after it,
// although its connection was closed.
func TestCrashRunsNothingThatArrivedBefore(t *testing.T) {
	var handled atomic.Int64
	crashed := make(chan struct{})
	arrived := make(chan struct{}, 1)
	x, err := Start(Options{
		Listen: "127.0.0.1:0", Control: "127.0.0.1:0",
		Handler: func(*fasthttp.RequestCtx) { handled.Add(1) },
		OnArrival: func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Path()) == "/early" {
				arrived <- struct{}{}
				<-crashed
			}
		},
	})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, x.Close()) })
	assert.NilError(t, x.SetFault(Fault{CrashMarker: "poison", CrashTime: Duration(quietPeriod)}))
	early := dial(t, x.Address(), "127.0.0.1")
	cut := make(chan error, 1)
	go func() {
		_, _, err := early.send("GET", "/early", "", eventTimeout)
		cut <- err
	}()
	<-arrived
	assertConnectionClosed(t, dial(t, x.Address(), "127.0.0.1"), "PUT", "/x", "poison")
	assert.Assert(t, <-cut != nil)
	close(crashed)
	time.Sleep(quietPeriod)
	assert.Equal(t, handled.Load(), int64(0))
}

// Guards against a partition that affects clients that are not listed, or that
// leaves the open connections of listed clients alive.
func TestRefuseClientsByAddress(t *testing.T) {
	x := start(t)
	cutOff, unaffected := dial(t, x.Address(), "127.0.0.2"), dial(t, x.Address(), "127.0.0.3")
	assertAnswered(t, cutOff)
	assertAnswered(t, unaffected)
	assert.NilError(t, x.SetFault(Fault{RefuseClients: []netip.Addr{netip.MustParseAddr("127.0.0.2")}}))
	assertConnectionClosed(t, cutOff, "GET", "/x", "")
	assertConnectionClosed(t, dial(t, x.Address(), "127.0.0.2"), "GET", "/x", "")
	assertAnswered(t, unaffected)
	assertAnswered(t, dial(t, x.Address(), "127.0.0.3"))
}

// Guards against a partition that the client notices by a closed connection, and
// against silent connections that work again when the fault is lifted.
func TestSilenceClientsByAddress(t *testing.T) {
	x := start(t)
	old, unaffected := dial(t, x.Address(), "127.0.0.2"), dial(t, x.Address(), "127.0.0.3")
	assertAnswered(t, old)
	assert.NilError(t, x.SetFault(Fault{SilenceClients: []netip.Addr{netip.MustParseAddr("127.0.0.2")}}))
	fresh := dial(t, x.Address(), "127.0.0.2")
	for range 2 {
		for _, c := range []*clientConn{old, fresh} {
			_, _, err := c.send("GET", "/x", "", quietPeriod)
			assert.Assert(t, isTimeout(err), "%v", err)
		}
		assertAnswered(t, unaffected)
		assert.NilError(t, x.SetFault(Fault{}))
	}
	assertAnswered(t, dial(t, x.Address(), "127.0.0.2"))
}

// Guards against invalid or misspelled faults that are silently ignored.
func TestBadFaultsAreRejected(t *testing.T) {
	x := start(t)
	for name, body := range map[string]string{
		"unknown field":     `{"Dwon": true}`,
		"negative duration": `{"Slow": "-1s"}`,
		"negative count":    `{"LoseAnswers": -1}`,
		"cuts without cut":  `{"Cuts": 1}`,
		"match without":     `{"LoseMatch": "/v1"}`,
		"bad address":       `{"RefuseClients": ["host"]}`,
	} {
		t.Run(name, func(t *testing.T) {
			status, text, err := dial(t, x.Address(), "127.0.0.1").send("PUT", "/standin/fault", body, eventTimeout)
			assert.NilError(t, err)
			assert.Equal(t, status, 400, text)
			assert.Assert(t, strings.TrimSpace(text) != "")
			assert.Assert(t, !x.Fault().Down)
		})
	}
}
