package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"sapphirespread.example/internal/api/oas"
)

// A Client sends each request to control instances in turn until one responds as the leader. A publish may reach
// several instances and therefore needs a unique ID.
type Client struct {
	addresses      []netip.AddrPort
	retryTimeout   time.Duration
	requestTimeout time.Duration
	httpClient     *http.Client
}

var _ API = (*Client)(nil)

// NewClient returns a client for the control instances at the given operators addresses.
func NewClient(addresses []netip.AddrPort, opts ...ClientOption) *Client {
	c := &Client{
		addresses:      addresses,
		retryTimeout:   defaultRetryTimeout,
		requestTimeout: defaultRequestTimeout,
		httpClient:     &http.Client{Transport: directTransport()},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// directTransport returns an HTTP transport that ignores the proxy settings of the environment.
func directTransport() *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	return transport
}

// callWithRetry tries all instances repeatedly until one gives a final response. It returns the errors of the last
// round if the retry timeout passes first.
func callWithRetry[T any](ctx context.Context, c *Client, request func(context.Context, *oas.Client) (T, error)) (T, error) {
	var none T
	if len(c.addresses) == 0 {
		return none, NewFailure(Invalid, "no address of a control instance is given")
	}
	deadline := time.Now().Add(c.retryTimeout)
	for {
		response, err := tryInstances(ctx, c, request)
		if err == nil || !isRetryable(err) {
			return response, err
		}
		if time.Now().Add(retryInterval).After(deadline) {
			return none, err
		}
		select {
		case <-ctx.Done():
			return none, fmt.Errorf("%w (the last answer: %w)", ctx.Err(), err)
		case <-time.After(retryInterval):
		}
	}
}

// tryInstances sends the request to each instance once, and to a leader named by one of them before the remaining
// instances.
func tryInstances[T any](ctx context.Context, c *Client, request func(context.Context, *oas.Client) (T, error)) (T, error) {
	var none T
	var errs []error
	queue := slices.Clone(c.addresses)
	tried := map[netip.AddrPort]bool{}
	for len(queue) > 0 {
		address := queue[0]
		queue = queue[1:]
		if tried[address] {
			continue
		}
		tried[address] = true
		response, err := tryInstance(ctx, c, address, request)
		if err == nil || !isRetryable(err) {
			return response, err
		}
		errs = append(errs, fmt.Errorf("control instance at %s: %w", address, err))
		if leader := leaderAddress(err); leader.IsValid() {
			queue = append([]netip.AddrPort{leader}, queue...)
		}
	}
	return none, errors.Join(errs...)
}

func tryInstance[T any](ctx context.Context, c *Client, address netip.AddrPort, request func(context.Context, *oas.Client) (T, error)) (T, error) {
	var none T
	client, err := oas.NewClient("http://"+address.String(), oas.WithClient(c.httpClient))
	if err != nil {
		return none, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.requestTimeout)
	defer cancel()
	response, err := request(ctx, client)
	var failed *oas.FailedStatusCode
	if errors.As(err, &failed) {
		return none, decodeFailure(failed.Response)
	}
	return response, err
}

// isRetryable reports whether the request may succeed at another instance after this error.
func isRetryable(err error) bool {
	var failure *Failure
	if !errors.As(err, &failure) {
		return true
	}
	return failure.Kind == NotLeader || failure.Kind == Unavailable || failure.Kind == NotReady
}

func leaderAddress(err error) netip.AddrPort {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure.LeaderAddress
	}
	return netip.AddrPort{}
}
