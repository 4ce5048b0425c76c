package control

import (
	"context"
	"time"

	"sapphirespread.example/internal/peer"
	"sapphirespread.example/internal/peer/peerpb"
)

// serveDaemon serves the session of a daemon if this instance leads, and otherwise relays it to the leader.
func (c *Control) serveDaemon(ctx context.Context, _ peer.Identity, stream *peer.Stream) {
	attach, message, err := readAttach(stream)
	if err != nil {
		c.logger.Warn().Err(err).Msg("control: session did not start with an attach message")
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

// serveRelayed serves a session relayed by another instance. It redirects the daemon if this instance does not lead.
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

// readAttach reads the first message of a session, which must be an attach that names the daemon.
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

// serveSession serves a daemon until its session or the leadership ends. It redirects the daemon if this instance cannot
// show the leader lease.
func (c *Control) serveSession(ctx context.Context, l *leadership, attach *peerpb.Attach, stream *peer.Stream) {
	if !c.holdsLease(l.term) {
		redirect := &peerpb.Redirect{Reason: reasonNoLease}
		_ = stream.Send(&peerpb.ControlMessage{Body: &peerpb.ControlMessage_Redirect{Redirect: redirect}})
		return
	}
	s := newSession(c, l, attach, stream)
	defer l.removeSession(s)
	err := s.run(ctx)
	c.logger.Debug().Err(err).Str("daemon", s.daemon).Msg("control: session ended")
}

// relay forwards the session to the leader, starting with the first message that was already read. It fails if no
// other instance is known to lead or the leader cannot be reached.
func (c *Control) relay(ctx context.Context, first *peerpb.DaemonMessage, stream *peer.Stream) error {
	name, address, known := c.store.Leader()
	if !known || name == c.settings.Name {
		return errNoLeader
	}
	openCtx, cancel := context.WithTimeout(ctx, attachTimeout)
	defer cancel()
	upstream, err := c.pool.Open(openCtx, address, kindRelayed)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, upstream.Abort)()
	if err := upstream.Send(first); err != nil {
		upstream.Abort()
		return err
	}
	stream.Splice(upstream)
	return nil
}
