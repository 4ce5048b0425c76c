package operator

import (
	"context"
	"io"
)

// A Process answers about itself; each daemon and each control instance is one.
type Process interface {
	// Timeline returns the kept events, one in JSON a line.
	Timeline(ctx context.Context) (io.Reader, error)
	// Ready returns an error of NotReady while the process can't serve.
	Ready(ctx context.Context) error
}
