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

// rightLimit is the stated bound on the time for which a host that is cut off
// may act: as long as a withdrawn key may work.
const rightLimit = 3 * time.Second

// Guards against a host that is cut off from the store and goes on: it would
// run calls of programs that others have taken over, spend shares that were
// granted again, and serve keys that were withdrawn. The cut is one way for new
// connections (refused) or silent. Bounds: calls of its programs are served
// within 10 s, payments arrive once, its open stream ends and it refuses within
// 3 s, and it serves again within 10 s after the cut.
func TestHostCutFromStore(t *testing.T) {
	t.Parallel()
	for name, cut := range map[string]func(netip.Addr) fault.Fault{
		"refused": func(a netip.Addr) fault.Fault { return fault.Fault{RefuseClients: []netip.Addr{a}} },
		"silent":  func(a netip.Addr) fault.Fault { return fault.Fault{SilenceClients: []netip.Addr{a}} },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			knownred.Skip(t)
			testCutFromStore(t, cut)
		})
	}
}

func testCutFromStore(t *testing.T, cut func(netip.Addr) fault.Fault) {
	s := newSite(t, options{workspaces: []config.Workspace{{Name: "main"}, {Name: "other"}}})
	victim := s.hosts[0]
	address := netip.MustParseAddrPort(victim.caller).Addr()
	c := s.callers(strict)
	c.attempt = 4 * time.Second
	l := s.startLoad(c, loadOptions{chats: 4, payments: 3, at: victim, limit: 20 * time.Second})
	l.waitCalls(20, 10*time.Second)
	stream := make(chan answer, 1)
	started := make(chan struct{}, 1)
	go func() {
		r := request{key: s.keys["other"], messages: []engine.Message{{Role: "user", Content: "long [tokens:4000]"}}, maxTokens: 4096}
		stream <- r.send(timeout(t, 30*time.Second), strict, victim.caller, func() { started <- struct{}{} })
	}()
	<-started
	s.setFault(s.platform, cut(address))
	begin := time.Now()
	ended := <-stream
	assert.Assert(t, !ended.whole && ended.at.Sub(begin) < rightLimit, "the stream ended %v after the cut: %v", ended.at.Sub(begin), ended)
	eventually(t, rightLimit-time.Since(begin), "the host refuses", func() bool {
		r := request{key: s.keys["other"], messages: []engine.Message{{Role: "user", Content: "hello [tokens:1]"}}}
		a := r.send(timeout(t, 2*time.Second), strict, victim.caller, nil)
		return !a.whole && a.ran == model.RanNo
	})
	calls := l.calls()
	eventually(t, takeoverLimit, "calls of the host's programs are served", func() bool { return l.calls() >= calls+20 })
	out, err := s.cli(s.hosts[1], "key", "withdraw", "key-other")
	assert.Assert(t, err == nil || strings.Contains(out, string(victim.name)), "%v: %s", err, out)
	s.setFault(s.platform, fault.Fault{})
	healed := time.Now()
	s.waitSettled(3)
	s.waitReady(victim)
	assert.Assert(t, time.Since(healed) < takeoverLimit, "the host serves again only after %v", time.Since(healed))
	r := request{key: s.keys["other"], messages: []engine.Message{{Role: "user", Content: "hello [tokens:1]"}}}
	a := r.send(timeout(t, 5*time.Second), strict, victim.caller, nil)
	assert.Assert(t, a.status == 401, "a key withdrawn during the cut: %v", a)
	l.waitCalls(20, 10*time.Second)
	l.finish()
	l.checkHistories(s.hosts[1].caller)
}
