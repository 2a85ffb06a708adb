//go:build linux

package memory

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/platform/standin"
	"mimosarelay/test/knownred"
)

const (
	// memoryMB is limits.memory_mb of the settings and the bound of the tests.
	memoryMB = 96
	// maxDescriptors is limits.max_fds of the smallest hosts.
	maxDescriptors = 3075
	// maxBodyBytes is max_body_bytes of the configuration.
	maxBodyBytes = 4 << 20
	// grace is the time between SIGTERM and SIGKILL.
	grace = 8 * time.Second
	// patience limits the wait for a condition that holds within seconds.
	patience = 30 * time.Second
)

const manifest = `{"version":1,"routes":[
{"name":"look","host":"s.example","prefix":"/look/","kind":"safe","timeout_ms":10000,"service":"app","max_attempts":2}],
"services":[{"name":"app"}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"office","api_keys":["key-1"],"rate_per_s":10000,"burst":10000}]}`

// deployment is an entry host and a keeper.
type deployment struct {
	t             *testing.T
	store         *standin.Store
	host          *process
	keeper        *process
	callers       string
	directory     string
	ready         string
	peers         string // of the entry host
	metrics       string
	keeperPeers   string
	keeperMetrics string
}

var addressCount atomic.Int64

// freeAddress returns a new address on a loopback IP that depends on the process
// id, because another process may take a port that was free a moment ago.
func freeAddress(port int) (ip, address string) {
	pid := os.Getpid()
	ip = fmt.Sprintf("127.%d.%d.%d", 160+pid%64, pid/64%250, 1+addressCount.Add(1)%250)
	return ip, fmt.Sprintf("%s:%d", ip, port)
}

const (
	peerPort    = 17300
	metricsPort = 17301
	callerPort  = 17302
	readyPort   = 17303
	listPort    = 17304
)

// newDeployment starts a deployment that is ready to serve.
func newDeployment(t *testing.T) *deployment {
	t.Helper()
	knownred.Skip(t)
	if os.Getenv(overloadVariable) != "run" {
		t.Skipf("needs a machine without other load; set %s=run to run it", overloadVariable)
	}
	store, err := standin.NewStore()
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	d := &deployment{t: t, store: store}
	store.Put("op/config", []byte(manifest))
	d.startTarget("app-0")
	ip, _ := freeAddress(peerPort)
	d.keeperPeers, d.keeperMetrics = fmt.Sprintf("%s:%d", ip, peerPort), fmt.Sprintf("%s:%d", ip, metricsPort)
	d.keeper = d.startProcess("keeper-0", ip, nil)
	ip, d.callers = freeAddress(callerPort)
	d.ready, d.directory = fmt.Sprintf("%s:%d", ip, readyPort), fmt.Sprintf("%s:%d", ip, listPort)
	d.peers, d.metrics = fmt.Sprintf("%s:%d", ip, peerPort), fmt.Sprintf("%s:%d", ip, metricsPort)
	d.host = d.startProcess("entry-0", ip, map[string]string{"front": d.callers, "ready": d.ready, "directory": d.directory})
	d.checkServes()
	return d
}

// startProcess starts a process with settings as the platform writes them.
func (d *deployment) startProcess(name, ip string, listen map[string]string) *process {
	boot := map[string]any{
		"node_name": name, "zone": "z", "region": "r", "ip": ip, "listen": listen, "internal_ports": []int{peerPort, metricsPort},
		"fault_tolerance": map[string]int{"machines": 0, "zones": 0}, "contracts": []string{"quota"},
		"limits":   map[string]any{"memory_mb": memoryMB, "max_fds": maxDescriptors, "disk_mb": 0},
		"bounds":   map[string]any{"revoke_ms": 5000, "config_ms": 2000, "drain_ms": 2000, "grace_s": grace.Seconds(), "ttl_max_s": 5},
		"platform": map[string]any{"address": d.store.Address(), "form": "kv"},
	}
	data, err := json.Marshal(boot)
	assert.NilError(d.t, err)
	file := filepath.Join(d.t.TempDir(), name+".json")
	assert.NilError(d.t, os.WriteFile(file, data, 0o600))
	p := &process{t: d.t, name: name, cmd: exec.Command(binary, "serve"), ended: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), "MIMOSARELAY_BOOT="+file)
	p.cmd.Stdout, p.cmd.Stderr = &p.output, &p.output
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(d.t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	d.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
		if text := p.output.Bytes(); d.t.Failed() {
			d.t.Logf("--- %s\n%s", name, text[max(0, len(text)-4096):])
		}
	})
	return p
}

// process is a child process.
type process struct {
	t      *testing.T
	name   string
	cmd    *exec.Cmd
	output bytes.Buffer
	ended  chan struct{}
}

// status returns a field of /proc/PID/status, in bytes.
func (p *process) status(field string) int64 {
	p.t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	assert.NilError(p.t, err)
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			n, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			assert.NilError(p.t, err)
			return n << 10
		}
	}
	p.t.Fatalf("no field %s in the status of %s", field, p.name)
	return 0
}

// checkHeld checks that the process runs and stayed inside its memory and
// descriptors.
func (p *process) checkHeld() {
	p.t.Helper()
	select {
	case <-p.ended:
		p.t.Fatalf("%s ended: %v", p.name, p.cmd.ProcessState)
	default:
	}
	peak := p.status("VmHWM")
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	assert.NilError(p.t, err)
	p.t.Logf("%s: peak memory %.1f MiB, %d descriptors", p.name, float64(peak)/(1<<20), len(fds))
	assert.Check(p.t, peak <= memoryMB<<20, "%s held %.1f MiB", p.name, float64(peak)/(1<<20))
	assert.Check(p.t, len(fds) <= maxDescriptors, "%s has %d descriptors", p.name, len(fds))
}

// checkHeld checks both processes, and that an ordinary request is answered.
func (d *deployment) checkHeld() {
	d.t.Helper()
	d.host.checkHeld()
	d.keeper.checkHeld()
	d.checkServes()
	d.host.checkHeld()
}

// checkServes checks that an ordinary request is answered.
func (d *deployment) checkServes() {
	d.t.Helper()
	var last string
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		status, err := d.ordinaryRequest()
		if err == nil && status == http.StatusOK {
			return
		}
		last = fmt.Sprint(status, err)
	}
	d.t.Fatalf("no ordinary request is answered, the last one got %s", last)
}

var requestCount atomic.Int64

func (d *deployment) ordinaryRequest() (status int, err error) {
	req, err := http.NewRequestWithContext(d.t.Context(), "POST", "http://"+d.callers+"/look/ordinary", strings.NewReader(strings.Repeat("x", 17_000)))
	assert.NilError(d.t, err)
	req.Host = "s.example"
	req.Header.Set("Attempt-Id", fmt.Sprint("ordinary-", requestCount.Add(1)))
	req.Header.Set("Authorization", "Token key-1")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// startTarget starts a target. It answers with as many bytes as the query says.
func (d *deployment) startTarget(id string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(d.t, err)
	s := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		size, _ := strconv.Atoi(r.URL.Query().Get("size")) // 0 without a size
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Response-Seal", "seal")
		w.Header().Set("Server-Load", "1,0,64")
		w.Header().Set("Content-Length", strconv.Itoa(size))
		piece := make([]byte, 32<<10)
		for size > 0 {
			n, err := w.Write(piece[:min(size, len(piece))])
			if err != nil {
				return
			}
			size -= n
		}
	})}
	go func() { _ = s.Serve(l) }()
	d.t.Cleanup(func() { _ = s.Close() })
	value, err := json.Marshal(map[string]any{
		"service": "app", "address": l.Addr().String(), "zone": "z", "version": "v1", "slots": 64, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	assert.NilError(d.t, err)
	d.store.Put("servers/"+id, value)
}
