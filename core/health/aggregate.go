package health

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mimosarelay/core/model"
)

const (
	// MaxReports limits the targets that a host names in one report and a keeper in its
	// answer. Those with the most failures are kept.
	MaxReports = 64
	// reportLifetime is how long the report of a host counts. Hosts report each 500 ms.
	reportLifetime = 1500 * time.Millisecond
	// hintInterval is how long a keeper answers with the same sums, so that its work
	// does not grow with the square of the number of hosts.
	hintInterval = 200 * time.Millisecond
	// maxReported limits the requests of one host to one target in a report. It is
	// more than a host can send in the window, and keeps sums far from an overflow.
	maxReported = 1 << 16
)

// Report holds what a host counted at a target in the last 3 s.
type Report struct {
	Target model.TargetID
	Failed int
	// Answered excludes failed requests.
	Answered int
	// Doubted is set if the host had failures or does not give the target its full
	// load. Other targets are named only because another host doubts them.
	Doubted bool
}

// Hint holds the sums of the reports of a zone for a target. The failures of the host
// with the most are counted as those of the one with the second most, so that one host
// alone is no evidence.
type Hint struct {
	Report
	// AllFailed includes all failures of all hosts.
	AllFailed int
	// Reporters is the number of hosts that named the target.
	Reporters int
}

// Hints holds what the hosts of a zone reported.
type Hints struct {
	// Hosts is the number of hosts of the zone that sent a report.
	Hosts   int
	Targets []Hint // that a host doubts
}

// Aggregator adds up the reports of the hosts of each zone. It is not safe for
// concurrent use.
type Aggregator struct {
	zones map[model.Zone]*zoneReports
}

type zoneReports struct {
	hosts  map[model.HostID]hostReport
	hints  Hints
	madeAt time.Time
}

type hostReport struct {
	at      time.Time
	targets []Report
}

// NewAggregator returns an Aggregator without reports.
func NewAggregator() *Aggregator { return &Aggregator{zones: map[model.Zone]*zoneReports{}} }

// Update replaces the report of a host and returns the hints for its zone. The result
// must not be changed.
func (a *Aggregator) Update(now time.Time, zone model.Zone, host model.HostID, targets []Report) Hints {
	z := a.zones[zone]
	if z == nil {
		z = &zoneReports{hosts: map[model.HostID]hostReport{}}
		a.zones[zone] = z
	}
	z.hosts[host] = hostReport{at: now, targets: targets[:min(len(targets), MaxReports)]}
	if now.Sub(z.madeAt) >= hintInterval {
		z.hints, z.madeAt = z.sum(now), now
		a.dropEmpty(now)
	}
	return z.hints
}

// dropEmpty removes the zones of which no host reports any more.
func (a *Aggregator) dropEmpty(now time.Time) {
	maps.DeleteFunc(a.zones, func(_ model.Zone, z *zoneReports) bool { return now.Sub(z.madeAt) > time.Minute })
}

// targetSum is the sum of the reports of a zone for one target.
type targetSum struct {
	failed, answered, reporters int
	most, second                int // most failures of one host, and of another one
	doubted                     bool
}

func (t *targetSum) add(r Report) {
	failed := min(max(r.Failed, 0), maxReported)
	t.failed += failed
	t.answered += min(max(r.Answered, 0), maxReported)
	t.reporters++
	t.doubted = t.doubted || r.Doubted
	t.second = max(t.second, min(t.most, failed))
	t.most = max(t.most, failed)
}

func (z *zoneReports) sum(now time.Time) Hints {
	sums := map[model.TargetID]*targetSum{}
	for host, r := range z.hosts {
		if now.Sub(r.at) > reportLifetime {
			delete(z.hosts, host)
			continue
		}
		for _, t := range r.targets {
			if sums[t.Target] == nil {
				sums[t.Target] = &targetSum{}
			}
			sums[t.Target].add(t)
		}
	}
	h := Hints{Hosts: len(z.hosts)}
	for id, t := range sums {
		if !t.doubted {
			continue
		}
		h.Targets = append(h.Targets, Hint{
			Report:    Report{Target: id, Failed: t.failed - t.most + t.second, Answered: t.answered, Doubted: true},
			AllFailed: t.failed, Reporters: t.reporters,
		})
	}
	h.Targets = bounded(h.Targets, func(x Hint) Report { return x.Report })
	return h
}

// bounded returns the MaxReports entries with the most failures, sorted by target.
func bounded[T any](list []T, report func(T) Report) []T {
	slices.SortFunc(list, func(a, b T) int {
		x, y := report(a), report(b)
		return cmp.Or(cmp.Compare(y.Failed, x.Failed), cmp.Compare(x.Target, y.Target))
	})
	list = list[:min(len(list), MaxReports)]
	slices.SortFunc(list, func(a, b T) int { return cmp.Compare(report(a).Target, report(b).Target) })
	return list
}
