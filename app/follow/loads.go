package follow

import (
	"math"
	"time"

	"mimosarelay/core/loadboard"
	"mimosarelay/io/peer/peerpb"
)

// Loads holds what an entry host knows of the load and the speed of targets.
type Loads interface {
	// HeardLoads returns what the answers since the last call said of targets.
	HeardLoads() []loadboard.Report
	// SetSharedLoads applies what other hosts heard, and this one.
	SetSharedLoads(list []loadboard.Report)
}

const (
	// percent is the unit of slowness in messages, relative to the usual.
	percent = 100
	// logSumUnits is the number of units of a sum of logarithms in messages. A
	// hundredth is below the differences that change a decision.
	logSumUnits = 100
	// maxReportAge limits the age in messages, which exceeds all ages that count.
	maxReportAge = time.Minute
)

// addLoads adds what this host heard of targets to a request, and asks the preferred
// keeper for what all hosts heard.
func (c *Client) addLoads(r *peerpb.FollowRequest, address string) {
	if c.options.Loads == nil {
		return
	}
	heard := c.options.Loads.HeardLoads()
	now := c.options.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.contacts {
		k.heard.Add(heard)
	}
	k := c.contacts[address]
	if k == nil {
		return
	}
	r.Loads = encodeReports(now, k.heard.Take(now))
	for _, m := range c.keepers {
		if c.usableLocked(m.PeerAddress) {
			r.WantsLoads, r.KnownLoads = m.PeerAddress == address, k.loadsVersion
			return
		}
	}
}

// applyLoads applies what all hosts heard of targets. Ages count from when the request
// was sent.
func (c *Client) applyLoads(k *contact, res *peerpb.FollowResponse, sent time.Time) {
	if c.options.Loads == nil || res.GetLoadsVersion() == 0 {
		return
	}
	c.mu.Lock()
	k.loadsVersion = res.GetLoadsVersion()
	c.mu.Unlock()
	if list := decodeReports(sent, res.GetLoads()); len(list) > 0 {
		c.options.Loads.SetSharedLoads(list)
	}
}

// addLoads records what a host heard of targets, and adds what all hosts heard to the
// response if it asks for that.
func (k *Keeper) addLoads(now time.Time, r *peerpb.FollowRequest, res *peerpb.FollowResponse) {
	if r.GetLoads() == nil && !r.GetWantsLoads() {
		return
	}
	heard := decodeReports(now, r.GetLoads())
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.loads == nil {
		k.loads = loadboard.New(now)
	}
	k.loads.Update(now, heard)
	if !r.GetWantsLoads() {
		return
	}
	list, version := k.loads.Since(now, loadboard.Version(r.GetKnownLoads()))
	res.Loads, res.LoadsVersion = encodeReports(now, list), uint64(version)
}

// encodeReports returns nil for an empty list.
func encodeReports(now time.Time, list []loadboard.Report) *peerpb.TargetReports {
	if len(list) == 0 {
		return nil
	}
	n := len(list)
	counts := make([]uint32, 6*n)
	column := func(i int) []uint32 { return counts[i*n : (i+1)*n : (i+1)*n] }
	m := &peerpb.TargetReports{
		Keys: make([]uint32, n), Ages: column(0), Running: column(1), Waiting: column(2), Slots: column(3), Slowness: column(4), Samples: column(5),
		LogSums: make([]int32, n),
	}
	for i, r := range list {
		m.Keys[i] = uint32(r.Key)
		m.Samples[i] = encodeCount(r.Speed.Samples)
		m.LogSums[i] = int32(math.Round(min(max(r.Speed.LogSum*logSumUnits, math.MinInt32), math.MaxInt32)))
		if l := r.Load; !l.At.IsZero() {
			m.Ages[i] = uint32(min(max(0, now.Sub(l.At)), maxReportAge).Milliseconds()) + 1
			m.Running[i], m.Waiting[i], m.Slots[i] = encodeCount(l.Running), encodeCount(l.Waiting), encodeCount(l.Slots)
			m.Slowness[i] = encodeCount(int(min(l.Slowness*percent, math.MaxInt32)))
		}
	}
	return m
}

// decodeReports returns at most loadboard.MaxReports reports; none if the lists differ in
// length. Ages count from now.
func decodeReports(now time.Time, m *peerpb.TargetReports) []loadboard.Report {
	n := len(m.GetKeys())
	for _, column := range [][]uint32{m.GetAges(), m.GetRunning(), m.GetWaiting(), m.GetSlots(), m.GetSlowness(), m.GetSamples()} {
		if len(column) != n {
			return nil
		}
	}
	if len(m.GetLogSums()) != n {
		return nil
	}
	list := make([]loadboard.Report, min(n, loadboard.MaxReports))
	for i := range list {
		r := &list[i]
		r.Key = loadboard.Key(m.Keys[i])
		r.Speed = loadboard.Speed{Samples: decodeCount(m.Samples[i]), LogSum: float64(m.LogSums[i]) / logSumUnits}
		if m.Ages[i] > 0 {
			r.Load = loadboard.Load{
				At:      now.Add(-time.Duration(m.Ages[i]-1) * time.Millisecond),
				Running: decodeCount(m.Running[i]), Waiting: decodeCount(m.Waiting[i]), Slots: decodeCount(m.Slots[i]),
				Slowness: float64(m.Slowness[i]) / percent,
			}
		}
	}
	return list
}
