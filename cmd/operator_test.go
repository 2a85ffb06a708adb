package cmd

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"mimosarelay/app/contracts"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
	"mimosarelay/io/operator"
)

const testDocument = "Workspaces:\n- Name: w\n  Rate: 5\n  Burst: 9\n  Budget: {Tokens: 9, Calls: 9, Lifetime: 1h}\nTargets: []\n"

// memoryStore implements the part of store.Store that contracts.Service uses.
type memoryStore struct {
	store.Store
	mu      sync.Mutex
	entries map[string]store.Entry
}

func (m *memoryStore) Get(_ context.Context, key string) (store.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[key]
	if !ok {
		return store.Entry{}, store.ErrNotFound
	}
	return e, nil
}

func (m *memoryStore) Put(_ context.Context, key string, value []byte, prev store.Version) (store.Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.entries[key].Version != prev {
		return 0, store.ErrConflict
	}
	m.entries[key] = store.Entry{Key: key, Value: value, Version: prev + 1}
	return prev + 1, nil
}

func (m *memoryStore) List(_ context.Context, prefix string) ([]store.Entry, store.Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []store.Entry
	for k, e := range m.entries {
		if strings.HasPrefix(k, prefix) {
			list = append(list, e)
		}
	}
	return list, 0, nil
}

// fakeHost is the backend of an operator API, with a real contracts.Service.
type fakeHost struct {
	*contracts.Service
	unconfirmed bool // the other host, h2, does not confirm any revision
	drained     bool
	gone        model.HostID
}

func (h *fakeHost) Status(context.Context) (any, error) { return struct{ Hosts int }{2}, nil }
func (h *fakeHost) Dump(context.Context) (any, error) {
	return struct{ Members []string }{[]string{"h1"}}, nil
}
func (h *fakeHost) Ready() error { return nil }

func (h *fakeHost) Drain(context.Context) error {
	h.drained = true
	return nil
}

func (h *fakeHost) DeclareGone(_ context.Context, id model.HostID) error {
	h.gone = id
	return nil
}

func (h *fakeHost) LiftSuspect(context.Context, model.Fingerprint) error { return nil }

func (h *fakeHost) AwaitEffect(context.Context, model.Revision) []model.HostID {
	if h.unconfirmed {
		return []model.HostID{"h2"}
	}
	return nil
}

// cli runs commands against the operator API of a host.
type cli struct {
	*fakeHost
	flags  []string
	folder string
}

func newCLI(t *testing.T) *cli {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	c := &cli{folder: t.TempDir(), fakeHost: &fakeHost{Service: contracts.New(contracts.Options{
		Host: "h1", Store: &memoryStore{entries: map[string]store.Entry{}}, Log: log,
	})}}
	credential := c.writeFile(t, "credential", "operator-credential-1\n")
	s, err := operator.New(operator.Options{Backend: c.fakeHost, CredentialFile: credential, Log: log})
	assert.NilError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		assert.NilError(t, s.Shutdown(context.Background()))
		assert.NilError(t, <-done)
	})
	c.flags = []string{"--operator", l.Addr().String(), "--credential-file", credential}
	return c
}

func (c *cli) writeFile(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(c.folder, name)
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

// run runs a command and returns its output.
func (c *cli) run(args ...string) (string, error) {
	var out bytes.Buffer
	root := newRoot()
	root.SetOut(&out)
	root.SetArgs(append(args, c.flags...))
	err := root.Execute()
	return out.String(), err
}

func (c *cli) mustRun(t *testing.T, args ...string) string {
	t.Helper()
	out, err := c.run(args...)
	assert.NilError(t, err)
	return out
}

// Guards against config commands that do not reach the API. The commands run in
// the order in which an operator uses them.
func TestConfigCommandsReachAPI(t *testing.T) {
	c := newCLI(t)
	file := c.writeFile(t, "c.yaml", testDocument)
	assert.Equal(t, c.mustRun(t, "config", "validate", file), file+" is valid: 1 workspaces, 0 targets, 0 routes\n")
	assert.Equal(t, c.mustRun(t, "config", "apply", file, "--base", "0"), "revision 1 is in effect on all hosts\n")
	text := c.mustRun(t, "config", "get")
	edited := c.writeFile(t, "edited.yaml", strings.Replace(text, "Rate: 5", "Rate: 7", 1))
	assert.Equal(t, c.mustRun(t, "config", "diff", edited), "Workspaces[w].Rate changed from 5 to 7\n")
	assert.Equal(t, c.mustRun(t, "config", "apply", edited), "revision 2 is in effect on all hosts\n")
	assert.Equal(t, c.mustRun(t, "config", "history", "1"), text)
	lines := strings.Split(strings.TrimSpace(c.mustRun(t, "config", "history")), "\n")
	assert.Equal(t, len(lines), 2)
	_, err := c.run("config", "apply", edited)
	assert.ErrorContains(t, err, "conflict: the change is based on revision 1, but another operator has made revision 2")
	assert.Equal(t, c.Revision(), model.Revision(2))
}

// Guards against a key that is granted but not printed because a host has not
// confirmed it, and against a withdrawn key that still works.
func TestKeyIsPrintedOnGrantAndStopsWorkingOnWithdraw(t *testing.T) {
	c := newCLI(t)
	c.mustRun(t, "config", "apply", c.writeFile(t, "c.yaml", testDocument), "--base", "0")
	key, rest, _ := strings.Cut(c.mustRun(t, "key", "grant", "w", "k1"), "\n")
	assert.Equal(t, rest, "revision 2 is in effect on all hosts\n")
	_, id, ok := c.Current().Authenticate(key)
	assert.Assert(t, ok && id == "k1")
	c.unconfirmed = true
	out, err := c.run("key", "grant", "w", "k2")
	assert.ErrorContains(t, err, "revision 3 is accepted, but these hosts have not confirmed it yet: h2")
	assert.Assert(t, strings.HasPrefix(out, "mr_k2_"), "the key was not printed")
	_, err = c.run("key", "withdraw", "k1")
	assert.ErrorContains(t, err, "have not confirmed it yet: h2")
	_, _, ok = c.Current().Authenticate(key)
	assert.Assert(t, !ok)
	_, err = c.run("key", "withdraw", "k1")
	assert.ErrorContains(t, err, `key "k1"`)
}

// Guards against a command that calls the wrong operation: drain --gone must not
// drain the host that receives it.
func TestStatusDumpAndDrainReachHost(t *testing.T) {
	c := newCLI(t)
	assert.Equal(t, c.mustRun(t, "status"), "{\n  \"Hosts\": 2\n}\n")
	assert.Assert(t, strings.Contains(c.mustRun(t, "dump"), `"Members"`))
	c.mustRun(t, "drain", "--gone", "h7")
	assert.Assert(t, c.gone == "h7" && !c.drained, "the wrong host was drained")
	c.mustRun(t, "drain")
	assert.Assert(t, c.drained)
}

// Guards against errors that do not name their cause, and against a change that is
// sent although its file is invalid.
func TestCommandErrorsNameTheCause(t *testing.T) {
	c := newCLI(t)
	faulty := c.writeFile(t, "faulty.yaml", "Workspaces: []\nTarget: []\n")
	plain := c.writeFile(t, "plain.yaml", testDocument)
	edited := c.writeFile(t, "edited.yaml", "Revision: 4\n"+testDocument)
	wrong := c.writeFile(t, "wrong", "wrong-credential-1")
	for name, k := range map[string]struct {
		args []string
		want string
	}{
		"faulty file":                 {[]string{"config", "apply", faulty, "--base", "0"}, faulty + ":2: Target: unknown field"},
		"faulty, offline":             {[]string{"config", "validate", faulty}, faulty + ":1: Targets: missing"},
		"missing file":                {[]string{"config", "validate", "none.yaml"}, "no such file"},
		"missing base":                {[]string{"config", "apply", plain}, "with --base"},
		"conflicting bases":           {[]string{"config", "apply", edited, "--base", "3"}, "edited from revision 4, but --base is 3"},
		"no configuration":            {[]string{"config", "get"}, "there is no configuration yet"},
		"bad revision":                {[]string{"config", "history", "../keys"}, "must be a number"},
		"unknown workspace":           {[]string{"key", "grant", "w", "k"}, `workspace "w"`},
		"wrong credential":            {[]string{"status", "--credential-file", wrong}, "missing or wrong operator credential"},
		"address without IP":          {[]string{"status", "--operator", "localhost:1"}, "flag --operator"},
		"empty host name":             {[]string{"drain", "--gone", ""}, "flag --gone"},
		"CA file without certificate": {[]string{"status", "--ca-file", plain}, "holds no certificate"},
	} {
		t.Run(name, func(t *testing.T) {
			d := *c
			if len(k.args) > 1 && (k.args[1] == "--operator" || k.args[1] == "--credential-file") {
				// The last occurrence of a flag is used, so the one under test is last.
				k.args, d.flags = k.args[:1], append(append([]string{}, c.flags...), k.args[1:]...)
			}
			_, err := d.run(k.args...)
			assert.ErrorContains(t, err, k.want)
		})
	}
	assert.Equal(t, c.Revision(), model.Revision(0))
	assert.Assert(t, !c.drained && c.gone == "")
}

// Guards against a change that is reported as failed when its outcome is unknown
// because the answer is missing.
func TestMissingAnswerOfChangeIsReportedAsUnknown(t *testing.T) {
	c := newCLI(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conn.Close()
		}
	}()
	c.flags[1] = l.Addr().String()
	_, err = c.run("key", "withdraw", "k1")
	assert.ErrorContains(t, err, "the change may or may not be accepted")
	assert.NilError(t, l.Close())
	_, err = c.run("key", "withdraw", "k1")
	assert.ErrorContains(t, err, "connection refused")
	assert.Assert(t, !strings.Contains(err.Error(), "may or may not"), err.Error())
}
