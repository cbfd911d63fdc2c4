package fleetnode

import (
	"golang.org/x/sys/unix"

	"github.com/medlardeck/medlardeck/internal/drainconn"
)

const (
	// budgetDivisor is the memory of the machine divided by that of bodies and answers. The
	// garbage collector keeps the heap under memoryLimitRatio; what is left of that is for
	// connections, kept targets and configuration, and garbage.
	budgetDivisor = 4
	// minBudgetBytes has room for one answer and one body of the largest size besides
	// small ones.
	minBudgetBytes = 20 << 20
)

// budgetBytes returns the memory budget of bodies and answers.
func budgetBytes(machineBytes int64) int64 {
	return max(minBudgetBytes, machineBytes/budgetDivisor)
}

// memoryBytes returns the memory of the machine: that of the settings, or else the physical
// memory; zero if neither is known.
func (s *Settings) memoryBytes() int64 {
	if s.MemoryBytes > 0 {
		return s.MemoryBytes
	}
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0 // the budget has its smallest size then
	}
	return int64(info.Totalram) * int64(info.Unit)
}

// Shares of the process's descriptors, in thirty-seconds. A request holds one descriptor of
// its caller or relaying peer, and one to a target or peer at most. The shares of a listener
// include its margins; see drainconn.MaxConnsOf. Listeners, the log, the store and orders to
// targets have what is left.
const (
	shareParts     = 32
	callerParts    = 12
	relayParts     = 2
	exchangeParts  = 1
	targetParts    = callerParts + relayParts
	auxiliaryConns = 8 // of the readiness probes, and of those that read the metrics
	// defaultDescriptors is assumed where the operating system does not say.
	defaultDescriptors = 1024
)

// Connections of callers and relays get an eighth of the machine's memory.
const (
	connsDivisor = 8
	// connBytes is what a connection with a request costs besides its body and answer:
	// stacks, buffers of both sides, and a head of 16 KiB with its copy.
	connBytes = 48 << 10
)

// connLimits are numbers of connections.
type connLimits struct{ callers, relays, exchange, targets int }

// connLimits returns the limits that follow from the machine.
func (s *Settings) connLimits() connLimits {
	descriptors := s.descriptors()
	byMemory := max(1, int(s.memoryBytes()/connsDivisor/connBytes))
	relaysByMemory := byMemory * relayParts / targetParts
	return connLimits{
		callers:  min(drainconn.MaxConnsOf(descriptors*callerParts/shareParts), byMemory-relaysByMemory),
		relays:   min(drainconn.MaxConnsOf(descriptors*relayParts/shareParts), max(1, relaysByMemory)),
		exchange: max(1, descriptors*exchangeParts/shareParts),
		targets:  descriptors * targetParts / shareParts,
	}
}

// descriptors returns how many descriptors the process may have open: the lower of the
// settings and the limit of the operating system.
func (s *Settings) descriptors() int {
	system := defaultDescriptors
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil {
		system = int(min(limit.Cur, 1<<20))
	}
	if s.MaxDescriptors > 0 {
		return min(system, s.MaxDescriptors)
	}
	return system
}

// addLimitGauges adds the gauges of what the limits of the machine bound.
func (i *Instance) addLimitGauges() error {
	if err := i.metrics.Gauge("memory_held_bytes", func() int { return int(i.budget.Held()) }); err != nil {
		return err
	}
	return i.metrics.Gauge("request_connections", func() int { return i.connections().Total() })
}
