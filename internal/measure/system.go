package measure

import (
	"context"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"sapphirespread.example/internal/deployment"
	"sapphirespread.example/internal/load"
)

// A SystemName names one of the compared systems.
type SystemName string

// The compared systems: direct calls without protection, direct calls with fixed retries and concurrency limits, and
// calls through daemons.
const (
	None           SystemName = "none"
	Fixed          SystemName = "fixed"
	Sapphirespread SystemName = "sapphirespread"
)

// A System is a running deployment that accepts load.
type System interface {
	// Entries returns the addresses to which callers of a service connect.
	Entries(service string) []netip.AddrPort
	// Fleet returns the stand-ins.
	Fleet() *Fleet
	// CrashFailureDomain crashes all processes of a failure domain. RestoreFailureDomain restarts them.
	CrashFailureDomain(failureDomain string)
	RestoreFailureDomain(failureDomain string)
	// Stop stops all processes and waits until they have ended.
	Stop() error
}

// A Setup holds the parameters of a system.
type Setup struct {
	Deployment deployment.Deployment
	// Workspaces must have their rates, limits and keys set.
	Workspaces []load.Workspace
	Seed       uint64
	// Downtime is how long a backend server is down after a crash.
	Downtime time.Duration
	// Instances is the number of control instances. The default is 3.
	Instances int
	// Folder holds the data of the control instances. The default is a temporary folder.
	Folder string
	Logger zerolog.Logger
	// Recording records the decisions of the daemons, unless it is nil.
	Recording *Recording
}

// StartSystem starts the named system and returns once it can serve requests.
func StartSystem(ctx context.Context, name SystemName, setup Setup) (System, error) {
	switch name {
	case None, Fixed:
		return startBaseline(ctx, name, setup)
	case Sapphirespread:
		return StartCluster(ctx, setup)
	default:
		return nil, errorx.IllegalArgument.New("unknown system %q: want none, fixed or sapphirespread", name)
	}
}

// ParseSystemName returns the system with the given name, or an error if there is none.
func ParseSystemName(name string) (SystemName, error) {
	switch s := SystemName(name); s {
	case None, Fixed, Sapphirespread:
		return s, nil
	default:
		return "", errorx.IllegalArgument.New("unknown system %q: want none, fixed or sapphirespread", name)
	}
}
