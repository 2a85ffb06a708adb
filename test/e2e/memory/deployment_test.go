//go:build linux

package memory

import (
	"bufio"
	"bytes"
	"crypto/tls"
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
	// ordinaryBody is the usual size of a body, in bytes, and ordinaryLimit the time for
	// one ordinary request.
	ordinaryBody  = 17_000
	ordinaryLimit = 5 * time.Second
	// targetSlots is enough for the requests of all callers of a test.
	targetSlots = 64
	// patience limits the wait for a condition that holds within seconds.
	patience = 30 * time.Second
)

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
	store.PutSmallManifest()
	target, err := standin.NewBackend(store, "app-0", standin.PlainService)
	assert.NilError(t, err)
	target.SetSlots(targetSlots)
	t.Cleanup(target.Close)
	ip, _ := freeAddress(peerPort)
	d.keeperPeers, d.keeperMetrics = fmt.Sprintf("%s:%d", ip, peerPort), fmt.Sprintf("%s:%d", ip, metricsPort)
	d.keeper = d.startProcess(standin.Machine{Name: "keeper-0", IP: ip, DataDir: t.TempDir()})
	ip, d.callers = freeAddress(callerPort)
	d.ready, d.directory = fmt.Sprintf("%s:%d", ip, readyPort), fmt.Sprintf("%s:%d", ip, listPort)
	d.peers, d.metrics = fmt.Sprintf("%s:%d", ip, peerPort), fmt.Sprintf("%s:%d", ip, metricsPort)
	d.host = d.startProcess(standin.Machine{Name: "entry-0", IP: ip, Callers: d.callers, Ready: d.ready, Directory: d.directory})
	d.checkServes()
	return d
}

// startProcess starts a process with settings as the platform writes them.
func (d *deployment) startProcess(m standin.Machine) *process {
	name := m.Name
	m.PeerPort, m.MemoryMB, m.MaxDescriptors, m.Grace = peerPort, memoryMB, maxDescriptors, grace
	file := filepath.Join(d.t.TempDir(), name+".json")
	assert.NilError(d.t, os.WriteFile(file, m.Settings(d.store), 0o600))
	p := &process{t: d.t, name: name, cmd: exec.Command(binary, "serve"), ended: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), standin.BootVariable+"="+file)
	p.start()
	return p
}

// start starts the process, which is killed when its test ends.
func (p *process) start() {
	p.t.Helper()
	p.cmd.Stdout, p.cmd.Stderr = &p.output, &p.output
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(p.t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		p.sampleMemory()
	}()
	p.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
		<-sampled
		if text := p.output.Bytes(); p.t.Failed() {
			p.t.Logf("--- %s\n%s", p.name, text[max(0, len(text)-4096):])
		}
	})
}

// process is a child process.
type process struct {
	t      *testing.T
	name   string
	cmd    *exec.Cmd
	output bytes.Buffer
	ended  chan struct{}
	peak   atomic.Int64 // of the memory that sampleMemory has seen, in bytes
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
	peak := max(p.status("VmHWM"), p.peak.Load())
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
func (d *deployment) checkServes() { waitServed(d.t, d.ordinaryRequest) }

// waitServed waits until send, which sends an ordinary request, gets status 200.
func waitServed(t *testing.T, send func() (status int, err error)) {
	t.Helper()
	var last string
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		status, err := send()
		if err == nil && status == http.StatusOK {
			return
		}
		last = fmt.Sprint(status, err)
	}
	t.Fatalf("no ordinary request is answered, the last one got %s", last)
}

var requestCount atomic.Int64

// ordinaryRequest sends a request of the usual size on a connection of its own.
func (d *deployment) ordinaryRequest() (status int, err error) {
	id := fmt.Sprint("ordinary-", requestCount.Add(1))
	return exchangeOrdinary(d.callers, nil, func(_ int, fields ...string) []byte {
		return standin.RequestHead("POST", "/look/ordinary", standin.CallerKey, id, fields...)
	})
}

// exchangeOrdinary sends a request of the usual size on a connection of its own, over TLS
// if config is not nil.
func exchangeOrdinary(address string, config *tls.Config, head request) (status int, err error) {
	c, err := net.DialTimeout("tcp", address, ordinaryLimit)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(ordinaryLimit)); err != nil {
		return 0, err
	}
	if config != nil {
		c = tls.Client(c, config)
	}
	data := head(0, fmt.Sprint("Content-Length: ", ordinaryBody))
	if _, err := c.Write(append(data, make([]byte, ordinaryBody)...)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
