package placement

// Exclusion is the reason why a target gets no new call.
type Exclusion string

// Reasons to exclude a target.
const (
	NotExcluded         Exclusion = ""
	ExcludedLeaving     Exclusion = "leaving"
	ExcludedEvacuated   Exclusion = "evacuated zone"
	ExcludedUnreachable Exclusion = "refuses connections"
	ExcludedCold        Exclusion = "cold"
	ExcludedPaused      Exclusion = "paused"
	ExcludedNoPlaces    Exclusion = "no places"
	// ExcludedEjected is a target that gets probes only because its requests fail, and
	// ExcludedReduced one that gets a part of its load and none at the moment.
	ExcludedEjected Exclusion = "ejected for failed requests"
	ExcludedReduced Exclusion = "reduced for failed requests"
)
