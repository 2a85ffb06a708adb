// Package spill decides which part of the calls of a service leaves the availability
// zone of a host, and for which zone. It does no I/O; each host decides for its own calls.
package spill

import (
	"time"

	"mimosarelay/core/model"
)

// Zone is what a host knows about the targets of a service in one zone.
type Zone struct {
	Name model.Zone
	// Usable is the number of targets that get calls.
	Usable int
	// Cost is the expected time until one more call is complete there, without the path
	// to the zone, in any unit.
	Cost float64
	// Use is the number of calls for each slot; 0 if it is not known.
	Use float64
}

// Options configures a Decider. Zero values mean the defaults.
type Options struct {
	// PathCost is the cost of a call to another zone, in the unit of Zone.Cost.
	PathCost float64
	// StepInterval is the time between two changes of the share; 0 means 300 ms. It
	// exceeds the time in which the answers of a busy zone show the last change.
	StepInterval time.Duration
}

const (
	defaultStepInterval = 300 * time.Millisecond
	// firstShare is the first step away from the zone, and growth the factor of each
	// further one, so that a zone that has lost most of its targets sends maxShare
	// within 1.5 s.
	firstShare, growth = 0.08, 2
	// shrinkage is the factor of each step back. It is slower than growth, so that a
	// zone which recovers isn't flooded by its own callers.
	shrinkage = 0.7
	// minShare is the share below which all calls stay.
	minShare = 0.02
	// maxShare keeps a part of the calls in a zone with usable targets: their answers show
	// when it recovers.
	maxShare = 0.75
	// growGain and shrinkGain are the ratios of the cost here to that there above which
	// the share grows and below which it shrinks. If two zones are equally busy, neither
	// reaches growGain, so that they don't swap calls.
	growGain, shrinkGain = 1.2, 1.05
	// lendUse is the use up to which a zone takes more calls of others, and keepUse the
	// use from which others take calls back. The rest is for its own callers.
	lendUse, keepUse = 0.8, 0.95
	// changeGain is the ratio of costs from which another zone is chosen.
	changeGain = 1.25
)

// Decider holds the decision for one service. The zero value is not usable, see New.
// It is not safe for concurrent use.
type Decider struct {
	options   Options
	share     float64
	zone      model.Zone // that gets the share
	anywhere  bool       // the zone of the host has no usable target
	steppedAt time.Time
	credit    float64 // part of a call that is due to leave
}

// New returns a Decider that keeps all calls in the zone.
func New(o Options) *Decider {
	if o.StepInterval == 0 {
		o.StepInterval = defaultStepInterval
	}
	return &Decider{options: o}
}

// Update changes the share by one step if StepInterval has passed. A zone that loses its
// last usable target sends everything at once.
func (d *Decider) Update(now time.Time, local Zone, others []Zone) {
	if local.Usable == 0 {
		d.anywhere, d.share, d.zone, d.steppedAt = true, 1, "", now
		return
	}
	if d.anywhere { // calls return in steps
		d.anywhere, d.share = false, maxShare
	}
	if now.Sub(d.steppedAt) < d.options.StepInterval {
		return
	}
	best, ok := d.chooseZone(others)
	if !ok {
		d.share, d.zone = 0, ""
		return
	}
	d.steppedAt = now
	d.zone = best.Name
	gain := local.Cost / (best.Cost + d.options.PathCost)
	switch {
	case gain > growGain && best.Use <= lendUse:
		d.share = min(max(firstShare, d.share*growth), maxShare)
	case gain < shrinkGain || best.Use > keepUse:
		if d.share *= shrinkage; d.share < minShare {
			d.share = 0
		}
	}
}

// chooseZone returns the present zone, or the one with the lowest cost if that is
// clearly better.
func (d *Decider) chooseZone(others []Zone) (Zone, bool) {
	var best, present Zone
	for _, z := range others {
		if z.Usable == 0 {
			continue
		}
		if best.Usable == 0 || z.Cost < best.Cost {
			best = z
		}
		if z.Name == d.zone {
			present = z
		}
	}
	if present.Usable > 0 && present.Cost < best.Cost*changeGain {
		best = present
	}
	return best, best.Usable > 0
}

// Share returns the share of the calls that leaves.
func (d *Decider) Share() float64 { return d.share }

// Zone returns the zone that gets the share; empty if no zone was chosen.
func (d *Decider) Zone() model.Zone { return d.zone }

// Anywhere reports whether the zone of the host has no usable target, so that calls go
// to all other zones.
func (d *Decider) Anywhere() bool { return d.anywhere }

// Leaves reports whether the next call leaves. With a hash other than 0, all calls of
// that hash get the same answer from all hosts with the same share.
func (d *Decider) Leaves(hash uint64) bool {
	if hash != 0 {
		return float64(hash>>11)/(1<<53) < d.share
	}
	d.credit += d.share
	if d.credit < 1 {
		return false
	}
	d.credit--
	return true
}
