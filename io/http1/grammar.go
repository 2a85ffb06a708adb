package http1

// tokenBytes are the bytes of a token, see RFC 9110 section 5.6.2.
var tokenBytes = newTokenBytes()

func newTokenBytes() (table [256]bool) {
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		table[b] = true
	}
	return table
}

// isToken reports whether text is a token, for example the name of a field.
func isToken(text []byte) bool {
	for _, b := range text {
		if !tokenBytes[b] {
			return false
		}
	}
	return len(text) > 0
}

// isText reports whether text holds no control characters but tabs, as the value of a
// field and a reason phrase, see RFC 9110 section 5.5.
func isText(text []byte) bool {
	for _, b := range text {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}
