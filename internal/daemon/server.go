package daemon

import (
	"context"
	"time"
)

// pendingRequestTimeout is the maximum wait for requests on accepted connections before the server shuts down.
const pendingRequestTimeout = time.Second

// A server serves on one listener until it is stopped.
type server interface {
	serve() error
	stop(ctx context.Context)
}
