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
	defaultSlots       = 50
	defaultConnections = 400
	defaultMean        = 20 * time.Millisecond
	defaultContention  = 0.2
	defaultDrain       = 2 * time.Second
	defaultDowntime    = 2 * time.Second
	shutdownTimeout    = 30 * time.Second
	readHeaderTimeout  = 5 * time.Second
)

// A Server is one backend server stand-in.
type Server struct {
	name, service           string
	listen                  netip.AddrPort
	announcer               *announcer
	slots, connections      int
	mean                    time.Duration
	distribution            Distribution
	contention              float64
	seed                    uint64
	coldStart               time.Duration
	coldFactor              float64
	drain, downtime         time.Duration
	caller                  Caller
	calls                   []Call
	padding                 int
	gate                    func(http.Handler) http.Handler
	onCrash                 func()
	logger                  zerolog.Logger
	executor                *executor
	reporter                *reporter
	runs                    *runs
	randomMu                sync.Mutex
	random                  *rand.Rand
	started                 atomic.Int64
	draining                atomic.Bool
	crashes, late, finished atomic.Int64
	crashed, drainAsked     chan struct{}
	listener                atomic.Pointer[Listener]
}

// New returns a Server that runs service.
func New(service string, opts ...ServerOption) *Server {
	s := &Server{
		name:         service + "-1",
		service:      service,
		listen:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0),
		slots:        defaultSlots,
		connections:  defaultConnections,
		mean:         defaultMean,
		distribution: Lognormal,
		contention:   defaultContention,
		coldFactor:   1,
		drain:        defaultDrain,
		downtime:     defaultDowntime,
		logger:       zerolog.Nop(),
		reporter:     newReporter(),
		runs:         newRuns(),
		crashed:      make(chan struct{}, 1),
		drainAsked:   make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.executor = newExecutor(s.slots, s.contention)
	s.random = rand.New(rand.NewPCG(s.seed, uint64(len(s.name))))
	return s
}

// Listen opens the listener, so that Address is known before Run.
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

// Address returns the address that the server listens at.
func (s *Server) Address() netip.AddrPort {
	return s.listen
}

// Run serves until ctx is done or a drain is asked for, then drains, finishes what is in flight and leaves.
func (s *Server) Run(ctx context.Context) error {
	for {
		again, err := s.serve(ctx)
		if err != nil || !again {
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

// serve runs one life of the server and tells whether it ended in a crash.
func (s *Server) serve(ctx context.Context) (again bool, err error) {
	if s.listener.Load() == nil {
		if err := s.Listen(); err != nil {
			return false, err
		}
	}
	s.started.Store(time.Now().UnixNano())
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	failed := make(chan error, 1)
	listener := s.listener.Load()
	go func() { failed <- server.Serve(listener) }()
	announcing, stopAnnouncing := context.WithCancel(context.WithoutCancel(ctx))
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		s.announce(announcing)
	}()
	silence := func() {
		stopAnnouncing()
		<-announced
	}
	defer silence()
	select {
	case <-s.crashed:
		listener.Reset()
		_ = server.Close()
		<-failed
		s.listener.Store(nil)
		return true, nil
	case err := <-failed:
		return false, errorx.Decorate(err, "serve at %s", s.listen)
	case <-s.drainAsked:
	case <-ctx.Done():
	}
	return false, s.stop(server, failed, silence)
}

// stop drains: it announces so, waits until callers have moved on, and finishes what is in flight.
// Announcements end before it leaves, so that none brings it back.
func (s *Server) stop(server *http.Server, failed <-chan error, silence func()) error {
	s.draining.Store(true)
	if s.announcer != nil {
		s.announceOnce(context.Background())
		time.Sleep(s.drain)
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := server.Shutdown(ctx)
	<-failed
	s.listener.Store(nil)
	silence()
	if s.announcer != nil {
		if err := s.announcer.leave(ctx, s.name); err != nil {
			s.logger.Warn().Err(err).Msg("standin: could not leave")
		}
		s.announcer.close()
	}
	if err != nil {
		return errorx.Decorate(err, "finish requests in flight")
	}
	return nil
}

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
	told := announcement{Name: s.name, Service: s.service, Address: s.listen.String(), State: s.State(), Load: s.Report()}
	if err := s.announcer.announce(ctx, told); err != nil && ctx.Err() == nil {
		s.logger.Warn().Err(err).Msg("standin: announcement failed")
	}
}
