package settings

import "sapphirespread.example/internal/host/budget"

const (
	mebibyte = 1 << 20
	// minMemory is what a process needs without any clients, and a little for those.
	minMemory = 64
	maxMemory = 1 << 20
	// minDescriptors leaves room for the connections to other processes.
	minDescriptors = 128
	maxDescriptors = 1 << 20
)

// Resources holds the resources of the instance that a process may use. They bound what its clients can make it hold.
type Resources struct {
	// Memory is in MiB.
	Memory int `toml:"memory"`
	// Descriptors is the number of open files and connections.
	Descriptors int `toml:"descriptors"`
}

func defaultResources() Resources {
	return Resources{Memory: budget.DefaultMemory / mebibyte, Descriptors: budget.DefaultDescriptors}
}

// Plan returns the division of the resources.
func (r Resources) Plan() budget.Plan {
	return budget.NewPlan(int64(r.Memory)*mebibyte, r.Descriptors)
}
