package suspects

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mimosarelay/core/model"
	"mimosarelay/core/suspect"
)

// newForwardingNetwork returns a network of hosts with the options of hosts that
// forward requests.
func newForwardingNetwork(t *testing.T, hosts int) *network {
	n := newNetwork(t, hosts)
	for a, s := range n.hosts {
		s.Close()
		n.hosts[a] = New(Options{
			Host: model.HostID(a), Self: a, Peers: hostPeers{net: n, self: a}, Store: n.store.NewClient(a),
			Bans: suspect.ShortBans, ClaimLifetime: time.Minute, Clock: n.clock, Log: slog.New(slog.DiscardHandler),
		})
	}
	return n
}

// awaitClear waits until no host counts a crash of a request.
func (n *network) awaitClear(t *testing.T, f model.Fingerprint) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for a, h := range n.hosts {
			if c := h.crashes(f); c > 0 {
				return poll.Continue("%s counts %d crashes", a, c)
			}
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(10*time.Second))
}

// Guards against a request that is banned because targets crashed for other reasons
// while they ran it, although it succeeds otherwise.
func TestRequestThatSucceedsIsNotBanned(t *testing.T) {
	ctx := t.Context()
	const f = model.Fingerprint("lookup")
	cases := map[string]func(n *network, a, b *Service){
		"crashes at the host that saw it succeed": func(n *network, a, _ *Service) {
			for range 5 {
				a.RecordSuccess(f)
				a.RecordCrash(ctx, f, "t1")
				n.clock.Advance(10 * time.Second)
			}
		},
		"crashes at a host that did not": func(n *network, a, b *Service) {
			for range 5 {
				a.RecordSuccess(f)
				b.RecordCrash(ctx, f, "t1")
				n.awaitClear(t, f)
				n.clock.Advance(10 * time.Second)
			}
		},
		"succeeds after a crash": func(n *network, a, b *Service) {
			b.RecordCrash(ctx, f, "t1")
			assert.Equal(t, a.crashes(f), 1)
			a.RecordSuccess(f)
			n.awaitClear(t, f)
			b.RecordCrash(ctx, f, "t2")
		},
		"succeeds on trial": func(n *network, a, b *Service) {
			b.RecordCrash(ctx, f, "t1")
			b.RecordCrash(ctx, f, "t2")
			_, err := a.Check(f)
			assert.ErrorIs(t, err, model.ErrSuspect)
			n.clock.Advance(suspect.ShortBans[0])
			_, err = a.Check(f)
			assert.NilError(t, err)
			assert.Assert(t, a.OnTrial(f))
			r, err := a.Begin(ctx, f)
			assert.NilError(t, err)
			r.End(true)
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			n := newForwardingNetwork(t, 3)
			run(n, n.hosts[n.names[0]], n.hosts[n.names[1]])
			n.awaitClear(t, f)
			for _, h := range n.hosts {
				_, err := h.Check(f)
				assert.NilError(t, err)
				assert.Assert(t, !h.OnTrial(f))
			}
		})
	}
}

// Guards against a crash of a host's own evidence that is used twice: a request that
// crashes targets again and again without a success in between is banned.
func TestSuccessCountsForOneCrash(t *testing.T) {
	n := newForwardingNetwork(t, 3)
	s := n.hosts[n.names[0]]
	s.RecordSuccess("f")
	for _, target := range []model.TargetID{"a", "b", "c"} {
		s.RecordCrash(t.Context(), "f", target)
	}
	for _, h := range n.hosts {
		_, err := h.Check("f")
		assert.ErrorIs(t, err, model.ErrSuspect)
	}
}

// Guards against a request that crashes each target and that reaches, within an hour,
// more than three targets later than the time in which hosts learn of its third crash,
// or that is never tried again.
func TestRequestThatCrashesTargetsReachesFewOfThem(t *testing.T) {
	const (
		f         = model.Fingerprint("poison")
		contact   = 4 * time.Second
		step      = time.Second
		allowed   = 3 // retries after the third crash
		hostCount = 7
	)
	n := newForwardingNetwork(t, hostCount)
	var mu sync.Mutex
	var runs []time.Time
	var third time.Time
	send := func(s *Service) error {
		if _, err := s.Check(f); err != nil {
			return err
		}
		var run *Run
		if s.OnTrial(f) {
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			var err error
			if run, err = s.Begin(ctx, f); err != nil {
				return err
			}
		}
		mu.Lock()
		runs = append(runs, n.clock.Now())
		target := model.TargetID(time.Duration(len(runs)).String())
		mu.Unlock()
		time.Sleep(200 * time.Microsecond) // the target works before it crashes
		s.RecordCrash(context.Background(), f, target)
		mu.Lock()
		if len(runs) >= 3 && third.IsZero() {
			third = n.clock.Now()
		}
		mu.Unlock()
		if run != nil {
			run.End(false)
		}
		return nil
	}
	for elapsed := time.Duration(0); elapsed < 50*time.Minute; elapsed += step {
		n.clock.Advance(step)
		var group sync.WaitGroup
		for _, s := range n.hosts {
			group.Go(func() {
				err := send(s)
				assert.Check(t, err == nil || errors.Is(err, model.ErrSuspect) || errors.Is(err, model.ErrUnavailable), "%v", err)
			})
		}
		group.Wait()
	}
	late := 0
	for _, at := range runs {
		if at.After(third.Add(contact)) {
			late++
		}
	}
	assert.Assert(t, late <= allowed, "%d runs, %d of them late", len(runs), late)
	assert.Assert(t, late > 0, "a ban ends without intervention")
}
