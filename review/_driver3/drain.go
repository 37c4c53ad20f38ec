package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sardinespindle/sardinespindle/platform"
	"github.com/sardinespindle/sardinespindle/platform/standin"
)

// Figures of the case "drain".
const (
	drainVMs         = 20
	drainRounds      = 3
	drainHeartbeat   = 1200 * time.Millisecond
	drainConverge    = 10 * time.Second
	drainFreeze      = 4 * time.Second
	drainReportAfter = 50 * time.Millisecond // the start of the freeze
	drainMs          = 3 * time.Second
	drainLeave       = 8 * time.Second // a server that drains serves on until then
	drainPause       = 8 * time.Second // between two rounds
)

// arrival is a request that reached a server that drains.
type arrival struct {
	id, server string
	after      time.Duration // the store had accepted that the server drains
}

// drainCase is the state of the case "drain".
type drainCase struct {
	*setup
	servers []*server
	vms     []*vm

	mu       sync.Mutex // guards the fields below
	sequence int
	draining map[string]time.Time // by server, when the store accepted that
	senders  map[string]*vm       // by the id of the request
	arrivals []arrival
}

var errNoReaders = errors.New("no two VMs read the store for the others")

// playDrain freezes the two VMs that read the store for all, and has a server report at the same time that it
// drains. No request may reach that server later than drainMs after the store accepted the report.
func playDrain(ctx context.Context, s *setup) (bool, error) {
	d := &drainCase{setup: s, draining: map[string]time.Time{}, senders: map[string]*vm{}}
	s.store.Put(standin.ConfigKey, standin.Config(7, nil, nil, 244))
	s.store.Intercept(func(http.ResponseWriter, *http.Request) bool {
		time.Sleep(4 * time.Millisecond) // what an answer of the store takes
		return false
	})
	for i := range drainRounds + 3 {
		srv, err := startServer(fmt.Sprintf("i-%d", i+1), "orders", 4, 244)
		if err != nil {
			return false, err
		}
		srv.work.Store(int64(5 * time.Millisecond))
		srv.Intercept(func(_ http.ResponseWriter, r *http.Request) bool {
			d.recordArrival(srv, r.Header.Get(platform.RequestID))
			return false
		})
		d.servers = append(d.servers, srv)
	}
	load, stop := context.WithCancel(ctx)
	defer stop()
	d.beat()
	go func() {
		for load.Err() == nil {
			time.Sleep(drainHeartbeat)
			d.beat()
		}
	}()
	var err error
	d.vms, err = startVMs(ctx, s.program, s.dir, s.address, drainVMs)
	defer func() {
		for _, v := range d.vms {
			_ = v.process.Process.Signal(syscall.SIGCONT)
			v.kill()
		}
	}()
	if err != nil {
		return false, err
	}
	time.Sleep(drainConverge)
	for _, v := range d.vms {
		go d.order(load, v)
	}
	time.Sleep(2 * time.Second)
	isBroken := false
	for round := 0; round < drainRounds && !isBroken; round++ {
		late, err := d.round(d.servers[round])
		if err != nil {
			return false, err
		}
		isBroken = late > 0
		time.Sleep(drainPause)
	}
	stop()
	time.Sleep(routeTimeout + answerSlack)
	return isBroken, nil
}

// beat has all servers write their entries, as they do all the time.
func (d *drainCase) beat() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sequence++
	for _, srv := range d.servers {
		d.publish(srv)
	}
}

// publish writes the entry of a server. The lock is held.
func (d *drainCase) publish(srv *server) {
	state := "ready"
	if _, drains := d.draining[srv.ID]; drains {
		state = "draining"
	}
	entry := srv.Entry(srv.address, state)
	entry["sequence"] = d.sequence
	d.store.Put(standin.EntryKey(srv.ID), entry)
}

func (d *drainCase) recordArrival(srv *server, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at, drains := d.draining[srv.ID]; drains {
		d.arrivals = append(d.arrivals, arrival{id, srv.ID, time.Since(at)})
	}
}

// order sends orders to a VM until ctx ends.
func (d *drainCase) order(ctx context.Context, v *vm) {
	c := newClient(v, 1)
	for ctx.Err() == nil {
		a := c.send(ctx, "/order/x", routeTimeout, routeTimeout+answerSlack, func(id string) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.senders[id] = v
		})
		if ctx.Err() == nil && a.status != http.StatusOK {
			d.record.printf("%s: order %s: status %d, error %v", v.name, a.id, a.status, a.err)
		}
		time.Sleep(time.Duration(100+rand.IntN(100)) * time.Millisecond)
	}
}

// round freezes the readers while a server begins to drain. It returns how many orders reached that server too
// late from VMs that were not frozen.
func (d *drainCase) round(srv *server) (late int, err error) {
	readers, frozen := storeReaders(d.vms), map[*vm]bool{}
	if len(readers) != 2 {
		return 0, fmt.Errorf("%w: %d do", errNoReaders, len(readers))
	}
	for _, v := range readers {
		d.record.printf("%s reads the store for the others", v.name)
		if d.trouble {
			frozen[v] = true
			_ = v.process.Process.Signal(syscall.SIGSTOP)
		}
	}
	began := time.Now()
	d.record.printf("%d of %d VMs frozen", len(frozen), len(d.vms))
	time.Sleep(drainReportAfter)
	d.mu.Lock()
	d.draining[srv.ID] = time.Now()
	d.publish(srv)
	accepted := time.Now()
	d.draining[srv.ID] = accepted
	d.mu.Unlock()
	d.record.printf("the store has accepted that %s drains", srv.ID)
	time.Sleep(time.Until(began.Add(drainFreeze)))
	for v := range frozen {
		_ = v.process.Process.Signal(syscall.SIGCONT)
	}
	d.record.printf("no VM is frozen")
	time.Sleep(time.Until(accepted.Add(drainLeave)))

	d.mu.Lock()
	defer d.mu.Unlock()
	reached := 0
	for _, a := range d.arrivals {
		if a.server != srv.ID {
			continue
		}
		reached++
		v := d.senders[a.id]
		if a.after <= drainMs || v == nil {
			continue
		}
		if !frozen[v] {
			late++
		}
		d.record.printf("order %s of %s reached %s %v after the report was accepted", a.id, v.name, srv.ID, a.after.Round(time.Millisecond))
	}
	d.record.printf("%d orders sent so far; %d reached %s after the report, %d of them later than %v from VMs that were not frozen", len(d.senders), reached, srv.ID, late, drainMs)
	return late, nil
}

// storeReaders returns the VMs that follow the store itself, by the last line of their logs that names a source.
func storeReaders(vms []*vm) (readers []*vm) {
	for _, v := range vms {
		text, err := os.ReadFile(v.log)
		if err != nil {
			continue
		}
		source := ""
		for line := range bytes.Lines(text) {
			if bytes.Contains(line, []byte(`"msg":"following"`)) {
				source = string(line)
			}
		}
		if strings.Contains(source, `"source":"store"`) {
			readers = append(readers, v)
		}
	}
	return readers
}
