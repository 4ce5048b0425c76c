package daemon

import (
	"context"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"sapphirespread.example/quarantine"
	"sapphirespread.example/retry"
)

// A call is one request at one hop of its whole request.
type call struct {
	id             uint64
	admissionID    uint64
	wholeID        string
	workspace      string
	share          float64
	route          string
	service        string
	priority       int
	deadline       time.Time
	repeatable     bool
	depth          int
	allowance      *retry.Allowance
	idempotencyKey string
	requestHash    [32]byte
	fingerprint    quarantine.Fingerprint
	head           requestHead
	body           *requestBody
	ended          atomic.Bool
	running        context.Context
}

// A requestHead is what a request says before its body.
type requestHead struct {
	method        string
	host          string
	path          string
	query         string
	header        http.Header
	contentLength int64
	trailerNames  []string
}

// wholeHash returns the hash that every hop of the whole request shares.
func (c *call) wholeHash() uint64 {
	return xxhash.Sum64String(c.wholeID)
}

// bodyless reports whether the request is sent without any frame for its body.
func (c *call) bodyless() bool {
	return c.head.contentLength == 0 && len(c.head.trailerNames) == 0
}

// remaining returns the time until the call's deadline.
func (c *call) remaining(now time.Time) time.Duration {
	return c.deadline.Sub(now)
}

func (h *requestHead) url(scheme, host string) *url.URL {
	target := &url.URL{Scheme: scheme, Host: host, RawQuery: h.query}
	decoded, err := url.PathUnescape(h.path)
	if err != nil {
		target.Opaque = h.path
		return target
	}
	target.Path, target.RawPath = decoded, h.path
	return target
}
