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

// A State is what a backend server announces of its readiness.
type State string

// The announced states.
const (
	Warming  State = "warming"
	Ready    State = "ready"
	Draining State = "draining"
)

type announcement struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Address string `json:"address"`
	State   State  `json:"state"`
	Load
}

// announcer tells a daemon of its backend server.
type announcer struct {
	daemon netip.AddrPort
	client *http.Client
}

func newAnnouncer(daemon netip.AddrPort) *announcer {
	return &announcer{daemon: daemon, client: &http.Client{Timeout: announceTimeout, Transport: &http.Transport{}}}
}

func (a *announcer) announce(ctx context.Context, told announcement) error {
	body, err := json.Marshal(told)
	if err != nil {
		return errorx.Decorate(err, "encode announcement")
	}
	return a.do(ctx, http.MethodPut, announcePath, body)
}

func (a *announcer) leave(ctx context.Context, name string) error {
	return a.do(ctx, http.MethodDelete, announcePath+"/"+url.PathEscape(name), nil)
}

func (a *announcer) do(ctx context.Context, method, path string, body []byte) error {
	target := "http://" + a.daemon.String() + path
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errorx.Decorate(err, "build announcement")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(request)
	if err != nil {
		return errorx.Decorate(err, "announce to daemon %s", a.daemon)
	}
	defer func() { _ = response.Body.Close() }()
	answer, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
	if response.StatusCode >= http.StatusMultipleChoices {
		return errorx.ExternalError.New("daemon %s refused the announcement: %s: %s", a.daemon, response.Status, answer)
	}
	return nil
}

func (a *announcer) close() {
	a.client.CloseIdleConnections()
}
