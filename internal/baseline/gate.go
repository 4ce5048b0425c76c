package baseline

import (
	"net/http"

	"sapphirespread.example/internal/standin"
)

const concurrencyLimitFailure = "limit"

// LimitConcurrency returns middleware that responds with 503 Service Unavailable while limit requests are in flight.
func LimitConcurrency(limit int) func(http.Handler) http.Handler {
	return func(inner http.Handler) http.Handler {
		slots := make(chan struct{}, limit)
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case slots <- struct{}{}:
				defer func() { <-slots }()
				inner.ServeHTTP(w, r)
			default:
				w.Header().Set(standin.FailureHeader, concurrencyLimitFailure)
				http.Error(w, "too many requests in flight", http.StatusServiceUnavailable)
			}
		})
	}
}
