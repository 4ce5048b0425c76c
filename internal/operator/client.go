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

// A Client asks control instances, one after the other until one answers as leader.
// A request may reach several of them, so that a publish needs an id of its own.
type Client struct {
	addresses []netip.AddrPort
	patience  time.Duration
	timeout   time.Duration
	http      *http.Client
}

var _ API = (*Client)(nil)

// NewClient returns a client of the control instances at the operators addresses.
func NewClient(addresses []netip.AddrPort, opts ...ClientOption) *Client {
	c := &Client{
		addresses: addresses,
		patience:  defaultPatience,
		timeout:   defaultTimeout,
		http:      &http.Client{Transport: directTransport()},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// directTransport returns a transport that goes to instances without a proxy.
func directTransport() *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	return transport
}

// call asks instances until one answers; the error is the last one where none does in time.
func call[T any](ctx context.Context, c *Client, ask func(context.Context, *oas.Client) (T, error)) (T, error) {
	var none T
	if len(c.addresses) == 0 {
		return none, NewFailure(Invalid, "no address of a control instance is given")
	}
	deadline := time.Now().Add(c.patience)
	for {
		answer, err := round(ctx, c, ask)
		if err == nil || !goesOn(err) {
			return answer, err
		}
		if time.Now().Add(retryPause).After(deadline) {
			return none, err
		}
		select {
		case <-ctx.Done():
			return none, fmt.Errorf("%w (the last answer: %w)", ctx.Err(), err)
		case <-time.After(retryPause):
		}
	}
}

// round asks each instance once, a leader that another one names before the others.
func round[T any](ctx context.Context, c *Client, ask func(context.Context, *oas.Client) (T, error)) (T, error) {
	var none T
	var failures []error
	queue := slices.Clone(c.addresses)
	asked := map[netip.AddrPort]bool{}
	for len(queue) > 0 {
		address := queue[0]
		queue = queue[1:]
		if asked[address] {
			continue
		}
		asked[address] = true
		answer, err := one(ctx, c, address, ask)
		if err == nil || !goesOn(err) {
			return answer, err
		}
		failures = append(failures, fmt.Errorf("control instance at %s: %w", address, err))
		if leader := leaderOf(err); leader.IsValid() {
			queue = append([]netip.AddrPort{leader}, queue...)
		}
	}
	return none, errors.Join(failures...)
}

func one[T any](ctx context.Context, c *Client, address netip.AddrPort, ask func(context.Context, *oas.Client) (T, error)) (T, error) {
	var none T
	client, err := oas.NewClient("http://"+address.String(), oas.WithClient(c.http))
	if err != nil {
		return none, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	answer, err := ask(ctx, client)
	var refused *oas.FailedStatusCode
	if errors.As(err, &refused) {
		return none, failureOf(refused.Response)
	}
	return answer, err
}

// goesOn reports whether another instance may answer what this one did not.
func goesOn(err error) bool {
	var failure *Failure
	if !errors.As(err, &failure) {
		return true
	}
	return failure.Kind == NotLeader || failure.Kind == Unavailable || failure.Kind == NotReady
}

func leaderOf(err error) netip.AddrPort {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure.LeaderAddress
	}
	return netip.AddrPort{}
}
