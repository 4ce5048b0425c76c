package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/joomcode/errorx"
)

const (
	announceInterval = 500 * time.Millisecond
	announceTimeout  = 2 * time.Second
	announcePath     = "/announce/v1/target"
)

// State is the readiness that a backend server announces to its daemon.
type State string

// Readiness states in announcements.
const (
	Warming  State = "warming"
	Ready    State = "ready"
	Draining State = "draining"
)

// announcement is the JSON body with which a backend server registers itself at its daemon.
type announcement struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Address string `json:"address"`
	State   State  `json:"state"`
	Load
}

// announcer registers a backend server at its daemon and renews the registration.
type announcer struct {
	daemon netip.AddrPort
	client *http.Client
}

func newAnnouncer(daemon netip.AddrPort) *announcer {
	return &announcer{daemon: daemon, client: &http.Client{Timeout: announceTimeout, Transport: &http.Transport{}}}
}

// announce registers the backend server or updates its registration.
func (a *announcer) announce(ctx context.Context, message announcement) error {
	body, err := json.Marshal(message)
	if err != nil {
		return errorx.Decorate(err, "encode announcement")
	}
	return a.do(ctx, http.MethodPut, announcePath, body)
}

// deregister removes the registration of the backend server with the given name.
func (a *announcer) deregister(ctx context.Context, name string) error {
	return a.do(ctx, http.MethodDelete, announcePath+"/"+url.PathEscape(name), nil)
}

func (a *announcer) do(ctx context.Context, method, path string, body []byte) error {
	endpoint := "http://" + a.daemon.String() + path
	request, err := http.NewRequestWithContext(ctx, method, endpoint, bytes.NewReader(body))
	if err != nil {
		return errorx.Decorate(err, "build announcement")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(request)
	if err != nil {
		return errorx.Decorate(err, "announce to daemon %s", a.daemon)
	}
	defer func() { _ = response.Body.Close() }()
	detail, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
	if response.StatusCode >= http.StatusMultipleChoices {
		return errorx.ExternalError.New("daemon %s refused the announcement: %s: %s", a.daemon, response.Status, detail)
	}
	return nil
}

func (a *announcer) close() {
	a.client.CloseIdleConnections()
}
