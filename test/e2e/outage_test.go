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

// outage is the stated length of a store outage with real processes.
const outage = 20 * time.Second

// Guards against calls of live programs that fail while the store is down for
// 20 s, against payments that arrive twice, and against hosts that do not
// return to normal afterwards: records still queued for the store, a host that
// is no member, or a configuration that cannot be changed. The bound is 0
// failed attempts at repeatable calls, and 1 arrival of each payment.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	knownred.Skip(t)
	s := newSite(t, options{})
	l := s.startLoad(s.callers(strict), loadOptions{chats: 6, payments: 3, limit: takeoverLimit, first: true, sameProgram: true})
	l.waitCalls(30, 10*time.Second)
	s.setFault(s.platform, fault.Fault{Down: true})
	begin := time.Now()
	for time.Since(begin) < outage && !l.failed() {
		l.waitCalls(5, 5*time.Second)
	}
	s.setFault(s.platform, fault.Fault{})
	s.waitSettled(3)
	l.waitCalls(30, 10*time.Second)
	l.finish()
	l.checkHistories(s.hosts[1].caller)
	for _, h := range s.hosts {
		eventually(t, 10*time.Second, "records of "+string(h.name)+" are in the store", func() bool { return s.queued(h) == 0 })
	}
	s.edit(func(d *config.Document) { d.Workspaces[0].Weight = 2 })
}

// queued returns the number of records that a host has yet to write to the
// store.
func (s *site) queued(h *entry) int {
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

// withdrawLimit is the stated bound on the time until a withdrawn key stops
// working.
const withdrawLimit = 3 * time.Second

// Guards against a withdrawn key that goes on working at some host or on an
// open stream, whether the stream's program is owned by the host of its
// connection or by another one, and against streams of another key that end
// with it. The bound is 3 s from the start of the command.
func TestWithdrawnKey(t *testing.T) {
	t.Parallel()
	knownred.Skip(t)
	s := newSite(t, options{workspaces: []config.Workspace{{Name: "main"}, {Name: "other"}}})
	// Each prompt is different, because a few copies of one unproven request run at a time.
	long := func(name string) []engine.Message {
		return []engine.Message{{Role: "user", Content: engine.Content(name + " [tokens:1200]")}} // 6 s
	}
	type stream struct {
		request
		at *entry
		answer
	}
	var streams []*stream
	for _, h := range s.hosts {
		for _, program := range []string{"", s.programAt(h, "own"), s.programAt(s.others(h)[0], "from-"+string(h.name))} {
			r := request{key: s.keys["main"], program: program, messages: long(string(h.name) + program), maxTokens: 4096}
			if program != "" {
				r.call = 1
			}
			streams = append(streams, &stream{request: r, at: h})
		}
		streams = append(streams, &stream{request: request{key: s.keys["other"], program: "other-" + string(h.name), call: 1, messages: long("other" + string(h.name)), maxTokens: 4096}, at: h})
	}
	var work sync.WaitGroup
	started := make(chan struct{}, len(streams))
	for _, st := range streams {
		work.Go(func() {
			st.answer = st.send(timeout(t, 30*time.Second), strict, st.at.caller, func() { started <- struct{}{} })
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
			a := r.send(timeout(t, 5*time.Second), strict, h.caller, nil)
			return a.status == http.StatusUnauthorized && a.ran == model.RanNo
		})
	}
	assert.NilError(t, <-withdrawn)
	work.Wait()
	for _, st := range streams {
		if st.key == s.keys["other"] {
			assert.Assert(t, st.whole, "a stream of another key ended: %v", st.answer)
			continue
		}
		took := st.answer.at.Sub(begin)
		assert.Assert(t, !st.whole && took < withdrawLimit, "stream %q at %s ended %v after the command: %v", st.program, st.at.name, took, st.answer)
		assert.Assert(t, !strings.Contains(st.text, s.keys["main"]))
	}
}

// Guards against requests that a planned stop cuts or refuses: SIGTERM to one
// host, then "drain" of another, under load from callers that take addresses
// from GET /v1/hosts, keep them for MaxAge and keep their connections. The bound
// is 0 failed attempts; the processes must end without an error within the drain
// timeout of 30 s.
func TestPlannedStopUnderLoad(t *testing.T) {
	t.Parallel()
	knownred.Skip(t)
	s := newSite(t, options{hosts: 4})
	keeping := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	o := loadOptions{chats: 8, payments: 4, limit: takeoverLimit, first: true, calm: true, tokens: 100}
	l := s.startLoad(s.callers(keeping), o)
	l.waitCalls(30, 10*time.Second)
	for i, stop := range []func(h *entry){
		func(h *entry) { h.signal(syscall.SIGTERM) },
		func(h *entry) { s.mustCLI(h, "drain") },
	} {
		h := s.hosts[i+1]
		stop(h)
		assert.NilError(t, h.waitEnd(30*time.Second), "end of %s", h.name)
		s.waitSettled(3 - i)
		l.waitCalls(20, 10*time.Second)
	}
	l.finish()
	l.checkHistories(s.hosts[0].caller)
}

// Guards against a planned stop that begins during an outage of the store and
// refuses the calls of its programs from then on, because the other hosts
// cannot learn that it is leaving. The bound is 0 failed attempts.
func TestPlannedStopDuringOutage(t *testing.T) {
	t.Parallel()
	s := newSite(t, options{hosts: 4})
	keeping := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	l := s.startLoad(s.callers(keeping), loadOptions{chats: 8, limit: takeoverLimit, first: true, calm: true, tokens: 100})
	l.waitCalls(30, 10*time.Second)
	s.setFault(s.platform, fault.Fault{Down: true})
	l.waitCalls(10, 10*time.Second)
	h := s.hosts[1]
	h.signal(syscall.SIGTERM)
	// Longer than a leaving host lingers.
	time.Sleep(8 * time.Second)
	l.waitCalls(20, 10*time.Second)
	s.setFault(s.platform, fault.Fault{})
	assert.NilError(t, h.waitEnd(30*time.Second), "end of %s", h.name)
	s.waitSettled(3)
	l.waitCalls(20, 10*time.Second)
	l.finish()
	l.checkHistories(s.hosts[0].caller)
}
