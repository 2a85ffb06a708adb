package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	_ "mimosarelay/test/fixedseed"
)

// stream is a connection that receives fixed bytes.
type stream struct {
	net.Conn
	io.Reader
}

func (s stream) Read(p []byte) (int, error) { return s.Reader.Read(p) }

// receive reads a connection that receives the bytes of data, and then its end.
func receive(r io.Reader, toHead bool) (string, error) {
	c := NewConn(stream{Reader: r})
	c.Begin(toHead)
	data, err := io.ReadAll(c)
	return string(data), err
}

const (
	ok      = "HTTP/1.1 200 OK\r\n"
	chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
)

// Guards against a response that is well formed and is refused or changed.
func TestWellFormedResponses(t *testing.T) {
	for name, data := range map[string]string{
		"length":                       ok + "Content-Length: 2\r\n\r\nab",
		"no body":                      ok + "Content-Length: 0\r\n\r\n",
		"no phrase":                    "HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n",
		"no space and no phrase":       "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n",
		"phrase with spaces and bytes": "HTTP/1.1 404 Not\tFound \xe4\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.0":                     "HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\na",
		"until the end":                ok + "\r\nbody\r\n\x00",
		"last status":                  "HTTP/1.1 599 x\r\nContent-Length: 0\r\n\r\n",
		"field without value":          ok + "A:\r\nB: \t \r\nContent-Length: 0\r\n\r\n",
		"all token characters":         ok + "!#$%&'*+-.^_`|~09azAZ: x\r\nContent-Length: 0\r\n\r\n",
		"value with bytes and tabs":    ok + "A: \xffx\ty\r\nContent-Length: 0\r\n\r\n",
		"length without space":         ok + "content-length:1\r\n\r\na",
		"chunks":                       chunked + "2\r\nab\r\nA\r\n0123456789\r\n0\r\n\r\n",
		"chunk sizes with zeros":       chunked + "002\r\nab\r\n000\r\n\r\n",
		"chunk extensions":             chunked + "1;a;b=c ; d = \"e\\\"f\"\r\nx\r\n0;z\r\n\r\n",
		"coding in capitals":           ok + "Transfer-Encoding: CHUNKED\r\n\r\n0\r\n\r\n",
		"trailers":                     chunked + "0\r\nA: b\r\nC:\r\n\r\n",
		"no content":                   "HTTP/1.1 204 No Content\r\n\r\n",
		"no content with length 0":     "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
		"not modified with length":     "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n",
		"informational":                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 x\r\nA: b\r\n\r\n" + ok + "Content-Length: 1\r\n\r\na",
		"two responses":                ok + "Content-Length: 1\r\n\r\na" + chunked + "1\r\nb\r\n0\r\n\r\n" + ok + "\r\nrest",
		"nothing":                      "",
	} {
		t.Run(name, func(t *testing.T) {
			for _, r := range []io.Reader{strings.NewReader(data), iotest.OneByteReader(strings.NewReader(data)), iotest.HalfReader(strings.NewReader(data))} {
				got, err := receive(r, false)
				assert.NilError(t, err)
				assert.Equal(t, got, data)
			}
		})
	}
}

// Guards against a response to HEAD whose content length is taken for that of a body.
func TestResponseToHead(t *testing.T) {
	const data = ok + "Content-Length: 5\r\n\r\n"
	got, err := receive(strings.NewReader(data), true)
	assert.NilError(t, err)
	assert.Equal(t, got, data)
}

// Guards against a malformed response that reaches a library, which repairs it. The
// grammar is that of RFC 9112, sections 4 to 7.
func TestMalformedResponses(t *testing.T) {
	const end = "\r\nContent-Length: 1\r\n\r\na"
	for name, data := range map[string]string{
		"status 000":                "HTTP/1.1 000 OK" + end,
		"status 099":                "HTTP/1.1 099 OK" + end,
		"status 600":                "HTTP/1.1 600 OK" + end,
		"status of two digits":      "HTTP/1.1 20 OK" + end,
		"status of four digits":     "HTTP/1.1 2000 OK" + end,
		"status with a sign":        "HTTP/1.1 +20 OK" + end,
		"status with a letter":      "HTTP/1.1 2x0 OK" + end,
		"no status":                 "HTTP/1.1 " + end,
		"two spaces":                "HTTP/1.1  200 OK" + end,
		"tab in the status line":    "HTTP/1.1\t200 OK" + end,
		"control byte in phrase":    "HTTP/1.1 200 O\x01K" + end,
		"CR in phrase":              "HTTP/1.1 200 O\rK" + end,
		"version 2.0":               "HTTP/2.0 200 OK" + end,
		"version 1.2":               "HTTP/1.2 200 OK" + end,
		"version in small letters":  "http/1.1 200 OK" + end,
		"no version":                "200 OK" + end,
		"empty line first":          "\r\n" + ok + "Content-Length: 1\r\n\r\na",
		"change of protocol":        "HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"no response":               "SSH-2.0-x",
		"no response, long":         strings.Repeat("x", 2*maxHead),
		"line ends without CR":      "HTTP/1.1 200 OK\nContent-Length: 1\n\na",
		"one line end without CR":   ok + "A: b\nContent-Length: 1\r\n\r\na",
		"blank in a name":           ok + "A B: c" + end,
		"blank after a name":        ok + "A : c" + end,
		"tab after a name":          ok + "A\t: c" + end,
		"control byte in a name":    ok + "A\x01: c" + end,
		"NUL in a name":             ok + "A\x00: c" + end,
		"DEL in a name":             ok + "A\x7f: c" + end,
		"byte over 127 in a name":   ok + "\xe4: c" + end,
		"delimiter in a name":       ok + "A(: c" + end,
		"no name":                   ok + ": c" + end,
		"no colon":                  ok + "A" + end,
		"folded line":               ok + "A: b\r\n c" + end,
		"folded first line":         ok + " A: b" + end,
		"control byte in a value":   ok + "A: \x01" + end,
		"NUL in a value":            ok + "A: \x00" + end,
		"CR in a value":             ok + "A: b\rc" + end,
		"head without end":          ok + strings.Repeat("A: b\r\n", maxHead/6+1),
		"field without end":         ok + "A: " + strings.Repeat("b", maxHead),
		"length with a sign":        ok + "Content-Length: +1\r\n\r\na",
		"negative length":           ok + "Content-Length: -1\r\n\r\na",
		"hexadecimal length":        ok + "Content-Length: 0x1\r\n\r\na",
		"empty length":              ok + "Content-Length:\r\n\r\na",
		"length above 63 bits":      ok + "Content-Length: 9223372036854775808\r\n\r\na",
		"list of lengths":           ok + "Content-Length: 1, 1\r\n\r\na",
		"two lengths":               ok + "Content-Length: 1\r\nContent-Length: 2\r\n\r\na",
		"two equal lengths":         ok + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na",
		"blank within length":       ok + "Content-Length: 1 1\r\n\r\na",
		"length and coding":         ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"coding and length":         ok + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\n",
		"unknown coding":            ok + "Transfer-Encoding: x\r\n\r\n",
		"list of codings":           ok + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"coding twice":              ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"empty coding":              ok + "Transfer-Encoding:\r\n\r\n",
		"coding in HTTP/1.0":        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"coding in status 204":      "HTTP/1.1 204 x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"length in status 204":      "HTTP/1.1 204 x\r\nContent-Length: 1\r\n\r\na",
		"coding in informational":   "HTTP/1.1 100 x\r\nTransfer-Encoding: chunked\r\n\r\n",
		"informational without end": strings.Repeat("HTTP/1.1 100 x\r\n\r\n", maxInterim+1),
		"empty chunk size":          chunked + "\r\nab\r\n0\r\n\r\n",
		"chunk size with a sign":    chunked + "+2\r\nab\r\n0\r\n\r\n",
		"chunk size with 0x":        chunked + "0x2\r\nab\r\n0\r\n\r\n",
		"chunk size with blank":     chunked + "2 \r\nab\r\n0\r\n\r\n",
		"blank before chunk size":   chunked + " 2\r\nab\r\n0\r\n\r\n",
		"chunk size with _":         chunked + "0_2\r\nab\r\n0\r\n\r\n",
		"chunk size with a letter":  chunked + "g\r\nab\r\n0\r\n\r\n",
		"chunk size over 60 bits":   chunked + "1000000000000000\r\n",
		"long chunk line":           chunked + "1;" + strings.Repeat("a", maxChunkLine) + "\r\nx\r\n0\r\n\r\n",
		"chunk line without CR":     chunked + "1\nx\r\n0\r\n\r\n",
		"empty extension":           chunked + "1;\r\nx\r\n0\r\n\r\n",
		"extension with control":    chunked + "1;a\x01\r\nx\r\n0\r\n\r\n",
		"extension without value":   chunked + "1;a=\r\nx\r\n0\r\n\r\n",
		"extension value not ended": chunked + "1;a=\"b\r\nx\r\n0\r\n\r\n",
		"text after an extension":   chunked + "1;a=\"b\"c\r\nx\r\n0\r\n\r\n",
		"data longer than chunk":    chunked + "1\r\nxy\r\n0\r\n\r\n",
		"no line end after data":    chunked + "1\r\nx0\r\n\r\n",
		"trailer without colon":     chunked + "0\r\nA\r\n\r\n",
		"blank in a trailer name":   chunked + "0\r\nA : b\r\n\r\n",
		"control byte in a trailer": chunked + "0\r\nA: \x01\r\n\r\n",
		"folded trailer":            chunked + "0\r\nA: b\r\n c\r\n\r\n",
		"framing in a trailer":      chunked + "0\r\nContent-Length: 1\r\n\r\n",
		"trailers without end":      chunked + "0\r\n" + strings.Repeat("A: b\r\n", maxHead/6+1),
	} {
		t.Run(name, func(t *testing.T) {
			for _, r := range []io.Reader{strings.NewReader(data), iotest.OneByteReader(strings.NewReader(data))} {
				got, err := receive(r, false)
				assert.ErrorIs(t, err, ErrMalformed)
				assert.Assert(t, strings.HasPrefix(data, got))
				if !strings.HasPrefix(data, chunked) {
					assert.Assert(t, !strings.Contains(got, "200"), "%q", got)
				}
			}
		})
	}
}

// Guards against a response that was cut off and looks complete.
func TestCutResponses(t *testing.T) {
	for name, data := range map[string]string{
		"status line":   "HTT",
		"head":          ok + "A: b\r\n",
		"body":          ok + "Content-Length: 2\r\n\r\na",
		"informational": "HTTP/1.1 100 Continue\r\n\r\n",
		"chunk size":    chunked + "2",
		"chunk":         chunked + "2\r\na",
		"after a chunk": chunked + "1\r\na\r\n",
		"trailers":      chunked + "0\r\nA: b\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := receive(strings.NewReader(data), false)
			assert.ErrorIs(t, err, ErrCut)
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}

// Guards against a whole response that is lost because bytes that belong to no
// response follow it, and against another use of its connection.
func TestBytesAfterResponse(t *testing.T) {
	const response = ok + "Content-Length: 1\r\n\r\na"
	c := NewConn(stream{Reader: strings.NewReader(response + "\x00garbage")})
	p := make([]byte, 1<<10)
	var got string
	for len(got) < len(response) {
		n, err := c.Read(p)
		assert.NilError(t, err)
		got += string(p[:n])
	}
	assert.Equal(t, got, response)
	assert.Assert(t, !c.Clean())
	_, err := c.Read(p)
	assert.ErrorIs(t, err, ErrMalformed)
}

// FuzzConn guards against bytes that depend on how they arrive, and against a response
// that is passed on and that another reader refuses.
func FuzzConn(f *testing.F) {
	for _, seed := range []string{
		ok + "Content-Length: 2\r\n\r\nab", chunked + "2;a=b\r\nab\r\n0\r\nA: b\r\n\r\n", ok + "\r\nx",
		"HTTP/1.1 100 x\r\n\r\n" + ok + "Content-Length: 0\r\n\r\n", "HTTP/1.1 000 x\r\n\r\n", ok + "A B: c\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		whole, err := receive(bytes.NewReader(data), false)
		assert.Assert(t, strings.HasPrefix(string(data), whole))
		parts, partsErr := receive(iotest.OneByteReader(bytes.NewReader(data)), false)
		if errors.Is(err, ErrCut) || errors.Is(partsErr, ErrCut) || err == nil || partsErr == nil {
			assert.Equal(t, parts, whole)
		}
		if err != nil || whole == "" {
			return
		}
		var m fasthttp.Response
		m.StreamBody = true
		assert.NilError(t, m.ReadLimitBody(bufio.NewReaderSize(strings.NewReader(whole), 2*maxHead), 0), "%q", whole)
		if body := m.BodyStream(); body != nil {
			_, err = io.Copy(io.Discard, body)
			assert.NilError(t, err, "%q", whole)
		}
	})
}

// Guards against allocations per response or event on a connection that is used again.
func TestConnDoesNotAllocate(t *testing.T) {
	data := []byte(chunked + "f\r\ndata: some text\r\n0\r\n\r\n")
	offset := 0
	c := NewConn(stream{Reader: readerFunc(func(p []byte) (int, error) {
		n := copy(p, data[offset:])
		offset = (offset + n) % len(data)
		return n, nil
	})})
	p := make([]byte, 16<<10)
	receive := func() {
		for n := 0; n < len(data); {
			read, err := c.Read(p)
			assert.NilError(t, err)
			n += read
		}
	}
	receive()
	assert.Equal(t, testing.AllocsPerRun(1000, receive), 0.0)
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
