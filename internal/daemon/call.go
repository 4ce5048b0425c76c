package daemon

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sapphirespread.example/internal/admission/tree"
	"sapphirespread.example/priority"
	"sapphirespread.example/quarantine"
	"sapphirespread.example/retry"
)

// A call is one request at one hop of a call path. Nested calls continue the root request of their parent.
type call struct {
	id               uint64
	admissionID      uint64
	rootID           string // request ID; a nested call with a call token keeps that of its parent
	rootIDHash       uint64 // hash of the root request's ID, shared by all its nested calls
	workspace        string // owner of the key that was sent with this call
	rootWorkspace    string // owner of the key that was sent with the root request
	share            float64
	shedShare        float64 // share of the requests of the same origin that upstream hops shed
	route            string
	service          string
	priority         int // rank from the priorities of the workspace and the route
	deadline         time.Time
	returnMargin     time.Duration // time before the deadline at which a refusal must be sent to arrive in time
	objective        time.Duration
	maxBodyBytes     int64 // of a body of unknown length, or 0 for no limit
	repeatable       bool
	needsClaim       bool // may run only with a claim on its idempotency key
	nested           bool // made by a backend server while it processes another request
	repeat           bool // an extra attempt, or made by a run that was one
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
	nestedTime       nestedTime
	mu               sync.Mutex
	succeededCallees []priority.Callee
	costsBelow       []tree.Cost // of the nested calls that succeeded
	history          requestHistory
}

// A requestHead holds the parts of a request that precede its body.
type requestHead struct {
	method        string
	host          string
	path          string
	query         string
	header        http.Header
	contentLength int64
	trailerNames  []string
}

// rootHash returns the hash of the root request's ID, which is the same at every hop.
func (c *call) rootHash() uint64 { return c.rootIDHash }

// origin returns the properties that the call shares with all calls of its root request.
func (c *call) origin() priority.Origin {
	return priority.Origin{Priority: c.priority, Workspace: c.rootWorkspace, RootHash: c.rootHash()}
}

// callee returns the service and the route of the call.
func (c *call) callee() priority.Callee {
	return priority.Callee{Service: c.service, Route: c.route}
}

// recordCallee records that a nested call of c to callee succeeded.
func (c *call) recordCallee(callee priority.Callee) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.Contains(c.succeededCallees, callee) {
		c.succeededCallees = append(c.succeededCallees, callee)
	}
}

// nestedCallees returns the callees of the nested calls of c that succeeded.
func (c *call) nestedCallees() []priority.Callee {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.succeededCallees
}

// addCosts records the costs of a nested call of c that succeeded.
func (c *call) addCosts(costs []tree.Cost) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.costsBelow = tree.AddCosts(c.costsBelow, costs...)
}

// costs returns the costs of c, which held a slot at its target for slotTime, with those of its nested calls.
func (c *call) costs(slotTime time.Duration) []tree.Cost {
	c.mu.Lock()
	defer c.mu.Unlock()
	return tree.AddCosts([]tree.Cost{{Service: c.service, Calls: 1, SlotTime: slotTime}}, c.costsBelow...)
}

// claimHash returns the request hash that the target compares with those of resends, or nil if the call needs no claim.
func (c *call) claimHash() []byte {
	if !c.needsClaim {
		return nil
	}
	return c.requestHash[:]
}

// bodyless reports whether the request has neither a body nor trailers, so that it is sent without body frames.
func (c *call) bodyless() bool {
	return c.head.contentLength == 0 && len(c.head.trailerNames) == 0
}

// remaining returns the time from now until the call's deadline.
func (c *call) remaining(now time.Time) time.Duration {
	return c.deadline.Sub(now)
}

// url returns the URL of the request at host. It keeps the escaping of the path.
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
