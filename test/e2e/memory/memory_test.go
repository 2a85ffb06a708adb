//go:build linux

package memory

import (
	"net"
	"syscall"
	"testing"
	"time"

	"mimosarelay/platform/standin"
)

// Guards against a process that runs out of memory when many callers send large
// bodies at once and stop just short of their end.
func TestWholeBodies(t *testing.T) {
	d := newDeployment(t)
	sendCrowd(t, d.callers, bigCrowd, sendBody(post("/look/x", "key-1"), fullBody, fullBody-1, fullBody, 0))
	d.checkHeld()
}

// The same with bodies that arrive piece by piece.
func TestBodiesInPieces(t *testing.T) {
	d := newDeployment(t)
	sendCrowd(t, d.callers, bigCrowd, sendBody(post("/look/x", "key-1"), fullBody, fullBody-1, 64<<10, 10*time.Millisecond))
	d.checkHeld()
}

// Guards against a host that holds the bodies of callers without a valid key.
func TestBodiesWithWrongKey(t *testing.T) {
	d := newDeployment(t)
	sendCrowd(t, d.callers, bigCrowd, sendBody(post("/look/x", "key-9"), fullBody, fullBody-1, fullBody, 0))
	d.checkHeld()
}

// Guards against a process that runs out of memory with bodies in large chunks.
func TestLargeChunks(t *testing.T) {
	d := newDeployment(t)
	sendCrowd(t, d.callers, bigCrowd, sendChunks(post("/look/x", "key-1"), fullBody, largeChunk))
	d.checkHeld()
}

// Guards against a host that holds the chunks of callers without a valid key.
func TestChunksWithWrongKey(t *testing.T) {
	d := newDeployment(t)
	sendCrowd(t, d.callers, bigCrowd, sendChunks(post("/look/x", "key-9"), fullBody, largeChunk))
	d.checkHeld()
}

// Guards against a process that runs out of memory with bodies in small chunks.
func TestSmallChunks(t *testing.T) {
	d := newDeployment(t)
	sendCrowd(t, d.callers, smallChunkCrowd, sendChunks(post("/look/x", "key-1"), smallChunkBody, smallChunk))
	d.checkHeld()
}

// Guards against a host that reads a body that is announced as over the limit.
func TestBodiesOverLimitAnnounced(t *testing.T) {
	d := newDeployment(t)
	sendCrowd(t, d.callers, bigCrowd, sendBody(post("/look/x", "key-1"), 25*maxBodyBytes, 5*maxBodyBytes, 64<<10, 0))
	d.checkHeld()
}

// Guards against a host that holds more than the limit of a body whose length was
// not announced.
func TestBodiesOverLimitInChunks(t *testing.T) {
	d := newDeployment(t)
	sendCrowd(t, d.callers, bigCrowd, sendChunks(post("/look/x", "key-1"), 5*maxBodyBytes, largeChunk))
	d.checkHeld()
}

// Guards against headers that arrive one byte at a time and hold their connections.
func TestSlowHeaders(t *testing.T) {
	d := newDeployment(t)
	sendCrowd(t, d.callers, 10*bigCrowd, sendSlowHeader(post("/look/x", "key-1"), 100, 20*time.Millisecond))
	d.checkHeld()
}

// Guards against answers that are held for callers that never read them.
func TestUnreadResponses(t *testing.T) {
	d := newDeployment(t)
	sendCrowd(t, d.callers, bigCrowd, sendRequests(postLarge(), 1))
	d.checkHeld()
}

// Guards against requests that wait behind an unread response.
func TestPipelinedBehindUnreadResponse(t *testing.T) {
	d := newDeployment(t)
	sendCrowd(t, d.callers, bigCrowd, sendRequests(postLarge(), 50))
	d.checkHeld()
}

// Guards against the same crowd at the ports that are not for requests.
func TestDirectory(t *testing.T) {
	d := newDeployment(t)
	crowdAtPort(t, d.directory, standin.DirectoryPath)
	d.checkHeld()
}

func TestReadiness(t *testing.T) {
	d := newDeployment(t)
	crowdAtPort(t, d.ready, standin.ReadinessPath)
	d.checkHeld()
}

func TestMetricsPort(t *testing.T) {
	d := newDeployment(t)
	crowdAtPort(t, d.metrics, "/metrics")
	d.checkHeld()
}

func TestKeeperMetricsPort(t *testing.T) {
	d := newDeployment(t)
	crowdAtPort(t, d.keeperMetrics, "/metrics")
	d.checkHeld()
}

func TestPeerPort(t *testing.T) {
	d := newDeployment(t)
	crowdAtPort(t, d.peers, "/")
	d.checkHeld()
}

func TestKeeperPeerPort(t *testing.T) {
	d := newDeployment(t)
	crowdAtPort(t, d.keeperPeers, "/")
	d.checkHeld()
}

// crowdAtPort sends bodies in one piece and in chunks to a port.
func crowdAtPort(t *testing.T, address, path string) {
	sendCrowd(t, address, bigCrowd, sendBody(post(path, "key-1"), fullBody, fullBody-1, fullBody, 0))
	sendCrowd(t, address, bigCrowd, sendChunks(post(path, "key-1"), fullBody, largeChunk))
}

// Guards against a planned stop that waits for callers that never end their
// requests, and against memory that grows while the host stops.
func TestPlannedStop(t *testing.T) {
	d := newDeployment(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		sendCrowd(t, d.callers, bigCrowd, sendBody(post("/look/x", "key-1"), fullBody, fullBody-1, 64<<10, 10*time.Millisecond))
	}()
	time.Sleep(300 * time.Millisecond)
	if err := d.host.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	begin := time.Now()
	for time.Since(begin) < grace/2 {
		time.Sleep(50 * time.Millisecond)
		select {
		case <-d.host.ended:
			begin = begin.Add(-grace)
		default:
		}
	}
	select {
	case <-d.host.ended:
	default:
		d.host.checkHeld()
	}
	select {
	case <-d.host.ended:
	case <-time.After(grace / 2):
		t.Errorf("the host has not ended within its grace period")
	}
	<-done
}

// wideCrowd callers send bodies of a machine's maximum size. What waits in the receive
// buffers of their connections alone is more than the memory of the machine.
const wideCrowd = 1000

// Guards against bytes that have arrived and are not read, which count as memory of the
// machine although the process does not hold them.
func TestUnreadBodies(t *testing.T) {
	d := newDeployment(t)
	sendCrowd(t, d.callers, wideCrowd, sendBody(post("/look/x", "key-1"), maxBodyBytes, maxBodyBytes-1, maxBodyBytes-1, 0))
	d.checkHeld()
}

// Guards against connections that are held open without a request.
func TestOpenConnections(t *testing.T) {
	d := newDeployment(t)
	sendCrowd(t, d.callers, 2*wideCrowd, func(net.Conn, int) error { return nil })
	d.checkHeld()
}
