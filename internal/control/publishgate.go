package control

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"

	"sapphirespread.example/internal/operator"
)

// A publishGate lets one publish at a time be decoded, committed and applied. Of several on the same base only one can
// win; the others get their answer without being decoded, and the memory that a publish takes is needed once.
type publishGate struct {
	turn chan struct{}
}

func newPublishGate() *publishGate {
	return &publishGate{turn: make(chan struct{}, 1)}
}

// enter waits until no other publish is under way. leave must be called when the publish has its result.
func (g *publishGate) enter(ctx context.Context) (leave func(), err error) {
	select {
	case g.turn <- struct{}{}:
		return func() { <-g.turn }, nil
	case <-ctx.Done():
		return nil, operator.NewFailure(operator.Unavailable, fmt.Sprintf("waiting for other publishes: %v", ctx.Err()))
	}
}

// handler passes requests that publish on to next one at a time, each with its whole body, so that a client that sends
// slowly holds up no other.
func (g *publishGate) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost || !publishes(r.URL.Path) {
			next.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, operator.MaxRequestBytes))
		if err != nil {
			// next answers to what is missing or too much.
			r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(body), failingReader{err}))
			next.ServeHTTP(w, r)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		// If the context has ended, next fails as it does at any other time.
		if leave, err := g.enter(r.Context()); err == nil {
			defer leave()
		}
		next.ServeHTTP(w, r)
	})
}

// publishes reports whether requests to a path of the operator API put a set into force.
func publishes(path string) bool {
	return path == "/operator/v1/publications" || path == "/operator/v1/rollbacks"
}

// A failingReader fails with err.
type failingReader struct{ err error }

func (f failingReader) Read([]byte) (int, error) { return 0, f.err }
