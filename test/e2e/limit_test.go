//go:build linux

package e2e

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/config"
)

// stampedCall is a call of a rate test.
type stampedCall struct {
	begin  time.Time
	answer answer
}

// sender sends calls of one workspace at a fixed rate, to one host after the
// other, whether earlier calls have ended or not.
type sender struct {
	site      *site
	workspace string
	rate      float64 // calls per second
	hosts     func(i int) *entry

	stop chan struct{}
	work sync.WaitGroup

	mu    sync.Mutex
	calls map[string]stampedCall // by body
}

func (s *site) startSender(workspace string, rate float64, hosts func(i int) *entry) *sender {
	d := &sender{site: s, workspace: workspace, rate: rate, hosts: hosts, stop: make(chan struct{}), calls: map[string]stampedCall{}}
	d.work.Go(d.run)
	return d
}

func (d *sender) run() {
	tick := time.NewTicker(time.Duration(float64(time.Second) / d.rate))
	defer tick.Stop()
	for i := 0; i < maxLoad; i++ {
		select {
		case <-d.stop:
			return
		case <-tick.C:
		}
		h := d.hosts(i)
		d.work.Go(func() { d.send(h, fmt.Sprintf("%s/%d", d.workspace, i)) })
	}
}

func (d *sender) send(h *entry, body string) {
	ctx := timeout(d.site.t, 10*time.Second)
	c := stampedCall{begin: time.Now()}
	r := request{key: d.site.keys[workspaceID(d.workspace)], route: "stock/x", body: body}
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

// admissions lists the admitted calls. Each arrival counts: repeatable calls
// may arrive again without another admission, so a body counts once.
func (d *sender) admissions() []admission {
	seen := map[string]bool{}
	var list []admission
	for _, a := range d.site.arrivals() {
		if !strings.HasPrefix(a.Body, d.workspace+"/") || seen[a.Body] {
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
// against refusals of a workspace that keeps to its rate. One workspace sends
// four times its rate to all hosts; over each window its admitted calls are at
// most burst + rate × t, also while a host is killed and restarted. The other
// sends less than its rate and is never limited in the fault-free part, nor
// later than 10 s after the kill.
func TestFleetWideRate(t *testing.T) {
	t.Parallel()
	knownRed(t)
	const rate, burst = 20, 10
	s := newSite(t, options{workspaces: []config.Workspace{
		{Name: "large", Rate: rate, Burst: burst},
		{Name: "modest", Rate: rate, Burst: burst},
	}})
	var mu sync.Mutex
	up := s.hosts
	pick := func(i int) *entry {
		mu.Lock()
		defer mu.Unlock()
		return up[i%len(up)]
	}
	begin := time.Now()
	large := s.startSender("large", 4*rate, pick)
	modest := s.startSender("modest", rate/2, pick)
	time.Sleep(8 * time.Second) // the fault-free part of the run
	victim := s.hosts[2]
	mu.Lock()
	up = s.hosts[:2]
	mu.Unlock()
	faultFree := time.Now()
	victim.kill()
	killed := time.Now()
	s.waitSettled(2)
	time.Sleep(time.Until(killed.Add(takeoverLimit + 5*time.Second))) // 5 s with one host dead after the bound
	assert.DeepEqual(t, modest.limited(killed.Add(takeoverLimit), time.Now()), []string(nil))
	s.run(victim)
	s.waitSettled(3)
	s.waitReady(victim)
	mu.Lock()
	up = s.hosts
	mu.Unlock()
	time.Sleep(4 * time.Second) // the restarted host takes part
	large.finish()
	modest.finish()
	list := large.admissions()
	t.Logf("%d of %d calls of the large workspace admitted in %v; largest share of the bound: %.3f",
		len(list), len(large.calls), time.Since(begin), checkWindows(t, list, rate, burst))
	assert.DeepEqual(t, modest.limited(begin, faultFree), []string(nil))
	checkWindows(t, modest.admissions(), rate, burst)
	// Guards against a bound that holds because nothing is admitted.
	assert.Assert(t, float64(len(list)) > rate*8/2, "only %d calls admitted", len(list))
}
