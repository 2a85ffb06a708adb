package relay

import (
	"context"
	"errors"
	"io"
	"time"

	"mimosarelay/app/programs"
	"mimosarelay/core/model"
	"mimosarelay/core/program"
	"mimosarelay/io/peer"
	"mimosarelay/io/peer/peerpb"
)

// forwardRetry is the pause before a call asks for its owner again.
const retryDelay = 200 * time.Millisecond

// route carries a call out at the owner of its program. A call that reached
// an owner may be sent again, also to a later owner, because owners recognize
// repeated calls by their number or idempotency key.
func (s *Service) route(ctx context.Context, r *Request) (*Answer, error) {
	shard := program.ShardOf(r.ownerKey())
	deadline := s.Clock.Now().Add(s.ForwardWait)
	ran, reached := model.RanNo, model.RanNo
	if s.isNonIdempotent(r) {
		// An earlier request with the same number may have run: only the
		// owner's record could tell.
		ran = model.RanUnknown
	}
	for {
		changed := s.Owners.Changed()
		answer, err := s.routeOnce(ctx, r, shard)
		if err == nil {
			return answer, nil
		}
		if !retryableAtOwner(err) {
			return nil, withEarlierOutcome(err, reached)
		}
		if asRefusal(err, model.RanNo).Ran != model.RanNo {
			ran, reached = model.RanUnknown, model.RanUnknown
		}
		if !s.Clock.Now().Before(deadline) || !s.waitForRetry(ctx, changed) {
			return nil, model.NewRefusal(model.ErrUnavailable, ran, "owner of the program cannot be reached: %v", err).Retry(time.Second)
		}
		s.metrics.retries.Inc(1)
	}
}

func (s *Service) isNonIdempotent(r *Request) bool {
	route, ok := s.Contracts.Current().Route(r.Route)
	return r.Query == "" && r.Route != "" && (!ok || !route.Repeatable)
}

// withEarlier corrects a refusal as not run if an earlier owner may have run
// the call.
func withEarlierOutcome(err error, earlier model.Ran) error {
	refusal := asRefusal(err, model.RanUnknown)
	if refusal.Ran == model.RanNo && earlier != model.RanNo {
		corrected := *refusal
		corrected.Ran = earlier
		return &corrected
	}
	return refusal
}

// key identifies the call's program; it is empty for a call outside a program.
func (r *Request) programKey() model.ProgramKey {
	return model.ProgramKey{Workspace: r.Workspace, Program: r.Program}
}

// root identifies the program whose owner runs the call.
func (r *Request) ownerKey() model.ProgramKey {
	switch {
	case r.Program == "":
		return programs.KeyProgram(r.Workspace, r.IdempotencyKey)
	case r.Parent != "":
		return model.ProgramKey{Workspace: r.Workspace, Program: r.Parent}
	}
	return r.programKey()
}

// recorded says whether the call belongs to a program or is identified by an
// idempotency key, so that an owner keeps a record of it.
func (r *Request) recorded() bool { return r.Program != "" || r.IdempotencyKey != "" }

// errOwner marks failures to reach an owner, which another try may solve.
var errOwnerUnreachable = errors.New("owner not reached")

func retryableAtOwner(err error) bool {
	return errors.Is(err, errOwnerUnreachable) || errors.Is(err, model.ErrNoRight)
}

// moved marks a refusal of the program's records as one that another owner, or
// this one a little later, may not give.
func markRetryableAtOwner(err error) error {
	refusal := asRefusal(err, model.RanNo)
	if refusal.Ran != model.RanNo || !errors.Is(err, model.ErrUnavailable) && !errors.Is(err, model.ErrDraining) {
		return err
	}
	elsewhere := *refusal
	elsewhere.Kind = errOwnerUnreachable
	return &elsewhere
}

func (s *Service) routeOnce(ctx context.Context, r *Request, shard model.Shard) (*Answer, error) {
	address, self, err := s.Owners.Owner(shard)
	if err != nil {
		return nil, errors.Join(errOwnerUnreachable, err)
	}
	if self {
		return s.runOwned(ctx, r)
	}
	s.metrics.forwards.Inc(1)
	return s.callOwner(ctx, address, r)
}

func (s *Service) waitForRetry(ctx context.Context, changed <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-changed:
		return true
	case <-s.Clock.After(retryDelay):
		return true
	}
}

func (s *Service) callOwner(ctx context.Context, address string, r *Request) (*Answer, error) {
	// Closing a drpc stream does not stop its handler; the context does.
	ctx, cancel := context.WithCancel(ctx)
	stream, err := s.Peers.Call(ctx, address, encodeRequest(r))
	if err != nil {
		cancel()
		return nil, errors.Join(errOwnerUnreachable, peerCallRefusal(err))
	}
	first, err := receiveHead(stream)
	if err != nil {
		cancel()
		return nil, errors.Join(errOwnerUnreachable, peerCallRefusal(err))
	}
	if first.ErrorKind != "" {
		_ = stream.Close()
		cancel()
		return nil, decodeRefusal(first)
	}
	return decodeAnswer(r.ID, stream, cancel, first), nil
}

func peerCallRefusal(err error) *model.Refusal {
	ran := model.RanUnknown
	if errors.Is(err, peer.ErrNotSent) {
		ran = model.RanNo
	}
	return model.NewRefusal(model.ErrUnavailable, ran, "forward to the owner: %v", err)
}

// forwardedBody reads an answer that comes from another host.
type peerBody struct {
	stream  peerpb.DRPCPeer_CallClient
	cancel  context.CancelFunc
	id      model.RequestID
	events  bool // the answer consists of server-sent events
	pending []byte
	ended   bool
	err     error
}

// Read implements io.Reader.
func (b *peerBody) Read(p []byte) (int, error) {
	for len(b.pending) == 0 {
		if b.ended {
			return 0, io.EOF
		}
		if b.err != nil {
			return 0, b.err
		}
		m, err := b.stream.Recv()
		if err != nil {
			b.fail(err)
			continue
		}
		if m.ErrorKind != "" {
			return 0, decodeRefusal(m)
		}
		b.pending, b.ended = m.Body, m.End
	}
	n := copy(p, b.pending)
	b.pending = b.pending[n:]
	return n, nil
}

// fail ends an answer whose owner cannot be reached any more.
func (b *peerBody) fail(err error) {
	refusal := model.NewRefusal(model.ErrUnavailable, model.RanUnknown, "the owner of the program was lost: %v", err)
	b.err = errors.Join(io.ErrUnexpectedEOF, refusal)
	if b.events {
		b.pending = errorEvent(b.id, refusal)
	}
}

// Close implements io.Closer. Closing before the end cancels the call.
func (b *peerBody) Close() error {
	if !b.ended {
		b.cancel()
		return nil
	}
	err := b.stream.Close()
	b.cancel()
	return err
}
