//go:build linux

package e2e

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/config"
	"mimosarelay/core/model"
	"mimosarelay/standin/engine"
	"mimosarelay/standin/fault"
	"mimosarelay/test/knownred"
)

// outageDuration is the documented length of a store outage in tests with real
// processes.
const outageDuration = 20 * time.Second

// Guards against calls of live programs that fail while the store is down for
// 20 s, against payments that arrive twice, and against a fleet that does not
// recover afterwards: records stay queued for the store, a host is not a member,
// or the configuration cannot be changed. No attempt of a repeatable call fails,
// and each payment arrives once.
func TestStoreOutageFailsNoCalls(t *testing.T) {
	t.Parallel()
	knownred.Skip(t)
	s := newSite(t, options{})
	l := s.startLoad(s.newRetryingCaller(singleUseClient), loadOptions{chats: 6, payments: 3, callTimeout: takeoverLimit, chatsNeedNoRetry: true, noNewPrograms: true})
	l.waitCalls(30, 10*time.Second)
	s.setFault(s.platform, fault.Fault{Down: true})
	begin := time.Now()
	for time.Since(begin) < outageDuration && !l.failed() {
		l.waitCalls(5, 5*time.Second)
	}
	s.setFault(s.platform, fault.Fault{})
	s.waitSettled(3)
	l.waitCalls(30, 10*time.Second)
	l.stopAndCheck()
	l.checkHistories(s.hosts[1].callerAddress)
	for _, h := range s.hosts {
		eventually(t, 10*time.Second, "records of "+string(h.name)+" are in the store", func() bool { return s.queuedRecords(h) == 0 })
	}
	s.editConfig(func(d *config.Document) { d.Workspaces[0].Weight = 2 })
}

// queuedRecords returns the number of program records that a host has yet to
// write to the store, or -1 while it cannot reach the store.
func (s *site) queuedRecords(h *entryHost) int {
	s.t.Helper()
	var d struct {
		Status   struct{ StoreAway bool }
		Programs struct{ Queued int }
	}
	assert.NilError(s.t, json.Unmarshal([]byte(s.mustCLI(h, "dump")), &d))
	if d.Status.StoreAway {
		return -1
	}
	return d.Programs.Queued
}

// withdrawLimit is the documented bound on the time until a withdrawn key stops
// working.
const withdrawLimit = 3 * time.Second

// Guards against a withdrawn key that a host still accepts or that keeps a stream
// open, and against streams of another key that end too. The streams belong to no
// program, to a program that the entry host owns, and to one that another host
// owns. The bound is 3 s from the start of the command.
func TestWithdrawnKeyStopsWorkingOnEveryHost(t *testing.T) {
	t.Parallel()
	knownred.Skip(t)
	s := newSite(t, options{workspaces: []config.Workspace{{Name: "main"}, {Name: "other"}}})
	// Each prompt is different, because few copies of a request run at once until
	// it is known not to crash targets.
	long := func(name string) []engine.Message {
		return []engine.Message{{Role: "user", Content: engine.Content(name + " [tokens:1200]")}} // 6 s
	}
	type stream struct {
		request
		enteredAt *entryHost
		answer
	}
	var streams []*stream
	for _, h := range s.hosts {
		for _, program := range []string{"", s.programOwnedBy(h, "own"), s.programOwnedBy(s.otherHosts(h)[0], "from-"+string(h.name))} {
			r := request{key: s.keys["main"], program: program, messages: long(string(h.name) + program), maxTokens: 4096}
			if program != "" {
				r.call = 1
			}
			streams = append(streams, &stream{request: r, enteredAt: h})
		}
		streams = append(streams, &stream{request: request{key: s.keys["other"], program: "other-" + string(h.name), call: 1, messages: long("other" + string(h.name)), maxTokens: 4096}, enteredAt: h})
	}
	var wg sync.WaitGroup
	started := make(chan struct{}, len(streams))
	for _, st := range streams {
		wg.Go(func() {
			st.answer = st.send(contextWithTimeout(t, 30*time.Second), singleUseClient, st.enteredAt.callerAddress, func() { started <- struct{}{} })
		})
	}
	for range streams {
		select {
		case <-started:
		case <-time.After(10 * time.Second):
			t.Fatal("the streams did not start within 10 s")
		}
	}
	begin := time.Now()
	withdrawn := make(chan error, 1)
	go func() {
		_, err := s.cli(s.hosts[1], "key", "withdraw", "key-main")
		withdrawn <- err
	}()
	for _, h := range s.hosts {
		eventually(t, withdrawLimit-time.Since(begin), string(h.name)+" refuses the key", func() bool {
			r := request{key: s.keys["main"], messages: []engine.Message{{Role: "user", Content: "hello [tokens:1]"}}}
			a := r.send(contextWithTimeout(t, 5*time.Second), singleUseClient, h.callerAddress, nil)
			return a.status == http.StatusUnauthorized && a.ran == model.RanNo
		})
	}
	assert.NilError(t, <-withdrawn)
	wg.Wait()
	for _, st := range streams {
		if st.key == s.keys["other"] {
			assert.Assert(t, st.complete, "a stream of another key ended: %v", st.answer)
			continue
		}
		took := st.endedAt.Sub(begin)
		assert.Assert(t, !st.complete && took < withdrawLimit, "stream %q at %s ended %v after the command: %v", st.program, st.enteredAt.name, took, st.answer)
		assert.Assert(t, !strings.Contains(st.text, s.keys["main"]))
	}
}

// Guards against requests that a planned stop interrupts or refuses. One host
// gets SIGTERM, then another one the command "drain", under load from callers
// that cache the addresses of GET /v1/hosts for MaxAge and reuse connections. No
// attempt fails, and the processes exit without an error within the drain timeout
// of 30 s.
func TestPlannedStopRefusesNoCalls(t *testing.T) {
	t.Parallel()
	knownred.Skip(t)
	s := newSite(t, options{hosts: 4})
	keepAliveClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	o := loadOptions{chats: 8, payments: 4, callTimeout: takeoverLimit, chatsNeedNoRetry: true, paymentsNeedNoRetry: true, tokens: 100}
	l := s.startLoad(s.newRetryingCaller(keepAliveClient), o)
	l.waitCalls(30, 10*time.Second)
	for i, stop := range []func(h *entryHost){
		func(h *entryHost) { h.signal(syscall.SIGTERM) },
		func(h *entryHost) { s.mustCLI(h, "drain") },
	} {
		h := s.hosts[i+1]
		stop(h)
		assert.NilError(t, h.waitEnd(30*time.Second), "end of %s", h.name)
		s.waitSettled(3 - i)
		l.waitCalls(20, 10*time.Second)
	}
	l.stopAndCheck()
	l.checkHistories(s.hosts[0].callerAddress)
}

// Guards against a host that is stopped during a store outage and refuses the
// calls of its programs from then on, although the other hosts cannot learn that
// it is leaving. No attempt fails.
func TestPlannedStopDuringOutageRefusesNoCalls(t *testing.T) {
	t.Parallel()
	s := newSite(t, options{hosts: 4})
	keepAliveClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	l := s.startLoad(s.newRetryingCaller(keepAliveClient), loadOptions{chats: 8, callTimeout: takeoverLimit, chatsNeedNoRetry: true, paymentsNeedNoRetry: true, tokens: 100})
	l.waitCalls(30, 10*time.Second)
	s.setFault(s.platform, fault.Fault{Down: true})
	l.waitCalls(10, 10*time.Second)
	h := s.hosts[1]
	h.signal(syscall.SIGTERM)
	// Longer than leavingGracePeriod of app/host, for which a leaving host still
	// accepts calls.
	time.Sleep(8 * time.Second)
	l.waitCalls(20, 10*time.Second)
	s.setFault(s.platform, fault.Fault{})
	assert.NilError(t, h.waitEnd(30*time.Second), "end of %s", h.name)
	s.waitSettled(3)
	l.waitCalls(20, 10*time.Second)
	l.stopAndCheck()
	l.checkHistories(s.hosts[0].callerAddress)
}
