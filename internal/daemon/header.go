package daemon

import (
	"net/http"
	"slices"
	"strings"

	"sapphirespread.example/internal/peer/peerpb"
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

var hopByHopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// removeHopByHop deletes the headers that concern one connection only.
func removeHopByHop(header http.Header) {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(header, name)
	}
}

// removeOwn deletes the project's own headers and the key.
func removeOwn(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, headerPrefix) {
			delete(header, name)
		}
	}
	delete(header, headerAuthorization)
}

// takeKey removes the key from header and returns its secret.
func takeKey(header http.Header) string {
	secret := header.Get(headerKey)
	scheme, bearer, found := strings.Cut(header.Get(headerAuthorization), " ")
	if secret == "" && found && strings.EqualFold(scheme, "Bearer") {
		secret = strings.TrimSpace(bearer)
	}
	delete(header, headerKey)
	delete(header, headerAuthorization)
	return secret
}

// cloneForward copies header without hop-by-hop headers, the key and the project's own headers.
func cloneForward(header http.Header) http.Header {
	forward := header.Clone()
	if forward == nil {
		forward = make(http.Header)
	}
	removeHopByHop(forward)
	removeOwn(forward)
	return forward
}

// trailerNames returns the announced trailers that may be forwarded.
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

func encodeHeader(header http.Header) []*peerpb.Header {
	encoded := make([]*peerpb.Header, 0, len(header))
	for name, values := range header {
		encoded = append(encoded, &peerpb.Header{Name: name, Values: toBytes(values)})
	}
	return encoded
}

func decodeHeader(encoded []*peerpb.Header) http.Header {
	header := make(http.Header, len(encoded))
	for _, line := range encoded {
		header[http.CanonicalHeaderKey(line.GetName())] = toStrings(line.GetValues())
	}
	return header
}

func toBytes(values []string) [][]byte {
	converted := make([][]byte, len(values))
	for i, value := range values {
		converted[i] = []byte(value)
	}
	return converted
}

func toStrings(values [][]byte) []string {
	converted := make([]string, len(values))
	for i, value := range values {
		converted[i] = string(value)
	}
	return converted
}
