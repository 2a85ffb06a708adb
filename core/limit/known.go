package limit

import (
	"mimosarelay/core/evidence"
	"mimosarelay/core/model"
)

// Known is the limit of a workspace as a host knows it, with the evidence that no
// newer one was in force.
type Known struct {
	Revision  model.Revision // of the configuration that holds the limit
	Rate      float64        // requests per second
	Burst     float64        // requests
	Confirmed evidence.Stamp
}
