package baseline

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"sapphirespread.example/internal/standin"
)

const (
	maxIdleConnsPerHost = 512
	idleTimeout         = 30 * time.Second
)

// Caller sends nested calls directly to a random target of a service and retries failed ones.
type Caller struct {
	directory *Directory
	retries   int
	client    *http.Client
	mu        sync.Mutex
	random    *rand.Rand
}

// CallerOption sets one property of a Caller.
type CallerOption func(*Caller)

// WithRetries makes a Caller retry a failed nested call up to retries times, without delay and regardless of the
// failure.
func WithRetries(retries int) CallerOption {
	return func(c *Caller) { c.retries = retries }
}

// NewCaller returns a Caller that chooses among the targets of directory at random, from seed.
func NewCaller(directory *Directory, seed uint64, opts ...CallerOption) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: idleTimeout, DisableCompression: true}
	c := &Caller{
		directory: directory,
		client:    &http.Client{Transport: transport},
		random:    rand.New(rand.NewPCG(seed, 2)),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Close closes idle connections.
func (c *Caller) Close() {
	c.client.CloseIdleConnections()
}

// Send sends request to a random target of service and returns the response or error of the last attempt.
func (c *Caller) Send(ctx context.Context, service string, parent, request *http.Request) (*http.Response, error) {
	request.Header.Set(standin.WorkspaceHeader, parent.Header.Get(standin.WorkspaceHeader))
	if key := parent.Header.Get(standin.IdempotencyKeyHeader); key != "" && request.Method != http.MethodGet {
		request.Header.Set(standin.IdempotencyKeyHeader, key+"."+service)
	}
	for attempt := 0; ; attempt++ {
		response, err := c.sendOnce(ctx, service, request)
		failed := err != nil || response.StatusCode >= http.StatusInternalServerError
		if !failed || attempt == c.retries || ctx.Err() != nil {
			return response, err
		}
		if response != nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}
}

func (c *Caller) sendOnce(ctx context.Context, service string, request *http.Request) (*http.Response, error) {
	target, err := c.pickTarget(service)
	if err != nil {
		return nil, err
	}
	attempt := request.Clone(ctx)
	attempt.URL.Scheme = "http"
	attempt.URL.Host = target.String()
	response, err := c.client.Do(attempt)
	if err != nil {
		return nil, errorx.Decorate(err, "call %s at %s", service, target)
	}
	return response, nil
}

func (c *Caller) pickTarget(service string) (netip.AddrPort, error) {
	targets := c.directory.Targets(service)
	if len(targets) == 0 {
		return netip.AddrPort{}, errorx.IllegalState.New("no target configured for service %s", service)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return targets[c.random.IntN(len(targets))], nil
}
