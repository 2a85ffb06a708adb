package relay

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"mimosarelay/core/ingress"
	"mimosarelay/core/memory"
	"mimosarelay/core/model"
	"mimosarelay/core/placement"
	"mimosarelay/io/peer/peerpb"
	"mimosarelay/io/target"
)

// recordingPlace records how the use of a target ended.
type recordingPlace struct {
	fakePlace
	released []placement.Usage
}

func (p *recordingPlace) Release(u placement.Usage) { p.released = append(p.released, u) }

// fullAccount returns a holder in an account that has no room for streams.
func fullAccount(t *testing.T) *memory.Holder {
	t.Helper()
	a := memory.New(memory.Options{Capacity: 1 << 10, MaxHolders: 1, Clock: clockwork.NewRealClock()})
	h, err := a.Open(netip.Addr{}, 0, func(memory.Phase) {})
	assert.NilError(t, err)
	h.SetPhase(memory.Running)
	return h
}

// Guards against a stream that ends as if it were complete, or counts against its
// target, when this host has no memory for an event.
func TestStreamWithoutMemoryIsBrokenOff(t *testing.T) {
	small := "id: 1\ndata: a\n\n"
	events := small + "id: 2\ndata: " + strings.Repeat("x", 64<<10) + "\n\n"
	place := &recordingPlace{}
	call := &forwardCall{Forward: &Forward{ID: "r", Route: &ingress.Route{RetryPolicy: ingress.Stream{}}, Memory: fullAccount(t)}, place: place}
	b := &forwardStreamBody{service: New(Options{Clock: clockwork.NewFakeClock()}), ctx: t.Context(), call: call}
	b.events = target.NewEventReader(strings.NewReader(events))
	b.events.Reserve(b.ctx, call.Memory)
	data, err := io.ReadAll(b)
	assert.Equal(t, string(data), small)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.ErrorIs(t, err, memory.ErrFull)
	assert.Equal(t, len(place.released), 1)
	assert.Assert(t, !place.released[0].Failed)
	assert.NilError(t, b.Close())
	assert.Equal(t, len(place.released), 1)
}

// fakeCallStream receives the answer of a forwarded call.
type fakeCallStream struct {
	peerpb.DRPCPeer_CallStream
	ctx  context.Context
	sent []*peerpb.CallResponse
}

func (s *fakeCallStream) Context() context.Context { return s.ctx }

func (s *fakeCallStream) Send(m *peerpb.CallResponse) error {
	s.sent = append(s.sent, m)
	return nil
}

// Guards against a call of another host that runs although this host has no memory for
// its answer, and against a refusal after which the other host does not try again.
func TestForwardedCallNeedsMemory(t *testing.T) {
	a := memory.New(memory.Options{Capacity: 1 << 10, MaxHolders: 1, Clock: clockwork.NewRealClock()})
	s := New(Options{Clock: clockwork.NewFakeClock(), Memory: a})
	stream := &fakeCallStream{ctx: t.Context()}
	assert.NilError(t, s.HandleCall(&peerpb.CallRequest{RequestId: "r"}, stream))
	assert.Equal(t, len(stream.sent), 1)
	refusal := decodeRefusal(stream.sent[0])
	assert.Assert(t, errors.Is(refusal, errOwnerUnavailable))
	assert.Equal(t, refusal.Ran, model.RanNo)
}
