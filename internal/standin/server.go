package standin

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"
)

const (
	defaultSlots           = 50
	defaultMaxInFlight     = 400
	defaultMeanServiceTime = 20 * time.Millisecond
	defaultContention      = 0.2
	defaultDrainPeriod     = 2 * time.Second
	defaultDowntime        = 2 * time.Second
	shutdownTimeout        = 30 * time.Second
	readHeaderTimeout      = 5 * time.Second
)

// Server is a simulated backend server.
type Server struct {
	name, service           string
	listen                  netip.AddrPort
	announcer               *announcer
	slots, maxInFlight      int
	meanServiceTime         time.Duration
	distribution            Distribution
	contention              float64
	seed                    uint64
	coldStart               time.Duration
	coldStartFactor         float64
	drainPeriod, downtime   time.Duration
	caller                  NestedCaller
	calls                   []NestedCall
	responsePadding         int
	middleware              func(http.Handler) http.Handler
	onCrash                 func()
	logger                  zerolog.Logger
	executor                *executor
	reporter                *reporter
	runs                    *runCounter
	randomMu                sync.Mutex
	random                  *rand.Rand
	startedAt               atomic.Int64
	draining                atomic.Bool
	crashes, late, finished atomic.Int64
	crashed, drainRequested chan struct{}
	listener                atomic.Pointer[Listener]
}

// New returns a Server for the named service.
func New(service string, opts ...ServerOption) *Server {
	s := &Server{
		name:            service + "-1",
		service:         service,
		listen:          netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0),
		slots:           defaultSlots,
		maxInFlight:     defaultMaxInFlight,
		meanServiceTime: defaultMeanServiceTime,
		distribution:    Lognormal,
		contention:      defaultContention,
		coldStartFactor: 1,
		drainPeriod:     defaultDrainPeriod,
		downtime:        defaultDowntime,
		logger:          zerolog.Nop(),
		reporter:        newReporter(),
		runs:            newRunCounter(),
		crashed:         make(chan struct{}, 1),
		drainRequested:  make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.executor = newExecutor(s.slots, s.contention)
	s.random = rand.New(rand.NewPCG(s.seed, uint64(len(s.name))))
	return s
}

// Listen opens the listener, so that Address returns the actual port before Run, and fails if the address is not
// available.
func (s *Server) Listen() error {
	inner, err := net.Listen("tcp", s.listen.String())
	if err != nil {
		return errorx.Decorate(err, "listen at %s", s.listen)
	}
	if s.listen.Port() == 0 {
		s.listen = inner.Addr().(*net.TCPAddr).AddrPort()
	}
	s.listener.Store(NewListener(inner))
	return nil
}

// Address returns the listen address.
func (s *Server) Address() netip.AddrPort {
	return s.listen
}

// Run serves requests until ctx ends or Drain is called, then drains, finishes the requests in flight
// and deregisters; after a simulated crash it restarts the server.
func (s *Server) Run(ctx context.Context) error {
	for {
		crashed, err := s.serve(ctx)
		if err != nil || !crashed {
			return err
		}
		s.logger.Warn().Str("target", s.name).Dur("downtime", s.downtime).Msg("standin: crashed")
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(s.downtime):
		}
	}
}

// serve runs the server until it drains, fails or crashes, and reports whether it crashed.
func (s *Server) serve(ctx context.Context) (crashed bool, err error) {
	if s.listener.Load() == nil {
		if err := s.Listen(); err != nil {
			return false, err
		}
	}
	s.startedAt.Store(time.Now().UnixNano())
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	serveErr := make(chan error, 1)
	listener := s.listener.Load()
	go func() { serveErr <- server.Serve(listener) }()
	announceCtx, cancelAnnouncing := context.WithCancel(context.WithoutCancel(ctx))
	announceDone := make(chan struct{})
	go func() {
		defer close(announceDone)
		s.announce(announceCtx)
	}()
	stopAnnouncing := func() {
		cancelAnnouncing()
		<-announceDone
	}
	defer stopAnnouncing()
	select {
	case <-s.crashed:
		listener.Reset()
		_ = server.Close()
		<-serveErr
		s.listener.Store(nil)
		return true, nil
	case err := <-serveErr:
		return false, errorx.Decorate(err, "serve at %s", s.listen)
	case <-s.drainRequested:
	case <-ctx.Done():
	}
	return false, s.drainAndStop(server, serveErr, stopAnnouncing)
}

// drainAndStop announces the draining state, waits for the drain period so that callers choose other
// targets, and finishes the requests in flight.
// It stops announcing before it deregisters, because a later announcement would register it again.
func (s *Server) drainAndStop(server *http.Server, serveErr <-chan error, stopAnnouncing func()) error {
	s.draining.Store(true)
	if s.announcer != nil {
		s.announceOnce(context.Background())
		time.Sleep(s.drainPeriod)
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := server.Shutdown(ctx)
	<-serveErr
	s.listener.Store(nil)
	stopAnnouncing()
	if s.announcer != nil {
		if err := s.announcer.deregister(ctx, s.name); err != nil {
			s.logger.Warn().Err(err).Msg("standin: could not deregister")
		}
		s.announcer.close()
	}
	if err != nil {
		return errorx.Decorate(err, "finish requests in flight")
	}
	return nil
}

// announce sends announcements at a fixed interval until ctx ends.
func (s *Server) announce(ctx context.Context) {
	if s.announcer == nil {
		return
	}
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		s.announceOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) announceOnce(ctx context.Context) {
	message := announcement{Name: s.name, Service: s.service, Address: s.listen.String(), State: s.State(), Load: s.Report()}
	if err := s.announcer.announce(ctx, message); err != nil && ctx.Err() == nil {
		s.logger.Warn().Err(err).Msg("standin: announcement failed")
	}
}
