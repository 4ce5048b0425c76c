package budget

import "time"

const (
	// DefaultMemory is the memory that a process plans with if its settings don't say.
	DefaultMemory = 256 << 20
	// DefaultDescriptors is the number of descriptors that a process plans with if its settings don't say.
	DefaultDescriptors = 4096

	// callersMemoryPart leaves room for the process itself, its connections to others and the collector.
	callersMemoryPart = 4
	// callersDescriptorShare leaves a third to the connections to backend servers and other processes.
	callersDescriptorShare = 2.0 / 3
	// portConnections is several times the clients of a port that only the instance and its operators use.
	portConnections = 64
	portMemoryPart  = 64
	// documentConnections and documentMemoryPart suit a port to which configurations are published.
	documentConnections = 128
	documentMemoryPart  = 8
	// logMemoryPart leaves room for as much before a snapshot, for the snapshot and for what is made of each command.
	logMemoryPart = 16
	// portGrace is many times what a request at such a port takes.
	portGrace = 100 * time.Millisecond
)

// A Plan divides the memory and the descriptors of a process, so that clients of one port can't use up those of another.
type Plan struct {
	// Callers is for callers and for the calls of the backend server.
	Callers Limits
	// Port is for a port that only the instance and its operators use.
	Port Limits
	// Documents is for a port to which configurations are published.
	Documents Limits
	// Log is the size in bytes of the replicated log from which on a snapshot is taken, and of the entries before a
	// snapshot that are kept for slow followers.
	Log int64
}

// NewPlan returns the plan for a process that may use memory bytes and the given number of descriptors. Zero stands for the
// defaults.
func NewPlan(memory int64, descriptors int) Plan {
	if memory == 0 {
		memory = DefaultMemory
	}
	if descriptors == 0 {
		descriptors = DefaultDescriptors
	}
	return Plan{
		Callers:   Limits{Connections: int(float64(descriptors) * callersDescriptorShare), Bytes: memory / callersMemoryPart},
		Port:      Limits{Connections: portConnections, Bytes: memory / portMemoryPart, Grace: portGrace},
		Documents: Limits{Connections: documentConnections, Bytes: memory / documentMemoryPart, Grace: portGrace},
		Log:       memory / logMemoryPart,
	}
}
