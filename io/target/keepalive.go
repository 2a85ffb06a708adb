package target

import (
	"strconv"
	"strings"
	"time"
)

// headerKeepAlive states how long a target keeps an idle connection, for example
// "timeout=15, max=100".
const headerKeepAlive = "Keep-Alive"

const (
	// keepAliveMargin is subtracted from the stated time, so that the target does not
	// close a connection while a request is on its way.
	keepAliveMargin = time.Second
	// maxStatedIdleTime bounds the stated time, so that a target which is not used any
	// more holds no connections for long.
	maxStatedIdleTime = 2 * time.Minute
	// sweepInterval is the time between two searches for connections that are idle for
	// too long.
	sweepInterval = time.Second
)

// statedIdleTime returns how long an idle connection may be reused according to the
// header Keep-Alive, or false if the header states no valid time. It accepts a number
// of seconds without a name.
func statedIdleTime(header string) (time.Duration, bool) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, named := strings.Cut(part, "=")
		if !named {
			name, value = "timeout", name
		}
		if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		seconds, err := strconv.ParseUint(strings.Trim(strings.TrimSpace(value), `"`), 10, 32)
		if err != nil {
			return 0, false
		}
		stated := time.Duration(seconds) * time.Second
		return min(max(stated-keepAliveMargin, 0), maxStatedIdleTime), true
	}
	return 0, false
}
