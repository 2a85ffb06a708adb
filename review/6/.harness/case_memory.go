package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The figures of the case unread-bodies.
const (
	uploadClients = 900       // at each of two machines, in each wave
	uploadBytes   = 4<<20 - 1 // of a body of 4 MiB, which is max_body_bytes: it stops just short of its end
	uploadWaves   = 3
	uploadHold    = 3 * time.Second
	sampleEvery   = 20 * time.Millisecond
	restartDelay  = 300 * time.Millisecond
	maxEnds       = 2 // a third one on a machine counts
	minMachines   = 2 // of the rule: a tenth of nine machines, two at least
)

// guard does to a process what the platform does: it ends the process when it uses more
// than memory_mb, with the bytes that have arrived and were not read, and starts it again.
type guard struct {
	deployment *deployment
	process    *process
	record     *record
	ends       int
	most       int64 // bytes
}

func (g *guard) run(stop <-chan struct{}) {
	limit := int64(g.deployment.memoryMB) << 20
	for {
		select {
		case <-stop:
			return
		case <-time.After(sampleEvery):
		}
		own, unread := anonymousBytes(g.process.cmd.Process.Pid), unreadBytes(g.process.callers)
		g.most = max(g.most, own+unread)
		ended := !g.process.running()
		if own+unread <= limit && !ended {
			continue
		}
		g.ends++
		g.record.add("%s uses %.1f MB of its own and holds %.1f MB that have arrived and were not read, the limit is %d MB: it is ended (it ended alone: %v)",
			g.process.name, float64(own)/(1<<20), float64(unread)/(1<<20), g.deployment.memoryMB, ended)
		g.process.signal(syscall.SIGKILL)
		<-g.process.ended
		time.Sleep(restartDelay)
		if err := g.deployment.start(g.process); err != nil {
			g.record.add("%s does not start: %v", g.process.name, err)
			return
		}
	}
}

// anonymousBytes returns the memory of a process without that of its program file.
func anonymousBytes(pid int) int64 {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		if rest, ok := strings.CutPrefix(s.Text(), "RssAnon:"); ok {
			n, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return n << 10
		}
	}
	return 0
}

// unreadBytes returns the bytes that have arrived on the open channels of an address and
// that its process has not read.
func unreadBytes(address string) int64 {
	a, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return 0
	}
	ip := a.IP.To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
	f, err := os.Open("/proc/self/net/tcp")
	if err != nil {
		return 0
	}
	defer f.Close()
	var sum int64
	for s := bufio.NewScanner(f); s.Scan(); {
		fields := strings.Fields(s.Text())
		if len(fields) < 5 || fields[1] != local || fields[3] == "0A" { // 0A: the listener
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(queue, 16, 64)
		sum += n
	}
	return sum
}

// unreadBodies lets many callers send bodies of legal size at once. No process may need
// more than the memory of its machine.
func unreadBodies(r *record, trouble bool) (bool, error) {
	d, err := newDeployment(2)
	if err != nil {
		return false, err
	}
	defer d.stopAll()
	for i, zone := range zones {
		s, err := newServer(r, fmt.Sprintf("i-app%d", i))
		if err != nil {
			return false, err
		}
		s.work = 20 * time.Millisecond
		d.putServer(s.id, "notice-app", zone, s.address, 6)
	}
	d.putManifest(1, []string{key}, route{name: "send", prefix: "/send/", kind: "unsafe", service: "notice-app", timeoutMS: 5000, maxAttempts: 1})
	if err := d.startAll(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var background, callers sync.WaitGroup
	var guards []*guard
	for _, p := range d.entries {
		g := &guard{deployment: d, process: p, record: r}
		guards = append(guards, g)
		background.Go(func() { g.run(stop) })
		callers.Go(func() { ordinaryCaller(r, p, stop) })
	}
	for wave := range uploadWaves {
		if trouble {
			r.add("wave %d: %d callers at each of %d machines send %d bytes of a body of %d bytes", wave+1, uploadClients, len(d.entries), uploadBytes, uploadBytes+1)
			var uploads sync.WaitGroup
			for _, p := range d.entries {
				for i := range uploadClients {
					uploads.Go(func() { stoppedBody(p.callers, fmt.Sprintf("upload-%d-%s-%03d", wave, p.name, i)) })
				}
			}
			uploads.Wait()
		}
		time.Sleep(time.Second)
		for _, p := range d.entries {
			if err := awaitReady(p, 20*time.Second); err != nil {
				r.add("%v", err)
			}
		}
	}
	close(stop)
	background.Wait()
	callers.Wait()
	machines := 0
	for _, g := range guards {
		r.add("%s: ended %d times for its memory, the most is %.1f MB", g.process.name, g.ends, float64(g.most)/(1<<20))
		if g.ends > maxEnds {
			machines++
		}
	}
	r.conclude("Fault: on %d machines a process ended three times since it used more than memory_mb, fewer than %d are allowed", machines, minMachines)
	return machines >= minMachines, nil
}

// stoppedBody sends a body that stops just short of its end, and stays open for a while.
func stoppedBody(address, id string) {
	c, err := dial(address)
	if err != nil {
		return
	}
	defer c.Close()
	end := time.Now().Add(uploadHold)
	_ = c.SetDeadline(end)
	_, _ = fmt.Fprintf(c, "POST /send/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nAuthorization: Token %s\r\nDeadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n", host, id, key, uploadBytes+1)
	piece := make([]byte, 64<<10)
	for sent := 0; sent < uploadBytes; {
		n, err := c.Write(piece[:min(len(piece), uploadBytes-sent)])
		if err != nil {
			break
		}
		sent += n
	}
	time.Sleep(time.Until(end))
}

// ordinaryCaller sends one small request after the other.
func ordinaryCaller(r *record, p *process, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		id := newAttempt()
		a := send(p.callers, "POST", "/send/1", id, key, 3*time.Second, make([]byte, 600))
		r.add("ordinary %s at %s: status %d, error %v", id, p.name, a.status, a.err)
	}
}
