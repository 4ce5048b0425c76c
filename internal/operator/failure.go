package operator

import (
	"errors"
	"net/http"
	"net/netip"
)

// A FailureKind names one way in which a request of an operator is not answered.
type FailureKind string

// The closed list of failure kinds.
const (
	NotLeader   FailureKind = "not-leader"
	Unavailable FailureKind = "unavailable"
	NotFound    FailureKind = "not-found"
	Invalid     FailureKind = "invalid"
	NotReady    FailureKind = "not-ready"
	NotServed   FailureKind = "not-served"
	Internal    FailureKind = "internal"
)

var statuses = map[FailureKind]int{
	NotLeader:   http.StatusMisdirectedRequest,
	Unavailable: http.StatusServiceUnavailable,
	NotFound:    http.StatusNotFound,
	Invalid:     http.StatusBadRequest,
	NotReady:    http.StatusServiceUnavailable,
	NotServed:   http.StatusNotImplemented,
	Internal:    http.StatusInternalServerError,
}

// A Failure is the error of a request that was not answered; Leader and LeaderAddress are set where NotLeader knows them.
type Failure struct {
	Kind          FailureKind
	Detail        string
	Leader        string
	LeaderAddress netip.AddrPort
}

// NewFailure returns a failure of a kind with a detail for operators.
func NewFailure(kind FailureKind, detail string) *Failure {
	return &Failure{Kind: kind, Detail: detail}
}

// Error returns the kind and the detail.
func (f *Failure) Error() string { return string(f.Kind) + ": " + f.Detail }

// Status returns the HTTP status of the failure's kind.
func (f *Failure) Status() int {
	if status, ok := statuses[f.Kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// FailureOf returns the failure that err carries, or one of Internal.
func FailureOf(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return NewFailure(Internal, err.Error())
}
