package target

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a connection that is reused after its target closes it, against one that
// is opened although an idle one may be used, and against a request that must not run
// twice on a connection that is idle for long.
func TestConnectionIsReusedWithinStatedTime(t *testing.T) {
	const second = time.Second
	tests := map[string]struct {
		header string
		age    time.Duration
		limit  time.Duration // MaxConnIdleTime
		reused bool
	}{
		"not stated":                {"", 3 * second, 0, true},
		"not stated, too old":       {"", 5 * second, 0, false},
		"stated":                    {"timeout=15, max=100", 13 * second, 0, true},
		"stated, margin":            {"timeout=15", 14500 * time.Millisecond, 0, false},
		"number only":               {"15", 13 * second, 0, true},
		"upper case":                {`max=5, Timeout="15"`, 13 * second, 0, true},
		"short":                     {"timeout=2", 1500 * time.Millisecond, 0, false},
		"none":                      {"timeout=0", 0, 0, false},
		"huge":                      {"timeout=4000000000", 121 * second, 0, false},
		"not valid":                 {"timeout=-3", 5 * second, 0, false},
		"not a number":              {"timeout=NaN, max=100", 5 * second, 0, false},
		"non-repeatable":            {"timeout=15", 500 * time.Millisecond, second, true},
		"non-repeatable, too old":   {"timeout=15", 1100 * time.Millisecond, second, false},
		"non-repeatable, no header": {"", 1100 * time.Millisecond, second, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			head := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
			if test.header != "" {
				head += "Keep-Alive: " + test.header + "\r\n"
			}
			r := newRawTarget(t, head+"\r\nok", true)
			c := NewClient(Options{})
			defer func() { _ = c.Close() }()
			address := r.listener.Addr().String()
			_, err := call(t, c, address, CallOptions{})
			assert.NilError(t, err)
			for _, cn := range c.idle[address] {
				cn.idleSince = cn.idleSince.Add(-test.age)
			}
			_, err = call(t, c, address, CallOptions{MaxConnIdleTime: test.limit})
			assert.NilError(t, err)
			want := int64(2)
			if test.reused {
				want = 1
			}
			assert.Equal(t, r.dials.Load(), want)
		})
	}
}

// Guards against idle connections to targets that are not used any more, which would stay
// open as long as the host runs.
func TestExpiredConnectionsAreClosed(t *testing.T) {
	old := newRawTarget(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=15\r\n\r\nok", true)
	other := newRawTarget(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true)
	c := NewClient(Options{})
	defer func() { _ = c.Close() }()
	_, err := call(t, c, old.listener.Addr().String(), CallOptions{})
	assert.NilError(t, err)
	c.idle[old.listener.Addr().String()][0].idleSince = time.Now().Add(-time.Minute)
	c.sweptAt = time.Time{}
	_, err = call(t, c, other.listener.Addr().String(), CallOptions{})
	assert.NilError(t, err)
	assert.Equal(t, len(c.idle), 1)
}
