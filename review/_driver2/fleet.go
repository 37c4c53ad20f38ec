package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sardinespindle/sardinespindle/platform"
	"github.com/sardinespindle/sardinespindle/platform/standin"
)

// heartbeat is the time between two writes of a server to the store.
const heartbeat = 1200 * time.Millisecond

// fleet holds the processes and stand-ins of one case.
type fleet struct {
	program, dir string
	store        *standin.Store
	storeAddress string
	vms          []*vm
	ports        struct{ callers, peers, admin int }
	began        time.Time

	mu      sync.Mutex // guards the fields below
	out     *bufio.Writer
	file    *os.File
	closed  bool
	held    bool // servers do not write to the store
	stops   []func()
	entries map[string]entry
}

// vm is one process of the system.
type vm struct {
	name, zone, ip string
	cmd            *exec.Cmd
	log            *os.File
}

// entry is what a server publishes.
type entry struct {
	server  *standin.Server
	address string
	born    int64
	beats   int
	state   string
	stop    func()
}

func newFleet(program, record string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	f := &fleet{
		program: program, dir: dir, store: standin.NewStore(), began: time.Now(),
		out: bufio.NewWriter(file), file: file, entries: map[string]entry{},
	}
	if f.storeAddress, err = f.serve("127.0.0.1:0", f.store); err != nil {
		return nil, err
	}
	go f.beat()
	return f, nil
}

// since returns the time since the case began.
func (f *fleet) since() time.Duration { return time.Since(f.began) }

// record writes a line to the record.
func (f *fleet) record(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	fmt.Fprintf(f.out, "%8.3f  %s\n", f.since().Seconds(), fmt.Sprintf(format, args...))
}

// serve serves a handler at an address until the case ends, and returns the address.
func (f *fleet) serve(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }() // ends with Close
	f.onClose(func() { _ = s.Close() })
	return l.Addr().String(), nil
}

func (f *fleet) onClose(fn func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops = append(f.stops, fn)
}

// addServer starts a server and publishes it.
func (f *fleet) addServer(id, service, zone string, slots int, body func(r *http.Request) string) (*standin.Server, error) {
	s := &standin.Server{ID: id, Service: service, Zone: zone, Slots: slots, Body: body}
	address, err := f.serve("127.0.0.1:0", s)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.entries[id] = entry{server: s, address: address, born: time.Now().UnixMilli(), state: "ready", stop: f.stops[len(f.stops)-1]}
	f.mu.Unlock()
	f.publish(id)
	return s, nil
}

// publish writes a server's entry.
func (f *fleet) publish(id string) {
	f.mu.Lock()
	e := f.entries[id]
	e.beats++
	f.entries[id] = e
	f.mu.Unlock()
	item := e.server.Entry(e.address, e.state)
	item["sequence"], item["born"] = e.beats, e.born
	f.store.Put(standin.EntryKey(id), item)
}

// drain has a server report that it drains.
func (f *fleet) drain(id string) {
	f.mu.Lock()
	e := f.entries[id]
	e.state = "draining"
	f.entries[id] = e
	f.mu.Unlock()
	f.publish(id)
}

// remove ends a server and removes its entry.
func (f *fleet) remove(id string) {
	f.mu.Lock()
	e := f.entries[id]
	delete(f.entries, id)
	f.mu.Unlock()
	f.store.Remove(standin.EntryKey(id))
	e.stop()
}

// holdBeats ends or resumes the writes of all servers, as while the store is down.
func (f *fleet) holdBeats(held bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held = held
}

// beat has each server write to the store at each heartbeat.
func (f *fleet) beat() {
	for {
		time.Sleep(heartbeat)
		f.mu.Lock()
		closed, held := f.closed, f.held
		ids := make([]string, 0, len(f.entries))
		for id := range f.entries {
			ids = append(ids, id)
		}
		f.mu.Unlock()
		if closed {
			return
		}
		for _, id := range ids {
			if held {
				break
			}
			f.publish(id)
		}
	}
}

// freePort returns a port that is free at each of the addresses.
func freePort(ips []string, not ...int) (int, error) {
	for range 50 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		free := true
		for _, n := range not {
			free = free && n != port
		}
		for _, ip := range ips {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return port, nil
		}
	}
	return 0, errors.New("no free port")
}

// startVMs starts the VMs of each zone and waits until all are ready.
func (f *fleet) startVMs(zones []string, perZone []int, machine string) error {
	var ips []string
	for z, n := range perZone {
		for i := range n {
			ip := fmt.Sprintf("127.10.%d.%d", z+1, i+1)
			ips = append(ips, ip)
			f.vms = append(f.vms, &vm{name: fmt.Sprintf("edge-%s-%d", zones[z], i+1), zone: zones[z], ip: ip})
		}
	}
	var err error
	if f.ports.callers, err = freePort(ips); err != nil {
		return err
	}
	if f.ports.peers, err = freePort(ips, f.ports.callers); err != nil {
		return err
	}
	if f.ports.admin, err = freePort(ips, f.ports.callers, f.ports.peers); err != nil {
		return err
	}
	for _, v := range f.vms {
		if err := f.startVM(v, machine); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, v := range f.vms {
		for !f.ready(v) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// settings are what the platform renders from the template of the deploy file.
const settings = `name = %q
zone = %q

[listen]
callers = "%[3]s:%[4]d"
peers = "%[3]s:%[5]d"
admin = "%[3]s:%[6]d"

[platform]
kind = "catalog"
addresses = [%[7]q]

[fleet]
%[8]s
seeds = [%[9]s]

[limits]
memory_mb = 206
descriptors = 2870

[repeats]
ratio = 0.2
slack = 129
window_seconds = 10

[cold]

[log]
level = "info"

[stop]
linger_ms = 2500
grace_ms = 6000
`

// startVM starts the process of a VM with the command of the deploy file.
func (f *fleet) startVM(v *vm, machine string) error {
	var seeds []string
	for _, s := range f.vms[:min(3, len(f.vms))] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", s.ip, f.ports.peers)))
	}
	path := filepath.Join(f.dir, v.name+".toml")
	text := fmt.Sprintf(settings, v.name, v.zone, v.ip, f.ports.callers, f.ports.peers, f.ports.admin, f.storeAddress, machine, strings.Join(seeds, ", "))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	var err error
	if v.log, err = os.OpenFile(filepath.Join(f.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	v.cmd = exec.Command(f.program, "--settings", path)
	v.cmd.Stdout, v.cmd.Stderr = v.log, v.log
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return v.cmd.Start()
}

// ready reports whether a VM says that it is ready.
func (f *fleet) ready(v *vm) bool {
	resp, err := (&http.Client{Timeout: time.Second}).Get(fmt.Sprintf("http://%s:%d%s", v.ip, f.ports.admin, platform.ReadyPath))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// callers returns the address at which a VM serves clients.
func (f *fleet) callers(v *vm) string { return fmt.Sprintf("%s:%d", v.ip, f.ports.callers) }

// close ends all processes and stand-ins.
func (f *fleet) close() {
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		return
	}
	f.closed = true
	stops := f.stops
	_ = f.out.Flush()
	_ = f.file.Close()
	f.mu.Unlock()
	for _, v := range f.vms {
		if v.cmd != nil && v.cmd.Process != nil {
			_ = v.cmd.Process.Kill()
			_ = v.cmd.Wait()
		}
		if v.log != nil {
			_ = v.log.Close()
		}
	}
	for _, stop := range stops {
		stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs kept in", f.dir)
	}
}
