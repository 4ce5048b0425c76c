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

// A SystemName names one way of calling services.
type SystemName string

// The systems that are compared.
const (
	None           SystemName = "none"
	Fixed          SystemName = "fixed"
	Sapphirespread SystemName = "sapphirespread"
)

// A System is a running deployment that takes load.
type System interface {
	// Entries lists where callers of a service connect.
	Entries(service string) []netip.AddrPort
	// Fleet returns the stand-ins.
	Fleet() *Fleet
	// Lose takes a failure domain away with all its processes, Restore brings it back.
	Lose(failureDomain string)
	Restore(failureDomain string)
	// Stop ends all processes and returns once they have ended.
	Stop() error
}

// A Setup is what a system is started with.
type Setup struct {
	Deployment deployment.Deployment
	// Workspaces have their rates, limits and keys.
	Workspaces []load.Workspace
	Seed       uint64
	// Downtime is how long a backend server is down after a crash.
	Downtime time.Duration
	// Instances is the number of control instances; 3 by default.
	Instances int
	// Folder holds the data of the control instances; a temporary one by default.
	Folder string
	Logger zerolog.Logger
	// Recording takes the decisions of the daemons, where it is set.
	Recording *Recording
}

// StartSystem starts the system called name and returns once it can serve.
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

// ParseSystemName returns the system called name.
func ParseSystemName(name string) (SystemName, error) {
	switch s := SystemName(name); s {
	case None, Fixed, Sapphirespread:
		return s, nil
	default:
		return "", errorx.IllegalArgument.New("unknown system %q: want none, fixed or sapphirespread", name)
	}
}
