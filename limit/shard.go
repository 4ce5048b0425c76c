package limit

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

const accountRetention = time.Minute

type accountIndex struct {
	byName  map[string]*account
	ordered []*account
}

// shard holds a part of a holder's accounts. Its index is read without a lock and is replaced as a whole under mu.
type shard struct {
	mu      sync.Mutex
	current atomic.Pointer[accountIndex]
}

func (s *shard) find(workspace string) *account {
	index := s.current.Load()
	if index == nil {
		return nil
	}
	return index.byName[workspace]
}

func (s *shard) accounts() []*account {
	index := s.current.Load()
	if index == nil {
		return nil
	}
	return index.ordered
}

func (s *shard) wait(now time.Time, workspace string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.find(workspace)
	if a == nil {
		a = newAccount(now, workspace)
		s.replace(append(append([]*account{}, s.accounts()...), a))
	}
	a.waiting.Add(1)
	a.active.Store(true)
}

// removeInactive removes accounts that have been inactive for accountRetention.
func (s *shard) removeInactive(now time.Time) {
	if !s.anyRemovable(now) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var kept []*account
	for _, a := range s.accounts() {
		if !a.removable(now) {
			kept = append(kept, a)
		}
	}
	s.replace(kept)
}

func (s *shard) anyRemovable(now time.Time) bool {
	for _, a := range s.accounts() {
		if a.removable(now) {
			return true
		}
	}
	return false
}

func (s *shard) replace(accounts []*account) {
	sort.Slice(accounts, func(i, j int) bool { return accounts[i].workspace < accounts[j].workspace })
	byName := make(map[string]*account, len(accounts))
	for _, a := range accounts {
		byName[a.workspace] = a
	}
	s.current.Store(&accountIndex{byName: byName, ordered: accounts})
}
