package standin

import (
	"context"
	"net/http"
	"net/netip"
)

const maxIdleConnections = 512

// DaemonCaller sends nested calls through the daemon of the backend server.
type DaemonCaller struct {
	daemon netip.AddrPort
	client *http.Client
}

// NewDaemonCaller returns a DaemonCaller that connects to the daemon's listener for nested calls at the given address.
func NewDaemonCaller(daemon netip.AddrPort) *DaemonCaller {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}
	return &DaemonCaller{daemon: daemon, client: &http.Client{Transport: transport}}
}

// Send sends request with the call token of parent and ignores the service, because the daemon selects the target by
// route.
func (c *DaemonCaller) Send(ctx context.Context, _ string, parent, request *http.Request) (*http.Response, error) {
	request.URL.Scheme = "http"
	request.URL.Host = c.daemon.String()
	request.Header.Set(CallTokenHeader, parent.Header.Get(CallTokenHeader))
	return c.client.Do(request.WithContext(ctx))
}

// Close closes the idle connections to the daemon.
func (c *DaemonCaller) Close() {
	c.client.CloseIdleConnections()
}
