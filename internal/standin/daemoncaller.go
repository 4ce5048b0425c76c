package standin

import (
	"context"
	"net/http"
	"net/netip"
)

const maxIdleConnections = 512

// DaemonCaller sends sub-calls through the daemon beside the backend server.
type DaemonCaller struct {
	daemon netip.AddrPort
	client *http.Client
}

// NewDaemonCaller returns a DaemonCaller to the listener for sub-calls at daemon.
func NewDaemonCaller(daemon netip.AddrPort) *DaemonCaller {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}
	return &DaemonCaller{daemon: daemon, client: &http.Client{Transport: transport}}
}

// Send sends request with the call token of parent; the daemon chooses the target by route.
func (c *DaemonCaller) Send(ctx context.Context, _ string, parent, request *http.Request) (*http.Response, error) {
	request.URL.Scheme = "http"
	request.URL.Host = c.daemon.String()
	request.Header.Set(CallTokenHeader, parent.Header.Get(CallTokenHeader))
	return c.client.Do(request.WithContext(ctx))
}

// Close closes idle connections.
func (c *DaemonCaller) Close() {
	c.client.CloseIdleConnections()
}
