package main

import (
	"fmt"
	"time"

	"mimosarelay/core/model"
	"mimosarelay/core/placement"
)

// site is the deployment of one of the operators in section 2 of
// docs/design.md.
type site struct {
	name    string
	engines int
	hosts   int
	// workShares are the workspaces' parts of the work, the largest first.
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

// disturbance is a fault or overload during a run, or calm for none. The table
// shows these values.
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

// policy is a set of placement policies that is compared.
type policy struct {
	name    string
	options placement.Options
	// ablation marks a set without one or two of the policies. It runs only
	// without disturbance at goalLoad.
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

// goalLoad is the load in percent to which the latency goals apply.
const goalLoad = 85

// Times and limits of a run.
const (
	arrivalPeriod = 10 * time.Minute
	// warmUp is the time from the start in which arriving programs are not
	// measured. Most programs are shorter, so that the load is steady afterwards.
	warmUp = 3 * time.Minute
	// maxTime is the simulated time after which a run fails because its programs
	// do not end.
	maxTime       = 4 * time.Hour
	callerLatency = 3 * time.Millisecond
	zoneLatency   = 1500 * time.Microsecond
	// rateFactor is the ratio of a workspace's contracted rate to the calls per
	// second that it sends at 100 percent load. A contract's burst is its rate
	// times burstTime. A workspace under rateExceeded sends excessFactor times
	// its contracted rate.
	rateFactor   = 1.5
	burstTime    = 20 * time.Second
	excessFactor = 5
	// maxRefusals is the number of successive refusals because of the rate after
	// which a program gives up.
	maxRefusals = 5
	// Times of app/placement, app/limits and app/relay, and the lags of load
	// reports and cache events.
	queueWait       = 30 * time.Second
	limitWait       = time.Second
	retryAfter      = time.Second
	tickInterval    = 100 * time.Millisecond
	pollInterval    = 500 * time.Millisecond
	minProbeBackoff = 100 * time.Millisecond
	maxProbeBackoff = 10 * time.Second
	reportLag       = 2 * time.Second
	lateReportLag   = 10 * time.Second
	// configDelay is the time until a configuration change takes effect.
	configDelay = time.Second
	// storeCommitTime and peerCommitTime are the times to commit a call's record
	// to the store, and to peers while the store is unavailable.
	storeCommitTime = 2 * time.Millisecond
	peerCommitTime  = 2 * zoneLatency
	// The engines lose their caches in turn, one every cacheLossInterval. The
	// event of one loss in unreportedEvery does not reach the hosts.
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

// capacitySamples is the number of programs that the mean work is estimated from.
const capacitySamples = 4000

// capacity estimates the load that the engines can serve with full batches if
// each call finds its program's history in the cache.
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
