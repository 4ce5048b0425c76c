package daemon

import (
	"context"
	"net/netip"
	"time"
)

// attachResult is the outcome of one attempt to attach: a session, or an error with the redirect address if one was
// given.
type attachResult struct {
	session  *linkSession
	redirect netip.AddrPort
	err      error
}

// attachRace is one round of attempts to attach, of which at most maxAttaching run side by side. A control instance that
// is lost or slow thus delays the round by no more than attachStagger.
type attachRace struct {
	link      *link
	addresses []netip.AddrPort
	running   int
	results   chan attachResult
}

// attach tries the addresses in order until one control instance attaches the daemon, and returns its session, or nil
// if none does.
func (l *link) attach(ctx context.Context, addresses []netip.AddrPort) *linkSession {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	race := &attachRace{link: l, addresses: addresses, results: make(chan attachResult)}
	return race.run(ctx)
}

func (r *attachRace) run(ctx context.Context) *linkSession {
	stagger := time.NewTicker(attachStagger)
	defer stagger.Stop()
	r.startNext(ctx)
	for r.running > 0 {
		select {
		case result := <-r.results:
			r.running--
			if session := r.accept(result); session != nil {
				return session
			}
			r.startNext(ctx)
		case <-stagger.C:
			r.startNext(ctx)
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// startNext starts an attempt at the next address if there is one and fewer than maxAttaching are running.
func (r *attachRace) startNext(ctx context.Context) {
	if len(r.addresses) == 0 || r.running >= maxAttaching {
		return
	}
	address := r.addresses[0]
	r.addresses = r.addresses[1:]
	r.running++
	go func() {
		result := r.link.tryAttach(ctx, address)
		select {
		case r.results <- result:
		case <-ctx.Done():
			if result.session != nil {
				result.session.stream.Abort()
			}
		}
	}()
}

// accept returns the session of a successful attempt, unless its leader belongs to a replaced cluster. A redirect is
// tried next.
func (r *attachRace) accept(result attachResult) *linkSession {
	if result.redirect.IsValid() {
		r.addresses = append([]netip.AddrPort{result.redirect}, r.addresses...)
	}
	if result.err == nil {
		result.err = r.link.newest.accept(result.session.attached)
	}
	if result.err == nil {
		return result.session
	}
	if result.session != nil {
		result.session.stream.Abort()
	}
	r.link.daemon.logger.Info().Err(result.err).Msg("link: not attached to a control instance")
	return nil
}

// tryAttach opens a session with the control instance at address. The instance has answered as the leader, or on its
// behalf, if there is no error.
func (l *link) tryAttach(ctx context.Context, address netip.AddrPort) attachResult {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	stream, err := l.daemon.pool.Open(ctx, address, kindControl)
	if err != nil {
		return attachResult{err: err}
	}
	defer context.AfterFunc(ctx, stream.Abort)()
	session := newLinkSession(l, stream, address)
	redirect, err := session.attach()
	if err != nil {
		stream.Abort()
		return attachResult{redirect: redirect, err: err}
	}
	return attachResult{session: session}
}
