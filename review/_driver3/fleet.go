package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sardinespindle/sardinespindle/platform"
	"github.com/sardinespindle/sardinespindle/platform/standin"
)

// recorder writes the record of a case, with times since the start.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: f}, nil
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// portsOfVM is the number of ports that a VM listens on. The ports are the same on all VMs.
const portsOfVM = 3

var errNoPorts = errors.New("no free ports")

// freePorts returns the first of portsOfVM ports that are free on all addresses. They are below those that the
// kernel chooses for clients.
func freePorts(ips []string) (int, error) {
	const first, last, tries = 15000, 32000, 50
	for range tries {
		port := first + portsOfVM*rand.IntN((last-first)/portsOfVM)
		if areFree(ips, port) {
			return port, nil
		}
	}
	return 0, errNoPorts
}

func areFree(ips []string, port int) bool {
	for _, ip := range ips {
		for i := range portsOfVM {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port+i)))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// vm is one process of the system.
type vm struct {
	name                   string
	callers, peers, admin  string
	settings, log, command string
	process                *exec.Cmd
	exited                 chan struct{}
}

// settingsText has the keys of deploy/settings.toml.tmpl, with the values of a small deployment.
const settingsText = `name = "%s"
zone = "zone-a"
[listen]
callers = "%s"
peers = "%s"
admin = "%s"
[platform]
kind = "catalog"
addresses = ["%s"]
[fleet]
capacity = 0.272
link_mbps = 700.0
seeds = ["%s"]
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

// startVMs starts n processes of the system with the command of the deploy file.
func startVMs(ctx context.Context, program, dir, store string, n int) ([]*vm, error) {
	var vms []*vm
	var ips, seeds []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("127.43.0.%d", i+1))
	}
	port, err := freePorts(ips)
	if err != nil {
		return nil, err
	}
	address := func(ip string, i int) string { return net.JoinHostPort(ip, strconv.Itoa(port+i)) }
	for i, ip := range ips {
		v := &vm{
			name: fmt.Sprintf("vm-%d", i+1), command: program, exited: make(chan struct{}),
			callers: address(ip, 0), peers: address(ip, 1), admin: address(ip, 2),
		}
		vms = append(vms, v)
		if len(seeds) < 3 {
			seeds = append(seeds, v.peers)
		}
	}
	for _, v := range vms {
		v.settings, v.log = filepath.Join(dir, v.name+".toml"), filepath.Join(dir, v.name+".log")
		text := fmt.Sprintf(settingsText, v.name, v.callers, v.peers, v.admin, store, strings.Join(seeds, `", "`))
		if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		if err := v.start(); err != nil {
			return vms, err
		}
	}
	for _, v := range vms {
		if err := v.waitReady(ctx); err != nil {
			return vms, err
		}
	}
	return vms, nil
}

func (v *vm) start() error {
	out, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	v.process = exec.Command(v.command, "--settings", v.settings)
	v.process.Stdout, v.process.Stderr = out, out
	v.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.process.Start(); err != nil {
		return err
	}
	go func() {
		_ = v.process.Wait()
		_ = out.Close()
		close(v.exited)
	}()
	return nil
}

// isRunning reports whether the process has not ended.
func (v *vm) isRunning() bool {
	select {
	case <-v.exited:
		return false
	default:
		return true
	}
}

func (v *vm) kill() {
	if v.process != nil && v.process.Process != nil && v.isRunning() {
		_ = v.process.Process.Kill()
		<-v.exited
	}
}

// isReady reports whether the VM answers the question of the platform's balancer with 200.
func (v *vm) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + v.admin + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

var errEnded = errors.New("the process has ended")

// waitReady waits until the VM counts as ready, as the platform's balancer asks.
func (v *vm) waitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		if !v.isRunning() {
			text, _ := os.ReadFile(v.log)
			return fmt.Errorf("%w: %s: %s", errEnded, v.name, text)
		}
		if v.isReady() {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready: %w", v.name, ctx.Err())
}

// cappedListener resets connections beyond a number of open ones, as a server does whose queue is long.
type cappedListener struct {
	net.Listener
	cap, open   atomic.Int64
	taken, lost atomic.Int64 // connections served, and connections reset
}

func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.cap.Load() {
			l.taken.Add(1)
			return &cappedConn{Conn: c, l: l}, nil
		}
		l.open.Add(-1)
		l.lost.Add(1)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

type cappedConn struct {
	net.Conn
	l    *cappedListener
	once sync.Once
}

func (c *cappedConn) Close() error {
	c.once.Do(func() { c.l.open.Add(-1) })
	return c.Conn.Close()
}

// server is a stand-in of a server of the users' platform with slots and a queue.
type server struct {
	standin.Server
	listener *cappedListener
	address  string
	work     atomic.Int64 // a time.Duration
	slots    chan struct{}
}

func startServer(id, service string, slots int, capacity int64) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{listener: &cappedListener{Listener: l}, address: l.Addr().String(), slots: make(chan struct{}, slots)}
	s.listener.cap.Store(capacity)
	s.ID, s.Service, s.Zone, s.Slots = id, service, "zone-a", slots
	s.Body = func(*http.Request) string {
		s.slots <- struct{}{}
		time.Sleep(time.Duration(s.work.Load()))
		<-s.slots
		return "answer"
	}
	go func() { _ = http.Serve(s.listener, &s.Server) }()
	return s, nil
}
