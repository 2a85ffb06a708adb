package consul_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"mimosarelay/core/store"
	"mimosarelay/io/consul"
)

// kv is a key as the KV endpoint returns it.
type kv struct {
	Key                      string
	Value                    []byte
	CreateIndex, ModifyIndex uint64
	Session                  string `json:",omitempty"`
}

// fakeServer implements the endpoints of Consul that the client uses. fault
// selects the fault that is injected into each request.
type fakeServer struct {
	mu       sync.Mutex
	index    uint64
	pairs    map[string]kv
	sessions map[string]bool
	services map[string]map[string]any
	changed  chan struct{}
	requests map[string]int
	fault    func(r *http.Request) faultKind
	delayed  []func() // requests that executeDelayed executes
}

type faultKind int

const (
	noFault      faultKind = iota
	loseResponse           // executed, connection closed without a response
	dropRequest            // not executed, connection closed
	delayRequest           // connection closed, executed by executeDelayed
	serverError            // status 500, not executed
)

func newFakeServer(t *testing.T) (*fakeServer, *consul.Client) {
	t.Helper()
	f := &fakeServer{
		index: 1, pairs: map[string]kv{}, sessions: map[string]bool{}, services: map[string]map[string]any{},
		changed: make(chan struct{}), requests: map[string]int{}, fault: func(*http.Request) faultKind { return noFault },
	}
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	c, err := consul.New(consul.Options{Address: s.Listener.Addr().String(), Timeout: 2 * time.Second, Token: "secret"})
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	return f, c
}

func (f *fakeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	f.mu.Lock()
	f.requests[r.Method]++
	kind := f.fault(r)
	f.mu.Unlock()
	if r.Header.Get("X-Consul-Token") != "secret" {
		http.Error(w, "Permission denied", http.StatusForbidden)
		return
	}
	switch kind {
	case dropRequest:
		panic(http.ErrAbortHandler)
	case serverError:
		http.Error(w, "No cluster leader", http.StatusInternalServerError)
		return
	case delayRequest:
		f.mu.Lock()
		f.delayed = append(f.delayed, func() { f.execute(r, body) })
		f.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	status, out, index := f.execute(r, body)
	if kind == loseResponse {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out)
}

// executeDelayed executes the delayed requests.
func (f *fakeServer) executeDelayed() {
	f.mu.Lock()
	list := f.delayed
	f.delayed = nil
	f.mu.Unlock()
	for _, execute := range list {
		execute()
	}
}

func (f *fakeServer) execute(r *http.Request, body []byte) (int, any, uint64) {
	if since, err := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64); err == nil {
		wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
		f.waitForChange(r.Context(), since, wait)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch path := r.URL.Path; {
	case strings.HasPrefix(path, "/v1/kv/"):
		return f.kv(r, strings.TrimPrefix(path, "/v1/kv/"), body)
	case path == "/v1/session/create":
		f.index++
		id := fmt.Sprint("s", f.index)
		f.sessions[id] = true
		return 200, map[string]string{"ID": id}, f.index
	case strings.HasPrefix(path, "/v1/session/renew/"):
		if !f.sessions[strings.TrimPrefix(path, "/v1/session/renew/")] {
			return 404, "Session id not found", f.index
		}
		return 200, []any{}, f.index
	case strings.HasPrefix(path, "/v1/session/destroy/"):
		f.endSession(strings.TrimPrefix(path, "/v1/session/destroy/"))
		return 200, true, f.index
	case path == "/v1/agent/service/register":
		var s map[string]any
		_ = json.Unmarshal(body, &s)
		f.services[s["ID"].(string)] = map[string]any{"ServiceAddress": s["Address"], "ServicePort": s["Port"], "ServiceMeta": s["Meta"]}
		return 200, nil, f.index
	case strings.HasPrefix(path, "/v1/agent/service/deregister/"):
		delete(f.services, strings.TrimPrefix(path, "/v1/agent/service/deregister/"))
		return 200, nil, f.index
	case path == "/v1/catalog/service/mimosarelay":
		list := []any{}
		for _, s := range f.services {
			list = append(list, s)
		}
		return 200, list, f.index
	}
	return 404, "no such endpoint", f.index
}

func (f *fakeServer) kv(r *http.Request, key string, body []byte) (int, any, uint64) {
	q := r.URL.Query()
	old, exists := f.pairs[key]
	if r.Method == http.MethodGet {
		list := []kv{}
		for k, p := range f.pairs {
			if k == key || (q.Has("recurse") && strings.HasPrefix(k, key)) {
				list = append(list, p)
			}
		}
		if len(list) == 0 {
			return 404, nil, f.index
		}
		return 200, list, f.index
	}
	if cas := q.Get("cas"); cas != "" && cas != strconv.FormatUint(old.ModifyIndex, 10) && (exists || r.Method == http.MethodPut) {
		return 200, false, f.index
	}
	session := q.Get("acquire")
	if session != "" && (!f.sessions[session] || old.Session != "") {
		return 200, false, f.index
	}
	f.nextIndex()
	if r.Method == http.MethodDelete {
		delete(f.pairs, key)
		return 200, true, f.index
	}
	p := kv{Key: key, Value: body, CreateIndex: old.CreateIndex, ModifyIndex: f.index, Session: old.Session}
	if !exists {
		p.CreateIndex = f.index
	}
	if session != "" {
		p.Session = session
	}
	f.pairs[key] = p
	return 200, true, f.index
}

func (f *fakeServer) nextIndex() {
	f.index++
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeServer) endSession(session string) {
	delete(f.sessions, session)
	for k, p := range f.pairs {
		if p.Session == session {
			f.nextIndex()
			delete(f.pairs, k)
		}
	}
}

func (f *fakeServer) waitForChange(ctx context.Context, since uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		f.mu.Lock()
		index, changed := f.index, f.changed
		f.mu.Unlock()
		if index > since {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (f *fakeServer) setFault(fault func(r *http.Request) faultKind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

func faultOnWrites(kinds ...faultKind) func(*http.Request) faultKind {
	return func(r *http.Request) faultKind {
		if r.Method == http.MethodGet || len(kinds) == 0 {
			return noFault
		}
		next := kinds[0]
		kinds = kinds[1:]
		return next
	}
}

// Guards against a retry or a conflict error after a lost response, and against a
// definite result for a write that may still be executed.
func TestPutAfterFault(t *testing.T) {
	cases := map[string]struct {
		fault faultKind
		want  error
		wrote bool
	}{
		"no fault":        {noFault, nil, true},
		"response lost":   {loseResponse, nil, true},
		"request dropped": {dropRequest, store.ErrUnknown, false},
		"request delayed": {delayRequest, store.ErrUnknown, true},
		"status 500":      {serverError, store.ErrUnknown, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			f, client := newFakeServer(t)
			f.setFault(faultOnWrites(c.fault))
			v, err := client.Put(ctx, "k", []byte("value"), 0)
			assert.ErrorIs(t, err, c.want)
			f.executeDelayed()
			e, err := client.Get(ctx, "k")
			assert.Equal(t, err == nil, c.wrote, "%v", err)
			f.mu.Lock()
			assert.Equal(t, f.requests[http.MethodPut], 1)
			f.mu.Unlock()
			if c.want == nil {
				assert.Equal(t, e.Version, v)
				assert.Equal(t, string(e.Value), "value")
			}
		})
	}
}

// Guards against ErrUnknown for a write that was never sent.
func TestUnreachableServerIsErrUnavailable(t *testing.T) {
	ctx := context.Background()
	s := httptest.NewServer(http.NotFoundHandler())
	address := s.Listener.Addr().String()
	s.Close()
	c, err := consul.New(consul.Options{Address: address})
	assert.NilError(t, err)
	_, err = c.Put(ctx, "k", nil, 0)
	assert.ErrorIs(t, err, store.ErrUnavailable)
	_, _, err = c.Watch(ctx, "", 1, time.Second)
	assert.ErrorIs(t, err, store.ErrUnavailable)
}

// Guards against a delete that removes a newer version, and against a wrong
// result after a lost response.
func TestDeleteOnlyRemovesGivenVersion(t *testing.T) {
	ctx := context.Background()
	f, c := newFakeServer(t)
	v, err := c.Put(ctx, "a/k", []byte("1"), 0)
	assert.NilError(t, err)
	w, err := c.Put(ctx, "a/k", []byte("2"), v)
	assert.NilError(t, err)
	assert.ErrorIs(t, c.Delete(ctx, "a/k", v), store.ErrConflict)
	f.setFault(faultOnWrites(dropRequest, dropRequest, loseResponse))
	assert.ErrorIs(t, c.Delete(ctx, "a/k", v), store.ErrConflict)
	assert.ErrorIs(t, c.Delete(ctx, "a/k", w), store.ErrUnknown)
	assert.NilError(t, c.Delete(ctx, "a/k", w))
	_, err = c.Get(ctx, "a/k")
	assert.ErrorIs(t, err, store.ErrNotFound)
}

// Guards against a lease that two hosts hold, against a lost response to an
// acquisition that leaves the key locked by an unknown session, and against a
// renewal that succeeds after the lease has lapsed.
func TestLeaseHasOneHolder(t *testing.T) {
	ctx := context.Background()
	f, c := newFakeServer(t)
	f.setFault(faultOnWrites(noFault, loseResponse))
	id, err := c.Hold(ctx, "Lease/a", []byte("x"), 3*time.Second)
	assert.NilError(t, err)
	_, err = c.Hold(ctx, "Lease/a", []byte("y"), 3*time.Second)
	assert.ErrorIs(t, err, store.ErrConflict)
	f.mu.Lock()
	assert.Equal(t, len(f.sessions), 1, "the losing session must be destroyed")
	f.mu.Unlock()
	e, err := c.Get(ctx, "Lease/a")
	assert.NilError(t, err)
	assert.Equal(t, e.Holder, id)
	assert.Equal(t, string(e.Value), "x")
	assert.NilError(t, c.Renew(ctx, id))
	assert.NilError(t, c.Release(ctx, id))
	assert.ErrorIs(t, c.Renew(ctx, id), store.ErrLeaseLapsed)
	_, err = c.Get(ctx, "Lease/a")
	assert.ErrorIs(t, err, store.ErrNotFound)
}

// Guards against a watch that misses a change, and against one that does not end
// with its context.
func TestWatchReturnsChangeAndEndsWithContext(t *testing.T) {
	f, c := newFakeServer(t)
	ctx, cancel := context.WithCancel(context.Background())
	entries, since, err := c.List(ctx, "control/")
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 0)
	var put sync.WaitGroup
	put.Go(func() {
		_, err := c.Put(ctx, "control/Config", []byte("one"), 0)
		assert.Check(t, err)
	})
	entries, since, err = c.Watch(ctx, "control/", since, 5*time.Second)
	assert.NilError(t, err)
	put.Wait() // its context is cancelled below
	assert.Equal(t, len(entries), 1)
	assert.Equal(t, entries[0].Key, "control/Config")
	f.mu.Lock()
	f.fault = func(*http.Request) faultKind {
		cancel()
		return noFault
	}
	f.mu.Unlock()
	_, _, err = c.Watch(ctx, "control/", since, time.Minute)
	assert.ErrorIs(t, err, store.ErrUnavailable)
	assert.ErrorIs(t, err, context.Canceled)
}

// Guards against invalid input that reaches the store, and against values without
// a change id that are returned as data.
func TestInvalidInputIsRejected(t *testing.T) {
	ctx := context.Background()
	f, c := newFakeServer(t)
	_, err := consul.New(consul.Options{Address: "localhost"})
	assert.ErrorContains(t, err, "missing port")
	_, err = c.Put(ctx, "k", make([]byte, store.MaxValue), 0)
	assert.ErrorContains(t, err, "exceed the limit")
	assert.ErrorContains(t, c.Register(ctx, consul.Host{Name: "a", Address: "127.0.0.1:1", State: "up"}), `state "up"`)
	f.mu.Lock()
	f.pairs["mimosarelay/odd"] = kv{Key: "mimosarelay/odd", Value: []byte("by hand"), ModifyIndex: 5}
	f.mu.Unlock()
	_, err = c.Get(ctx, "odd")
	assert.ErrorContains(t, err, `key "odd": value has no change id`)
}

// Guards against a host list that loses the address, zone or state of a host.
func TestHostListKeepsRegisteredHosts(t *testing.T) {
	ctx := context.Background()
	_, c := newFakeServer(t)
	a := consul.Host{Name: "a", Address: "127.0.0.1:7000", Zone: "brest", State: consul.Live}
	b := consul.Host{Name: "b", Address: "127.0.0.2:7000", Zone: "quimper", State: consul.Live}
	assert.NilError(t, c.Register(ctx, b))
	assert.NilError(t, c.Register(ctx, a))
	b.State = consul.Leaving
	assert.NilError(t, c.Register(ctx, b))
	hosts, err := c.Hosts(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, hosts, []consul.Host{a, b})
	assert.NilError(t, c.Deregister(ctx, "b"))
	hosts, err = c.Hosts(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, hosts, []consul.Host{a})
}

// operation is a read or a compare-and-swap write.
type operation struct {
	put         bool
	prev, value string // "" stands for a missing key
}

type outcome struct {
	value string
	err   error
}

// register is the model of one key with compare-and-swap. Values are unique, so
// they can be compared in place of versions.
var register = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		in, out := input.(operation), output.(outcome)
		switch {
		case !in.put && out.value == state:
			return []any{state}
		case in.put && out.err == nil && in.prev == state:
			return []any{in.value}
		case in.put && errors.Is(out.err, store.ErrConflict) && in.prev != state:
			return []any{state}
		case in.put && errors.Is(out.err, store.ErrUnknown) && in.prev == state:
			return []any{state, in.value}
		case in.put && errors.Is(out.err, store.ErrUnknown):
			return []any{state}
		}
		return nil
	},
}

// Guards against histories of concurrent writers that are not linearizable when
// responses are lost and requests are dropped, delayed or fail.
func TestCompareAndSwapIsLinearizable(t *testing.T) {
	const clients, rounds = 4, 40
	for seed := range uint64(4) {
		f, c := newFakeServer(t)
		random := rand.New(rand.NewPCG(seed, 0))
		f.setFault(func(r *http.Request) faultKind {
			if r.Method == http.MethodGet && random.IntN(10) > 0 {
				return noFault
			}
			return faultKind(max(0, random.IntN(10)-5)) // 6 of 10 writes have no fault
		})
		var mu sync.Mutex
		var history []porcupine.Operation
		start := time.Now()
		var wg sync.WaitGroup
		for id := range clients {
			wg.Go(func() {
				for n := range rounds {
					for _, o := range readAndReplace(c, id, n, start) {
						mu.Lock()
						history = append(history, o)
						mu.Unlock()
					}
				}
			})
		}
		wg.Wait()
		result := porcupine.CheckOperationsTimeout(register.ToModel(), history, 20*time.Second)
		assert.Equal(t, result, porcupine.Ok, "seed %d", seed)
	}
}

// readAndReplace reads the key and replaces the value that it read. It returns
// both operations for the history.
func readAndReplace(c *consul.Client, id, n int, start time.Time) []porcupine.Operation {
	ctx := context.Background()
	called := time.Since(start).Nanoseconds()
	e, err := c.Get(ctx, "k")
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return nil // the result of a failed read is unknown
	}
	read := porcupine.Operation{
		ClientId: id, Input: operation{}, Call: called,
		Output: outcome{value: string(e.Value)}, Return: time.Since(start).Nanoseconds(),
	}
	value := fmt.Sprintf("%d.%d", id, n)
	write := porcupine.Operation{
		ClientId: id, Input: operation{put: true, prev: string(e.Value), value: value},
		Call: time.Since(start).Nanoseconds(),
	}
	_, err = c.Put(ctx, "k", []byte(value), e.Version)
	write.Return = time.Since(start).Nanoseconds()
	write.Output = outcome{err: sentinelOf(err)}
	if errors.Is(err, store.ErrUnknown) {
		// The write may take effect at any later time, so that it overlaps all
		// later operations.
		write.Return = time.Hour.Nanoseconds()
		write.ClientId = 1000 + id*1000 + n
	}
	return []porcupine.Operation{read, write}
}

func sentinelOf(err error) error {
	for _, s := range []error{store.ErrConflict, store.ErrUnknown} {
		if errors.Is(err, s) {
			return s
		}
	}
	return err
}
