// Package loadboard holds the newest known load of each target and sums of the measured
// speed. Entry hosts report what they heard to keepers, and each keeper has a Board.
package loadboard

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosarelay/core/model"
)

const (
	// MaxReports limits the targets of one message. It exceeds the 74 targets of the
	// largest deployment.
	MaxReports = 256
	// MaxAge is the age from which a load is not passed on. Calls last less than 1 s.
	MaxAge = 3 * time.Second
	// MaxSamples limits the measurements of a target in one message. It exceeds what a
	// host measures between two messages, and keeps sums far from an overflow.
	MaxSamples = 4096
	// MaxRatio bounds a measurement: the logarithm of a ratio of 20. One stopped stream
	// must not outweigh all others.
	MaxRatio = 3
)

// Key identifies a target in messages, in 4 bytes instead of its ID. With 300 targets,
// two of them have the same Key with a probability of 10^-5.
type Key uint32

// KeyOf returns the Key of a target.
func KeyOf(id model.TargetID) Key { return KeyOfHash(xxhash.Sum64String(string(id))) }

// KeyOfHash returns the Key of a target whose ID has the hash.
func KeyOfHash(idHash uint64) Key { return Key(idHash) }

// Load is the load of a target as stated in one of its answers.
type Load struct {
	// At is when the answer came to the host that reports it, by the local clock. It is
	// zero if no answer stated a load.
	At                      time.Time
	Running, Waiting, Slots int
	// Slowness is the time of work relative to the usual; 0 if not stated.
	Slowness float64
}

// Speed sums up measurements of the speed of a target.
type Speed struct {
	Samples int
	// LogSum is the sum of the logarithms of the ratios to the usual time of work.
	LogSum float64
}

// Add adds the measurements of x.
func (v *Speed) Add(x Speed) {
	v.Samples += x.Samples
	v.LogSum += x.LogSum
}

// bounded returns a Speed with plausible figures, empty if the sum is not a number.
func (v Speed) bounded() Speed {
	if math.IsNaN(v.LogSum) {
		return Speed{}
	}
	v.Samples = min(max(v.Samples, 0), MaxSamples)
	limit := MaxRatio * float64(v.Samples)
	v.LogSum = min(max(v.LogSum, -limit), limit)
	return v
}

// Report is what a host heard of a target since its last report, or what a Board has.
type Report struct {
	Key   Key
	Load  Load
	Speed Speed
}
