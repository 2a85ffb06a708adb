// Package boottime provides a clock that advances while the machine is suspended.
// Go's monotonic clock stops during a suspend, so that a lease would seem valid
// after it has lapsed.
package boottime

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Clock is the real clock, except that Now, Since and Until use CLOCK_BOOTTIME.
// Now starts at the wall-clock time at which New was called, and does not follow
// later changes of the wall clock.
type Clock struct {
	clockwork.Clock
	startTime      time.Time
	startSinceBoot time.Duration
}

// New returns a Clock.
func New() *Clock {
	return &Clock{Clock: clockwork.NewRealClock(), startTime: time.Now().Round(0), startSinceBoot: sinceBoot()}
}

// sinceBoot returns the time since the machine booted, including suspends.
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
