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

// fasthttp starts a goroutine for the Date header that never ends, so the check
// for leaked goroutines ignores it.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

// eventTimeout bounds the wait for an expected event. quietPeriod is how long a
// test waits to see that an event does not occur.
const (
	eventTimeout = 5 * time.Second
	quietPeriod  = 50 * time.Millisecond
)

func start(t *testing.T, o Options) *Server {
	t.Helper()
	o.Listen = "127.0.0.1:0"
	s, err := Start(o)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	return s
}

// response is a response with its complete body.
type response struct {
	status int
	index  uint64
	body   string
}

func sendRequest(s *Server, method, path, body string) (response, error) {
	r, err := http.NewRequest(method, "http://"+s.Address()+path, strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * eventTimeout}
	got, err := c.Do(r)
	if err != nil {
		return response{}, err
	}
	defer got.Body.Close()
	data, err := io.ReadAll(got.Body)
	index, _ := strconv.ParseUint(got.Header.Get("X-Consul-Index"), 10, 64)
	return response{got.StatusCode, index, strings.TrimSpace(string(data))}, err
}

func mustSend(t *testing.T, s *Server, method, path, body string) response {
	t.Helper()
	a, err := sendRequest(s, method, path, body)
	assert.NilError(t, err)
	return a
}

func getEntries(t *testing.T, s *Server, path string) []Entry {
	t.Helper()
	var found []Entry
	a := mustSend(t, s, "GET", path, "")
	assert.Equal(t, a.status, 200)
	assert.NilError(t, json.Unmarshal([]byte(a.body), &found))
	return found
}

func createSession(t *testing.T, s *Server, body string) string {
	t.Helper()
	var created struct{ ID string }
	a := mustSend(t, s, "PUT", "/v1/session/create", body)
	assert.Equal(t, a.status, 200, a.body)
	assert.NilError(t, json.Unmarshal([]byte(a.body), &created))
	return created.ID
}

// Guards against a compare-and-swap that overwrites another writer's value, or
// creates a key although an index was given.
func TestCompareAndSwapFailsAtAnotherIndex(t *testing.T) {
	s := start(t, Options{})
	put := func(cas uint64, value string) string {
		return mustSend(t, s, "PUT", fmt.Sprintf("/v1/kv/a/b?cas=%d", cas), value).body
	}
	assert.Equal(t, put(5, "x"), "false")
	assert.Equal(t, put(0, "one"), "true")
	assert.Equal(t, put(0, "two"), "false")
	first := getEntries(t, s, "/v1/kv/a/b")[0]
	assert.Equal(t, string(first.Value), "one")
	assert.Equal(t, put(first.ModifyIndex+1, "two"), "false")
	assert.Equal(t, put(first.ModifyIndex, "two"), "true")
	second := getEntries(t, s, "/v1/kv/a/b")[0]
	assert.Assert(t, second.ModifyIndex > first.ModifyIndex)
	assert.Equal(t, second.CreateIndex, first.CreateIndex)
	del := fmt.Sprintf("/v1/kv/a/b?cas=%d", first.ModifyIndex)
	assert.Equal(t, mustSend(t, s, "DELETE", del, "").body, "false")
	del = fmt.Sprintf("/v1/kv/a/b?cas=%d", second.ModifyIndex)
	assert.Equal(t, mustSend(t, s, "DELETE", del, "").body, "true")
	assert.Equal(t, mustSend(t, s, "GET", "/v1/kv/a/b", "").status, 404)
}

// Guards against reads that return or delete keys outside of the prefix, or that
// alter binary values.
func TestReadsReturnExactKeysAndValues(t *testing.T) {
	s := start(t, Options{})
	binary := "\x00\xff\r\n"
	for key, value := range map[string]string{"p/1": binary, "p/d/2": "b", "p/d/3": "c", "q": "d"} {
		assert.Equal(t, mustSend(t, s, "PUT", "/v1/kv/"+key, value).body, "true")
	}
	found := getEntries(t, s, "/v1/kv/p/?recurse")
	assert.Equal(t, len(found), 3)
	assert.Equal(t, found[0].Key+found[1].Key+found[2].Key, "p/1p/d/2p/d/3")
	assert.Equal(t, string(found[0].Value), binary)
	assert.Equal(t, mustSend(t, s, "GET", "/v1/kv/p/?keys&separator=/", "").body, `["p/1","p/d/"]`)
	assert.Equal(t, mustSend(t, s, "GET", "/v1/kv/q?raw", "").body, "d")
	assert.Equal(t, mustSend(t, s, "DELETE", "/v1/kv/p/?recurse", "").body, "true")
	assert.Equal(t, mustSend(t, s, "GET", "/v1/kv/p/?recurse", "").status, 404)
	assert.Equal(t, mustSend(t, s, "GET", "/v1/kv/q?raw", "").body, "d")
}

// Guards against a size limit below the largest value that the project writes.
func TestLargestValueIsStored(t *testing.T) {
	s := start(t, Options{})
	largest := string(bytes.Repeat([]byte("v"), maxValueBytes))
	assert.Equal(t, mustSend(t, s, "PUT", "/v1/kv/big", largest).body, "true")
	assert.Equal(t, mustSend(t, s, "PUT", "/v1/kv/big", largest+"v").status, 413)
	assert.Equal(t, mustSend(t, s, "GET", "/v1/kv/big?raw", "").body, largest)
}

// Guards against a lock that two sessions hold at once, and against one that
// remains held after release.
func TestLockHasOneHolder(t *testing.T) {
	s := start(t, Options{})
	one := createSession(t, s, `{"TTL": "10s", "LockDelay": "0s"}`)
	two := createSession(t, s, `{"TTL": "10s", "LockDelay": "0s"}`)
	put := func(query string) string { return mustSend(t, s, "PUT", "/v1/kv/lock?"+query, query).body }
	assert.Equal(t, put("acquire="+one), "true")
	assert.Equal(t, put("acquire="+two), "false")
	assert.Equal(t, put("release="+two), "false")
	assert.Equal(t, put("acquire="+one), "true")
	held := getEntries(t, s, "/v1/kv/lock")[0]
	assert.Equal(t, held.Session, one)
	assert.Equal(t, held.LockIndex, uint64(1))
	assert.Equal(t, put("release="+one), "true")
	assert.Equal(t, put("acquire="+two), "true")
	assert.Equal(t, getEntries(t, s, "/v1/kv/lock")[0].LockIndex, uint64(2))
	assert.Equal(t, mustSend(t, s, "PUT", "/v1/kv/lock?acquire=none", "").status, 500)
}

// Guards against sessions that expire early, never, or in spite of renewal, and
// against keys that stay locked, or are not deleted, after the expiry.
func TestExpiredSessionFreesItsKeys(t *testing.T) {
	for name, c := range map[string]struct {
		body   string
		status int    // status of a GET of the key after the expiry
		again  string // response to acquiring the key in a new session
	}{
		"release":    {`{"TTL": "3s", "Behavior": "release", "LockDelay": "0s"}`, 200, "true"},
		"delete":     {`{"TTL": "3s", "Behavior": "delete", "LockDelay": "0s"}`, 404, "true"},
		"lock delay": {`{"TTL": "3s", "Behavior": "delete", "LockDelay": "1s"}`, 404, "false"},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			s := start(t, Options{Clock: clock})
			id := createSession(t, s, c.body)
			assert.Equal(t, mustSend(t, s, "PUT", "/v1/kv/lease?acquire="+id, "v").body, "true")
			index := mustSend(t, s, "GET", "/v1/kv/lease", "").index
			clock.Advance(2 * time.Second)
			assert.Equal(t, mustSend(t, s, "PUT", "/v1/session/renew/"+id, "").status, 200)
			clock.Advance(2 * time.Second)
			assert.Equal(t, getEntries(t, s, "/v1/kv/lease")[0].Session, id)
			clock.Advance(time.Second)
			// Blocks until the expiry has been applied.
			after := mustSend(t, s, "GET", fmt.Sprintf("/v1/kv/lease?index=%d&wait=1h", index), "")
			assert.Equal(t, after.status, c.status)
			assert.Equal(t, mustSend(t, s, "PUT", "/v1/session/renew/"+id, "").status, 404)
			assert.Equal(t, mustSend(t, s, "GET", "/v1/session/info/"+id, "").body, "[]")
			next := createSession(t, s, c.body)
			assert.Equal(t, mustSend(t, s, "PUT", "/v1/kv/lease?acquire="+next, "v").body, c.again)
		})
	}
}

// Guards against an outage after which all sessions have expired: each must get
// its full TTL again, as after a leader change in Consul, unless LapseWhileDown
// is set.
func TestSessionsExpireInAnOutageOnlyIfConfigured(t *testing.T) {
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
			id := createSession(t, s, `{"TTL": "3s"}`)
			assert.NilError(t, s.SetFault(fault.Fault{Down: true}))
			clock.Advance(10 * time.Minute)
			wait, lapsed := quietPeriod, int64(0)
			if c.lapse {
				wait, lapsed = eventTimeout, 1
			}
			for end := time.Now().Add(wait); s.Stats().Lapsed == 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			assert.Equal(t, s.Stats().Lapsed, lapsed)
			assert.NilError(t, s.SetFault(fault.Fault{}))
			clock.Advance(2 * time.Second)
			assert.Equal(t, mustSend(t, s, "PUT", "/v1/session/renew/"+id, "").status, c.status)
		})
	}
}

// Guards against blocking queries that miss a change, or that return because of a
// key outside of their prefix.
func TestBlockingQueryReturnsOnAChange(t *testing.T) {
	s := start(t, Options{})
	assert.Equal(t, mustSend(t, s, "PUT", "/v1/kv/p/a", "1").body, "true")
	index := mustSend(t, s, "GET", "/v1/kv/p/?recurse", "").index
	for name, change := range map[string]struct{ method, path, other string }{
		"put":    {"PUT", "/v1/kv/p/b", "/v1/kv/other"},
		"delete": {"DELETE", "/v1/kv/p/b", "/v1/kv/other"},
	} {
		_ = mustSend(t, s, "PUT", "/v1/kv/p/b", name)
		index = mustSend(t, s, "GET", "/v1/kv/p/?recurse", "").index
		woken := make(chan response, 1)
		go func() {
			a, _ := sendRequest(s, "GET", fmt.Sprintf("/v1/kv/p/?recurse&index=%d&wait=1m", index), "")
			woken <- a
		}()
		awaitPendingWatches(t, s, 1)
		_ = mustSend(t, s, "PUT", change.other, name)
		assert.Equal(t, s.Stats().PendingWatches, int64(1))
		_ = mustSend(t, s, change.method, change.path, name+" changed")
		select {
		case a := <-woken:
			assert.Assert(t, a.index > index, name)
		case <-time.After(eventTimeout):
			t.Fatalf("the blocking query did not return after %s", name)
		}
	}
	unchanged := mustSend(t, s, "GET", fmt.Sprintf("/v1/kv/p/?recurse&index=%d&wait=10ms", mustSend(t, s, "GET", "/v1/kv/p/?recurse", "").index), "")
	assert.Equal(t, unchanged.status, 200)
	assert.Assert(t, s.Stats().Watches >= 3)
}

func awaitPendingWatches(t *testing.T, s *Server, n int64) {
	t.Helper()
	for end := time.Now().Add(eventTimeout); s.Stats().PendingWatches != n; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "number of pending watches is not %d", n)
	}
}

// Guards against a lost response whose write is lost as well, and against one
// that reaches the client as an error response: the client must read the value
// back to learn whether it was written.
func TestWriteWithLostResponseTakesEffect(t *testing.T) {
	s := start(t, Options{})
	assert.NilError(t, s.SetFault(fault.Fault{LoseAnswers: 1}))
	_ = createSession(t, s, `{}`) // the fault applies only to writes of keys
	_, err := sendRequest(s, "PUT", "/v1/kv/k?cas=0", "v")
	assert.Assert(t, err != nil)
	assert.Equal(t, string(getEntries(t, s, "/v1/kv/k")[0].Value), "v")
	assert.Equal(t, mustSend(t, s, "PUT", "/v1/kv/k?cas=0", "v").body, "false")
}

// Guards against a catalog that shows registrations before HostLag has passed.
func TestCatalogLagsBehindRegistrations(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := start(t, Options{Clock: clock, HostLag: 2 * time.Second})
	hosts := func(query string) []CatalogService {
		var found []CatalogService
		assert.NilError(t, json.Unmarshal([]byte(mustSend(t, s, "GET", "/v1/catalog/service/relay"+query, "").body), &found))
		return found
	}
	register := func(state string) {
		body := fmt.Sprintf(`{"ID": "h1", "Name": "relay", "Address": "127.0.0.9", "Port": 80, "Meta": {"State": %q}}`, state)
		assert.Equal(t, mustSend(t, s, "PUT", "/v1/agent/service/register", body).status, 200)
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
	assert.Equal(t, mustSend(t, s, "PUT", "/v1/agent/service/deregister/h1", "").status, 200)
	clock.Advance(2 * time.Second)
	assert.Equal(t, len(hosts(fmt.Sprintf("?index=%d&wait=1h", found[0].ModifyIndex))), 0)
}

// Guards against invalid requests that are accepted as if they were valid.
func TestBadRequestsAreRejected(t *testing.T) {
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
			assert.Equal(t, mustSend(t, s, c.method, c.path, c.body).status, c.status)
		})
	}
}
