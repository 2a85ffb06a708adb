//go:build linux

package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/config"
	"mimosarelay/standin/engine"
	"mimosarelay/standin/fault"
	"mimosarelay/test/knownred"
)

// Guards against a request that crashes its target and, because its caller
// retries it through every host, crashes all other targets too. The request is
// sent through all hosts at once and then through one after the other, once
// outside a program and once in one. It arrives at no more than 2 targets.
func TestCrashingRequestReachesAtMostTwoTargets(t *testing.T) {
	t.Parallel()
	knownred.Skip(t)
	s := newSite(t, options{engines: 5})
	for _, program := range []string{"", "crashing"} {
		marker := "crash-marker" + program
		for _, e := range s.engines {
			s.setFault(e, fault.Fault{CrashMarker: marker, CrashTime: fault.Duration(500 * time.Millisecond)})
		}
		before := s.crashCounts()
		r := request{key: s.keys["main"], program: program, messages: []engine.Message{{Role: "user", Content: engine.Content(marker)}}}
		if program != "" {
			r.call = 1
		}
		var wg sync.WaitGroup
		for _, h := range s.hosts {
			wg.Go(func() {
				checkNotServed(t, r.send(contextWithTimeout(t, 40*time.Second), singleUseClient, h.callerAddress, nil))
			})
		}
		wg.Wait()
		for range 2 {
			for _, h := range s.hosts {
				s.waitEngines()
				checkNotServed(t, r.send(contextWithTimeout(t, 40*time.Second), singleUseClient, h.callerAddress, nil))
			}
		}
		after := s.crashCounts()
		hit := 0
		for i := range after {
			if after[i] > before[i] {
				hit++
			}
		}
		assert.Assert(t, hit >= 1 && hit <= 2, "the request with %q arrived at %d targets: %v before, %v after", marker, hit, before, after)
	}
	good := request{key: s.keys["main"], messages: []engine.Message{{Role: "user", Content: "hello"}}}
	a := good.send(contextWithTimeout(t, 10*time.Second), singleUseClient, s.hosts[0].callerAddress, nil)
	assert.Assert(t, a.complete, "another request is not served: %v", a)
}

func checkNotServed(t *testing.T, a answer) {
	t.Helper()
	if a.complete {
		t.Errorf("a request that crashes its target has a complete answer: %v", a)
	}
}

// crashCounts returns how many requests crashed each engine.
func (s *site) crashCounts() []int64 {
	s.t.Helper()
	var list []int64
	for _, e := range s.engines {
		list = append(list, s.crashArrivals(e))
	}
	return list
}

// waitEngines waits until all engines accept connections again.
func (s *site) waitEngines() {
	s.t.Helper()
	eventually(s.t, 10*time.Second, "engines are up", func() bool {
		for _, e := range s.engines {
			if _, err := httpGet("http://"+e.address+"/v1/load", "", time.Second); err != nil {
				return false
			}
		}
		return true
	})
}

// leavingLimit is the documented bound after which a leaving target gets no new
// call.
const leavingLimit = 3 * time.Second

// releaseLimit is the documented bound on the time until the engine memory of an
// ended program is released.
const releaseLimit = 30 * time.Second

// Guards against new calls to a target that is marked as leaving and against
// interrupted streams on it: it gets no new call later than 3 s after the start of
// the command, and its streams end normally. Also guards against engine memory
// that is never released: all programs are ended while one engine is down, and a
// host that owns some of them is killed before that engine is back, so that its
// command to release their memory is lost. No engine reports memory of a program
// 30 s after the programs ended.
func TestLeavingTargetGetsNoNewCallsAndMemoryIsReleased(t *testing.T) {
	t.Parallel()
	knownred.Skip(t)
	s := newSite(t, options{})
	leaving := s.engines[0]
	l := s.startLoad(s.newRetryingCaller(singleUseClient), loadOptions{chats: 8, callTimeout: takeoverLimit, chatsNeedNoRetry: true})
	l.waitCalls(30, 10*time.Second)
	var streams sync.WaitGroup
	var mu sync.Mutex
	var long []answer
	started := make(chan struct{}, 8)
	for i := range cap(started) {
		text := fmt.Sprintf("long %d [tokens:1200]", i) // 6 s
		r := request{key: s.keys["main"], program: fmt.Sprintf("long-%d", i), call: 1, maxTokens: 4096, messages: []engine.Message{{Role: "user", Content: engine.Content(text)}}}
		streams.Go(func() {
			a := r.send(contextWithTimeout(t, 30*time.Second), singleUseClient, s.hosts[i%3].callerAddress, func() { started <- struct{}{} })
			mu.Lock()
			defer mu.Unlock()
			long = append(long, a)
		})
	}
	for range cap(started) {
		select {
		case <-started:
		case <-time.After(10 * time.Second):
			t.Fatal("the streams did not start within 10 s")
		}
	}
	assert.Assert(t, s.engineLoad(leaving).Running > 0, "no stream runs at the target")
	begin := time.Now()
	s.editConfig(func(d *config.Document) { d.Targets[0].Leaving = true })
	time.Sleep(time.Until(begin.Add(leavingLimit))) // no new call after this
	before := s.engineStats(leaving).Requests
	l.waitCalls(100, 20*time.Second)
	streams.Wait()
	assert.Equal(t, s.engineStats(leaving).Requests, before, "new calls at the leaving target")
	for _, a := range long {
		assert.Assert(t, a.complete, "a stream at the leaving target is not complete: %v", a)
	}
	l.stopAndCheck()
	ids := []string{}
	for _, c := range l.conversations {
		ids = append(ids, c.program)
	}
	for i := range cap(started) {
		ids = append(ids, fmt.Sprintf("long-%d", i))
	}
	assert.Assert(t, len(s.engineLoad(s.engines[1]).Programs) > 0, "no program holds memory at the start")
	s.setFault(s.engines[1], fault.Fault{Down: true})
	for i, id := range ids {
		s.endProgram(s.hosts[i%3], id)
	}
	ended := time.Now()
	s.hosts[0].kill()
	s.setFault(s.engines[1], fault.Fault{})
	assert.Assert(t, len(s.engineLoad(s.engines[1]).Programs) > 0, "memory was released while the engine was down")
	eventually(t, releaseLimit-time.Since(ended), "memory of ended programs is released", func() bool {
		return len(s.engineLoad(s.engines[0]).Programs) == 0 && len(s.engineLoad(s.engines[1]).Programs) == 0
	})
	t.Logf("memory of %d programs was released after %v", len(ids), time.Since(ended))
}

// engineLoad returns the load report of an engine.
func (s *site) engineLoad(e *standin) engine.LoadReport {
	s.t.Helper()
	data, err := httpGet("http://"+e.address+"/v1/load", "", 5*time.Second)
	assert.NilError(s.t, err)
	var r engine.LoadReport
	assert.NilError(s.t, json.Unmarshal(data, &r))
	return r
}

// endProgram ends a program of workspace main.
func (s *site) endProgram(h *entryHost, id string) {
	s.t.Helper()
	q, err := http.NewRequestWithContext(contextWithTimeout(s.t, 10*time.Second), http.MethodDelete, "http://"+h.callerAddress+"/v1/programs/"+id, nil)
	assert.NilError(s.t, err)
	q.Header.Set("Authorization", "Bearer "+s.keys["main"])
	a, err := singleUseClient.Do(q)
	assert.NilError(s.t, err)
	assert.NilError(s.t, a.Body.Close())
	assert.Equal(s.t, a.StatusCode, http.StatusOK, "end of program %s", id)
}
