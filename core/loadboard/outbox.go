package loadboard

import "time"

// Outbox collects what a host heard of targets until the next message to one keeper.
// Its zero value is empty.
type Outbox struct {
	reports map[Key]Report
}

// Add adds what the host heard since the last call.
func (o *Outbox) Add(list []Report) {
	if o.reports == nil {
		o.reports = map[Key]Report{}
	}
	for _, r := range list {
		x, ok := o.reports[r.Key]
		if !ok && len(o.reports) >= MaxReports {
			continue
		}
		x.Key = r.Key
		if r.Load.At.After(x.Load.At) {
			x.Load = r.Load
		}
		x.Speed.Add(r.Speed)
		o.reports[r.Key] = x
	}
}

// Take empties the Outbox and returns what was in it. Loads that are too old are left
// out, with the measurements of the same target: after an interruption they describe a
// time that has passed.
func (o *Outbox) Take(now time.Time) []Report {
	list := make([]Report, 0, len(o.reports))
	for _, r := range o.reports {
		if r.Load.At.IsZero() || now.Sub(r.Load.At) < MaxAge {
			list = append(list, r)
		}
	}
	clear(o.reports)
	return list
}
