package entry

import (
	"context"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"mimosarelay/core/memory"
)

const (
	// reservedDescriptors are for the store, peers, logs and the auxiliary listeners.
	reservedDescriptors = 200
	// descriptorsPerCaller are those of a caller's connection and of the connection to
	// the target that serves it.
	descriptorsPerCaller = 2
	// defaultDescriptors is the limit that is assumed if the settings state none. It is
	// that of the smallest hosts.
	defaultDescriptors = 3075
	// minCallers is the number of callers that a host accepts in any case.
	minCallers = 64
)

// newAccount returns the account for the bytes of callers, or nil without a limit.
func newAccount(o Options) *memory.Account {
	if o.Memory == 0 {
		return nil
	}
	descriptors := o.Descriptors
	if descriptors == 0 {
		descriptors = defaultDescriptors
	}
	return memory.New(memory.Options{
		Capacity:   memory.CapacityFor(o.Memory),
		MaxHolders: max(minCallers, (descriptors-reservedDescriptors)/descriptorsPerCaller),
		Clock:      o.Clock,
	})
}

const (
	// memoryReportInterval is the time between two updates of the metrics.
	memoryReportInterval = time.Second
	// memoryLogInterval limits the log lines about evictions to one in this time.
	memoryLogInterval = 10 * time.Second
)

// memoryReporter publishes the state of an account.
type memoryReporter struct {
	account  *memory.Account
	scope    tally.Scope
	clock    clockwork.Clock
	log      *slog.Logger
	last     memory.Stats // of the last update of the metrics
	logged   memory.Stats // of the last log line
	loggedAt time.Time
}

// run publishes until ctx ends.
func (r *memoryReporter) run(ctx context.Context) error {
	ticker := r.clock.NewTicker(memoryReportInterval)
	defer ticker.Stop()
	for {
		r.report()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

func (r *memoryReporter) report() {
	s := r.account.Stats()
	r.scope.Gauge("capacity_bytes").Update(float64(r.account.Capacity()))
	r.scope.Gauge("connections").Update(float64(s.Holders))
	for _, k := range memory.Kinds() {
		r.scope.Tagged(map[string]string{"kind": k.String()}).Gauge("held_bytes").Update(float64(s.ByKind[k]))
	}
	evicted := int64(0)
	for _, p := range memory.Phases() {
		r.scope.Tagged(map[string]string{"phase": p.String()}).Counter("evicted").Inc(s.Evicted[p] - r.last.Evicted[p])
		evicted += s.Evicted[p] - r.logged.Evicted[p]
	}
	r.last = s
	now := r.clock.Now()
	if evicted == 0 || now.Sub(r.loggedAt) < memoryLogInterval {
		return
	}
	r.log.Warn("connections were closed under memory pressure", "count", evicted, "held", s.Held, "capacity", r.account.Capacity(), "connections", s.Holders,
		"bodies", s.ByKind[memory.Bodies], "answers", s.ByKind[memory.Answers],
		"receiving", s.Evicted[memory.Receiving]-r.logged.Evicted[memory.Receiving], "answering", s.Evicted[memory.Answering]-r.logged.Evicted[memory.Answering],
		"idle", s.Evicted[memory.Idle]-r.logged.Evicted[memory.Idle])
	r.logged, r.loggedAt = s, now
}
