package operator

import (
	"context"
	"io"
)

// A Process is a daemon or control instance that reports its own state.
type Process interface {
	// Timeline returns the kept events, one JSON object per line.
	Timeline(ctx context.Context) (io.Reader, error)
	// Ready fails with NotReady while the process can't serve.
	Ready(ctx context.Context) error
}
