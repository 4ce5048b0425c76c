package control

import (
	"context"
	"time"

	"sapphirespread.example/internal/peer"
	"sapphirespread.example/internal/peer/peerpb"
)

// serveDaemon serves a daemon's session here where this instance leads, and relays it to the leader where not.
func (c *Control) serveDaemon(ctx context.Context, _ peer.Identity, stream *peer.Stream) {
	attach, message, err := readAttach(stream)
	if err != nil {
		c.logger.Warn().Err(err).Msg("control: session without attach")
		return
	}
	if l := c.leadership.Load(); l != nil {
		c.serveSession(ctx, l, attach, stream)
		return
	}
	if err := c.relay(ctx, message, stream); err != nil {
		redirect := &peerpb.Redirect{Reason: err.Error()}
		_ = stream.Send(&peerpb.ControlMessage{Body: &peerpb.ControlMessage_Redirect{Redirect: redirect}})
	}
}

// serveRelayed serves a session that another instance relays, where this instance leads.
func (c *Control) serveRelayed(ctx context.Context, _ peer.Identity, stream *peer.Stream) {
	attach, _, err := readAttach(stream)
	if err != nil {
		return
	}
	l := c.leadership.Load()
	if l == nil {
		redirect := &peerpb.Redirect{Reason: "this instance does not lead"}
		_ = stream.Send(&peerpb.ControlMessage{Body: &peerpb.ControlMessage_Redirect{Redirect: redirect}})
		return
	}
	c.serveSession(ctx, l, attach, stream)
}

func readAttach(stream *peer.Stream) (*peerpb.Attach, *peerpb.DaemonMessage, error) {
	_ = stream.SetReadDeadline(time.Now().Add(attachTimeout))
	message := &peerpb.DaemonMessage{}
	if err := stream.Receive(message); err != nil {
		return nil, nil, err
	}
	_ = stream.SetReadDeadline(time.Time{})
	if message.GetAttach().GetDaemon() == "" {
		return nil, nil, errNoAttach
	}
	return message.GetAttach(), message, nil
}

func (c *Control) serveSession(ctx context.Context, l *leadership, attach *peerpb.Attach, stream *peer.Stream) {
	s := newSession(c, l, attach, stream)
	if !l.join(s) {
		return
	}
	defer l.leave(s)
	c.record("session", "daemon "+s.daemon+" attached")
	err := s.run(ctx)
	c.record("session", "daemon "+s.daemon+" detached")
	c.logger.Debug().Err(err).Str("daemon", s.daemon).Msg("control: session ended")
}

// relay hands the session on to the leader.
func (c *Control) relay(ctx context.Context, first *peerpb.DaemonMessage, stream *peer.Stream) error {
	name, address, known := c.store.Leader()
	if !known || name == c.settings.Name {
		return errNoLeader
	}
	opening, cancel := context.WithTimeout(ctx, attachTimeout)
	defer cancel()
	onward, err := c.pool.Open(opening, address, kindRelayed)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, onward.Abort)()
	if err := onward.Send(first); err != nil {
		onward.Abort()
		return err
	}
	stream.Splice(onward)
	return nil
}
