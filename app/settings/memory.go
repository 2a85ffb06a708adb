package settings

import (
	"golang.org/x/sys/unix"

	"mimosarelay/core/config"
	"mimosarelay/core/memory"
)

// Memory bounds the memory of the process and the number of its connections.
type Memory struct {
	// Limit is the memory for the process and for what the kernel holds for it, in
	// bytes; 0 means the memory of the machine.
	Limit int64 `yaml:"Limit,omitempty"`
	// MaxConnections is the number of open connections of callers, operators and hosts;
	// 0 means as many as Limit and the limit of open files allow.
	MaxConnections int `yaml:"MaxConnections,omitempty"`
}

const (
	minMemoryLimit = 64 << 20 // bytes; a host without callers has 20 MiB
	maxMemoryLimit = 1 << 40  // bytes
	minConnections = 64
	maxConnections = 1 << 20
	// bodiesPerCaller is the number of times that a body is held while its buffer
	// grows.
	bodiesPerCaller = 2
)

func (m *Memory) complete(c Caller, r *config.Report) {
	if m.Limit != 0 && (m.Limit < minMemoryLimit || m.Limit > maxMemoryLimit) {
		r.Addf("Memory.Limit", "%d is not allowed; it must be from %d to %d bytes, or 0 for the memory of the machine", m.Limit, minMemoryLimit, maxMemoryLimit)
		return
	}
	if m.MaxConnections != 0 && (m.MaxConnections < minConnections || m.MaxConnections > maxConnections) {
		r.Addf("Memory.MaxConnections", "%d is not allowed; it must be from %d to %d, or 0 for the default", m.MaxConnections, minConnections, maxConnections)
	}
	if c.MaxBody > maxBodyLimit {
		return // reported for Caller.MaxBody
	}
	if capacity := memory.CapacityFor(m.Bytes()); memory.Bytes(c.MaxBody) > capacity/bodiesPerCaller {
		r.Addf("Memory.Limit", "%d bytes leave %d for bodies, which is less than %d times Caller.MaxBody (%d)", m.Bytes(), capacity, bodiesPerCaller, c.MaxBody)
	}
}

// Bytes returns the memory for the process.
func (m Memory) Bytes() memory.Bytes {
	if m.Limit != 0 {
		return memory.Bytes(m.Limit)
	}
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return minMemoryLimit
	}
	return memory.Bytes(info.Totalram) * memory.Bytes(info.Unit)
}
