package placement

import "time"

// objectLoadFactor limits the calls at a target that is chosen for an object to this
// multiple of the mean. A higher factor moves fewer objects away from their target,
// and a lower one keeps the queues shorter.
const objectLoadFactor = 1.25

// chooseByObject returns the available target with the highest rendezvous score for an
// object among those whose load stays within objectLoadFactor of the mean. All hosts
// choose the same target without exchanging messages, and a target that leaves moves
// only its own objects. This is consistent hashing with bounded loads (Mirrokni,
// Thorup, Zadimoghaddam 2018).
func chooseByObject(c *class, object uint64, now time.Time) *target {
	sum, available := 0.0, 0
	for _, t := range c.targets {
		if t.available {
			sum += t.busyness(now)
			available++
		}
	}
	bound := objectLoadFactor * sum / float64(available)
	var found *target
	var highest uint64
	for _, t := range c.targets {
		if !t.available || t.busyness(now) > bound {
			continue
		}
		if score := rendezvous(object, t); found == nil || score > highest {
			found, highest = t, score
		}
	}
	return found
}

// busyness returns the load of the target with one more call, weighted by the time that
// calls take there.
func (t *target) busyness(now time.Time) float64 {
	return (t.estimatedCalls(now) + 1) * t.timeFactor(now)
}
