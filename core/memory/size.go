package memory

const (
	// runtimeReserve is what a process needs without callers: code, runtime, tables
	// and the connections to peers. A fresh process has 20 MiB.
	runtimeReserve Bytes = 24 << 20
	// goFraction is the part of a machine's memory for the Go runtime, in percent.
	// The rest is for code and for buffers of the kernel.
	goFraction = 70
	// garbagePercent is the memory that the garbage collector needs for each
	// reserved byte, in percent: released buffers stay until its next cycle.
	garbagePercent = 50
	// minCapacity holds one body of 4 MiB while it grows.
	minCapacity Bytes = 8 << 20
)

// Limit returns the soft limit of the Go runtime on a machine with the given memory.
func Limit(machine Bytes) Bytes { return machine * goFraction / 100 }

// CapacityFor returns the size of the account on a machine with the given memory.
func CapacityFor(machine Bytes) Bytes {
	return max(minCapacity, (Limit(machine)-runtimeReserve)*100/(100+garbagePercent))
}
