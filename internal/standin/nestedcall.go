package standin

import (
	"context"
	"net/http"
)

// NestedCall describes a nested call that a backend server sends for each request.
type NestedCall struct {
	Service string
	Method  string
	Path    string
}

// NestedCaller sends nested calls to downstream services.
type NestedCaller interface {
	// Send sends request to a target of service as a nested call of parent and returns the response.
	Send(ctx context.Context, service string, parent, request *http.Request) (*http.Response, error)
}
