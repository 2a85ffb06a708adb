package http1

import "bytes"

// state is what the next byte of a connection belongs to.
type state int

const (
	inHead      state = iota // the head of a response, or the time between two responses
	inData                   // a body with a length, or the data of a chunk
	inDataEnd                // the line end after the data of a chunk
	inChunkLine              // the line with the size of a chunk
	inTrailers               // trailers after the last chunk
	toClose                  // a body that ends when the connection is closed
)

// checker checks a sequence of responses. It keeps what it has received of the line
// that is not complete yet.
type checker struct {
	// toHead says that the next final response answers a HEAD request.
	toHead bool

	state   state
	chunked bool
	left    int64 // bytes of data until its end
	head    head
	interim int
	lines   int    // bytes of the lines of the present head, or trailers
	line    []byte // the beginning of a line
}

// between reports whether no part of a response has been received.
func (c *checker) between() bool {
	return c.state == inHead && !c.head.hasLines && len(c.line) == 0 && c.interim == 0
}

// next checks the beginning of p. It returns the number of bytes that are well formed,
// and whether they end with a head or with a response.
func (c *checker) next(p []byte) (n int, end bool, err error) {
	for n < len(p) && !end && err == nil {
		switch c.state {
		case toClose:
			return len(p), false, nil
		case inData:
			size := min(int64(len(p)-n), c.left)
			c.left -= size
			n += int(size)
			end = c.left == 0 && c.endData()
		default:
			var used int
			if used, end, err = c.nextLine(p[n:]); err == nil {
				n += used
			}
		}
	}
	return n, end, err
}

// endData ends the data of a body or chunk and reports whether the response ends.
func (c *checker) endData() bool {
	if c.chunked {
		c.state = inDataEnd
		return false
	}
	c.endResponse()
	return true
}

func (c *checker) endResponse() {
	*c = checker{toHead: c.toHead, line: c.line[:0]}
}

// nextLine checks a line, or the part of it that p holds.
func (c *checker) nextLine(p []byte) (n int, end bool, err error) {
	limit := maxHead
	switch c.state {
	case inChunkLine:
		limit = maxChunkLine
	case inDataEnd:
		limit = len("\r\n")
	}
	size := bytes.IndexByte(p, '\n') + 1
	if size == 0 {
		size = len(p)
	}
	c.lines += size
	if c.lines > limit {
		return size, false, malformed("more than %d bytes before the end of a head, a chunk size or trailers", limit)
	}
	c.line = append(c.line, p[:size]...)
	if c.line[len(c.line)-1] != '\n' {
		return size, false, c.checkBegun()
	}
	line, ok := bytes.CutSuffix(c.line, []byte("\r\n"))
	if !ok {
		return size, false, malformed("line end without CR")
	}
	end, err = c.endLine(line)
	c.line = c.line[:0]
	return size, end, err
}

// versionPrefix is the beginning of each response.
const versionPrefix = "HTTP/1."

// checkBegun checks the beginning of a line, so that bytes that are not a response are
// found although no line end follows.
func (c *checker) checkBegun() error {
	if c.state != inHead || c.head.hasLines {
		return nil
	}
	if n := min(len(c.line), len(versionPrefix)); string(c.line[:n]) != versionPrefix[:n] {
		return malformed("%.20q is not a status line", c.line)
	}
	return nil
}

// endLine handles a complete line and reports whether a head or a response ends.
func (c *checker) endLine(line []byte) (end bool, err error) {
	switch c.state {
	case inDataEnd:
		if len(line) > 0 {
			return false, malformed("no line end after the data of a chunk")
		}
		c.state, c.lines = inChunkLine, 0
	case inChunkLine:
		c.lines = 0
		if c.left, err = parseChunkLine(line); err != nil {
			return false, err
		}
		if c.state = inData; c.left == 0 {
			c.state = inTrailers
		}
	case inTrailers:
		if len(line) > 0 {
			return false, checkTrailer(line)
		}
		c.endResponse()
		return true, nil
	default:
		if len(line) > 0 || !c.head.hasLines {
			return false, c.head.addLine(line)
		}
		return true, c.endHead()
	}
	return false, nil
}

// endHead decides on what follows a head.
func (c *checker) endHead() error {
	kind, err := c.head.body(c.toHead)
	if err != nil {
		return err
	}
	c.lines = 0
	switch {
	case c.head.interim():
		if c.interim++; c.interim > maxInterim {
			return malformed("more than %d informational responses", maxInterim)
		}
		c.head = head{}
	case kind == bodyToClose:
		c.state = toClose
	case kind == bodyChunked:
		c.state, c.chunked = inChunkLine, true
	case kind == bodyLength && c.head.length > 0:
		c.state, c.left = inData, c.head.length
	default:
		c.endResponse()
	}
	return nil
}
