package standin

import (
	"context"
	"net/http"
)

// A Call is a sub-call that a backend server makes for each request.
type Call struct {
	Service string
	Method  string
	Path    string
}

// A Caller sends sub-calls to deeper services.
type Caller interface {
	// Send sends request, made for the request parent, to a target of service.
	Send(ctx context.Context, service string, parent, request *http.Request) (*http.Response, error)
}
