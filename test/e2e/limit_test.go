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

// stampedCall is a call of a rate test.
type stampedCall struct {
	begin  time.Time
	answer answer
}

// sender sends calls of one workspace at a fixed rate, whether earlier calls
// have ended or not.
type sender struct {
	site      *site
	workspace model.WorkspaceID
	rate      float64               // calls per second
	batch     int                   // calls sent at once
	hosts     func(call int) *entry // where a call is sent
	name      string                // starts the bodies; empty means the workspace
	once      bool                  // sends one batch at once

	stop chan struct{}
	work sync.WaitGroup

	started atomic.Int64 // calls
	mu      sync.Mutex
	calls   map[string]stampedCall // by body
}

func (s *site) startSender(d *sender) *sender {
	d.site, d.stop, d.calls = s, make(chan struct{}), map[string]stampedCall{}
	if d.name == "" {
		d.name = string(d.workspace)
	}
	d.work.Go(d.run)
	return d
}

func (d *sender) run() {
	tick := time.NewTicker(time.Duration(float64(d.batch) * float64(time.Second) / d.rate))
	defer tick.Stop()
	for i := range maxLoad {
		for j := range d.batch {
			n := i*d.batch + j
			h := d.hosts(n)
			d.work.Go(func() { d.send(h, fmt.Sprintf("%s/%d", d.name, n)) })
		}
		if d.once {
			return
		}
		select {
		case <-d.stop:
			return
		case <-tick.C:
		}
	}
}

func (d *sender) send(h *entry, body string) {
	ctx := timeout(d.site.t, 10*time.Second)
	c := stampedCall{begin: time.Now()}
	d.started.Add(1)
	r := request{key: d.site.keys[d.workspace], route: "stock/x", body: body}
	c.answer = r.send(ctx, strict, h.caller, nil)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls[body] = c
}

func (d *sender) finish() {
	close(d.stop)
	d.work.Wait()
}

// limited lists the calls refused as rate-limited that began in a time span.
func (d *sender) limited(from, to time.Time) []string {
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

// admission is a call that reached its target: it was admitted after begin and
// before arrived.
type admission struct{ begin, arrived time.Time }

// admissions lists the admitted calls. Repeatable calls may arrive again
// without another admission, so a body counts once.
func (d *sender) admissions() []admission {
	seen := map[string]bool{}
	var list []admission
	for _, a := range d.site.arrivals() {
		if !strings.HasPrefix(a.Body, d.name+"/") || seen[a.Body] {
			continue
		}
		seen[a.Body] = true
		d.mu.Lock()
		list = append(list, admission{d.calls[a.Body].begin, a.Time})
		d.mu.Unlock()
	}
	return list
}

// checkWindows verifies that over each window, the calls that were certainly
// admitted in it are at most burst + rate × t. It returns the largest share of
// the bound that a window used.
func checkWindows(t *testing.T, list []admission, rate, burst float64) float64 {
	t.Helper()
	sort.Slice(list, func(i, j int) bool { return list[i].arrived.Before(list[j].arrived) })
	worst := 0.0
	for _, first := range list {
		n := 0.0
		for _, a := range list {
			if a.begin.Before(first.begin) {
				continue
			}
			n++
			bound := burst + rate*a.arrived.Sub(first.begin).Seconds()
			worst = max(worst, n/bound)
			if n > bound {
				t.Fatalf("%v calls admitted within %v, want at most %v", n, a.arrived.Sub(first.begin), bound)
			}
		}
	}
	return worst
}

// Guards against a rate and burst that hold at each host instead of across the
// fleet, against tokens that a killed or restarted host brings twice, and
// against refusals of workspaces that keep to their rate. One workspace sends
// four times its rate to all hosts; over each window its admitted calls are at
// most burst + rate × t, also while a host is killed and restarted. The others
// keep to their rate: at half of it through all hosts, steadily at 0.9 of it
// through one host, and at half of it in batches as large as the burst through
// one host. They are never limited in the fault-free part, nor later than 10 s
// after the kill.
func TestFleetWideRate(t *testing.T) {
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
	up := s.hosts
	anywhere := func(i int) *entry {
		mu.Lock()
		defer mu.Unlock()
		return up[i%len(up)]
	}
	setUp := func(hosts []*entry) {
		mu.Lock()
		defer mu.Unlock()
		up = hosts
	}
	first := func(int) *entry { return s.hosts[0] }
	begin := time.Now()
	large := s.startSender(&sender{workspace: "large", rate: 4 * rate, batch: 1, hosts: anywhere})
	within := []*sender{
		s.startSender(&sender{workspace: "spread", rate: 0.5 * rate, batch: 1, hosts: anywhere}),
		s.startSender(&sender{workspace: "single", rate: 0.9 * rate, batch: 1, hosts: first}),
		s.startSender(&sender{workspace: "batches", rate: 0.5 * rate, batch: burst, hosts: first}),
	}
	time.Sleep(8 * time.Second) // the fault-free part of the run
	victim := s.hosts[2]
	setUp(s.hosts[:2])
	killed := time.Now()
	victim.kill()
	s.waitSettled(2)
	time.Sleep(time.Until(killed.Add(takeoverLimit + 5*time.Second))) // 5 s with one host dead after the bound
	restarted := time.Now()
	s.run(victim)
	s.waitSettled(3)
	s.waitReady(victim)
	setUp(s.hosts)
	time.Sleep(4 * time.Second) // the restarted host takes part
	for _, d := range append(within, large) {
		d.finish()
		list := d.admissions()
		t.Logf("%s: %d of %d calls admitted in %v; largest share of the bound: %.3f", d.workspace,
			len(list), len(d.calls), time.Since(begin), checkWindows(t, list, rate, burst))
		// A bound that holds because little is admitted proves nothing.
		assert.Assert(t, len(list) > rate*8/2, "%s: only %d calls admitted", d.workspace, len(list))
	}
	for _, d := range within {
		assert.DeepEqual(t, d.limited(begin, killed), []string(nil))
		assert.DeepEqual(t, d.limited(killed.Add(takeoverLimit), restarted), []string(nil))
	}
}

// Guards against a resumed host that spends the share of a workspace's burst
// that was granted to other hosts while it was frozen for 6 s. Calls wait in the
// sockets of the frozen host when it resumes, and the others send the whole
// burst at the same moment; over each window the admitted calls are at most
// burst + rate × t.
func TestFrozenHostSpendsNoShare(t *testing.T) {
	t.Parallel()
	knownred.Skip(t)
	const rate, burst = 30, 30
	s := newSite(t, options{workspaces: []config.Workspace{{Name: "main", Rate: rate, Burst: burst}}})
	victim := s.hosts[2]
	// One call on each host, so that all take part in the workspace's limit.
	for _, h := range s.hosts {
		r := request{key: s.keys["main"], route: "stock/x", body: "before"}
		a := r.send(timeout(t, 10*time.Second), strict, h.caller, nil)
		assert.Assert(t, a.whole, a.String())
	}
	victim.freeze()
	frozen := time.Now()
	eventually(t, takeoverLimit, "the frozen host is removed", func() bool {
		for _, h := range s.others(victim) {
			if st, err := s.status(h); err != nil || len(st.Members) != 2 || !st.Settled {
				return false
			}
		}
		return true
	})
	// The length of the freeze is the fault; the other hosts also need the time
	// to refill the share that they gained, which is at most burst / rate.
	refilled := time.Now().Add(time.Duration(burst / rate * float64(time.Second)))
	time.Sleep(max(time.Until(frozen.Add(6*time.Second)), time.Until(refilled)))
	late := s.startSender(&sender{workspace: "main", name: "late", rate: rate, batch: 2 * burst, once: true, hosts: func(int) *entry { return victim }})
	eventually(t, 5*time.Second, "calls are on their way to the frozen host", func() bool { return late.started.Load() == 2*burst })
	victim.resume()
	prompt := s.startSender(&sender{workspace: "main", name: "prompt", rate: rate, batch: 2 * burst, once: true, hosts: func(n int) *entry { return s.hosts[n%2] }})
	prompt.work.Wait()
	late.work.Wait()
	list := append(prompt.admissions(), late.admissions()...)
	t.Logf("%d calls admitted; largest share of the bound: %.3f", len(list), checkWindows(t, list, rate, burst))
	assert.Assert(t, len(list) >= burst/2, "only %d calls admitted", len(list))
}
