package follow

import (
	"math"
	"time"

	"mimosarelay/core/health"
	"mimosarelay/core/model"
	"mimosarelay/io/peer/peerpb"
)

// Outcomes judges targets by the outcomes of requests on an entry host.
type Outcomes interface {
	HealthReports() []health.Report
	SetHealthHints(h health.Hints)
}

// addOutcomes adds the outcomes that this host counted to a request.
func (c *Client) addOutcomes(r *peerpb.FollowRequest) {
	if c.options.Outcomes == nil {
		return
	}
	r.Zone = string(c.options.Zone)
	for _, x := range c.options.Outcomes.HealthReports() {
		r.Outcomes = append(r.Outcomes, &peerpb.TargetOutcomes{
			Target: string(x.Target), Failed: encodeCount(x.Failed), Answered: encodeCount(x.Answered), Doubted: x.Doubted,
		})
	}
}

// applyOutcomes applies the outcomes that the hosts of the zone counted. A keeper that
// adds up no outcomes, for example one of an earlier version, reports no hosts.
func (c *Client) applyOutcomes(res *peerpb.FollowResponse) {
	if c.options.Outcomes == nil || res.GetReportingHosts() == 0 || !res.GetActing() {
		return
	}
	h := health.Hints{Hosts: decodeCount(res.GetReportingHosts())}
	for _, x := range res.GetOutcomes() {
		if len(h.Targets) == health.MaxReports {
			break
		}
		h.Targets = append(h.Targets, health.Hint{
			Report: decodeReport(x), AllFailed: decodeCount(x.GetAllFailed()), Reporters: decodeCount(x.GetReporters()),
		})
	}
	c.options.Outcomes.SetHealthHints(h)
}

// addOutcomes counts the outcomes in a request and adds the sums of the zone to the
// response.
func (k *Keeper) addOutcomes(now time.Time, r *peerpb.FollowRequest, res *peerpb.FollowResponse) {
	if r.GetZone() == "" {
		return
	}
	reports := make([]health.Report, 0, min(len(r.GetOutcomes()), health.MaxReports))
	for _, x := range r.GetOutcomes() {
		if len(reports) == health.MaxReports {
			break
		}
		reports = append(reports, decodeReport(x))
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.outcomes == nil {
		k.outcomes = health.NewAggregator()
	}
	h := k.outcomes.Update(now, model.Zone(r.GetZone()), model.HostID(r.GetSelf().GetHost()), reports)
	res.ReportingHosts = encodeCount(h.Hosts)
	for _, x := range h.Targets {
		res.Outcomes = append(res.Outcomes, &peerpb.TargetOutcomes{
			Target: string(x.Target), Failed: encodeCount(x.Failed), Answered: encodeCount(x.Answered), Doubted: x.Doubted,
			AllFailed: encodeCount(x.AllFailed), Reporters: encodeCount(x.Reporters),
		})
	}
}

func decodeReport(x *peerpb.TargetOutcomes) health.Report {
	return health.Report{
		Target: model.TargetID(x.GetTarget()), Failed: decodeCount(x.GetFailed()), Answered: decodeCount(x.GetAnswered()), Doubted: x.GetDoubted(),
	}
}

func encodeCount(n int) uint32 { return uint32(min(max(n, 0), math.MaxInt32)) }

func decodeCount(n uint32) int { return int(min(n, math.MaxInt32)) }
