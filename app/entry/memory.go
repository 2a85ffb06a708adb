package entry

import (
	"mimosarelay/core/memory"
)

const (
	// reservedDescriptors are for the store, peers, logs and the auxiliary listeners.
	reservedDescriptors = 200
	// descriptorsPerCaller are those of a caller's connection and of the connection to
	// the target that serves it.
	descriptorsPerCaller = 2
	// defaultDescriptors is the limit that is assumed if the settings state none. It is
	// that of the smallest hosts.
	defaultDescriptors = 3075
	// minCallers is the number of callers that a host accepts in any case.
	minCallers = 64
)

// newAccount returns the account for the bytes of callers, or nil without a limit.
func newAccount(o Options) *memory.Account {
	if o.Memory == 0 {
		return nil
	}
	descriptors := o.Descriptors
	if descriptors == 0 {
		descriptors = defaultDescriptors
	}
	return memory.New(memory.Options{
		Capacity:   memory.CapacityFor(o.Memory),
		MaxHolders: max(minCallers, (descriptors-reservedDescriptors)/descriptorsPerCaller),
		Clock:      o.Clock,
	})
}
