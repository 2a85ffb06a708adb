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
	// ReceiveBuffer is the receive buffer of a connection, as it is set on its socket. The
	// kernel doubles it for its own records, and keeps up to 24 KiB of data.
	ReceiveBuffer Bytes = 16 << 10
	// SendBuffer is the send buffer of a connection, as it is set on its socket.
	SendBuffer Bytes = 32 << 10
	// kernelCopies is the factor by which the kernel enlarges ReceiveBuffer.
	kernelCopies = 2
	// minCapacity holds one body of 4 MiB while it grows.
	minCapacity Bytes = 8 << 20
)

// Limit returns the soft limit of the Go runtime on a machine with the given memory.
func Limit(machine Bytes) Bytes { return machine * goFraction / 100 }

// CapacityFor returns the size of the account on a machine with the given memory.
func CapacityFor(machine Bytes) Bytes {
	return max(minCapacity, (Limit(machine)-runtimeReserve)*100/(100+garbagePercent))
}

// MaxConnections returns the number of connections whose receive buffers fit into the
// part of a machine's memory that is not for the Go runtime.
func MaxConnections(machine Bytes) int {
	return int((machine - Limit(machine)) / (kernelCopies * ReceiveBuffer))
}
