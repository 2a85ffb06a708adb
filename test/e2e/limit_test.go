//go:build linux

package e2e

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/config"
	"mimosarelay/core/model"
	"mimosarelay/test/knownred"
)

// sentCall is a call of a rateSender, with the time at which it was sent.
type sentCall struct {
	begin  time.Time
	answer answer
}

// rateSender sends calls of one workspace at a fixed rate, without waiting for
// earlier calls to end.
type rateSender struct {
	site        *site
	workspace   model.WorkspaceID
	rate        float64                   // calls per second
	batchSize   int                       // calls sent at once
	pickHost    func(call int) *entryHost // returns the host that a call is sent to
	bodyPrefix  string                    // of the bodies; empty means the workspace's name
	singleBatch bool                      // sends one batch and ends

	stop chan struct{}
	wg   sync.WaitGroup

	started atomic.Int64 // calls
	mu      sync.Mutex
	calls   map[string]sentCall // by body
}

func (s *site) startSender(d *rateSender) *rateSender {
	d.site, d.stop, d.calls = s, make(chan struct{}), map[string]sentCall{}
	if d.bodyPrefix == "" {
		d.bodyPrefix = string(d.workspace)
	}
	d.wg.Go(d.run)
	return d
}

func (d *rateSender) run() {
	tick := time.NewTicker(time.Duration(float64(d.batchSize) * float64(time.Second) / d.rate))
	defer tick.Stop()
	for i := range maxCalls {
		for j := range d.batchSize {
			n := i*d.batchSize + j
			h := d.pickHost(n)
			d.wg.Go(func() { d.send(h, fmt.Sprintf("%s/%d", d.bodyPrefix, n)) })
		}
		if d.singleBatch {
			return
		}
		select {
		case <-d.stop:
			return
		case <-tick.C:
		}
	}
}

func (d *rateSender) send(h *entryHost, body string) {
	ctx := contextWithTimeout(d.site.t, 10*time.Second)
	c := sentCall{begin: time.Now()}
	d.started.Add(1)
	r := request{key: d.site.keys[d.workspace], route: "stock/x", body: body}
	c.answer = r.send(ctx, singleUseClient, h.callerAddress, nil)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls[body] = c
}

func (d *rateSender) stopAndWait() {
	close(d.stop)
	d.wg.Wait()
}

// rateLimited lists the calls that were refused for the rate limit and began in a
// time span.
func (d *rateSender) rateLimited(from, to time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []string
	for body, c := range d.calls {
		if c.answer.status == http.StatusTooManyRequests && c.begin.After(from) && c.begin.Before(to) {
			list = append(list, fmt.Sprintf("%s at %v: %v", body, c.begin.Sub(from), c.answer))
		}
	}
	return list
}

// admission is a call that arrived at its target. The host admitted it between
// begin and arrived.
type admission struct{ begin, arrived time.Time }

// admissions lists the admitted calls. It counts each body once, because a host
// may send a repeatable call again without another admission.
func (d *rateSender) admissions() []admission {
	seen := map[string]bool{}
	var list []admission
	for _, a := range d.site.arrivals() {
		if !strings.HasPrefix(a.Body, d.bodyPrefix+"/") || seen[a.Body] {
			continue
		}
		seen[a.Body] = true
		d.mu.Lock()
		list = append(list, admission{d.calls[a.Body].begin, a.Time})
		d.mu.Unlock()
	}
	return list
}

// checkAdmissionBound verifies that in each window of length t at most
// burst + rate × t calls were certainly admitted. It returns the largest ratio of
// a window's calls to the bound.
func checkAdmissionBound(t *testing.T, list []admission, rate, burst float64) float64 {
	t.Helper()
	sort.Slice(list, func(i, j int) bool { return list[i].arrived.Before(list[j].arrived) })
	largest := 0.0
	for _, first := range list {
		n := 0.0
		for _, a := range list {
			if a.begin.Before(first.begin) {
				continue
			}
			n++
			bound := burst + rate*a.arrived.Sub(first.begin).Seconds()
			largest = max(largest, n/bound)
			if n > bound {
				t.Fatalf("%v calls admitted within %v, want at most %v", n, a.arrived.Sub(first.begin), bound)
			}
		}
	}
	return largest
}

// Guards against a rate and burst that each host grants by itself instead of the
// fleet as a whole, against tokens that are granted twice when a host is killed
// or restarts, and against refusals of workspaces that stay within their rate.
// One workspace sends four times its rate to all hosts. In each window of length
// t at most burst + rate × t of its calls are admitted, also while a host is
// killed and restarted. The other workspaces stay within their rate: one sends
// half of it through all hosts, one a steady 0.9 of it through one host, and one
// half of it through one host in batches as large as the burst. They are not
// limited before the kill, nor from 10 s after it until the restart.
func TestRateHoldsAcrossFleet(t *testing.T) {
	t.Parallel()
	knownred.Skip(t)
	const rate, burst = 20, 10
	s := newSite(t, options{workspaces: []config.Workspace{
		{Name: "large", Rate: rate, Burst: burst},
		{Name: "spread", Rate: rate, Burst: burst},
		{Name: "single", Rate: rate, Burst: burst},
		{Name: "batches", Rate: rate, Burst: burst},
	}})
	var mu sync.Mutex
	running := s.hosts
	anyHost := func(i int) *entryHost {
		mu.Lock()
		defer mu.Unlock()
		return running[i%len(running)]
	}
	setRunning := func(hosts []*entryHost) {
		mu.Lock()
		defer mu.Unlock()
		running = hosts
	}
	firstHost := func(int) *entryHost { return s.hosts[0] }
	begin := time.Now()
	large := s.startSender(&rateSender{workspace: "large", rate: 4 * rate, batchSize: 1, pickHost: anyHost})
	withinRate := []*rateSender{
		s.startSender(&rateSender{workspace: "spread", rate: 0.5 * rate, batchSize: 1, pickHost: anyHost}),
		s.startSender(&rateSender{workspace: "single", rate: 0.9 * rate, batchSize: 1, pickHost: firstHost}),
		s.startSender(&rateSender{workspace: "batches", rate: 0.5 * rate, batchSize: burst, pickHost: firstHost}),
	}
	time.Sleep(8 * time.Second) // run without a fault
	victim := s.hosts[2]
	setRunning(s.hosts[:2])
	killed := time.Now()
	victim.kill()
	s.waitSettled(2)
	time.Sleep(time.Until(killed.Add(takeoverLimit + 5*time.Second))) // 5 s beyond the bound with one host down
	restarted := time.Now()
	s.startHost(victim)
	s.waitSettled(3)
	s.waitReady(victim)
	setRunning(s.hosts)
	time.Sleep(4 * time.Second) // run with the restarted host
	for _, d := range append(withinRate, large) {
		d.stopAndWait()
		list := d.admissions()
		t.Logf("%s: %d of %d calls admitted in %v; largest ratio to the bound: %.3f", d.workspace,
			len(list), len(d.calls), time.Since(begin), checkAdmissionBound(t, list, rate, burst))
		// The bound would hold trivially if few calls were admitted.
		assert.Assert(t, len(list) > rate*8/2, "%s: only %d calls admitted", d.workspace, len(list))
	}
	for _, d := range withinRate {
		assert.DeepEqual(t, d.rateLimited(begin, killed), []string(nil))
		assert.DeepEqual(t, d.rateLimited(killed.Add(takeoverLimit), restarted), []string(nil))
	}
}

// Guards against a host that was frozen for 6 s and, when it resumes, spends a
// share of a workspace's burst that was granted to other hosts in the meantime.
// Calls are queued in the frozen host's sockets when it resumes, and at the same
// moment the other hosts get enough calls to use up the burst. In each window of
// length t at most burst + rate × t calls are admitted.
func TestResumedHostSpendsNoReassignedShare(t *testing.T) {
	t.Parallel()
	knownred.Skip(t)
	const rate, burst = 30, 30
	s := newSite(t, options{workspaces: []config.Workspace{{Name: "main", Rate: rate, Burst: burst}}})
	victim := s.hosts[2]
	// Send one call to each host, so that each holds a share of the limit.
	for _, h := range s.hosts {
		r := request{key: s.keys["main"], route: "stock/x", body: "before"}
		a := r.send(contextWithTimeout(t, 10*time.Second), singleUseClient, h.callerAddress, nil)
		assert.Assert(t, a.complete, a.String())
	}
	victim.freeze()
	frozen := time.Now()
	eventually(t, takeoverLimit, "the frozen host is removed", func() bool {
		for _, h := range s.otherHosts(victim) {
			if st, err := s.status(h); err != nil || len(st.Members) != 2 || !st.Settled {
				return false
			}
		}
		return true
	})
	// The freeze must last 6 s. The other hosts also need time to refill the share
	// that they gained, at most burst / rate in seconds.
	refilled := time.Now().Add(time.Duration(burst / rate * float64(time.Second)))
	time.Sleep(max(time.Until(frozen.Add(6*time.Second)), time.Until(refilled)))
	frozenSender := s.startSender(&rateSender{workspace: "main", bodyPrefix: "late", rate: rate, batchSize: 2 * burst, singleBatch: true, pickHost: func(int) *entryHost { return victim }})
	eventually(t, 5*time.Second, "all calls to the frozen host are started", func() bool { return frozenSender.started.Load() == 2*burst })
	victim.resume()
	otherSender := s.startSender(&rateSender{workspace: "main", bodyPrefix: "prompt", rate: rate, batchSize: 2 * burst, singleBatch: true, pickHost: func(n int) *entryHost { return s.hosts[n%2] }})
	otherSender.wg.Wait()
	frozenSender.wg.Wait()
	list := append(otherSender.admissions(), frozenSender.admissions()...)
	t.Logf("%d calls admitted; largest ratio to the bound: %.3f", len(list), checkAdmissionBound(t, list, rate, burst))
	assert.Assert(t, len(list) >= burst/2, "only %d calls admitted", len(list))
}
