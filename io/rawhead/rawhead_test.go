package rawhead

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	_ "mimosarelay/test/fixedseed"
)

func read(t testing.TB, head string) *fasthttp.Request {
	t.Helper()
	var r fasthttp.Request
	assert.NilError(t, r.Read(bufio.NewReader(strings.NewReader(head))))
	return &r
}

// Guards against fields that are normalized, merged, reordered or lost.
func TestFieldsAreAsReceived(t *testing.T) {
	r := read(t, "GET /a/../b//%7e? HTTP/1.1\r\nHost: h\r\ncookie: a=b;  c=\"d\"\r\nX-a:1\r\nx-A: \t 2 3 \t\r\nX-Empty:\r\nCookie: c=\"e\"\r\n\r\n")
	assert.DeepEqual(t, Fields(r), []Field{
		{"Host", "h"}, {"cookie", `a=b;  c="d"`}, {"X-a", "1"}, {"x-A", "2 3"}, {"X-Empty", ""}, {"Cookie", `c="e"`},
	})
	assert.Equal(t, First(Fields(r), "x-a"), "1")
	assert.Equal(t, First(Fields(r), "missing"), "")
}

// Guards against a target that is changed because the URI of the request was parsed.
func TestTargetIsAsReceivedAfterTheURIWasParsed(t *testing.T) {
	const want = "/a/../b//%7e%2F?"
	r := read(t, "GET "+want+" HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.Equal(t, string(r.URI().Path()), "/b/~/")
	assert.NilError(t, Check(r))
	assert.Equal(t, string(Target(r)), want)
}

// FuzzCheck guards against a request that passes the check although net/http, as
// another reader of the same bytes, refuses it or finds another body.
func FuzzCheck(f *testing.F) {
	for _, seed := range []string{
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxy",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: identity\r\nContent-Length: 1\r\n\r\nx",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"GET /%2F//../?# HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n",
		"GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"GET / HTTP/1.1\nHost: h\nCookie: a=\"b\"\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var r fasthttp.Request
		if r.Read(bufio.NewReader(bytes.NewReader(data))) != nil || Check(&r) != nil {
			return
		}
		line, _, _ := bytes.Cut(bytes.TrimLeft(data, "\r\n"), []byte("\n"))
		parts := bytes.Split(bytes.TrimSuffix(line, []byte("\r")), []byte(" "))
		assert.Equal(t, len(parts), 3, "%q", line)
		assert.DeepEqual(t, Target(&r), parts[1])
		other, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			return // net/http also refuses targets and hosts that are not well formed
		}
		length := First(Fields(&r), "content-length")
		switch encoding := First(Fields(&r), "transfer-encoding"); {
		case encoding != "":
			assert.Equal(t, other.ContentLength, int64(-1))
		case length != "":
			assert.Equal(t, strconv.FormatInt(other.ContentLength, 10), strings.TrimLeft(length[:len(length)-1], "0")+length[len(length)-1:])
		default:
			assert.Equal(t, other.ContentLength, int64(0))
		}
	})
}

// Guards against a request line or header that fasthttp reads and other readers refuse
// or read differently.
func TestAmbiguousHeadIsRefused(t *testing.T) {
	for name, head := range map[string]string{
		"absolute form":          "GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n",
		"asterisk form":          "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n",
		"authority form":         "CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n",
		"folded field":           "GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n",
		"line end without CR":    "GET / HTTP/1.1\r\nHost: h\r\nX: a\nY: b\r\n\r\n",
		"identity":               "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: identity\r\n\r\n",
		"length with a sign":     "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +1\r\n\r\nx",
		"length and encoding":    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"encoding and HTTP/1.0":  "POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"space before the colon": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 1\r\n\r\nx",
	} {
		t.Run(name, func(t *testing.T) {
			var r fasthttp.Request
			if r.Read(bufio.NewReader(strings.NewReader(head))) != nil {
				return // refused before the check
			}
			assert.Assert(t, errors.Is(Check(&r), ErrFraming))
		})
	}
}
