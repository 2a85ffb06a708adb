package main

import (
	"fmt"
	"time"

	"mimosarelay/core/model"
	"mimosarelay/core/placement"
)

// site is one of the operators of section 2 of the design.
type site struct {
	name    string
	engines int
	hosts   int
	// shares are the parts of the work that the workspaces ask for. The first
	// workspaces are large.
	workShares    []float64
	serviceChance float64 // application server calls per engine call
}

var sites = []site{
	{name: "flagdesk", engines: 9, hosts: 6, workShares: []float64{.28, .20, .16, .08, .08, .08, .07, .05}, serviceChance: .15},
	{name: "noix-vertes", engines: 11, hosts: 7, workShares: []float64{.32, .24, .10, .08, .08, .07, .06, .05}, serviceChance: .35},
}

const (
	zones               = 3
	applicationServers  = 3
	maxApplicationCalls = 16 // in flight per application server
)

// disturbance is what happens during a run.
type disturbance string

const (
	calm          disturbance = "calm"
	rateExceeded  disturbance = "workspace at 5x rate"
	targetLost    disturbance = "target lost"
	targetLeaving disturbance = "target leaving"
	storeAway     disturbance = "store away"
	lateReports   disturbance = "load reports 10 s late"
	eventGaps     disturbance = "cache events with gaps"
)

var disturbances = []disturbance{calm, rateExceeded, targetLost, targetLeaving, storeAway, lateReports, eventGaps}

// policy is a set of policies under comparison.
type policy struct {
	name    string
	options placement.Options
	// partial marks a set that is compared only in the calm case at goalLoad.
	ablation bool
}

const (
	baselineName = "baseline"
	policiesName = "policies"
)

var policies = []policy{
	{name: baselineName, options: placement.Options{Order: placement.FirstCome{}, Choice: placement.RoundRobin{}, Retention: placement.NoRetention{}}},
	{name: policiesName, options: placement.Options{}},
	{name: "fair share only", options: placement.Options{Choice: placement.RoundRobin{}, Retention: placement.NoRetention{}}, ablation: true},
	{name: "cache aware only", options: placement.Options{Order: placement.FirstCome{}, Retention: placement.NoRetention{}}, ablation: true},
	{name: "without retention", options: placement.Options{Retention: placement.NoRetention{}}, ablation: true},
}

// goalLoad is the load in percent for which the latency goals are set.
const goalLoad = 85

// Limits and times of the run.
const (
	arrivalPeriod = 10 * time.Minute
	// warmUp is the time of the first arrivals, which are not measured. Most
	// programs last less, so that the load is steady afterwards.
	warmUp = 3 * time.Minute
	// maxTime ends a run whose calls do not end.
	maxTime       = 4 * time.Hour
	callerLatency = 3 * time.Millisecond
	zoneLatency   = 1500 * time.Microsecond
	// rateFactor is the rate of a contract by the calls that its workspace
	// sends at 100 percent load. burstTime is the burst by the rate.
	rateFactor   = 1.5
	burstTime    = 20 * time.Second
	excessFactor = 5
	// maxRefusals is the number of refusals for the rate in succession after
	// which a program gives up.
	maxRefusals = 5
	// Times of app/placement, app/limits and app/relay.
	queueWait       = 30 * time.Second
	limitWait       = time.Second
	retryAfter      = time.Second
	tickInterval    = 100 * time.Millisecond
	pollInterval    = 500 * time.Millisecond
	minProbeBackoff = 100 * time.Millisecond
	maxProbeBackoff = 10 * time.Second
	reportLag       = 2 * time.Second
	lateReportLag   = 10 * time.Second
	// changeTime is the time until a change of the configuration is in effect.
	configDelay = time.Second
	// storeCommit and peerCommit are the times to commit a call's record.
	storeCommitTime = 2 * time.Millisecond
	peerCommitTime  = 2 * zoneLatency
	// clearTime is the time between two losses of an engine's cache, of which
	// every clearGap-th is not reported.
	cacheLossInterval = 20 * time.Second
	unreportedEvery   = 2
)

const modelName model.ModelID = "model"

func engineName(i int) model.TargetID { return model.TargetID(fmt.Sprintf("engine-%02d", i)) }

func applicationName(i int) model.TargetID { return model.TargetID(fmt.Sprintf("application-%d", i)) }

func hostName(i int) model.HostID { return model.HostID(fmt.Sprintf("host-%d", i)) }

func workspaceName(i int) model.WorkspaceID { return model.WorkspaceID(fmt.Sprintf("workspace-%d", i)) }

// demand is the load of a site at 100 percent of its capacity.
type demand struct {
	programs []float64 // per second, by workspace
	calls    []float64 // per second, by workspace
}

// sampleSize is the number of programs that estimate the mean work.
const capacitySamples = 4000

// capacity estimates what the engines can serve with full batches if each
// call finds its program's history in the cache.
func (s site) capacity() demand {
	g := newGenerator(0, 0, s.serviceChance)
	var work time.Duration
	calls := 0
	for range capacitySamples {
		w, n := g.newProgram().engineTime()
		work += w
		calls += n
	}
	rate := float64(s.engines) * capacitySamples / work.Seconds()
	var d demand
	for _, x := range s.workShares {
		d.programs = append(d.programs, rate*x)
		d.calls = append(d.calls, rate*x*float64(calls)/capacitySamples)
	}
	return d
}
