package pipeline

import (
	"bytes"
	"errors"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// checkHead returns the status with which a request is refused because its head is ambiguous or invalid, or 0. The raw
// head shows what http.ReadRequest has removed from the header.
func checkHead(request *http.Request, head []byte) int {
	hosts, lengths, codings := 0, 0, 0
	for line := range bytes.SplitSeq(head, []byte("\n")) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch strings.ToLower(string(name)) {
		case "host":
			hosts++
		case "content-length":
			lengths++
		case "transfer-encoding":
			codings++
		}
	}
	switch {
	case request.ProtoMajor != 1:
		return http.StatusHTTPVersionNotSupported
	case hosts > 1, hosts == 0 && request.ProtoAtLeast(1, 1), !httpguts.ValidHostHeader(request.Host):
		return http.StatusBadRequest
	// The two may give different ends of the body (RFC 9112, section 6.3).
	case lengths > 0 && codings > 0:
		return http.StatusBadRequest
	case !validFields(request.Header):
		return http.StatusBadRequest
	case request.Header.Get("Expect") != "" && !expectsContinue(request):
		return http.StatusExpectationFailed
	default:
		return 0
	}
}

func validFields(header http.Header) bool {
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return false
			}
		}
	}
	return true
}

func expectsContinue(request *http.Request) bool {
	return httpguts.HeaderValuesContainsToken(request.Header["Expect"], "100-continue")
}

// statusOf returns the status with which a request is refused that could not be read.
func statusOf(err error) int {
	switch {
	case errors.Is(err, errNoRoom):
		return http.StatusServiceUnavailable
	case errors.Is(err, errHeadTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case strings.Contains(err.Error(), "unsupported transfer encoding"):
		return http.StatusNotImplemented
	default:
		return http.StatusBadRequest
	}
}
