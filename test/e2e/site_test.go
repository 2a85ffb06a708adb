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

// siteSlots limits the sites that run at once to 4, about 40 processes in all.
var siteSlots = make(chan struct{}, 4)

// standin is a stand-in for an external system, run as a process of its own.
type standin struct {
	*process
	address        string
	controlAddress string
}

// entryHost is an entry host, run as a process of its own.
type entryHost struct {
	*process
	name            model.HostID
	settingsFile    string
	callerAddress   string // IP:port
	operatorAddress string
}

// site is a set of processes: a stand-in of the platform, stand-ins of targets,
// and entry hosts.
type site struct {
	t              *testing.T
	folder         string
	credentialFile string
	secret         string
	platform       *standin
	engines        []*standin
	service        *standin
	hosts          []*entryHost
	keys           map[model.WorkspaceID]string
	config         *config.Document
}

// options configures newSite. Zero values mean the defaults.
type options struct {
	hosts       int      // 0 means 3
	engines     int      // 0 means 2
	engineFlags []string // added to the defaults
	workspaces  []config.Workspace
}

// defaultEngineFlags set the token times of engines. An answer of 64 tokens takes
// 0.3 s.
var defaultEngineFlags = []string{"--prompt-token-time", "20us", "--output-token-time", "5ms"}

const (
	largeModel     = "large" // served by all engines; at first not granted to workspaces that list their models
	startupTimeout = 20 * time.Second
)

// newSite starts a site, applies its first configuration and waits until all
// hosts are ready.
func newSite(t *testing.T, o options) *site {
	t.Helper()
	siteSlots <- struct{}{}
	t.Cleanup(func() { <-siteSlots })
	s := &site{t: t, folder: t.TempDir(), secret: config.NewKey("operator"), keys: map[model.WorkspaceID]string{}}
	s.credentialFile = filepath.Join(s.folder, "operator.credential")
	s.writeFile("operator.credential", s.secret+"\n")
	s.startStandins(o)
	n := o.hosts
	if n == 0 {
		n = 3
	}
	for i := range n {
		s.addHost(i)
	}
	s.waitSettled(n)
	s.config = s.newDocument(o)
	s.applyConfig(0)
	for _, h := range s.hosts {
		s.waitReady(h)
	}
	return s
}

func (s *site) writeFile(name, text string) string {
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

// startStandin starts a stand-in. The first of nameAndFlags is a suffix
// of its name in the test's output, the others are flags.
func (s *site) startStandin(kind string, nameAndFlags ...string) *standin {
	s.t.Helper()
	name := kind
	args := []string{"standin", kind, "--listen", "127.0.0.1:0", "--control", "127.0.0.1:0"}
	if len(nameAndFlags) > 0 {
		name += "-" + nameAndFlags[0]
		args = append(args, nameAndFlags[1:]...)
	}
	p := startProcess(s.t, name, args...)
	return &standin{process: p, address: p.waitLine("listening on "), controlAddress: p.waitLine("control on ")}
}

// addHost writes the settings file of host i and starts the host.
func (s *site) addHost(i int) *entryHost {
	s.t.Helper()
	ip := fmt.Sprintf("127.0.0.%d", i+1)
	ports := freePorts(s.t, ip, 3)
	h := &entryHost{
		name:          model.HostID(fmt.Sprintf("host-%d", i+1)),
		callerAddress: ports[0], operatorAddress: ports[1],
	}
	h.settingsFile = s.writeFile(string(h.name)+".yaml", fmt.Sprintf(
		"Host: {Name: %s, Zone: zone-%d}\nCaller: {Address: %q, DrainTimeout: 30s}\nOperator: {Address: %q, CredentialFile: %q}\n"+
			"Peer: {Address: %q}\nPlatform: {Address: %q}\n",
		h.name, i%3+1, ports[0], ports[1], s.credentialFile, ports[2], s.platform.address))
	s.startHost(h)
	s.hosts = append(s.hosts, h)
	return h
}

// startHost starts the process of a host, for the first time or again.
func (s *site) startHost(h *entryHost) {
	s.t.Helper()
	h.process = startProcess(s.t, string(h.name), "serve", "--settings", h.settingsFile)
}

// freePorts returns n addresses on which nothing listens. The ports are below the
// kernel's range for outgoing connections.
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
		defer func() { _ = l.Close() }() // all stay open until n are found, so that no port is found twice
		if found = append(found, a); len(found) == n {
			return found
		}
	}
	t.Fatalf("found fewer than %d free ports on %s", n, ip)
	return nil
}

// newDocument returns the first configuration and creates a key for each
// workspace.
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

// cli runs an operator command against a host.
func (s *site) cli(h *entryHost, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	args = append(args, "--operator", h.operatorAddress, "--credential-file", s.credentialFile)
	out, errs, err := runCommand(ctx, args...)
	if err != nil {
		return out, fmt.Errorf("%s: %w: %s", strings.Join(args, " "), err, errs)
	}
	return out, nil
}

func (s *site) mustCLI(h *entryHost, args ...string) string {
	s.t.Helper()
	out, err := s.cli(h, args...)
	assert.NilError(s.t, err)
	return out
}

// applyConfig applies s.config through the first host and waits until it is in
// effect on all hosts. base is the revision that it was edited from.
func (s *site) applyConfig(base model.Revision) {
	s.t.Helper()
	s.config.Revision = base
	data, err := config.Marshal(s.config)
	assert.NilError(s.t, err)
	file := s.writeFile("contracts.yaml", string(data))
	out := s.mustCLI(s.hosts[0], "config", "apply", file, "--base", fmt.Sprint(base))
	assert.Assert(s.t, strings.Contains(out, "is in effect on all hosts"), out)
}

// editConfig changes the present configuration and waits until it is in effect on
// all hosts.
func (s *site) editConfig(change func(*config.Document)) {
	s.t.Helper()
	text := s.mustCLI(s.hosts[0], "config", "get")
	d, err := config.Parse([]byte(text), "config get")
	assert.NilError(s.t, err)
	change(d)
	s.config = d
	s.applyConfig(d.Revision)
}

// status returns the status that a host reports.
func (s *site) status(h *entryHost) (host.Status, error) {
	var st host.Status
	data, err := httpGet("http://"+h.operatorAddress+"/operator/v1/status", s.secret, time.Second)
	if err != nil {
		return st, err
	}
	return st, json.Unmarshal(data, &st)
}

func (s *site) waitSettled(members int) {
	s.t.Helper()
	eventually(s.t, startupTimeout, fmt.Sprintf("%d settled members", members), func() bool {
		for _, h := range s.runningHosts() {
			st, err := s.status(h)
			if err != nil || len(st.Members) != members || !st.Settled {
				return false
			}
		}
		return true
	})
}

// runningHosts lists the hosts whose processes have not exited.
func (s *site) runningHosts() []*entryHost {
	var list []*entryHost
	for _, h := range s.hosts {
		select {
		case <-h.ended:
		default:
			list = append(list, h)
		}
	}
	return list
}

func (s *site) waitReady(h *entryHost) {
	s.t.Helper()
	eventually(s.t, startupTimeout, string(h.name)+" ready", func() bool {
		_, err := httpGet("http://"+h.callerAddress+"/readyz", "", time.Second)
		return err == nil
	})
}

// membership returns the epoch and the members that a running host reports.
func (s *site) membership() member.Record {
	s.t.Helper()
	var r member.Record
	eventually(s.t, 10*time.Second, "a running host reports the members", func() bool {
		for _, h := range s.runningHosts() {
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

func (s *site) ownerIn(r member.Record, key model.ProgramKey) *entryHost {
	s.t.Helper()
	m, _ := r.Owner(program.ShardOf(key))
	for _, h := range s.hosts {
		if h.name == m.Host {
			return h
		}
	}
	s.t.Fatalf("owner %q is not a host of the site", m.Host)
	return nil
}

// programOwnedBy returns the id of a program of workspace main that a host owns.
func (s *site) programOwnedBy(h *entryHost, prefix string) string {
	s.t.Helper()
	return s.nameOwnedBy(h, prefix, func(id string) model.ProgramKey {
		return model.ProgramKey{Workspace: "main", Program: model.ProgramID(id)}
	})
}

// idempotencyKeyOwnedBy returns an idempotency key of workspace main whose call a
// host owns.
func (s *site) idempotencyKeyOwnedBy(h *entryHost, prefix string) string {
	s.t.Helper()
	return s.nameOwnedBy(h, prefix, func(key string) model.ProgramKey { return programs.KeyProgram("main", key) })
}

func (s *site) nameOwnedBy(h *entryHost, prefix string, key func(string) model.ProgramKey) string {
	s.t.Helper()
	r := s.membership()
	for i := range 200 {
		name := fmt.Sprintf("%s-%d", prefix, i)
		if s.ownerIn(r, key(name)) == h {
			return name
		}
	}
	s.t.Fatalf("host %s owns none of 200 names with prefix %q", h.name, prefix)
	return ""
}

// otherHosts lists the running hosts except one.
func (s *site) otherHosts(h *entryHost) []*entryHost {
	var list []*entryHost
	for _, o := range s.runningHosts() {
		if o != h {
			list = append(list, o)
		}
	}
	return list
}

// setFault replaces the active faults of a stand-in.
func (s *site) setFault(to *standin, f fault.Fault) {
	s.t.Helper()
	body, err := json.Marshal(f)
	assert.NilError(s.t, err)
	q, err := http.NewRequest(http.MethodPut, "http://"+to.controlAddress+"/standin/fault", bytes.NewReader(body))
	assert.NilError(s.t, err)
	a, err := (&http.Client{Timeout: 5 * time.Second}).Do(q)
	assert.NilError(s.t, err)
	defer a.Body.Close()
	text, _ := io.ReadAll(a.Body)
	assert.Equal(s.t, a.StatusCode, http.StatusOK, "%s", text)
}

// arrivals lists the requests that arrived at the service stand-in.
func (s *site) arrivals() []service.Arrival {
	s.t.Helper()
	data, err := httpGet("http://"+s.service.controlAddress+"/standin/arrivals", "", 5*time.Second)
	assert.NilError(s.t, err)
	var a service.Arrivals
	assert.NilError(s.t, json.Unmarshal(data, &a))
	return a.Arrivals
}

// countArrivals counts the requests with a body that arrived at the service
// stand-in.
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

// engineStats returns the counters of an engine stand-in.
func (s *site) engineStats(e *standin) engine.Stats {
	s.t.Helper()
	data, err := httpGet("http://"+e.controlAddress+"/standin/stats", "", 5*time.Second)
	assert.NilError(s.t, err)
	var st engine.Stats
	assert.NilError(s.t, json.Unmarshal(data, &st))
	return st
}

// crashArrivals counts the requests that crashed a stand-in.
func (s *site) crashArrivals(e *standin) int64 {
	s.t.Helper()
	data, err := httpGet("http://"+e.controlAddress+"/standin/fault", "", 5*time.Second)
	assert.NilError(s.t, err)
	var a struct{ Counters fault.Counters }
	assert.NilError(s.t, json.Unmarshal(data, &a))
	return a.Counters.CrashArrival
}

// httpGet returns the body of a URL. Any status but 200 is an error.
func httpGet(url, key string, timeout time.Duration) ([]byte, error) {
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

// freeze suspends the process of a host. The process is not notified.
func (h *entryHost) freeze() { h.signal(syscall.SIGSTOP) }

// resume continues the process of a frozen host.
func (h *entryHost) resume() { h.signal(syscall.SIGCONT) }
