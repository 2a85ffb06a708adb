//go:build linux

package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/config"
	"mimosarelay/core/model"
	"mimosarelay/standin/engine"
	"mimosarelay/test/knownred"
)

// Guards against three failures: calls of one program that enter through
// different hosts get truncated, swapped or reordered answers; a key that the
// configuration does not hold is accepted; "config apply" reports a change as in
// effect before every host has applied it.
func TestCallsThroughAllHostsKeepHistoryAndFollowConfig(t *testing.T) {
	t.Parallel()
	knownred.Skip(t)
	s := newSite(t, options{workspaces: []config.Workspace{
		{Name: "main", Models: []model.ModelID{engine.DefaultModel}},
		{Name: "slow", Rate: 200, Burst: 200},
	}})
	c := &conversation{key: s.keys["main"], program: "p1"}
	for i, h := range s.hosts {
		if i > 0 {
			time.Sleep(300 * time.Millisecond) // the program works between two calls, such as in a tool
		}
		a := c.nextCall(fmt.Sprintf("question %d", i)).send(contextWithTimeout(t, 10*time.Second), singleUseClient, h.callerAddress, nil)
		assert.NilError(t, c.checkAndAppend(a))
	}
	for _, h := range s.hosts {
		c.checkHistory(t, h.callerAddress)
	}
	ask := func(key, name string, h *entryHost) answer {
		r := request{key: key, model: name, messages: []engine.Message{{Role: "user", Content: "hello [tokens:1]"}}}
		return r.send(contextWithTimeout(t, 10*time.Second), singleUseClient, h.callerAddress, nil)
	}
	for _, h := range s.hosts {
		a := ask(config.NewKey("key-main"), engine.DefaultModel, h)
		assert.Equal(t, a.status, http.StatusUnauthorized, a.String())
		assert.Equal(t, a.ran, model.RanNo)
		a = ask(s.keys["main"], largeModel, h)
		assert.Equal(t, a.status, http.StatusForbidden, a.String())
	}
	s.editConfig(func(d *config.Document) {
		for i := range d.Workspaces {
			switch d.Workspaces[i].Name {
			case "main":
				d.Workspaces[i].Models = append(d.Workspaces[i].Models, largeModel)
			case "slow":
				d.Workspaces[i].Rate, d.Workspaces[i].Burst = 0.001, 1
			}
		}
	})
	admitted := 0
	for _, h := range s.hosts {
		a := ask(s.keys["main"], largeModel, h)
		assert.Assert(t, a.complete, "the granted model is refused: %v", a)
		for range 2 {
			a = ask(s.keys["slow"], engine.DefaultModel, h)
			if a.complete {
				admitted++
				continue
			}
			assert.Equal(t, a.status, http.StatusTooManyRequests, a.String())
		}
	}
	assert.Assert(t, admitted <= 1, "%d requests admitted with a burst of 1 and no rate", admitted)
	status := s.mustCLI(s.hosts[1], "status")
	assert.Assert(t, strings.Contains(status, `"Revision": 2`), status)
}
