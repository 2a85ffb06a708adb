package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"mimosarelay/standin/fault"
)

// The clock of the Date header runs for the rest of the process.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

// patience bounds the wait for something that must happen, and quiet the wait
// for something that must not.
const (
	patience = 5 * time.Second
	quiet    = 50 * time.Millisecond
)

func start(t *testing.T, o Options) *Server {
	t.Helper()
	o.Listen = "127.0.0.1:0"
	s, err := Start(o)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	return s
}

// answer is a response that was read whole.
type answer struct {
	status int
	index  uint64
	body   string
}

func call(s *Server, method, path, body string) (answer, error) {
	r, err := http.NewRequest(method, "http://"+s.Address()+path, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * patience}
	got, err := c.Do(r)
	if err != nil {
		return answer{}, err
	}
	defer got.Body.Close()
	data, err := io.ReadAll(got.Body)
	index, _ := strconv.ParseUint(got.Header.Get("X-Consul-Index"), 10, 64)
	return answer{got.StatusCode, index, strings.TrimSpace(string(data))}, err
}

func do(t *testing.T, s *Server, method, path, body string) answer {
	t.Helper()
	a, err := call(s, method, path, body)
	assert.NilError(t, err)
	return a
}

func get(t *testing.T, s *Server, path string) []Entry {
	t.Helper()
	var found []Entry
	a := do(t, s, "GET", path, "")
	assert.Equal(t, a.status, 200)
	assert.NilError(t, json.Unmarshal([]byte(a.body), &found))
	return found
}

func session(t *testing.T, s *Server, body string) string {
	t.Helper()
	var created struct{ ID string }
	a := do(t, s, "PUT", "/v1/session/create", body)
	assert.Equal(t, a.status, 200, a.body)
	assert.NilError(t, json.Unmarshal([]byte(a.body), &created))
	return created.ID
}

// Guards against a compare-and-swap that overwrites another writer's value or
// recreates a key.
func TestCompareAndSwap(t *testing.T) {
	s := start(t, Options{})
	put := func(cas uint64, value string) string {
		return do(t, s, "PUT", fmt.Sprintf("/v1/kv/a/b?cas=%d", cas), value).body
	}
	assert.Equal(t, put(5, "x"), "false")
	assert.Equal(t, put(0, "one"), "true")
	assert.Equal(t, put(0, "two"), "false")
	first := get(t, s, "/v1/kv/a/b")[0]
	assert.Equal(t, string(first.Value), "one")
	assert.Equal(t, put(first.ModifyIndex+1, "two"), "false")
	assert.Equal(t, put(first.ModifyIndex, "two"), "true")
	second := get(t, s, "/v1/kv/a/b")[0]
	assert.Assert(t, second.ModifyIndex > first.ModifyIndex)
	assert.Equal(t, second.CreateIndex, first.CreateIndex)
	del := fmt.Sprintf("/v1/kv/a/b?cas=%d", first.ModifyIndex)
	assert.Equal(t, do(t, s, "DELETE", del, "").body, "false")
	del = fmt.Sprintf("/v1/kv/a/b?cas=%d", second.ModifyIndex)
	assert.Equal(t, do(t, s, "DELETE", del, "").body, "true")
	assert.Equal(t, do(t, s, "GET", "/v1/kv/a/b", "").status, 404)
}

// Guards against reads that mix prefixes up or change binary values.
func TestReadForms(t *testing.T) {
	s := start(t, Options{})
	binary := "\x00\xff\r\n"
	for key, value := range map[string]string{"p/1": binary, "p/d/2": "b", "p/d/3": "c", "q": "d"} {
		assert.Equal(t, do(t, s, "PUT", "/v1/kv/"+key, value).body, "true")
	}
	found := get(t, s, "/v1/kv/p/?recurse")
	assert.Equal(t, len(found), 3)
	assert.Equal(t, found[0].Key+found[1].Key+found[2].Key, "p/1p/d/2p/d/3")
	assert.Equal(t, string(found[0].Value), binary)
	assert.Equal(t, do(t, s, "GET", "/v1/kv/p/?keys&separator=/", "").body, `["p/1","p/d/"]`)
	assert.Equal(t, do(t, s, "GET", "/v1/kv/q?raw", "").body, "d")
	assert.Equal(t, do(t, s, "DELETE", "/v1/kv/p/?recurse", "").body, "true")
	assert.Equal(t, do(t, s, "GET", "/v1/kv/p/?recurse", "").status, 404)
	assert.Equal(t, do(t, s, "GET", "/v1/kv/q?raw", "").body, "d")
}

// Guards against a limit below the largest value that the project writes.
func TestValueLimit(t *testing.T) {
	s := start(t, Options{})
	largest := string(bytes.Repeat([]byte("v"), maxValue))
	assert.Equal(t, do(t, s, "PUT", "/v1/kv/big", largest).body, "true")
	assert.Equal(t, do(t, s, "PUT", "/v1/kv/big", largest+"v").status, 413)
	assert.Equal(t, do(t, s, "GET", "/v1/kv/big?raw", "").body, largest)
}

// Guards against a lock that two sessions hold, and against one that stays
// after release.
func TestAcquireAndRelease(t *testing.T) {
	s := start(t, Options{})
	one := session(t, s, `{"TTL": "10s", "LockDelay": "0s"}`)
	two := session(t, s, `{"TTL": "10s", "LockDelay": "0s"}`)
	put := func(query string) string { return do(t, s, "PUT", "/v1/kv/lock?"+query, query).body }
	assert.Equal(t, put("acquire="+one), "true")
	assert.Equal(t, put("acquire="+two), "false")
	assert.Equal(t, put("release="+two), "false")
	assert.Equal(t, put("acquire="+one), "true")
	held := get(t, s, "/v1/kv/lock")[0]
	assert.Equal(t, held.Session, one)
	assert.Equal(t, held.LockIndex, uint64(1))
	assert.Equal(t, put("release="+one), "true")
	assert.Equal(t, put("acquire="+two), "true")
	assert.Equal(t, get(t, s, "/v1/kv/lock")[0].LockIndex, uint64(2))
	assert.Equal(t, do(t, s, "PUT", "/v1/kv/lock?acquire=none", "").status, 500)
}

// Guards against leases that lapse early, never, or in spite of renewal, and
// against keys that outlive them.
func TestSessionLapse(t *testing.T) {
	for name, c := range map[string]struct {
		body   string
		status int // of the key afterwards
		again  string
	}{
		"release":    {`{"TTL": "3s", "Behavior": "release", "LockDelay": "0s"}`, 200, "true"},
		"delete":     {`{"TTL": "3s", "Behavior": "delete", "LockDelay": "0s"}`, 404, "true"},
		"lock delay": {`{"TTL": "3s", "Behavior": "delete", "LockDelay": "1s"}`, 404, "false"},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			s := start(t, Options{Clock: clock})
			id := session(t, s, c.body)
			assert.Equal(t, do(t, s, "PUT", "/v1/kv/lease?acquire="+id, "v").body, "true")
			index := do(t, s, "GET", "/v1/kv/lease", "").index
			clock.Advance(2 * time.Second)
			assert.Equal(t, do(t, s, "PUT", "/v1/session/renew/"+id, "").status, 200)
			clock.Advance(2 * time.Second)
			assert.Equal(t, get(t, s, "/v1/kv/lease")[0].Session, id)
			clock.Advance(time.Second)
			// Blocks until the lapse has been applied.
			after := do(t, s, "GET", fmt.Sprintf("/v1/kv/lease?index=%d&wait=1h", index), "")
			assert.Equal(t, after.status, c.status)
			assert.Equal(t, do(t, s, "PUT", "/v1/session/renew/"+id, "").status, 404)
			assert.Equal(t, do(t, s, "GET", "/v1/session/info/"+id, "").body, "[]")
			next := session(t, s, c.body)
			assert.Equal(t, do(t, s, "PUT", "/v1/kv/lease?acquire="+next, "v").body, c.again)
		})
	}
}

// Guards against an outage that ends with all leases lapsed at once: under a
// new leader each has its full TTL again, unless the option says otherwise.
func TestSessionsInAnOutage(t *testing.T) {
	for name, c := range map[string]struct {
		lapse  bool
		status int
	}{
		"full TTL afterwards": {false, 200},
		"lapse while down":    {true, 404},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			s := start(t, Options{Clock: clock, LapseWhileDown: c.lapse})
			id := session(t, s, `{"TTL": "3s"}`)
			assert.NilError(t, s.SetFault(fault.Fault{Down: true}))
			clock.Advance(10 * time.Minute)
			wait, lapsed := quiet, int64(0)
			if c.lapse {
				wait, lapsed = patience, 1
			}
			for end := time.Now().Add(wait); s.Stats().Lapsed == 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			assert.Equal(t, s.Stats().Lapsed, lapsed)
			assert.NilError(t, s.SetFault(fault.Fault{}))
			clock.Advance(2 * time.Second)
			assert.Equal(t, do(t, s, "PUT", "/v1/session/renew/"+id, "").status, c.status)
		})
	}
}

// Guards against watchers that miss a change, or that keys outside of their
// prefix wake.
func TestBlockingQueryWakesUp(t *testing.T) {
	s := start(t, Options{})
	assert.Equal(t, do(t, s, "PUT", "/v1/kv/p/a", "1").body, "true")
	index := do(t, s, "GET", "/v1/kv/p/?recurse", "").index
	for name, change := range map[string]struct{ method, path, other string }{
		"put":    {"PUT", "/v1/kv/p/b", "/v1/kv/other"},
		"delete": {"DELETE", "/v1/kv/p/b", "/v1/kv/other"},
	} {
		_ = do(t, s, "PUT", "/v1/kv/p/b", name)
		index = do(t, s, "GET", "/v1/kv/p/?recurse", "").index
		woken := make(chan answer, 1)
		go func() {
			a, _ := call(s, "GET", fmt.Sprintf("/v1/kv/p/?recurse&index=%d&wait=1m", index), "")
			woken <- a
		}()
		waitPending(t, s, 1)
		_ = do(t, s, "PUT", change.other, name)
		assert.Equal(t, s.Stats().PendingWatches, int64(1))
		_ = do(t, s, change.method, change.path, name+" changed")
		select {
		case a := <-woken:
			assert.Assert(t, a.index > index, name)
		case <-time.After(patience):
			t.Fatalf("%s did not wake the watcher", name)
		}
	}
	unchanged := do(t, s, "GET", fmt.Sprintf("/v1/kv/p/?recurse&index=%d&wait=10ms", do(t, s, "GET", "/v1/kv/p/?recurse", "").index), "")
	assert.Equal(t, unchanged.status, 200)
	assert.Assert(t, s.Stats().Watches >= 3)
}

func waitPending(t *testing.T, s *Server, n int64) {
	t.Helper()
	for end := time.Now().Add(patience); s.Stats().PendingWatches != n; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "no %d pending watches", n)
	}
}

// Guards against a lost answer whose write is lost as well, or that is told as
// an error: the writer must read the value back.
func TestLostAnswerTookEffect(t *testing.T) {
	s := start(t, Options{})
	assert.NilError(t, s.SetFault(fault.Fault{LoseAnswers: 1}))
	_ = session(t, s, `{}`) // sessions are not counted as writes of keys
	_, err := call(s, "PUT", "/v1/kv/k?cas=0", "v")
	assert.Assert(t, err != nil)
	assert.Equal(t, string(get(t, s, "/v1/kv/k")[0].Value), "v")
	assert.Equal(t, do(t, s, "PUT", "/v1/kv/k?cas=0", "v").body, "false")
}

// Guards against a host list that is current although the platform's lags.
func TestHostListLags(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := start(t, Options{Clock: clock, HostLag: 2 * time.Second})
	hosts := func(query string) []CatalogService {
		var found []CatalogService
		assert.NilError(t, json.Unmarshal([]byte(do(t, s, "GET", "/v1/catalog/service/relay"+query, "").body), &found))
		return found
	}
	register := func(state string) {
		body := fmt.Sprintf(`{"ID": "h1", "Name": "relay", "Address": "127.0.0.9", "Port": 80, "Meta": {"State": %q}}`, state)
		assert.Equal(t, do(t, s, "PUT", "/v1/agent/service/register", body).status, 200)
	}
	register("live")
	assert.Equal(t, len(hosts("")), 0)
	clock.Advance(2 * time.Second)
	found := hosts("?index=1&wait=1h")
	assert.Equal(t, found[0].ServiceMeta["State"], "live")
	assert.Equal(t, found[0].ServiceAddress, "127.0.0.9")
	register("leaving")
	assert.Equal(t, hosts("")[0].ServiceMeta["State"], "live")
	clock.Advance(2 * time.Second)
	found = hosts(fmt.Sprintf("?index=%d&wait=1h", found[0].ModifyIndex))
	assert.Equal(t, found[0].ServiceMeta["State"], "leaving")
	assert.Equal(t, do(t, s, "PUT", "/v1/agent/service/deregister/h1", "").status, 200)
	clock.Advance(2 * time.Second)
	assert.Equal(t, len(hosts(fmt.Sprintf("?index=%d&wait=1h", found[0].ModifyIndex))), 0)
}

// Guards against bad requests that are taken for something else.
func TestBadRequests(t *testing.T) {
	s := start(t, Options{})
	for name, c := range map[string]struct {
		method, path, body string
		status             int
	}{
		"no key":          {"PUT", "/v1/kv/", "v", 400},
		"bad cas":         {"PUT", "/v1/kv/k?cas=x", "v", 400},
		"cas and acquire": {"PUT", "/v1/kv/k?cas=1&acquire=s", "v", 400},
		"bad wait":        {"GET", "/v1/kv/k?index=1&wait=x", "", 400},
		"short TTL":       {"PUT", "/v1/session/create", `{"TTL": "999ms"}`, 400},
		"bad behavior":    {"PUT", "/v1/session/create", `{"Behavior": "keep"}`, 400},
		"unnamed service": {"PUT", "/v1/agent/service/register", `{}`, 400},
		"unknown path":    {"GET", "/v1/nothing", "", 404},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, do(t, s, c.method, c.path, c.body).status, c.status)
		})
	}
}
