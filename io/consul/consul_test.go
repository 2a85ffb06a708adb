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

type kv struct {
	Key                      string
	Value                    []byte
	CreateIndex, ModifyIndex uint64
	Session                  string `json:",omitempty"`
}

// fake answers the endpoints that the adapter uses. fault decides the fate of
// each request.
type fake struct {
	mu       sync.Mutex
	index    uint64
	pairs    map[string]kv
	sessions map[string]bool
	services map[string]map[string]any
	changed  chan struct{}
	requests map[string]int
	fault    func(r *http.Request) fate
}

type fate int

const (
	answer  fate = iota
	lose         // carried out, connection closed without an answer
	drop         // not carried out, connection closed
	late         // connection closed, carried out afterwards
	failure      // status 500, not carried out
)

func newFake(t *testing.T) (*fake, *consul.Client) {
	t.Helper()
	f := &fake{
		index: 1, pairs: map[string]kv{}, sessions: map[string]bool{}, services: map[string]map[string]any{},
		changed: make(chan struct{}), requests: map[string]int{}, fault: func(*http.Request) fate { return answer },
	}
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	c, err := consul.New(consul.Options{Address: s.Listener.Addr().String(), Timeout: 2 * time.Second, Token: "secret"})
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	return f, c
}

func (f *fake) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	f.mu.Lock()
	f.requests[r.Method]++
	end := f.fault(r)
	f.mu.Unlock()
	if r.Header.Get("X-Consul-Token") != "secret" {
		http.Error(w, "Permission denied", http.StatusForbidden)
		return
	}
	switch end {
	case drop:
		panic(http.ErrAbortHandler)
	case failure:
		http.Error(w, "No cluster leader", http.StatusInternalServerError)
		return
	case late:
		go func() {
			time.Sleep(20 * time.Millisecond)
			f.carryOut(r, body)
		}()
		panic(http.ErrAbortHandler)
	}
	status, out, index := f.carryOut(r, body)
	if end == lose {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out)
}

func (f *fake) carryOut(r *http.Request, body []byte) (int, any, uint64) {
	if since, err := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64); err == nil {
		wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
		f.block(r.Context(), since, wait)
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
		f.lapse(strings.TrimPrefix(path, "/v1/session/destroy/"))
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

func (f *fake) kv(r *http.Request, key string, body []byte) (int, any, uint64) {
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
	f.bump()
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

func (f *fake) bump() {
	f.index++
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fake) lapse(session string) {
	delete(f.sessions, session)
	for k, p := range f.pairs {
		if p.Session == session {
			f.bump()
			delete(f.pairs, k)
		}
	}
}

func (f *fake) block(ctx context.Context, since uint64, wait time.Duration) {
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

func (f *fake) setFault(fault func(r *http.Request) fate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

func onWrite(fates ...fate) func(*http.Request) fate {
	return func(r *http.Request) fate {
		if r.Method == http.MethodGet || len(fates) == 0 {
			return answer
		}
		next := fates[0]
		fates = fates[1:]
		return next
	}
}

// Guards against a lost answer that is reported as a conflict or repeated, and
// against claiming certainty for a write that may still be under way.
func TestPutAfterFault(t *testing.T) {
	cases := map[string]struct {
		fate  fate
		want  error
		wrote bool
	}{
		"answered":   {answer, nil, true},
		"lost":       {lose, nil, true},
		"dropped":    {drop, store.ErrUnknown, false},
		"late":       {late, store.ErrUnknown, true},
		"server 500": {failure, store.ErrUnknown, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			f, client := newFake(t)
			f.setFault(onWrite(c.fate))
			v, err := client.Put(ctx, "k", []byte("value"), 0)
			assert.ErrorIs(t, err, c.want)
			time.Sleep(50 * time.Millisecond) // lets the late write arrive
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

// Guards against a write that is reported as unknown although it was never
// sent.
func TestUnreachable(t *testing.T) {
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

// Guards against deletes that remove a newer version or misreport a lost
// answer.
func TestDelete(t *testing.T) {
	ctx := context.Background()
	f, c := newFake(t)
	v, err := c.Put(ctx, "a/k", []byte("1"), 0)
	assert.NilError(t, err)
	w, err := c.Put(ctx, "a/k", []byte("2"), v)
	assert.NilError(t, err)
	assert.ErrorIs(t, c.Delete(ctx, "a/k", v), store.ErrConflict)
	f.setFault(onWrite(drop, drop, lose))
	assert.ErrorIs(t, c.Delete(ctx, "a/k", v), store.ErrConflict)
	assert.ErrorIs(t, c.Delete(ctx, "a/k", w), store.ErrUnknown)
	assert.NilError(t, c.Delete(ctx, "a/k", w))
	_, err = c.Get(ctx, "a/k")
	assert.ErrorIs(t, err, store.ErrNotFound)
}

// Guards against a lease that two hosts hold, a lost acquisition that leaves
// the key locked by nobody's lease, and a renewal that hides a lapse.
func TestLeases(t *testing.T) {
	ctx := context.Background()
	f, c := newFake(t)
	f.setFault(onWrite(answer, lose))
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

// Guards against a watch that misses a change, and one that ignores its
// context.
func TestWatch(t *testing.T) {
	f, c := newFake(t)
	ctx, cancel := context.WithCancel(context.Background())
	entries, since, err := c.List(ctx, "control/")
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 0)
	go func() {
		_, err := c.Put(ctx, "control/Config", []byte("one"), 0)
		assert.Check(t, err)
	}()
	entries, since, err = c.Watch(ctx, "control/", since, 5*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 1)
	assert.Equal(t, entries[0].Key, "control/Config")
	f.mu.Lock()
	f.fault = func(*http.Request) fate {
		cancel()
		return answer
	}
	f.mu.Unlock()
	_, _, err = c.Watch(ctx, "control/", since, time.Minute)
	assert.ErrorIs(t, err, store.ErrUnavailable)
	assert.ErrorIs(t, err, context.Canceled)
}

// Guards against bad input that reaches the store, and values without a change
// id that are read as data.
func TestBadInput(t *testing.T) {
	ctx := context.Background()
	f, c := newFake(t)
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

// Guards against a host list that loses a host's address, zone or state.
func TestHosts(t *testing.T) {
	ctx := context.Background()
	_, c := newFake(t)
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

type operation struct {
	put         bool
	prev, value string // "" stands for a missing key
}

type outcome struct {
	value string
	err   error
}

// register models one key. Values are unique, so that comparing values is
// comparing versions.
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

// Guards against histories that no atomic compare-and-swap register explains,
// with lost, dropped and late requests of concurrent writers.
func TestCompareAndSwapIsLinearizable(t *testing.T) {
	const clients, rounds = 4, 40
	for seed := range uint64(4) {
		f, c := newFake(t)
		random := rand.New(rand.NewPCG(seed, 0))
		f.setFault(func(r *http.Request) fate {
			if r.Method == http.MethodGet && random.IntN(10) > 0 {
				return answer
			}
			return fate(max(0, random.IntN(10)-5)) // half of the writes are answered
		})
		var mu sync.Mutex
		var history []porcupine.Operation
		start := time.Now()
		var wg sync.WaitGroup
		for id := range clients {
			wg.Go(func() {
				for n := range rounds {
					for _, o := range step(c, id, n, start) {
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

// step reads the key and replaces what it read; both calls go into the history.
func step(c *consul.Client, id, n int, start time.Time) []porcupine.Operation {
	ctx := context.Background()
	called := time.Since(start).Nanoseconds()
	e, err := c.Get(ctx, "k")
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return nil // a failed read tells nothing
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
	write.Output = outcome{err: sentinel(err)}
	if errors.Is(err, store.ErrUnknown) {
		// The write may take effect at any later time.
		write.Return = time.Hour.Nanoseconds()
		write.ClientId = 1000 + id*1000 + n
	}
	return []porcupine.Operation{read, write}
}

func sentinel(err error) error {
	for _, s := range []error{store.ErrConflict, store.ErrUnknown} {
		if errors.Is(err, s) {
			return s
		}
	}
	return err
}
