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
	maxIdlePerHost = 512
	idleTimeout    = 30 * time.Second
)

// A Caller sends sub-calls directly to a random target; a failed one again, as often as its retries.
type Caller struct {
	directory *Directory
	retries   int
	client    *http.Client
	mu        sync.Mutex
	random    *rand.Rand
}

// A CallerOption sets one property of a Caller.
type CallerOption func(*Caller)

// WithRetries makes a hop send a failed sub-call again at once, retries times, whatever the failure.
func WithRetries(retries int) CallerOption {
	return func(c *Caller) { c.retries = retries }
}

// NewCaller returns a Caller that chooses among the targets of directory.
func NewCaller(directory *Directory, seed uint64, opts ...CallerOption) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idleTimeout, DisableCompression: true}
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

// Send sends request to a random target of service and returns the last attempt's answer.
func (c *Caller) Send(ctx context.Context, service string, parent, request *http.Request) (*http.Response, error) {
	request.Header.Set(standin.WorkspaceHeader, parent.Header.Get(standin.WorkspaceHeader))
	if key := parent.Header.Get(standin.IdempotencyKeyHeader); key != "" && request.Method != http.MethodGet {
		request.Header.Set(standin.IdempotencyKeyHeader, key+"."+service)
	}
	for attempt := 0; ; attempt++ {
		response, err := c.try(ctx, service, request)
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

func (c *Caller) try(ctx context.Context, service string, request *http.Request) (*http.Response, error) {
	target, err := c.pick(service)
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

func (c *Caller) pick(service string) (netip.AddrPort, error) {
	targets := c.directory.Targets(service)
	if len(targets) == 0 {
		return netip.AddrPort{}, errorx.IllegalState.New("no target of %s", service)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return targets[c.random.IntN(len(targets))], nil
}
