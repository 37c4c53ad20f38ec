package catalog

import (
	"context"
	"sync"
)

// maxAnnouncements bounds the announcements that are kept. Only readers of the store, and VMs
// that read it in their place, announce a version.
const maxAnnouncements = 64

// announcements holds the versions of the configuration that other VMs announced.
type announcements struct {
	mu       sync.Mutex         // guards the fields below
	versions map[string]int     // by VM
	known    int                // the version of this VM
	wake     context.CancelFunc // ends the round under way; nil for none
}

// Announced records that a VM has a version of the configuration, and ends the wait for
// another source if that version is newer than this VM's.
func (s *Sync) Announced(vm string, version int) {
	a := &s.announced
	a.mu.Lock()
	defer a.mu.Unlock()
	if version <= a.known || a.versions[vm] >= version || len(a.versions) >= maxAnnouncements {
		return
	}
	a.versions[vm] = version
	if a.wake != nil {
		a.wake()
	}
}

// newest returns the VM that announced the newest version beyond known, and that version; no
// name if there is none. Announced calls wake for any newer version from then on.
func (a *announcements) newest(known int, wake context.CancelFunc) (vm string, version int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.known, a.wake = known, wake
	for name, v := range a.versions {
		switch {
		case v <= known:
			delete(a.versions, name)
		case v > version:
			vm, version = name, v
		}
	}
	return vm, version
}

// forget drops a VM's announcement, unless it has announced a newer version since.
func (a *announcements) forget(vm string, version int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.versions[vm] <= version {
		delete(a.versions, vm)
	}
}

// pullAnnounced pulls the version that a VM announced. If that fails, the VM's announcement is
// dropped and those of other VMs are tried.
func (s *Sync) pullAnnounced(ctx context.Context, vm string, version int) {
	u, err := s.pull(ctx, vm, 0, 0)
	if err != nil {
		s.logLost(vm, err)
	} else {
		s.applyFrom(vm, u)
	}
	if known := s.o.Mirror.Version(); known < version {
		s.o.Log.Info("announced version not found", "source", vm, "version", version, "known", known)
	}
	s.announced.forget(vm, version)
}
