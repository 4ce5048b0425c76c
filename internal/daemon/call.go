package daemon

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sapphirespread.example/priority"
	"sapphirespread.example/quarantine"
	"sapphirespread.example/retry"
)

// A call is one request at one hop of its whole request.
type call struct {
	id               uint64
	admissionID      uint64
	rootID           string
	rootIDHash       uint64 // hash of the whole request's id
	workspace        string // whose key came with the call itself
	rootWorkspace    string // whose key came with the whole request
	share            float64
	shedShare        float64 // share of requests like it that were shed so far
	route            string
	service          string
	priority         int // rank of its workspace and its route
	deadline         time.Time
	objective        time.Duration
	repeatable       bool
	needsClaim       bool // may run only with a claim
	nested           bool // made by a backend server while it ran another request
	callerService    string
	depth            int
	allowance        *retry.Allowance
	idempotencyKey   string
	requestHash      [32]byte
	fingerprint      quarantine.Fingerprint
	head             requestHead
	body             *requestBody
	ended            atomic.Bool
	runContext       context.Context
	parent           *call
	mu               sync.Mutex
	succeededCallees []priority.Callee
	history          requestHistory
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
func (c *call) rootHash() uint64 { return c.rootIDHash }

// origin returns what the call has in common with the others of its whole request.
func (c *call) origin() priority.Origin {
	return priority.Origin{Priority: c.priority, Workspace: c.rootWorkspace, RootHash: c.rootHash()}
}

// callee returns what the call asks for.
func (c *call) callee() priority.Callee {
	return priority.Callee{Service: c.service, Route: c.route}
}

// called notes that a deeper call of this one was answered well.
func (c *call) recordCallee(callee priority.Callee) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.Contains(c.succeededCallees, callee) {
		c.succeededCallees = append(c.succeededCallees, callee)
	}
}

// callees returns the deeper calls that were answered well.
func (c *call) nestedCallees() []priority.Callee {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.succeededCallees
}

// sentHash returns the hash that the target compares with those of resends, or nil where the call needs no claim.
func (c *call) claimHash() []byte {
	if !c.needsClaim {
		return nil
	}
	return c.requestHash[:]
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
