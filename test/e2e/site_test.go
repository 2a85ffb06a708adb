//go:build linux

package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/app/host"
	"mimosarelay/app/programs"
	"mimosarelay/core/config"
	"mimosarelay/core/member"
	"mimosarelay/core/model"
	"mimosarelay/core/program"
	"mimosarelay/standin/engine"
	"mimosarelay/standin/fault"
	"mimosarelay/standin/service"
)

// slots bounds the sites that run at a time: about 40 processes in all.
var slots = make(chan struct{}, 4)

// standin is a stand-in in a process of its own.
type standin struct {
	*process
	address string
	control string
}

// entry is an entry host.
type entry struct {
	*process
	name     model.HostID
	settings string // file
	caller   string // IP:port
	operator string
}

// site is a platform, targets and entry hosts, each a process.
type site struct {
	t          *testing.T
	folder     string
	credential string // file
	secret     string
	platform   *standin
	engines    []*standin
	service    *standin
	hosts      []*entry
	keys       map[model.WorkspaceID]string
	document   *config.Document
}

// options of newSite. Zero values mean the defaults.
type options struct {
	hosts       int      // 0 means 3
	engines     int      // 0 means 2
	engineFlags []string // added to the defaults
	workspaces  []config.Workspace
}

// token times of engines: an answer of 64 tokens takes 0.3 s.
var defaultEngineFlags = []string{"--prompt-token-time", "20us", "--output-token-time", "5ms"}

const (
	largeModel = "large" // served by all engines, not granted at first to workspaces that list models
	startLimit = 20 * time.Second
)

// newSite starts a site and puts its first configuration into effect.
func newSite(t *testing.T, o options) *site {
	t.Helper()
	slots <- struct{}{}
	t.Cleanup(func() { <-slots })
	s := &site{t: t, folder: t.TempDir(), secret: config.NewKey("operator"), keys: map[model.WorkspaceID]string{}}
	s.credential = filepath.Join(s.folder, "operator.credential")
	s.write("operator.credential", s.secret+"\n")
	s.startStandins(o)
	n := o.hosts
	if n == 0 {
		n = 3
	}
	for i := range n {
		s.addHost(i)
	}
	s.waitSettled(n)
	s.document = s.newDocument(o)
	s.apply(0)
	for _, h := range s.hosts {
		s.waitReady(h)
	}
	return s
}

func (s *site) write(name, text string) string {
	s.t.Helper()
	file := filepath.Join(s.folder, name)
	assert.NilError(s.t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func (s *site) startStandins(o options) {
	s.t.Helper()
	s.platform = s.startStandin("platform")
	n := o.engines
	if n == 0 {
		n = 2
	}
	for i := range n {
		flags := append([]string{"--model", engine.DefaultModel, "--model", largeModel}, defaultEngineFlags...)
		s.engines = append(s.engines, s.startStandin("engine", append([]string{fmt.Sprint(i + 1)}, append(flags, o.engineFlags...)...)...))
	}
	s.service = s.startStandin("service")
}

// startStandin starts a stand-in; the first of rest is a suffix of its name in
// logs, the others are flags.
func (s *site) startStandin(kind string, rest ...string) *standin {
	s.t.Helper()
	name := kind
	args := []string{"standin", kind, "--listen", "127.0.0.1:0", "--control", "127.0.0.1:0"}
	if len(rest) > 0 {
		name += "-" + rest[0]
		args = append(args, rest[1:]...)
	}
	p := start(s.t, name, args...)
	return &standin{process: p, address: p.line("listening on "), control: p.line("control on ")}
}

// addHost writes the settings of host i and starts it.
func (s *site) addHost(i int) *entry {
	s.t.Helper()
	ip := fmt.Sprintf("127.0.0.%d", i+1)
	ports := freePorts(s.t, ip, 3)
	h := &entry{
		name:   model.HostID(fmt.Sprintf("host-%d", i+1)),
		caller: ports[0], operator: ports[1],
	}
	h.settings = s.write(string(h.name)+".yaml", fmt.Sprintf(
		"Host: {Name: %s, Zone: zone-%d}\nCaller: {Address: %q, DrainTimeout: 30s}\nOperator: {Address: %q, CredentialFile: %q}\n"+
			"Peer: {Address: %q}\nPlatform: {Address: %q}\n",
		h.name, i%3+1, ports[0], ports[1], s.credential, ports[2], s.platform.address))
	s.run(h)
	s.hosts = append(s.hosts, h)
	return h
}

// run starts the process of a host.
func (s *site) run(h *entry) {
	s.t.Helper()
	h.process = start(s.t, string(h.name), "serve", "--settings", h.settings)
}

// freePorts finds addresses on which nothing listens. The ports are below the
// range from which the kernel takes the ports of outgoing connections.
func freePorts(t *testing.T, ip string, n int) []string {
	t.Helper()
	const low, high = 10000, 32000
	var found []string
	for range 1000 {
		a := fmt.Sprintf("%s:%d", ip, low+rand.IntN(high-low))
		l, err := net.Listen("tcp", a)
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }() // all stay open until n are found, so that they differ
		if found = append(found, a); len(found) == n {
			return found
		}
	}
	t.Fatalf("no free ports at %s", ip)
	return nil
}

// newDocument makes the first configuration with a key for each workspace.
func (s *site) newDocument(o options) *config.Document {
	s.t.Helper()
	d := &config.Document{Workspaces: o.workspaces}
	if len(d.Workspaces) == 0 {
		d.Workspaces = []config.Workspace{{Name: "main"}}
	}
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		if w.Rate == 0 {
			w.Rate, w.Burst = 500, 500
		}
		w.Budget = config.Budget{Tokens: 10000000, Calls: 10000, Lifetime: time.Hour}
		id := model.KeyID("key-" + string(w.Name))
		key := config.NewKey(id)
		hash, err := config.HashKey(key)
		assert.NilError(s.t, err)
		w.Keys = []config.Key{{ID: id, Hash: hash}}
		s.keys[w.Name] = key
	}
	for i, e := range s.engines {
		d.Targets = append(d.Targets, config.Target{
			Name: model.TargetID(fmt.Sprintf("engine-%d", i+1)), Kind: config.Engine, Address: e.address,
			Zone: model.Zone(fmt.Sprintf("zone-%d", i%3+1)), Models: []model.ModelID{engine.DefaultModel, largeModel},
			MaxInFlight: 60, ChecksFencing: true,
		})
	}
	d.Targets = append(d.Targets, config.Target{Name: "service", Kind: config.Service, Address: s.service.address, Zone: "zone-1", MaxInFlight: 60})
	d.Routes = []config.Route{
		{Name: "pay", Targets: []model.TargetID{"service"}},
		{Name: "stock", Targets: []model.TargetID{"service"}, Repeatable: true},
	}
	return d
}

// cli runs a command against the operator port of a host.
func (s *site) cli(h *entry, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	args = append(args, "--operator", h.operator, "--credential-file", s.credential)
	out, errs, err := command(ctx, args...)
	if err != nil {
		return out, fmt.Errorf("%s: %w: %s", strings.Join(args, " "), err, errs)
	}
	return out, nil
}

func (s *site) mustCLI(h *entry, args ...string) string {
	s.t.Helper()
	out, err := s.cli(h, args...)
	assert.NilError(s.t, err)
	return out
}

// apply puts the document into effect at the first host. The base is the
// revision that it was edited from.
func (s *site) apply(base model.Revision) {
	s.t.Helper()
	s.document.Revision = base
	data, err := config.Marshal(s.document)
	assert.NilError(s.t, err)
	file := s.write("contracts.yaml", string(data))
	out := s.mustCLI(s.hosts[0], "config", "apply", file, "--base", fmt.Sprint(base))
	assert.Assert(s.t, strings.Contains(out, "is in effect on all hosts"), out)
}

// edit changes the configuration through the command line and waits until it
// is in effect.
func (s *site) edit(change func(*config.Document)) {
	s.t.Helper()
	text := s.mustCLI(s.hosts[0], "config", "get")
	d, err := config.Parse([]byte(text), "config get")
	assert.NilError(s.t, err)
	change(d)
	s.document = d
	s.apply(d.Revision)
}

// status asks a host for its state.
func (s *site) status(h *entry) (host.Status, error) {
	var st host.Status
	data, err := get("http://"+h.operator+"/operator/v1/status", s.secret, time.Second)
	if err != nil {
		return st, err
	}
	return st, json.Unmarshal(data, &st)
}

func (s *site) waitSettled(members int) {
	s.t.Helper()
	eventually(s.t, startLimit, fmt.Sprintf("%d settled members", members), func() bool {
		for _, h := range s.running() {
			st, err := s.status(h)
			if err != nil || len(st.Members) != members || !st.Settled {
				return false
			}
		}
		return true
	})
}

// running lists the hosts whose processes have not ended.
func (s *site) running() []*entry {
	var list []*entry
	for _, h := range s.hosts {
		select {
		case <-h.ended:
		default:
			list = append(list, h)
		}
	}
	return list
}

func (s *site) waitReady(h *entry) {
	s.t.Helper()
	eventually(s.t, startLimit, string(h.name)+" ready", func() bool {
		_, err := get("http://"+h.caller+"/readyz", "", time.Second)
		return err == nil
	})
}

// membership returns the record that a running host knows.
func (s *site) membership() member.Record {
	s.t.Helper()
	var r member.Record
	eventually(s.t, 10*time.Second, "membership known", func() bool {
		for _, h := range s.running() {
			st, err := s.status(h)
			if err != nil || len(st.Members) == 0 {
				continue
			}
			r.Epoch = st.Epoch
			for _, m := range st.Members {
				r.Members = append(r.Members, m.Member)
			}
			return true
		}
		return false
	})
	return r
}

func (s *site) ownerIn(r member.Record, key model.ProgramKey) *entry {
	s.t.Helper()
	m, _ := r.Owner(program.ShardOf(key))
	for _, h := range s.hosts {
		if h.name == m.Host {
			return h
		}
	}
	s.t.Fatalf("owner %q is no host of the site", m.Host)
	return nil
}

// programAt returns a program id of workspace main that a host owns.
func (s *site) programAt(h *entry, prefix string) string {
	s.t.Helper()
	return s.nameAt(h, prefix, func(id string) model.ProgramKey {
		return model.ProgramKey{Workspace: "main", Program: model.ProgramID(id)}
	})
}

// keyAt returns an idempotency key of workspace main whose calls a host owns.
func (s *site) keyAt(h *entry, prefix string) string {
	s.t.Helper()
	return s.nameAt(h, prefix, func(key string) model.ProgramKey { return programs.KeyProgram("main", key) })
}

func (s *site) nameAt(h *entry, prefix string, key func(string) model.ProgramKey) string {
	s.t.Helper()
	r := s.membership()
	for i := range 200 {
		name := fmt.Sprintf("%s-%d", prefix, i)
		if s.ownerIn(r, key(name)) == h {
			return name
		}
	}
	s.t.Fatalf("%s owns none of 200 names", h.name)
	return ""
}

// others lists the running hosts except one.
func (s *site) others(h *entry) []*entry {
	var list []*entry
	for _, o := range s.running() {
		if o != h {
			list = append(list, o)
		}
	}
	return list
}

// setFault switches the faults of a stand-in.
func (s *site) setFault(to *standin, f fault.Fault) {
	s.t.Helper()
	body, err := json.Marshal(f)
	assert.NilError(s.t, err)
	q, err := http.NewRequest(http.MethodPut, "http://"+to.control+"/standin/fault", bytes.NewReader(body))
	assert.NilError(s.t, err)
	a, err := (&http.Client{Timeout: 5 * time.Second}).Do(q)
	assert.NilError(s.t, err)
	defer a.Body.Close()
	text, _ := io.ReadAll(a.Body)
	assert.Equal(s.t, a.StatusCode, http.StatusOK, "%s", text)
}

// arrivals lists what reached the service.
func (s *site) arrivals() []service.Arrival {
	s.t.Helper()
	data, err := get("http://"+s.service.control+"/standin/arrivals", "", 5*time.Second)
	assert.NilError(s.t, err)
	var a service.Arrivals
	assert.NilError(s.t, json.Unmarshal(data, &a))
	return a.Arrivals
}

// countArrivals counts the arrivals with a body.
func (s *site) countArrivals(body string) int {
	s.t.Helper()
	n := 0
	for _, a := range s.arrivals() {
		if a.Body == body {
			n++
		}
	}
	return n
}

// engineStats asks an engine for its counts.
func (s *site) engineStats(e *standin) engine.Stats {
	s.t.Helper()
	data, err := get("http://"+e.control+"/standin/stats", "", 5*time.Second)
	assert.NilError(s.t, err)
	var st engine.Stats
	assert.NilError(s.t, json.Unmarshal(data, &st))
	return st
}

// crashArrivals counts the requests that crashed a stand-in.
func (s *site) crashArrivals(e *standin) int64 {
	s.t.Helper()
	data, err := get("http://"+e.control+"/standin/fault", "", 5*time.Second)
	assert.NilError(s.t, err)
	var a struct{ Counters fault.Counters }
	assert.NilError(s.t, json.Unmarshal(data, &a))
	return a.Counters.CrashArrival
}

// get fetches a path; any status but 200 is an error.
func get(url, key string, timeout time.Duration) ([]byte, error) {
	q, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	if key != "" {
		q.Header.Set("Authorization", "Bearer "+key)
	}
	c := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Do(q)
	if err != nil {
		return nil, err
	}
	defer a.Body.Close()
	data, err := io.ReadAll(a.Body)
	if err == nil && a.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s: %s", url, a.Status, data)
	}
	return data, err
}

// freeze stops a process without its knowledge.
func (h *entry) freeze() { h.signal(syscall.SIGSTOP) }

// resume continues a frozen process.
func (h *entry) resume() { h.signal(syscall.SIGCONT) }
