//go:build linux

package memory

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// sampleInterval is the time between two looks at the memory of a process.
const sampleInterval = 20 * time.Millisecond

// sampleMemory records the peak of what counts as the memory of a process on its
// machine: its anonymous memory, and the bytes that have arrived on its connections
// and were not read. It returns when the process has ended.
func (p *process) sampleMemory() {
	for {
		select {
		case <-p.ended:
			return
		case <-time.After(sampleInterval):
		}
		own, ok := p.anonymousMemory()
		if !ok {
			return
		}
		if held := own + p.unreadBytes(); held > p.peak.Load() {
			p.peak.Store(held)
		}
	}
}

func (p *process) anonymousMemory() (size int64, ok bool) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(data)) {
		if rest, found := strings.CutPrefix(line, "RssAnon:"); found {
			n, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return n << 10, err == nil
		}
	}
	return 0, false
}

// Columns of /proc/net/tcp.
const (
	columnState  = 3
	columnQueues = 4
	columnInode  = 9
	stateListen  = "0A"
)

// unreadBytes returns the bytes in the receive queues of the process's connections.
func (p *process) unreadBytes() int64 {
	sockets := p.sockets()
	table, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var sum int64
	for line := range bytes.Lines(table) {
		columns := bytes.Fields(line)
		if len(columns) <= columnInode || string(columns[columnState]) == stateListen || !sockets[string(columns[columnInode])] {
			continue
		}
		_, received, _ := strings.Cut(string(columns[columnQueues]), ":")
		n, err := strconv.ParseInt(received, 16, 64)
		if err == nil {
			sum += n
		}
	}
	return sum
}

// sockets returns the inodes of the process's sockets.
func (p *process) sockets() map[string]bool {
	folder := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
	entries, _ := os.ReadDir(folder) // a process that has ended has none
	found := make(map[string]bool, len(entries))
	for _, e := range entries {
		link, err := os.Readlink(folder + "/" + e.Name())
		if inode, ok := strings.CutPrefix(link, "socket:["); err == nil && ok {
			found[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return found
}
