package daemon

import (
	"context"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/host/boottime"
	"sapphirespread.example/refusal"
	"sapphirespread.example/retry"
)

// maxNestingDepth is the maximum number of nested calls in a call path.
const maxNestingDepth = 32

// serveNestedCall serves a request that the backend server makes on behalf of a running call.
func (d *Daemon) serveNestedCall(w http.ResponseWriter, r *http.Request) {
	d.inFlight.add()
	defer d.inFlight.done()
	d.counters.nestedCalls.Add(1)
	token := r.Header.Get(headerCallToken)
	name := r.Header.Get(headerCallName)
	extractKey(r.Header)
	parent, known := d.callTokens.find(token)
	if !known || parent.ended.Load() {
		d.refuseCaller(w, "", refuse(refusal.CallTokenInvalid, ""))
		return
	}
	c, refused := d.newNestedCall(r, parent, name)
	if refused != nil {
		d.refuseCaller(w, parent.rootID, refused)
		return
	}
	reservation := parent.allowance.Reserve((parent.allowance.Left() + 1) / 2)
	c.allowance = retry.NewAllowance(reservation.Size())
	defer func() { reservation.Release(c.allowance.Take(c.allowance.Left())) }()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(parent.runContext, cancel)()
	d.serveRequest(w, r.WithContext(ctx), c, func(context.Context) *attemptError { return nil })
}

// newNestedCall returns the call for a request that the backend server makes on behalf of parent.
func (d *Daemon) newNestedCall(r *http.Request, parent *call, name string) (*call, *attemptError) {
	snapshot, _ := d.view.Current(boottime.Now())
	matched, refused := matchRoute(snapshot, r)
	if refused != nil {
		return nil, refused
	}
	if parent.depth+1 > maxNestingDepth {
		return nil, refuse(refusal.MalformedRequest, "the chain of calls is too deep")
	}
	if !matched.Open && !allows(matched, parent.workspace) {
		return nil, refuse(refusal.NoRoute, "the workspace has no such route")
	}
	if refused := checkSize(r, matched); refused != nil {
		return nil, refused
	}
	c := d.newCall(r, matched)
	c.rootID = parent.rootID
	c.rootIDHash = parent.rootIDHash
	c.service = matched.ServiceFor(xxhash.Sum64String(c.rootID))
	c.callerService = d.settings.Service
	c.nested = true
	c.workspace = parent.workspace
	c.continueFrom(parent)
	if c.needsClaim {
		c.idempotencyKey = deriveIdempotencyKey(r, parent, matched, name)
	}
	return c, nil
}

// deriveIdempotencyKey returns the idempotency key of a nested call. It is the same in each run of the same parent.
func deriveIdempotencyKey(r *http.Request, parent *call, matched configuration.Route, name string) string {
	callerKey := r.Header.Get(headerIdempotencyKey)
	if name == "" {
		name = r.Method + " " + r.URL.Path + "?" + r.URL.RawQuery
	}
	origin := parent.rootID
	if parent.idempotencyKey != "" {
		origin = parent.idempotencyKey
	}
	seed := parent.workspace + "\x00" + parent.route + "\x00" + origin + "\x00" + matched.Name + "\x00" + name + "\x00" + callerKey
	return withTimestampOf(origin, uuid.NewSHA1(uuid.NameSpaceOID, []byte(seed))).String()
}

// withTimestampOf returns derived with the timestamp of origin, as a UUID of version 7. If origin is no UUID of version
// 7, derived is returned unchanged.
func withTimestampOf(origin string, derived uuid.UUID) uuid.UUID {
	parsed, err := uuid.Parse(origin)
	if err != nil || parsed.Version() != 7 {
		return derived
	}
	const (
		timeBytes   = 6
		versionByte = 6
		version7    = 0x70
		lowNibble   = 0x0f
	)
	copy(derived[:timeBytes], parsed[:timeBytes])
	derived[versionByte] = version7 | derived[versionByte]&lowNibble
	return derived
}
