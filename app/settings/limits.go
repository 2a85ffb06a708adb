package settings

import (
	"time"

	"mimosarelay/core/config"
)

// Limits holds the lease time and the timeouts of requests and streams. Zero
// values mean the defaults.
type Limits struct {
	// LeaseTTL is the TTL of a host's lease in the store; 0 means 3 s.
	LeaseTTL time.Duration `yaml:"LeaseTTL,omitempty"`
	// LimitWait is how long a request waits for rate tokens; 0 means 1 s.
	LimitWait time.Duration `yaml:"LimitWait,omitempty"`
	// OrderWait is how long a call waits for its predecessors; 0 means 10 s.
	OrderWait time.Duration `yaml:"OrderWait,omitempty"`
	// QueueWait is how long a call waits for a target; 0 means 30 s.
	QueueWait time.Duration `yaml:"QueueWait,omitempty"`
	// StreamIdle is the time without progress after which a target stream is
	// ended; 0 means 20 s.
	StreamIdle time.Duration `yaml:"StreamIdle,omitempty"`
}

func (l *Limits) complete(r *config.Report) {
	// A lease is renewed every second, and a safety margin of 500 ms is
	// deducted from it. A lease shorter than 2 s could expire between two
	// renewals.
	completeDuration(r, "Limits.LeaseTTL", &l.LeaseTTL, 3*time.Second, 2*time.Second, time.Minute)
	completeDuration(r, "Limits.LimitWait", &l.LimitWait, time.Second, time.Millisecond, time.Minute)
	completeDuration(r, "Limits.OrderWait", &l.OrderWait, 10*time.Second, time.Millisecond, 10*time.Minute)
	completeDuration(r, "Limits.QueueWait", &l.QueueWait, 30*time.Second, time.Millisecond, 10*time.Minute)
	completeDuration(r, "Limits.StreamIdle", &l.StreamIdle, 20*time.Second, 100*time.Millisecond, 10*time.Minute)
}

// completeDuration replaces 0 by the default and checks the range.
func completeDuration(r *config.Report, field string, d *time.Duration, defaultValue, minimum, maximum time.Duration) {
	if *d == 0 {
		*d = defaultValue
	}
	if *d < minimum || *d > maximum {
		r.Addf(field, "%v is not allowed; it must be from %v to %v, or 0s for the default of %v", *d, minimum, maximum, defaultValue)
	}
}
