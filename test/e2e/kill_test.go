//go:build linux

package e2e

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/app/programs"
	"mimosarelay/core/model"
	"mimosarelay/core/program"
	"mimosarelay/standin/fault"
	"mimosarelay/test/knownred"
)

// takeoverLimit is the documented bound on the time until a killed host is
// removed and its programs are taken over.
const takeoverLimit = 10 * time.Second

// Guards against a lost history, lost calls and truncated streams that end as if
// they were complete. The owner of the programs is killed between two calls, and
// during streams that enter at the owner and through another host. A retried call
// has a complete answer within 10 s after the kill.
func TestKilledOwnerLosesNoCalls(t *testing.T) {
	t.Parallel()
	knownred.Skip(t)
	s := newSite(t, options{})
	victim := s.hosts[0]
	between := s.conversationOwnedBy(victim, "between")
	direct := s.conversationOwnedBy(victim, "direct")
	forwarded := s.conversationOwnedBy(victim, "forwarded")
	for _, c := range []*conversation{between, direct, forwarded} {
		assert.NilError(t, c.checkAndAppend(c.nextCall("first").send(contextWithTimeout(t, 10*time.Second), singleUseClient, s.hosts[1].callerAddress, nil)))
	}
	var streams sync.WaitGroup
	started := make(chan string, 2)
	broken := map[*conversation]*answer{direct: {}, forwarded: {}}
	calls := map[*conversation]request{direct: direct.nextCall("second [tokens:200]"), forwarded: forwarded.nextCall("second [tokens:200]")}
	for c, h := range map[*conversation]*entryHost{direct: victim, forwarded: s.hosts[1]} {
		streams.Go(func() {
			*broken[c] = calls[c].send(contextWithTimeout(t, 20*time.Second), singleUseClient, h.callerAddress, func() { started <- c.program })
		})
	}
	for range 2 {
		select {
		case <-started:
		case <-time.After(10 * time.Second):
			t.Fatal("the streams did not start within 10 s")
		}
	}
	victim.kill()
	killed := time.Now()
	calls[between] = between.nextCall("second")
	for c, r := range calls {
		streams.Go(func() {
			l := s.newRetryingCaller(singleUseClient)
			all := l.sendWithRetries(takeoverLimit, r, nil)
			took := time.Since(killed)
			err := c.checkAndAppend(lastAnswer(all))
			t.Logf("%s: complete answer after %v and %d attempts", c.program, took, len(all))
			if err != nil || took > takeoverLimit {
				t.Errorf("%s, %v after the kill: %v; attempts: %v", c.program, took, err, all)
			}
		})
	}
	streams.Wait()
	if t.Failed() {
		return
	}
	for c, a := range broken {
		assert.Assert(t, !a.complete, "%s: the stream of the killed owner ended as if complete: %v", c.program, a)
	}
	for _, c := range []*conversation{between, direct, forwarded} {
		for _, h := range s.otherHosts(victim) {
			c.checkHistory(t, h.callerAddress)
		}
	}
}

// conversationOwnedBy returns a new program of workspace main that a host owns.
func (s *site) conversationOwnedBy(h *entryHost, prefix string) *conversation {
	s.t.Helper()
	return &conversation{key: s.keys["main"], program: s.programOwnedBy(h, prefix)}
}

// Guards against a second run of a non-idempotent call whose owner is killed
// after the request arrived at the service, and against answers that say that it
// did not run. The call is retried through every other host, before and after the
// takeover, and through all hosts after the owner's restart. Each call arrives
// exactly once.
func TestNonIdempotentCallOfKilledOwnerNeverRunsTwice(t *testing.T) {
	t.Parallel()
	knownred.Skip(t)
	s := newSite(t, options{})
	s.setFault(s.service, fault.Fault{Slow: fault.Duration(3 * time.Second)})
	victim := s.hosts[0]
	key := s.keys["main"]
	var list []request
	for i := range 3 {
		r := request{key: key, route: "pay/x", body: fmt.Sprintf("payment %d", i)}
		r.program, r.call = s.programOwnedBy(victim, fmt.Sprintf("pay%d", i)), 1
		list = append(list, r)
		r = request{key: key, route: "pay/x", body: fmt.Sprintf("keyed payment %d", i), idempotency: s.idempotencyKeyOwnedBy(victim, fmt.Sprintf("order%d", i))}
		list = append(list, r)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	got := map[string][]answer{}
	send := func(r request, h *entryHost) {
		wg.Go(func() {
			a := r.send(contextWithTimeout(t, 30*time.Second), singleUseClient, h.callerAddress, nil)
			mu.Lock()
			defer mu.Unlock()
			got[r.body] = append(got[r.body], a)
		})
	}
	for i, r := range list {
		send(r, s.hosts[i%len(s.hosts)])
	}
	eventually(t, 10*time.Second, "all payments arrived", func() bool { return len(s.arrivals()) >= len(list) })
	victim.kill()
	for range 2 { // before and after the takeover
		for _, r := range list {
			for _, h := range s.otherHosts(victim) {
				send(r, h)
			}
		}
		wg.Wait()
		s.waitSettled(2)
	}
	for _, r := range list {
		assert.Equal(t, s.outcome(s.hosts[1], r).Ran, model.RanUnknown, "outcome of %s", r.body)
		assert.Equal(t, s.outcome(s.hosts[1], r).State, program.Unknown, "outcome of %s", r.body)
	}
	s.startHost(victim)
	s.waitSettled(3)
	s.waitReady(victim)
	for _, r := range list {
		for _, h := range s.hosts {
			send(r, h)
		}
	}
	wg.Wait()
	for _, r := range list {
		assert.Equal(t, s.countArrivals(r.body), 1, "arrivals of %s", r.body)
		for _, a := range got[r.body] {
			assert.Assert(t, a.ran != model.RanNo, "%s arrived, but an answer says that it did not run: %v", r.body, a)
			assert.Assert(t, !a.complete, "%s has no outcome, but was answered: %v", r.body, a)
		}
	}
}

// outcome returns the outcome of a call as a host reports it, and retries for
// takeoverLimit.
func (s *site) outcome(h *entryHost, r request) programs.Outcome {
	s.t.Helper()
	path := "/v1/calls/" + r.idempotency
	if r.program != "" {
		path = fmt.Sprintf("/v1/programs/%s/calls/%d", r.program, r.call)
	}
	var o programs.Outcome
	var failure error
	deadline := time.Now().Add(takeoverLimit)
	for {
		data, err := httpGet("http://"+h.callerAddress+path, r.key, 15*time.Second)
		if failure = err; err == nil {
			assert.NilError(s.t, json.Unmarshal(data, &o))
			return o
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("outcome of %s: %v", r.body, failure)
		}
		time.Sleep(pollInterval)
	}
}

// Guards against a host that is frozen for 6 s, longer than its lease, and still
// acts on the expired lease when it resumes: calls of its programs would run
// twice, out of order or without their history, and non-idempotent calls would
// arrive a second time. Other hosts serve its programs within 10 s after the
// start of the freeze, and all hosts are members within 10 s after its end.
func TestResumedHostDoesNotActOnExpiredLease(t *testing.T) {
	t.Parallel()
	knownred.Skip(t)
	s := newSite(t, options{})
	victim := s.hosts[0]
	c := s.newRetryingCaller(singleUseClient)
	c.attemptTimeout = 4 * time.Second
	l := s.startLoad(c, loadOptions{chats: 4, payments: 3, owner: victim, callTimeout: 20 * time.Second})
	l.waitCalls(20, 10*time.Second)
	victim.freeze()
	frozen := time.Now()
	begin := l.completedCalls()
	eventually(t, takeoverLimit, "other hosts serve calls of the frozen host's programs", func() bool { return l.completedCalls() >= begin+20 })
	time.Sleep(time.Until(frozen.Add(6 * time.Second))) // the freeze must last 6 s
	victim.resume()
	resumed := time.Now()
	s.waitSettled(3)
	s.waitReady(victim)
	assert.Assert(t, time.Since(resumed) < takeoverLimit, "the host was a member again only after %v", time.Since(resumed))
	l.waitCalls(20, 10*time.Second)
	l.stopAndCheck()
	l.checkHistories(s.hosts[1].callerAddress)
}
