package limits

import (
	"time"

	"mimosarelay/core/evidence"
	"mimosarelay/core/limit"
	"mimosarelay/core/model"
	"mimosarelay/io/peer/peerpb"
)

// evidenceRetryAfter is the Retry-After of requests that no limit with accepted
// evidence admits. An outage of the store lasts for seconds.
const evidenceRetryAfter = 1200 * time.Millisecond

// Learn takes over what another host knows about the limit of a workspace. A host that
// the store does not answer, and that acts because most members are in the same
// position, is told of changes by the hosts that ask it for tokens. If their
// configuration is newer than that of this host, the lower of both limits applies.
func (s *Service) Learn(id model.WorkspaceID, k limit.Known) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ws, ok := s.workspaces[id]
	if !ok || k.Revision < s.revision || k.Revision < ws.learned.Revision {
		return
	}
	k.Confirmed = evidence.Newer(k.Confirmed, ws.learned.Confirmed)
	changed := k.Revision > ws.learned.Revision
	ws.learned = k
	if changed && k.Revision > s.revision {
		s.applyContract(s.options.Clock.Now(), ws)
	}
}

// applyContract makes the bucket enforce the contract of the document, or the lower of
// that and a newer one that another host knows. The caller holds mu.
func (s *Service) applyContract(now time.Time, ws *workspace) {
	c := s.contract(ws.rate, ws.burst)
	if ws.learned.Revision > s.revision {
		l := s.contract(ws.learned.Rate, ws.learned.Burst)
		c = limit.Contract{Rate: min(c.Rate, l.Rate), Burst: min(c.Burst, l.Burst)}
	}
	if c != ws.bucket.Contract() {
		ws.bucket.SetContract(now, c)
		ws.wakeFirst()
	}
}

// contract returns the contract of a limit, with the burst raised by BurstSlack.
func (s *Service) contract(rate, burst float64) limit.Contract {
	return limit.NewContract(rate, max(burst, min(burst+s.options.BurstSlack, limit.SmallestBurst(rate))))
}

// confirmed returns the evidence of this host for the contracts. It is called without
// holding mu.
func (s *Service) confirmed() evidence.Stamp {
	if s.options.Confirmed == nil {
		return evidence.Stamp{}
	}
	return s.options.Confirmed()
}

// accepts reports whether the evidence for the limit of a workspace, that of this host
// or of one that told this host, is accepted. The caller holds mu.
func (s *Service) accepts(ws *workspace, own evidence.Stamp) bool {
	return s.options.Confirmed == nil || evidence.Newer(own, ws.learned.Confirmed).Within(s.options.MaxAge)
}

func noEvidenceRefusal(id model.WorkspaceID) error {
	return model.NewRefusal(model.ErrUnavailable, model.RanNo, "the store has not confirmed the limit of workspace %q recently", id).Retry(evidenceRetryAfter)
}

// known returns the limit of a workspace as this host knows it, for a message to
// another one; nil if contracts need no evidence. The caller holds mu.
func (s *Service) known(ws *workspace, own evidence.Stamp) *peerpb.KnownLimit {
	if s.options.Confirmed == nil {
		return nil
	}
	k := limit.Known{Revision: s.revision, Rate: ws.rate, Burst: ws.burst, Confirmed: own}
	if ws.learned.Revision > s.revision {
		k = ws.learned
	}
	return EncodeKnown(k)
}

// EncodeKnown encodes a limit for another host. It returns nil if there is no evidence
// for the limit.
func EncodeKnown(k limit.Known) *peerpb.KnownLimit {
	if !k.Confirmed.Known() {
		return nil
	}
	return &peerpb.KnownLimit{Revision: uint64(k.Revision), RatePerS: k.Rate, Burst: k.Burst, AgeUs: k.Confirmed.Age().Microseconds()}
}

// LearnFrom is Learn for the limit in a message that has just arrived.
func (s *Service) LearnFrom(id model.WorkspaceID, m *peerpb.KnownLimit) {
	if m == nil {
		return
	}
	s.Learn(id, limit.Known{
		Revision: model.Revision(m.GetRevision()), Rate: m.GetRatePerS(), Burst: m.GetBurst(),
		Confirmed: evidence.Now(s.options.Clock).Before(time.Duration(m.GetAgeUs()) * time.Microsecond),
	})
}
