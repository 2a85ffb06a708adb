package relay

import (
	"context"

	"github.com/valyala/fasthttp"

	"mimosarelay/io/target"
)

// startAttempt sets the place of the next attempt. It fails if the request is banned.
// A request that was banned before runs only with a claim, because only one target
// may be at risk. Other requests need none, because hosts could then serve nothing
// while they do not reach each other.
func (s *Service) startAttempt(ctx context.Context, c *forwardCall) (Place, error) {
	if _, err := s.Suspects.Check(c.fingerprint); err != nil {
		return nil, err
	}
	if s.Suspects.OnTrial(c.fingerprint) {
		run, err := s.Suspects.Begin(ctx, c.fingerprint)
		if err != nil {
			return nil, err
		}
		c.trial = run
	}
	place, err := s.acquirePlace(ctx, c)
	if err != nil {
		s.endRun(c, false)
		return nil, err
	}
	c.place = place
	return place, nil
}

// endRun ends an attempt. survived says that the target survived the whole run.
func (s *Service) endRun(c *forwardCall, survived bool) {
	switch {
	case c.trial != nil:
		c.trial.End(survived)
		c.trial = nil
	case survived:
		s.Suspects.RecordSuccess(c.fingerprint)
	}
}

// showsSurvival reports whether a response shows, when it has been read to its end,
// that the target survived the run. A response with another status may have been
// sent without a run, and one without framing also ends when the target crashes.
func showsSurvival(r *target.Response) bool {
	status := r.Status()
	return status >= fasthttp.StatusOK && status < fasthttp.StatusMultipleChoices && r.HasFraming()
}
