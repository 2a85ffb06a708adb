package suspects

import (
	"strings"
	"time"

	"mimosarelay/core/model"
	"mimosarelay/io/peer/peerpb"
)

// takeEvidence reports whether the request has succeeded at this host since the last
// call. The caller holds mu.
func (s *Service) takeEvidence(f model.Fingerprint) bool {
	ok := s.harmless.Has(s.options.Clock.Now(), f)
	s.harmless.Remove(f)
	return ok
}

// RecordSuccess records that a target survived a whole run of a request. A request
// that crashes targets never succeeds, so that its crashes are cleared on all hosts.
func (s *Service) RecordSuccess(f model.Fingerprint) {
	now := s.options.Clock.Now()
	s.mu.Lock()
	s.harmless.Add(now, f)
	last, suspected := s.ledger.LastCrash(now, f)
	s.mu.Unlock()
	if suspected {
		s.background(func() { s.clear(f, last) })
	}
}

// clear clears the crashes of a request up to a time on all hosts.
func (s *Service) clear(f model.Fingerprint, at time.Time) {
	s.mu.Lock()
	cleared := s.ledger.Lift(s.options.Clock.Now(), f, at)
	s.mu.Unlock()
	if !cleared {
		return
	}
	s.options.Log.Info("crashes cleared, the request has succeeded", "fingerprint", f, "until", at)
	s.broadcast(s.ctx, &peerpb.MarkSuspectRequest{
		Sender: s.sender(), Fingerprint: string(f), AtUnixMs: at.UnixMilli(), Lift: true,
	})
	s.save(f)
}

// isCrash reports whether a message reports a crash.
func isCrash(m *peerpb.MarkSuspectRequest) bool {
	return !m.Lift && m.Target != "" && !strings.Contains(m.Target, "/")
}
