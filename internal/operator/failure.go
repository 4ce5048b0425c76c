package operator

import (
	"errors"
	"net/http"
	"net/netip"
)

// A FailureKind is the reason why an operator's request failed.
type FailureKind string

// The complete list of failure kinds.
const (
	NotLeader   FailureKind = "not-leader"
	Unavailable FailureKind = "unavailable"
	NotFound    FailureKind = "not-found"
	Invalid     FailureKind = "invalid"
	NotReady    FailureKind = "not-ready"
	NotServed   FailureKind = "not-served"
	Internal    FailureKind = "internal"
)

var httpStatuses = map[FailureKind]int{
	NotLeader:   http.StatusMisdirectedRequest,
	Unavailable: http.StatusServiceUnavailable,
	NotFound:    http.StatusNotFound,
	Invalid:     http.StatusBadRequest,
	NotReady:    http.StatusServiceUnavailable,
	NotServed:   http.StatusNotImplemented,
	Internal:    http.StatusInternalServerError,
}

// A Failure is the error of a failed request; Leader and LeaderAddress are set for NotLeader if the leader is known.
type Failure struct {
	Kind          FailureKind
	Detail        string
	Leader        string
	LeaderAddress netip.AddrPort
}

// NewFailure returns a failure of a kind with a detail text for operators.
func NewFailure(kind FailureKind, detail string) *Failure {
	return &Failure{Kind: kind, Detail: detail}
}

// Error returns the kind and the detail.
func (f *Failure) Error() string { return string(f.Kind) + ": " + f.Detail }

// Status returns the HTTP status of the failure's kind.
func (f *Failure) Status() int {
	if status, ok := httpStatuses[f.Kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// FailureOf returns the Failure in the chain of err, or one of kind Internal with the text of err.
func FailureOf(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return NewFailure(Internal, err.Error())
}
