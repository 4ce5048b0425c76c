package load

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"sapphirespread.example/internal/standin"
	"sapphirespread.example/refusal"
)

const (
	maxIdleConnsPerHost = 1024
	idleTimeout         = 30 * time.Second
	dialTimeout         = time.Second
	retryAfterMsHeader  = "Sapphirespread-Retry-After-Ms"
)

// Request holds what a caller sends with one request.
type Request struct {
	Route          Route
	Workspace      Workspace
	URI            string
	IdempotencyKey string
}

// Directory returns the addresses at which callers can reach a service.
type Directory func(service string) []netip.AddrPort

// Client sends requests to randomly chosen addresses and classifies the responses.
type Client struct {
	directory Directory
	http      *http.Client
	mu        sync.Mutex
	random    *rand.Rand
}

// NewClient returns a Client that chooses among the addresses of directory at random, from seed.
func NewClient(directory Directory, seed uint64) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{directory: directory, http: &http.Client{Transport: transport}, random: rand.New(rand.NewPCG(seed, 1))}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Send makes one attempt within the deadline of the route; if the dial fails, it picks an address again and
// redials once.
func (c *Client) Send(ctx context.Context, r Request) (outcome Outcome, retryAfter time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, r.Route.Deadline)
	defer cancel()
	response, err := c.sendWithRedial(ctx, r)
	if err != nil {
		return failureOutcome(ctx), 0
	}
	defer func() { _ = response.Body.Close() }()
	return c.classifyResponse(ctx, r, response)
}

func (c *Client) sendWithRedial(ctx context.Context, r Request) (*http.Response, error) {
	response, err := c.sendOnce(ctx, r)
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" && ctx.Err() == nil {
		return c.sendOnce(ctx, r)
	}
	return response, err
}

func (c *Client) sendOnce(ctx context.Context, r Request) (*http.Response, error) {
	address, err := c.pickAddress(r.Route.Service)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, r.Route.Method, "http://"+address.String()+r.URI, nil)
	if err != nil {
		return nil, errorx.Decorate(err, "build request")
	}
	if r.Workspace.Key != "" {
		request.Header.Set("Authorization", "Bearer "+r.Workspace.Key)
	}
	if r.IdempotencyKey != "" {
		request.Header.Set(standin.IdempotencyKeyHeader, r.IdempotencyKey)
	}
	return c.http.Do(request)
}

func (c *Client) pickAddress(service string) (netip.AddrPort, error) {
	addresses := c.directory(service)
	if len(addresses) == 0 {
		return netip.AddrPort{}, errorx.IllegalState.New("no address known for service %s", service)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return addresses[c.random.IntN(len(addresses))], nil
}

// classifyResponse returns the outcome of an attempt and the Retry-After delay of a refusal.
func (c *Client) classifyResponse(ctx context.Context, r Request, response *http.Response) (Outcome, time.Duration) {
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return classifyError(response)
	}
	if err := standin.Verify(response.Body, r.Route.Method, r.URI); err != nil {
		if ctx.Err() != nil {
			return failureOutcome(ctx), 0
		}
		return Outcome{Verdict: Wrong}, 0
	}
	return Outcome{Verdict: Good}, 0
}

// classifyError distinguishes refusals, which name their kind in a header, from failures of a backend server.
func classifyError(response *http.Response) (Outcome, time.Duration) {
	kind := refusal.Kind(response.Header.Get(standin.RefusalHeader))
	if kind == "" {
		return Outcome{Verdict: Failed}, 0
	}
	retryAfter, err := strconv.Atoi(response.Header.Get(retryAfterMsHeader))
	if err != nil {
		retryAfter = 0
	}
	state := refusal.RunState(response.Header.Get(standin.RunStateHeader))
	return Outcome{Verdict: Refused, Kind: kind, RunState: state}, time.Duration(retryAfter) * time.Millisecond
}

func failureOutcome(ctx context.Context) Outcome {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Outcome{Verdict: Late}
	}
	return Outcome{Verdict: Failed}
}
