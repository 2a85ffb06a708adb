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

// The clock of the Date header runs for the rest of the process.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

// patience bounds the wait for something that must happen, and quiet the wait
// for something that must not.
const (
	patience = 5 * time.Second
	quiet    = 100 * time.Millisecond
)

// fixture is a server that answers "answer" and counts the requests that took
// effect.
type fixture struct {
	*Server
	effects, crashes atomic.Int64
}

func start(t *testing.T) *fixture {
	t.Helper()
	x := &fixture{}
	var err error
	x.Server, err = Start(Options{
		Listen:  "127.0.0.1:0",
		Control: "127.0.0.1:0",
		Handler: func(ctx *fasthttp.RequestCtx) {
			x.effects.Add(1)
			ctx.SetBodyString("answer")
		},
		IsWrite: func(ctx *fasthttp.RequestCtx) bool { return ctx.IsPut() },
		Crashed: func() {
			time.Sleep(quiet / 4) // dropping state takes a moment
			x.crashes.Add(1)
		},
	})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, x.Close()) })
	return x
}

// client is one connection, so that tests know which one a request uses.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address, from string) *client {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	c, err := d.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &client{Conn: c, reader: bufio.NewReader(c)}
}

// do sends a request and reads the answer within the time given.
func (c *client) do(method, path, body string, within time.Duration) (int, string, error) {
	_ = c.SetDeadline(time.Now().Add(within))
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body)
	if err != nil {
		return 0, "", err
	}
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	return answer.StatusCode, string(data), err
}

func assertAnswers(t *testing.T, c *client) {
	t.Helper()
	_, body, err := c.do("GET", "/x", "", patience)
	assert.NilError(t, err)
	assert.Equal(t, body, "answer")
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error) //nolint:errorlint // the connection returns it unwrapped
	return ok && timeout.Timeout()
}

// assertCut fails if the request is answered or left hanging.
func assertCut(t *testing.T, c *client, method, path, body string) {
	t.Helper()
	_, _, err := c.do(method, path, body, patience)
	assert.Assert(t, err != nil && !isTimeout(err), "%v", err)
}

// Guards against an outage that leaves open connections alive, or that cannot
// be ended because the switch is unreachable.
func TestDownClosesConnectionsUntilLifted(t *testing.T) {
	x := start(t)
	old := dial(t, x.Address(), "127.0.0.1")
	assertAnswers(t, old)
	control := dial(t, x.ControlAddress(), "127.0.0.1")
	status, _, err := control.do("PUT", "/standin/fault", `{"Down": true}`, patience)
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	assertCut(t, old, "GET", "/x", "")
	assertCut(t, dial(t, x.Address(), "127.0.0.1"), "GET", "/x", "")
	status, _, err = dial(t, x.ControlAddress(), "127.0.0.1").do("PUT", "/standin/fault", `{}`, patience)
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	assertAnswers(t, dial(t, x.Address(), "127.0.0.1"))
	assert.Equal(t, x.Counters().Refused, int64(1))
}

// Guards against a lost answer whose write did not take effect, and against
// losing answers of reads or of more writes than asked for.
func TestLoseAnswersAfterTheWriteTookEffect(t *testing.T) {
	x := start(t)
	assert.NilError(t, x.SetFault(Fault{LoseAnswers: 1, LoseMatch: "/key"}))
	c := dial(t, x.Address(), "127.0.0.1")
	assertAnswers(t, c)
	for path, method := range map[string]string{"/other": "PUT", "/key": "GET"} {
		_, body, err := c.do(method, path, "", patience)
		assert.NilError(t, err)
		assert.Equal(t, body, "answer")
	}
	before := x.effects.Load()
	assertCut(t, c, "PUT", "/key", "v")
	assert.Equal(t, x.effects.Load(), before+1)
	_, body, err := dial(t, x.Address(), "127.0.0.1").do("PUT", "/key", "v", patience)
	assert.NilError(t, err)
	assert.Equal(t, body, "answer")
}

// Guards against a half answer that is delivered whole, or with fewer bytes
// than asked for.
func TestCutBytesBreaksTheAnswer(t *testing.T) {
	x := start(t)
	assert.NilError(t, x.SetFault(Fault{CutBytes: 3, Cuts: 1}))
	_, body, err := dial(t, x.Address(), "127.0.0.1").do("GET", "/x", "", patience)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, body, "ans")
	assertAnswers(t, dial(t, x.Address(), "127.0.0.1"))
}

// Guards against hanging requests that are answered, or that take effect when
// the fault is lifted.
func TestHangNeverAnswers(t *testing.T) {
	x := start(t)
	assert.NilError(t, x.SetFault(Fault{Hang: true}))
	c := dial(t, x.Address(), "127.0.0.1")
	_, _, err := c.do("GET", "/x", "", quiet)
	assert.Assert(t, isTimeout(err), "%v", err)
	assert.NilError(t, x.SetFault(Fault{}))
	_ = c.SetDeadline(time.Now().Add(patience))
	_, err = c.reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, x.effects.Load(), int64(0))
	assertAnswers(t, dial(t, x.Address(), "127.0.0.1"))
}

// Guards against silent connections that are closed, that still deliver
// requests, or that take new connections with them.
func TestSilentAffectsOpenConnectionsOnly(t *testing.T) {
	x := start(t)
	old := dial(t, x.Address(), "127.0.0.1")
	assertAnswers(t, old)
	before := x.effects.Load()
	assert.NilError(t, x.SetFault(Fault{Silent: true}))
	_, _, err := old.do("GET", "/x", "", quiet)
	assert.Assert(t, isTimeout(err), "%v", err)
	assert.Equal(t, x.effects.Load(), before)
	assertAnswers(t, dial(t, x.Address(), "127.0.0.1"))
}

// Guards against a delay that is skipped: no answer may come before it.
func TestSlowDelaysTheEffect(t *testing.T) {
	x := start(t)
	assert.NilError(t, x.SetFault(Fault{Slow: Duration(time.Hour)}))
	_, _, err := dial(t, x.Address(), "127.0.0.1").do("GET", "/x", "", quiet)
	assert.Assert(t, isTimeout(err), "%v", err)
	assert.Equal(t, x.effects.Load(), int64(0))
	assert.NilError(t, x.SetFault(Fault{Slow: Duration(time.Millisecond)}))
	assertAnswers(t, dial(t, x.Address(), "127.0.0.1"))
}

// Guards against a crash that spares other connections or is not counted.
func TestCrashMarkerTakesTheServerDown(t *testing.T) {
	x := start(t)
	other := dial(t, x.Address(), "127.0.0.1")
	assertAnswers(t, other)
	assert.NilError(t, x.SetFault(Fault{CrashMarker: "poison", CrashTime: Duration(quiet)}))
	before := x.effects.Load()
	assertCut(t, dial(t, x.Address(), "127.0.0.1"), "PUT", "/x", "some poison here")
	assertCut(t, other, "GET", "/x", "")
	assertCut(t, dial(t, x.Address(), "127.0.0.1"), "GET", "/x", "")
	assert.Equal(t, x.effects.Load(), before)
	assert.Equal(t, x.crashes.Load(), int64(1))
	assert.Equal(t, x.Counters().CrashArrival, int64(1))
	time.Sleep(2 * quiet)
	assertAnswers(t, dial(t, x.Address(), "127.0.0.1"))
}

// Guards against a request that arrived before a crash and runs after it, though
// its connection was closed.
func TestCrashRunsNothingThatArrivedBefore(t *testing.T) {
	var effects atomic.Int64
	crashed := make(chan struct{})
	arrived := make(chan struct{}, 1)
	x, err := Start(Options{
		Listen: "127.0.0.1:0", Control: "127.0.0.1:0",
		Handler: func(*fasthttp.RequestCtx) { effects.Add(1) },
		Arrived: func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Path()) == "/early" {
				arrived <- struct{}{}
				<-crashed
			}
		},
	})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, x.Close()) })
	assert.NilError(t, x.SetFault(Fault{CrashMarker: "poison", CrashTime: Duration(quiet)}))
	early := dial(t, x.Address(), "127.0.0.1")
	cut := make(chan error, 1)
	go func() {
		_, _, err := early.do("GET", "/early", "", patience)
		cut <- err
	}()
	<-arrived
	assertCut(t, dial(t, x.Address(), "127.0.0.1"), "PUT", "/x", "poison")
	assert.Assert(t, <-cut != nil)
	close(crashed)
	time.Sleep(quiet)
	assert.Equal(t, effects.Load(), int64(0))
}

// Guards against a partition that cuts off other clients, or that leaves the
// open connections of the listed ones.
func TestRefuseClientsByAddress(t *testing.T) {
	x := start(t)
	cutOff, spared := dial(t, x.Address(), "127.0.0.2"), dial(t, x.Address(), "127.0.0.3")
	assertAnswers(t, cutOff)
	assertAnswers(t, spared)
	assert.NilError(t, x.SetFault(Fault{RefuseClients: []netip.Addr{netip.MustParseAddr("127.0.0.2")}}))
	assertCut(t, cutOff, "GET", "/x", "")
	assertCut(t, dial(t, x.Address(), "127.0.0.2"), "GET", "/x", "")
	assertAnswers(t, spared)
	assertAnswers(t, dial(t, x.Address(), "127.0.0.3"))
}

// Guards against a partition that the client is told of by a closed
// connection, and against one that heals the connections it broke.
func TestSilenceClientsByAddress(t *testing.T) {
	x := start(t)
	old, spared := dial(t, x.Address(), "127.0.0.2"), dial(t, x.Address(), "127.0.0.3")
	assertAnswers(t, old)
	assert.NilError(t, x.SetFault(Fault{SilenceClients: []netip.Addr{netip.MustParseAddr("127.0.0.2")}}))
	fresh := dial(t, x.Address(), "127.0.0.2")
	for range 2 {
		for _, c := range []*client{old, fresh} {
			_, _, err := c.do("GET", "/x", "", quiet)
			assert.Assert(t, isTimeout(err), "%v", err)
		}
		assertAnswers(t, spared)
		assert.NilError(t, x.SetFault(Fault{}))
	}
	assertAnswers(t, dial(t, x.Address(), "127.0.0.2"))
}

// Guards against misspelled switches that silently do nothing.
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
			status, text, err := dial(t, x.Address(), "127.0.0.1").do("PUT", "/standin/fault", body, patience)
			assert.NilError(t, err)
			assert.Equal(t, status, 400, text)
			assert.Assert(t, strings.TrimSpace(text) != "")
			assert.Assert(t, !x.Fault().Down)
		})
	}
}
