package settings

import "time"

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
