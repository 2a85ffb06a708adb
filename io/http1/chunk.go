package http1

import (
	"bytes"
	"strconv"
)

const (
	// maxChunkLine limits the bytes of a line with a chunk size. Extensions are
	// ignored.
	maxChunkLine = 1 << 10
	// maxChunkDigits keeps the size of a chunk below 2^60.
	maxChunkDigits = 15
)

// parseChunkLine returns the size of the chunk that a line without its line end
// begins, see RFC 9112 section 7.1.
func parseChunkLine(line []byte) (int64, error) {
	digits, extensions, extended := bytes.Cut(line, []byte(";"))
	if extended {
		digits = bytes.TrimRight(digits, " \t")
	}
	if len(digits) == 0 || len(digits) > maxChunkDigits || bytes.ContainsAny(digits, "+-_xX") {
		return 0, malformed("chunk size %.40q", digits)
	}
	size, err := strconv.ParseInt(string(digits), 16, 64)
	if err != nil {
		return 0, malformed("chunk size %.40q", digits)
	}
	for extended {
		if extensions, extended, err = parseExtension(extensions); err != nil {
			return 0, err
		}
	}
	return size, nil
}

// parseExtension checks the first of a list of chunk extensions and returns the rest
// of the list.
func parseExtension(list []byte) (rest []byte, more bool, err error) {
	end := bytes.IndexAny(list, ";=\"")
	if end < 0 {
		end = len(list)
	}
	name := bytes.Trim(list[:end], " \t")
	if !isToken(name) {
		return nil, false, malformed("chunk extension %.40q", list)
	}
	rest = list[end:]
	if value, ok := bytes.CutPrefix(rest, []byte("=")); ok {
		if rest, ok = skipExtensionValue(bytes.TrimLeft(value, " \t")); !ok {
			return nil, false, malformed("chunk extension %.40q", list)
		}
	}
	rest = bytes.TrimLeft(rest, " \t")
	if len(rest) == 0 {
		return nil, false, nil
	}
	if rest, more = bytes.CutPrefix(rest, []byte(";")); !more {
		return nil, false, malformed("chunk extension %.40q", list)
	}
	return rest, true, nil
}

// skipExtensionValue returns what follows a token or a quoted string.
func skipExtensionValue(value []byte) (rest []byte, ok bool) {
	quoted, isQuoted := bytes.CutPrefix(value, []byte(`"`))
	if !isQuoted {
		end := bytes.IndexAny(value, "; \t")
		if end < 0 {
			end = len(value)
		}
		return value[end:], isToken(value[:end])
	}
	for i := 0; i < len(quoted); i++ {
		switch quoted[i] {
		case '\\':
			i++
		case '"':
			return quoted[i+1:], isText(quoted[:i])
		}
	}
	return nil, false
}

// checkTrailer checks a trailer line without its line end. Fields that decide on the
// framing are not allowed there, see RFC 9110 section 6.5.1.
func checkTrailer(line []byte) error {
	name, _, err := parseField(line)
	if err != nil {
		return err
	}
	for _, framing := range []string{"Content-Length", "Transfer-Encoding", "Trailer"} {
		if bytes.EqualFold(name, []byte(framing)) {
			return malformed("trailer %q", name)
		}
	}
	return nil
}
