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

// retryDelay is the time before a call looks up its owner again. It is also the
// Retry-After of calls that are refused because this host may not act.
const retryDelay = 200 * time.Millisecond

// route runs a call at the owner of its program. A call that reached an owner may
// be sent again, also to a new owner, because owners recognize repeated calls by
// their number or idempotency key.
func (s *Service) route(ctx context.Context, r *Request) (*Answer, error) {
	shard := program.ShardOf(r.ownerKey())
	deadline := s.Clock.Now().Add(s.ForwardWait)
	ran, earlierRan := model.RanNo, model.RanNo
	if s.isNonIdempotent(r) {
		// An earlier request with the same number may have run, which only the
		// record at the owner tells.
		ran = model.RanUnknown
	}
	for {
		changed := s.Owners.Changed()
		answer, err := s.routeOnce(ctx, r, shard)
		if err == nil {
			return answer, nil
		}
		if !retryableAtOwner(err) {
			return nil, withEarlierOutcome(err, earlierRan)
		}
		if asRefusal(err, model.RanNo).Ran != model.RanNo {
			ran, earlierRan = model.RanUnknown, model.RanUnknown
		}
		if !s.Clock.Now().Before(deadline) || !s.waitForRetry(ctx, changed) {
			return nil, model.NewRefusal(model.ErrUnavailable, ran, "the call could not be completed: %v", err).Retry(time.Second)
		}
		s.metrics.retries.Inc(1)
	}
}

func (s *Service) isNonIdempotent(r *Request) bool {
	route, ok := s.Contracts.Current().Route(r.Route)
	return r.Query == "" && r.Route != "" && (!ok || !route.Repeatable)
}

// withEarlierOutcome returns err as a refusal. A refusal with model.RanNo gets
// the outcome at earlier owners, which may have run the call.
func withEarlierOutcome(err error, earlier model.Ran) error {
	refusal := asRefusal(err, model.RanUnknown)
	if refusal.Ran == model.RanNo && earlier != model.RanNo {
		corrected := *refusal
		corrected.Ran = earlier
		return &corrected
	}
	return refusal
}

// programKey identifies the program of the call. Its Program is empty for a call
// outside a program.
func (r *Request) programKey() model.ProgramKey {
	return model.ProgramKey{Workspace: r.Workspace, Program: r.Program}
}

// ownerKey identifies the program whose owner runs the call: the program itself,
// the parent of a child program, or a pseudo-program for an idempotency key.
func (r *Request) ownerKey() model.ProgramKey {
	switch {
	case r.Program == "":
		return programs.KeyProgram(r.Workspace, r.IdempotencyKey)
	case r.Parent != "":
		return model.ProgramKey{Workspace: r.Workspace, Program: r.Parent}
	}
	return r.programKey()
}

// recorded reports whether the call belongs to a program or has an idempotency
// key. Its owner then keeps a record of it.
func (r *Request) recorded() bool { return r.Program != "" || r.IdempotencyKey != "" }

// errOwnerUnavailable marks failures to run a call at its owner after which the
// call may be sent to the owner again.
var errOwnerUnavailable = errors.New("owner of the program is unavailable")

func retryableAtOwner(err error) bool {
	return errors.Is(err, errOwnerUnavailable) || errors.Is(err, model.ErrNoRight)
}

// markRetryableAtOwner changes the kind of a refusal from package programs to
// errOwnerUnavailable if the call did not run and a new owner, or this one later,
// may accept it.
func markRetryableAtOwner(err error) error {
	refusal := asRefusal(err, model.RanNo)
	if refusal.Ran != model.RanNo || !errors.Is(err, model.ErrUnavailable) && !errors.Is(err, model.ErrDraining) {
		return err
	}
	retryable := *refusal
	retryable.Kind = errOwnerUnavailable
	return &retryable
}

func (s *Service) routeOnce(ctx context.Context, r *Request, shard model.Shard) (*Answer, error) {
	address, self, err := s.Owners.Owner(shard)
	if err != nil {
		return nil, errors.Join(errOwnerUnavailable, err)
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
	// Closing a drpc stream does not stop its handler; cancelling the context
	// does.
	ctx, cancel := context.WithCancel(ctx)
	stream, err := s.Peers.Call(ctx, address, encodeRequest(r))
	if err != nil {
		cancel()
		return nil, errors.Join(errOwnerUnavailable, peerCallRefusal(err))
	}
	first, err := receiveHead(stream)
	if err != nil {
		cancel()
		return nil, errors.Join(errOwnerUnavailable, peerCallRefusal(err))
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
	return model.NewRefusal(model.ErrUnavailable, ran, "failed to forward the call: %v", err)
}

// peerBody is the body of an answer from another host.
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

// fail ends the answer after the connection to the owner was lost. A stream of
// events ends with an error event.
func (b *peerBody) fail(err error) {
	refusal := model.NewRefusal(model.ErrUnavailable, model.RanUnknown, "the connection to the owner of the program was lost: %v", err)
	b.err = errors.Join(io.ErrUnexpectedEOF, refusal)
	if b.events {
		b.pending = errorEvent(b.id, refusal)
	}
}

// Close implements io.Closer. If the answer has not ended, it cancels the call.
func (b *peerBody) Close() error {
	if !b.ended {
		b.cancel()
		return nil
	}
	err := b.stream.Close()
	b.cancel()
	return err
}
