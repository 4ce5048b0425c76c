package daemon

import "sync"

// calledServices contains the services that this daemon calls and tracks for which of them control has sent the
// targets.
type calledServices struct {
	mu      sync.RWMutex
	entries map[string]*calledService
}

type calledService struct {
	known   chan struct{}
	isKnown bool
}

func newCalledServices() calledServices {
	return calledServices{entries: make(map[string]*calledService)}
}

// add adds service and returns a channel that is closed once its targets are known.
func (s *calledServices) add(service string) <-chan struct{} {
	s.mu.RLock()
	entry := s.entries[service]
	s.mu.RUnlock()
	if entry != nil {
		return entry.known
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry = s.entries[service]; entry == nil {
		entry = &calledService{known: make(chan struct{})}
		s.entries[service] = entry
	}
	return entry.known
}

// names returns the names of all called services.
func (s *calledServices) names() []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	names := make([]string, 0, len(s.entries))
	for name := range s.entries {
		names = append(names, name)
	}
	return names
}

// markKnown marks services whose targets have been received.
func (s *calledServices) markKnown(services []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, service := range services {
		entry := s.entries[service]
		if entry != nil && !entry.isKnown {
			entry.isKnown = true
			close(entry.known)
		}
	}
}
