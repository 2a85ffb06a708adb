// Package boottime provides a clock that also counts the time in which the
// machine was suspended. Go's monotonic clock stops then, so that a lease would
// seem valid after it has lapsed.
package boottime

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Clock is the real clock with a Now that is taken from CLOCK_BOOTTIME. Its
// times agree with the time of day at the start of the process, and do not
// follow later changes of the time of day.
type Clock struct {
	clockwork.Clock
	startTime      time.Time
	startSinceBoot time.Duration
}

// New returns a clock.
func New() *Clock {
	return &Clock{Clock: clockwork.NewRealClock(), startTime: time.Now().Round(0), startSinceBoot: sinceBoot()}
}

func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux has had this clock since 2.6.39
	}
	return time.Duration(t.Nano())
}

// Now implements clockwork.Clock.
func (c *Clock) Now() time.Time { return c.startTime.Add(sinceBoot() - c.startSinceBoot) }

// Since implements clockwork.Clock.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until implements clockwork.Clock.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }
