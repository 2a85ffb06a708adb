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

// Guards against a request that crashes one target after the other when its
// caller sends it again through every host, at once and one after the other, in
// a program and outside. Each request arrives at 2 targets at most.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	knownred.Skip(t)
	s := newSite(t, options{engines: 5})
	for _, program := range []string{"", "crashing"} {
		marker := "crash-marker" + program
		for _, e := range s.engines {
			s.setFault(e, fault.Fault{CrashMarker: marker, CrashTime: fault.Duration(500 * time.Millisecond)})
		}
		before := s.crashes()
		r := request{key: s.keys["main"], program: program, messages: []engine.Message{{Role: "user", Content: engine.Content(marker)}}}
		if program != "" {
			r.call = 1
		}
		var work sync.WaitGroup
		for _, h := range s.hosts {
			work.Go(func() { checkNotServed(t, r.send(timeout(t, 40*time.Second), strict, h.caller, nil)) })
		}
		work.Wait()
		for range 2 {
			for _, h := range s.hosts {
				s.waitEngines()
				checkNotServed(t, r.send(timeout(t, 40*time.Second), strict, h.caller, nil))
			}
		}
		after := s.crashes()
		hit := 0
		for i := range after {
			if after[i] > before[i] {
				hit++
			}
		}
		assert.Assert(t, hit >= 1 && hit <= 2, "the request with %q arrived at %d targets: %v before, %v after", marker, hit, before, after)
	}
	good := request{key: s.keys["main"], messages: []engine.Message{{Role: "user", Content: "hello"}}}
	a := good.send(timeout(t, 10*time.Second), strict, s.hosts[0].caller, nil)
	assert.Assert(t, a.whole, "another request is not served: %v", a)
}

func checkNotServed(t *testing.T, a answer) {
	t.Helper()
	if a.whole {
		t.Errorf("a request that crashes its target was answered: %v", a)
	}
}

// crashes counts the crashing requests that arrived at each engine.
func (s *site) crashes() []int64 {
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
			if _, err := get("http://"+e.address+"/v1/load", "", time.Second); err != nil {
				return false
			}
		}
		return true
	})
}

// leavingLimit is the stated bound after which a leaving target gets no call.
const leavingLimit = 3 * time.Second

// releaseLimit is the stated bound on freeing the memory of ended programs.
const releaseLimit = 30 * time.Second

// Guards against calls that go to a target after it was marked as leaving, and
// against its streams being cut. It gets no new call later than 3 s after the
// command began. Then all programs are ended while one engine is down, and the
// owner of some of them is killed before the engine is back, so that its command
// to release their memory is lost: guards against engine memory that is kept for
// them; no engine reports an entry 30 s after their end.
func TestLeavingTargetAndMemory(t *testing.T) {
	t.Parallel()
	knownred.Skip(t)
	s := newSite(t, options{})
	leaving := s.engines[0]
	l := s.startLoad(s.callers(strict), loadOptions{chats: 8, limit: takeoverLimit, first: true})
	l.waitCalls(30, 10*time.Second)
	var streams sync.WaitGroup
	var mu sync.Mutex
	var long []answer
	started := make(chan struct{}, 8)
	for i := range cap(started) {
		text := fmt.Sprintf("long %d [tokens:1200]", i) // 6 s
		r := request{key: s.keys["main"], program: fmt.Sprintf("long-%d", i), call: 1, maxTokens: 4096, messages: []engine.Message{{Role: "user", Content: engine.Content(text)}}}
		streams.Go(func() {
			a := r.send(timeout(t, 30*time.Second), strict, s.hosts[i%3].caller, func() { started <- struct{}{} })
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
	assert.Assert(t, s.load(leaving).Running > 0, "no stream runs at the target")
	begin := time.Now()
	s.edit(func(d *config.Document) { d.Targets[0].Leaving = true })
	time.Sleep(time.Until(begin.Add(leavingLimit))) // the bound itself
	before := s.engineStats(leaving).Requests
	l.waitCalls(100, 20*time.Second)
	streams.Wait()
	assert.Equal(t, s.engineStats(leaving).Requests, before, "new calls at the leaving target")
	for _, a := range long {
		assert.Assert(t, a.whole, "a stream was cut: %v", a)
	}
	l.finish()
	ids := []string{}
	for _, c := range l.conversations {
		ids = append(ids, c.program)
	}
	for i := range cap(started) {
		ids = append(ids, fmt.Sprintf("long-%d", i))
	}
	assert.Assert(t, len(s.load(s.engines[1]).Programs) > 0, "no program holds memory at the start")
	s.setFault(s.engines[1], fault.Fault{Down: true})
	for i, id := range ids {
		s.endProgram(s.hosts[i%3], id)
	}
	ended := time.Now()
	s.hosts[0].kill()
	s.setFault(s.engines[1], fault.Fault{})
	assert.Assert(t, len(s.load(s.engines[1]).Programs) > 0, "memory was released while the engine was down")
	eventually(t, releaseLimit-time.Since(ended), "memory of ended programs is free", func() bool {
		return len(s.load(s.engines[0]).Programs) == 0 && len(s.load(s.engines[1]).Programs) == 0
	})
	t.Logf("memory of %d programs was free after %v", len(ids), time.Since(ended))
}

// load asks an engine for its load.
func (s *site) load(e *standin) engine.LoadReport {
	s.t.Helper()
	data, err := get("http://"+e.address+"/v1/load", "", 5*time.Second)
	assert.NilError(s.t, err)
	var r engine.LoadReport
	assert.NilError(s.t, json.Unmarshal(data, &r))
	return r
}

// endProgram ends a program of workspace main.
func (s *site) endProgram(h *entry, id string) {
	s.t.Helper()
	q, err := http.NewRequestWithContext(timeout(s.t, 10*time.Second), http.MethodDelete, "http://"+h.caller+"/v1/programs/"+id, nil)
	assert.NilError(s.t, err)
	q.Header.Set("Authorization", "Bearer "+s.keys["main"])
	a, err := strict.Do(q)
	assert.NilError(s.t, err)
	assert.NilError(s.t, a.Body.Close())
	assert.Equal(s.t, a.StatusCode, http.StatusOK, "end of program %s", id)
}
