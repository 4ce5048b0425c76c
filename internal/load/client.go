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
	maxIdlePerHost     = 1024
	idleTimeout        = 30 * time.Second
	dialTimeout        = time.Second
	retryAfterMsHeader = "Sapphirespread-Retry-After-Ms"
)

// A Request is one request as its caller sends it.
type Request struct {
	Route          Route
	Workspace      Workspace
	URI            string
	IdempotencyKey string
}

// A Directory lists the addresses that callers of a service may connect to.
type Directory func(service string) []netip.AddrPort

// A Client sends requests to addresses chosen at random and judges the answers.
type Client struct {
	directory Directory
	http      *http.Client
	mu        sync.Mutex
	random    *rand.Rand
}

// NewClient returns a Client that chooses among the addresses of directory.
func NewClient(directory Directory, seed uint64) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{directory: directory, http: &http.Client{Transport: transport}, random: rand.New(rand.NewPCG(seed, 1))}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Send makes one attempt; an attempt that finds no listener is made at another address once.
func (c *Client) Send(ctx context.Context, r Request) (outcome Outcome, retryAfter time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, r.Route.Deadline)
	defer cancel()
	response, err := c.dispatch(ctx, r)
	if err != nil {
		return failure(ctx), 0
	}
	defer func() { _ = response.Body.Close() }()
	return c.judge(ctx, r, response)
}

func (c *Client) dispatch(ctx context.Context, r Request) (*http.Response, error) {
	response, err := c.try(ctx, r)
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" && ctx.Err() == nil {
		return c.try(ctx, r)
	}
	return response, err
}

func (c *Client) try(ctx context.Context, r Request) (*http.Response, error) {
	address, err := c.pick(r.Route.Service)
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

func (c *Client) pick(service string) (netip.AddrPort, error) {
	addresses := c.directory(service)
	if len(addresses) == 0 {
		return netip.AddrPort{}, errorx.IllegalState.New("no address for callers of %s", service)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return addresses[c.random.IntN(len(addresses))], nil
}

func (c *Client) judge(ctx context.Context, r Request, response *http.Response) (Outcome, time.Duration) {
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return refused(response)
	}
	if err := standin.Verify(response.Body, r.Route.Method, r.URI); err != nil {
		if ctx.Err() != nil {
			return failure(ctx), 0
		}
		return Outcome{Verdict: Wrong}, 0
	}
	return Outcome{Verdict: Good}, 0
}

// refused tells refusals that name their kind from failures of a backend server.
func refused(response *http.Response) (Outcome, time.Duration) {
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

func failure(ctx context.Context) Outcome {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Outcome{Verdict: Late}
	}
	return Outcome{Verdict: Failed}
}
