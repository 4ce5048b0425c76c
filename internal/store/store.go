package store

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"sapphirespread.example/internal/peer"
	"sapphirespread.example/journal"
	"sapphirespread.example/replica"
)

// A Store is an instance of the replicated state machine. It is safe for concurrent use.
type Store struct {
	options
	settings Settings
	machine  Machine
	folder   *journal.Folder
	disk     *disk
	replica  *replica.Replica
	links    *links

	machineLock sync.RWMutex
	view        atomic.Pointer[view]
	requests    chan *request
	statuses    chan chan Status
	transfers   chan chan error
	changed     chan struct{}

	pending   pendingRequests
	snapshots snapshotter
	ticker    *time.Ticker

	cancel  context.CancelFunc
	done    chan struct{}
	failure error
}

// Open recovers the state of the instance and starts it. Messages between instances use streams of the kind "replica".
func Open(settings Settings, machine Machine, pool *peer.Pool, server *peer.Server, opts ...Option) (*Store, error) {
	return OpenWithTransport(settings, machine, peerTransport{pool: pool, server: server}, opts...)
}

// OpenWithTransport is like Open but exchanges messages over the given transport.
func OpenWithTransport(settings Settings, machine Machine, transport Transport, opts ...Option) (*Store, error) {
	settings, err := settings.withDefaults()
	if err != nil {
		return nil, err
	}
	s := &Store{
		options:   newOptions(opts),
		settings:  settings,
		machine:   machine,
		links:     newLinks(transport),
		requests:  make(chan *request, queueLength),
		statuses:  make(chan chan Status),
		transfers: make(chan chan error),
		changed:   make(chan struct{}, 1),
		pending:   pendingRequests{},
		snapshots: newSnapshotter(),
		done:      make(chan struct{}),
	}
	if err := s.recover(); err != nil {
		s.closeFiles()
		return nil, fmt.Errorf("opening the store of %s: %w", settings.Name, err)
	}
	s.start()
	return s, nil
}

func (s *Store) recover() error {
	if s.fsys == nil {
		folder, err := journal.NewFolder(s.settings.DataFolder)
		if err != nil {
			return err
		}
		s.folder = folder
		s.fsys = folder
	}
	opened, persisted, err := openDisk(s.fsys, s.settings.Name)
	if err != nil {
		return err
	}
	s.disk = opened
	if persisted.Snapshot.Index > 0 {
		if err := s.machine.Restore(persisted.Snapshot.Body); err != nil {
			return fmt.Errorf("restoring snapshot %d: %w", persisted.Snapshot.Index, err)
		}
	}
	opts := append([]replica.Option{
		replica.WithPeers(s.settings.peers()...),
		replica.WithJoin(s.settings.Join),
		replica.WithOpenMembership(s.settings.Voters),
		replica.WithElectionTimeout(s.settings.ElectionTimeout),
		replica.WithHeartbeat(s.settings.Heartbeat),
	}, s.options.replicaOptions...)
	s.replica, err = replica.New(s.now(), s.settings.Name, s.disk.id, s.settings.Address, persisted, opts...)
	return err
}

func (s *Store) start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.view.Store(&view{})
	s.publishView(s.now())
	s.ticker = time.NewTicker(s.settings.Heartbeat / 2)
	s.links.accept(ctx)
	go s.run(ctx)
}

// Leader returns the name and peer address of the leader, and whether this instance knows a leader.
func (s *Store) Leader() (name string, address netip.AddrPort, known bool) {
	v := s.view.Load()
	return v.leader.Name, v.leader.Address, v.leaderKnown
}

// Members returns the members according to the newest members entry in the log of this instance.
func (s *Store) Members() replica.Members {
	return s.view.Load().members
}

// HoldsLease reports whether this instance holds the leader lease at now and may serve reads. At most one instance
// holds it.
func (s *Store) HoldsLease(now time.Time) bool {
	v := s.view.Load()
	return v.hasLease && now.Before(v.leaseUntil)
}

// Term returns the current term.
func (s *Store) Term() uint64 {
	return s.view.Load().term
}

// Cluster returns the ID of the cluster and its generation, the number of forced recoveries so far.
func (s *Store) Cluster() (id, generation uint64) {
	v := s.view.Load()
	return v.cluster, v.generation
}

// Applied returns the index of the last applied entry.
func (s *Store) Applied() uint64 {
	return s.view.Load().applied
}

// HeldBytes returns the size of the log's entries in memory.
func (s *Store) HeldBytes() int64 {
	return s.view.Load().heldBytes
}

// Read calls read while no command is being applied.
func (s *Store) Read(read func()) {
	s.machineLock.RLock()
	defer s.machineLock.RUnlock()
	read()
}

// Changed returns a channel that receives a value after the leadership, the lease or the applied index has changed.
// Several changes may be reported by one value.
func (s *Store) Changed() <-chan struct{} {
	return s.changed
}

// Done returns a channel that is closed after the store has stopped, either by Close or because of a failure.
func (s *Store) Done() <-chan struct{} {
	return s.done
}

// Err waits until the store has stopped and returns the failure that stopped it, or nil.
func (s *Store) Err() error {
	<-s.done
	return s.failure
}

// Close stops the instance without transferring its leadership and returns the failure that stopped the store before,
// if any. Call Transfer first for a planned stop.
func (s *Store) Close() error {
	s.cancel()
	<-s.done
	s.links.wait()
	s.closeFiles()
	return s.failure
}

func (s *Store) closeFiles() {
	if s.disk != nil {
		_ = s.disk.journal.Close()
	}
	if s.folder != nil {
		_ = s.folder.Close()
	}
}
