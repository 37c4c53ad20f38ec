package daemon

import (
	"slices"
	"sync"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/clock"
	"github.com/sardinespindle/sardinespindle/internal/peer"
)

// ownState announces one state of this VM to the others, by a fact, while the state holds. It is safe for
// concurrent use.
type ownState struct {
	node   *peer.Node
	prefix string        // of the key of the fact; the VM's name follows
	ttl    time.Duration // of the fact. It is put again when less than half of that is left

	mu    sync.Mutex // guards until
	until time.Duration
}

// stateHolds is the value of the fact while the state holds; afterwards the value is empty.
const stateHolds = "yes"

// holds reports whether the state holds.
func (s *ownState) holds() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.until > 0
}

// set announces that the state holds, or withdraws the announcement.
func (s *ownState) set(holds bool) {
	now := clock.Boot()
	s.mu.Lock()
	left := s.until - now
	due := holds && left < s.ttl/2
	ended := !holds && left > 0
	switch {
	case due:
		s.until = now + s.ttl
	case !holds:
		s.until = 0
	}
	s.mu.Unlock()
	switch {
	case due:
		s.node.Facts().Put(s.prefix+s.node.Name(), stateHolds, s.ttl)
	case ended:
		s.node.Facts().Put(s.prefix+s.node.Name(), "", s.ttl)
	}
}

// renew announces a state that holds again, if that is due.
func (s *ownState) renew() {
	if s.holds() {
		s.set(true)
	}
}

// vms returns the VMs that announced the state.
func (s *ownState) vms() map[string]bool {
	out := map[string]bool{}
	for _, fact := range s.node.Facts().List(s.prefix) {
		if fact.Value == stateHolds && fact.Key == s.prefix+fact.VM() {
			out[fact.VM()] = true
		}
	}
	return out
}

// except returns the elements for which out is false, or all if there is none.
func except[T any](all []T, out func(T) bool) []T {
	rest := slices.DeleteFunc(slices.Clone(all), out)
	if len(rest) == 0 {
		return all
	}
	return rest
}
