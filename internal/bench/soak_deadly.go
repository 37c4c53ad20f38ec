package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/relay"
)

const (
	// deadlySeeds is the number of seeds of which one has requests that end the servers that run them. Nothing else
	// replaces servers or breaks links to them there, since a server that lives disproves that it was ended; and only the
	// first faultyVMs of the VMs have faults, since a VM that has one may not tell the others.
	deadlySeeds = 4
	// Later than deadlyNotice after the third server that such a request has ended, at most maxLateDeadly more of it may
	// reach servers, as the users publish it.
	deadlyNotice  = 4 * time.Second
	maxLateDeadly = 3
	// deadlyMark is part of the path of such a request.
	deadlyMark = "deadly-"
)

// deadlyArrival is a deadly request that reached a server.
type deadlyArrival struct {
	at    time.Time
	vm    string // that sent it
	ended bool   // it ended the server
}

// deadlyLog holds the arrivals of deadly requests by their paths.
type deadlyLog struct {
	mu       sync.Mutex
	arrivals map[string][]deadlyArrival
}

// hasDeadly reports whether the seed has requests that end servers.
func (s *soak) hasDeadly() bool { return s.opts.Seed%deadlySeeds == deadlySeeds-1 && !s.isCalm() }

// deadlyFault sends one of two deadly requests, a search or a read, to any VM.
func (s *soak) deadlyFault(ctx context.Context, rng *rand.Rand) error {
	client := &http.Client{Timeout: soakDeadline + replySlack}
	defer client.CloseIdleConnections()
	kind := []string{"find", "read"}[rng.IntN(2)]
	q := soakRequest{id: fmt.Sprintf("%s%d-%d", deadlyMark, s.opts.Seed, rng.Uint32()), kind: kind, vm: s.vms[rng.IntN(len(s.vms))], text: deadlyMark}
	s.send(client, &q, fmt.Sprintf("/%s/%s%d", kind, deadlyMark, s.opts.Seed))
	select {
	case <-ctx.Done():
	case <-time.After(randomDuration(rng, 200, 1500)):
	}
	return nil
}

// interceptDeadly ends the server if it gets a deadly request, which then has no reply.
func (sv *soakServer) interceptDeadly(id string, r *http.Request) {
	if !strings.Contains(r.URL.Path, deadlyMark) {
		return
	}
	ends := sv.dying.CompareAndSwap(nil, &id)
	l := &sv.s.deadly
	l.mu.Lock()
	l.arrivals[r.URL.Path] = append(l.arrivals[r.URL.Path], deadlyArrival{at: time.Now(), vm: sourceVM(r), ended: ends})
	l.mu.Unlock()
	if ends {
		go sv.endAndStart(hash(id)%2 == 0)
	}
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// endAndStart ends the server, silently as without power or so that its port refuses, and starts the next one at its
// address after a while.
func (sv *soakServer) endAndStart(silent bool) {
	if silent {
		sv.link.SetFault(relay.Fault{Blackhole: true})
	} else {
		sv.link.SetFault(relay.Fault{Refuse: true})
		sv.link.Reset()
	}
	time.Sleep(soakReuseDelay)
	sv.remove()
	sv.startServer(sv.index)
	sv.link.Reset()
	sv.link.SetFault(relay.Fault{})
	sv.dying.Store(nil)
}

// checkDeadly bounds how many deadly requests reached servers once all VMs should know of them. Ends count of which the VM
// that sent the request could tell the others; arrivals count that VMs in touch sent.
func (s *soak) checkDeadly() {
	s.deadly.mu.Lock()
	defer s.deadly.mu.Unlock()
	for path, arrivals := range s.deadly.arrivals {
		var ends []time.Time
		for _, a := range arrivals {
			if a.ended && !s.excused(a.vm, a.at, a.at.Add(deadlyNotice)) {
				ends = append(ends, a.at)
			}
		}
		if slices.SortFunc(ends, time.Time.Compare); len(ends) < 3 {
			continue
		}
		late := 0
		for _, a := range arrivals {
			if a.at.After(ends[2].Add(deadlyNotice)) && !s.excused(a.vm, a.at.Add(-deadlyNotice), a.at) {
				late++
			}
		}
		if late > maxLateDeadly {
			s.evidence.recordViolation(deadlyAgain, "%s: %d reached servers over %v after it had ended the third; %d ended", path, late, deadlyNotice, len(ends))
		}
	}
}
