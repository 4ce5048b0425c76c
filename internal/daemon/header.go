package daemon

import (
	"net/http"
	"slices"
	"strings"

	"sapphirespread.example/internal/daemon/dialect"
)

// Names of the headers that the daemon reads and writes.
const (
	headerAuthorization  = "Authorization"
	headerKey            = "Sapphirespread-Key"
	headerWorkspace      = "Sapphirespread-Workspace"
	headerCallToken      = "Sapphirespread-Call-Token"
	headerCallName       = "Sapphirespread-Call-Name"
	headerRequestID      = "Sapphirespread-Request-Id"
	headerDeadline       = "Sapphirespread-Deadline"
	headerPriority       = "Sapphirespread-Priority"
	headerRefusal        = "Sapphirespread-Refusal"
	headerRunState       = "Sapphirespread-Run-State"
	headerRetryAfterMs   = "Sapphirespread-Retry-After-Ms"
	headerReplayed       = "Sapphirespread-Replayed"
	headerIdempotencyKey = "Idempotency-Key"
	headerPrefix         = "Sapphirespread-"
)

// removeOwnHeaders deletes the project's own headers and the Authorization header, which may carry the key.
func removeOwnHeaders(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, headerPrefix) {
			delete(header, name)
		}
	}
	delete(header, headerAuthorization)
}

// extractKey removes the key from header and returns its secret, or an empty string.
func extractKey(header http.Header) string {
	secret := header.Get(headerKey)
	scheme, bearer, found := strings.Cut(header.Get(headerAuthorization), " ")
	if secret == "" && found && strings.EqualFold(scheme, "Bearer") {
		secret = strings.TrimSpace(bearer)
	}
	delete(header, headerKey)
	delete(header, headerAuthorization)
	return secret
}

// cloneForward returns a copy of header without hop-by-hop headers, the key and the project's own headers.
func cloneForward(header http.Header) http.Header {
	forward := header.Clone()
	if forward == nil {
		forward = make(http.Header)
	}
	dialect.RemoveHopByHop(forward)
	removeOwnHeaders(forward)
	return forward
}

// trailerNames returns the sorted names of the announced trailers that may be forwarded.
func trailerNames(trailer http.Header) []string {
	if len(trailer) == 0 {
		return nil
	}
	names := make([]string, 0, len(trailer))
	for name := range cloneForward(trailer) {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
