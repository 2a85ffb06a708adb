//go:build linux

package e2e

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/config"
	"mimosarelay/core/model"
	"mimosarelay/standin/engine"
	"mimosarelay/standin/fault"
	"mimosarelay/test/knownred"
)

// isolationLimit is the documented bound on the time for which a host may still
// act after it lost the store. It equals the bound for withdrawn keys.
const isolationLimit = 3 * time.Second

// Guards against a host that goes on acting after it lost its connection to the
// store: it would run calls of programs that other hosts have taken over, spend
// shares that were granted again, and accept withdrawn keys. In one case the
// store refuses the host's connections, in the other it does not answer them.
// Bounds: other hosts serve calls of its programs within 10 s, each payment
// arrives once, its open stream ends and it refuses calls within 3 s, and it
// serves again within 10 s after the partition ends.
func TestHostPartitionedFromStoreStopsActing(t *testing.T) {
	t.Parallel()
	for name, partition := range map[string]func(netip.Addr) fault.Fault{
		"refused": func(a netip.Addr) fault.Fault { return fault.Fault{RefuseClients: []netip.Addr{a}} },
		"silent":  func(a netip.Addr) fault.Fault { return fault.Fault{SilenceClients: []netip.Addr{a}} },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			knownred.Skip(t)
			testPartitionFromStore(t, partition)
		})
	}
}

func testPartitionFromStore(t *testing.T, partition func(netip.Addr) fault.Fault) {
	s := newSite(t, options{workspaces: []config.Workspace{{Name: "main"}, {Name: "other"}}})
	victim := s.hosts[0]
	address := netip.MustParseAddrPort(victim.callerAddress).Addr()
	c := s.newRetryingCaller(singleUseClient)
	c.attemptTimeout = 4 * time.Second
	l := s.startLoad(c, loadOptions{chats: 4, payments: 3, owner: victim, callTimeout: 20 * time.Second})
	l.waitCalls(20, 10*time.Second)
	stream := make(chan answer, 1)
	started := make(chan struct{}, 1)
	go func() {
		r := request{key: s.keys["other"], messages: []engine.Message{{Role: "user", Content: "long [tokens:4000]"}}, maxTokens: 4096}
		stream <- r.send(contextWithTimeout(t, 30*time.Second), singleUseClient, victim.callerAddress, func() { started <- struct{}{} })
	}()
	<-started
	s.setFault(s.platform, partition(address))
	begin := time.Now()
	ended := <-stream
	assert.Assert(t, !ended.complete && ended.endedAt.Sub(begin) < isolationLimit, "the stream ended %v after the start of the partition: %v", ended.endedAt.Sub(begin), ended)
	eventually(t, isolationLimit-time.Since(begin), "the host refuses", func() bool {
		r := request{key: s.keys["other"], messages: []engine.Message{{Role: "user", Content: "hello [tokens:1]"}}}
		a := r.send(contextWithTimeout(t, 2*time.Second), singleUseClient, victim.callerAddress, nil)
		return !a.complete && a.ran == model.RanNo
	})
	calls := l.completedCalls()
	eventually(t, takeoverLimit, "other hosts serve calls of its programs", func() bool { return l.completedCalls() >= calls+20 })
	out, err := s.cli(s.hosts[1], "key", "withdraw", "key-other")
	assert.Assert(t, err == nil || strings.Contains(out, string(victim.name)), "%v: %s", err, out)
	s.setFault(s.platform, fault.Fault{})
	healed := time.Now()
	s.waitSettled(3)
	s.waitReady(victim)
	assert.Assert(t, time.Since(healed) < takeoverLimit, "the host was ready only %v after the end of the partition", time.Since(healed))
	r := request{key: s.keys["other"], messages: []engine.Message{{Role: "user", Content: "hello [tokens:1]"}}}
	a := r.send(contextWithTimeout(t, 5*time.Second), singleUseClient, victim.callerAddress, nil)
	assert.Assert(t, a.status == 401, "a key withdrawn during the partition is not refused: %v", a)
	l.waitCalls(20, 10*time.Second)
	l.stopAndCheck()
	l.checkHistories(s.hosts[1].callerAddress)
}
