package baseline

import (
	"net/http"

	"sapphirespread.example/internal/standin"
)

const failureLimit = "limit"

// Gate returns a wrapper that refuses requests while limit of them are in flight.
func Gate(limit int) func(http.Handler) http.Handler {
	return func(inner http.Handler) http.Handler {
		slots := make(chan struct{}, limit)
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case slots <- struct{}{}:
				defer func() { <-slots }()
				inner.ServeHTTP(w, r)
			default:
				w.Header().Set(standin.FailureHeader, failureLimit)
				http.Error(w, "too many requests in flight", http.StatusServiceUnavailable)
			}
		})
	}
}
