package settings

import (
	"time"

	"mimosarelay/core/config"
)

// Limits holds the times of the protocols between hosts. Zero values mean the
// defaults.
type Limits struct {
	// LeaseTTL is the lease of a host in the store; 0 means 3 s.
	LeaseTTL time.Duration `yaml:"LeaseTTL,omitempty"`
	// LimitWait is how long a request waits for rate tokens; 0 means 1 s.
	LimitWait time.Duration `yaml:"LimitWait,omitempty"`
	// OrderWait is how long a call waits for its predecessors; 0 means 10 s.
	OrderWait time.Duration `yaml:"OrderWait,omitempty"`
	// QueueWait is how long a call waits for a target; 0 means 30 s.
	QueueWait time.Duration `yaml:"QueueWait,omitempty"`
	// StreamIdle ends a target stream without progress; 0 means 20 s.
	StreamIdle time.Duration `yaml:"StreamIdle,omitempty"`
}

func (l *Limits) complete(r *config.Report) {
	// A lease is renewed every second and loses 500 ms to the margin, so a
	// shorter one would expire between two renewals.
	duration(r, "Limits.LeaseTTL", &l.LeaseTTL, 3*time.Second, 2*time.Second, time.Minute)
	duration(r, "Limits.LimitWait", &l.LimitWait, time.Second, time.Millisecond, time.Minute)
	duration(r, "Limits.OrderWait", &l.OrderWait, 10*time.Second, time.Millisecond, 10*time.Minute)
	duration(r, "Limits.QueueWait", &l.QueueWait, 30*time.Second, time.Millisecond, 10*time.Minute)
	duration(r, "Limits.StreamIdle", &l.StreamIdle, 20*time.Second, 100*time.Millisecond, 10*time.Minute)
}

// duration replaces 0 by the default and checks the range.
func duration(r *config.Report, field string, d *time.Duration, standard, low, high time.Duration) {
	if *d == 0 {
		*d = standard
	}
	if *d < low || *d > high {
		r.Addf(field, "%v is not allowed; it must be from %v to %v, or 0s for the default of %v", *d, low, high, standard)
	}
}
