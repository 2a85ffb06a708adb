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
)
