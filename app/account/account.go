// Package account creates the account of memory of a process and reports its state
// to operators.
package account

import (
	"cmp"
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

// Options configures New.
type Options struct {
	// Memory is the memory of the machine for this process; 0 means no limit.
	Memory memory.Bytes
	// Descriptors is the largest number of open files; 0 means that of the smallest
	// hosts.
	Descriptors int
	// MaxConnections lowers the number of connections of callers that follows from
	// Memory and Descriptors; 0 does not.
	MaxConnections int
	Clock          clockwork.Clock
}

// New returns the account for the bytes of callers, or nil without a limit.
func New(o Options) *memory.Account {
	if o.Memory == 0 {
		return nil
	}
	descriptors := cmp.Or(o.Descriptors, defaultDescriptors)
	connections := max(minCallers, min(memory.MaxConnections(o.Memory), (descriptors-reservedDescriptors)/descriptorsPerCaller))
	if o.MaxConnections > 0 {
		connections = min(connections, o.MaxConnections)
	}
	return memory.New(memory.Options{Capacity: memory.CapacityFor(o.Memory), MaxHolders: connections, Clock: o.Clock})
}

const (
	// reportInterval is the time between two updates of the metrics.
	reportInterval = time.Second
	// logInterval limits the log lines about evictions to one in this time.
	logInterval = 10 * time.Second
)

// Reporter publishes the state of an account. All exported fields but RefusedPeers are
// required.
type Reporter struct {
	Account *memory.Account
	Scope   tally.Scope
	Clock   clockwork.Clock
	Log     *slog.Logger
	// RefusedPeers returns the number of connections at the port for other hosts that
	// were closed at once, since the start.
	RefusedPeers func() int64

	last   memory.Stats // of the last update of the metrics
	logged memory.Stats // of the last log line
	// loggedRefused is the result of RefusedPeers at the last log line.
	loggedRefused int64
	loggedAt      time.Time
}

// Run publishes until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	ticker := r.Clock.NewTicker(reportInterval)
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

func (r *Reporter) report() {
	s := r.Account.Stats()
	r.Scope.Gauge("capacity_bytes").Update(float64(r.Account.Capacity()))
	r.Scope.Gauge("connections").Update(float64(s.Holders))
	for _, k := range memory.Kinds() {
		r.Scope.Tagged(map[string]string{"kind": k.String()}).Gauge("held_bytes").Update(float64(s.ByKind[k]))
	}
	evicted := int64(0)
	for _, p := range memory.Phases() {
		r.Scope.Tagged(map[string]string{"phase": p.String()}).Counter("evicted").Inc(s.Evicted[p] - r.last.Evicted[p])
		evicted += s.Evicted[p] - r.logged.Evicted[p]
	}
	r.last = s
	refused := r.loggedRefused
	if r.RefusedPeers != nil {
		refused = r.RefusedPeers()
	}
	now := r.Clock.Now()
	if evicted == 0 && refused == r.loggedRefused || now.Sub(r.loggedAt) < logInterval {
		return
	}
	r.Log.Warn("connections were closed under memory pressure", "count", evicted, "held", s.Held, "capacity", r.Account.Capacity(), "connections", s.Holders,
		"bodies", s.ByKind[memory.Bodies], "answers", s.ByKind[memory.Answers],
		"receiving", s.Evicted[memory.Receiving]-r.logged.Evicted[memory.Receiving], "answering", s.Evicted[memory.Answering]-r.logged.Evicted[memory.Answering],
		"idle", s.Evicted[memory.Idle]-r.logged.Evicted[memory.Idle], "refused_peers", refused-r.loggedRefused)
	r.logged, r.loggedRefused, r.loggedAt = s, refused, now
}
