package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sardinespindle/sardinespindle/platform"
	"github.com/sardinespindle/sardinespindle/platform/standin"
)

// env is what a case runs in: the store, the servers and the daemons.
type env struct {
	daemon, template string
	dir              string // for settings files
	started          time.Time

	mu     sync.Mutex // guards record
	record io.Writer

	store      *standin.Store
	storeAddr  string // the first
	closeStore func() // at that address
	ports      [3]int // of clients, peers and operators; the same on all VMs
	vms        []*vm
	closers    []func()
}

func newEnv(daemon, template string, record io.Writer) (*env, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	if daemon, err = filepath.Abs(daemon); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	e := &env{daemon: daemon, template: string(text), dir: dir, started: time.Now(), record: record, store: standin.NewStore()}
	e.closers = append(e.closers, func() { os.RemoveAll(dir) })
	for i := range e.ports {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		e.ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e.storeAddr, e.closeStore = l.Addr().String(), e.serve(l, e.store)
	return e, nil
}

// serve serves HTTP on a listener until the case ends, or until stop is called.
func (e *env) serve(l net.Listener, h http.Handler) (stop func()) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go s.Serve(l)
	stop = func() { s.Close() }
	e.closers = append(e.closers, stop)
	return stop
}

func (e *env) close() {
	for _, v := range e.vms {
		v.kill()
	}
	for _, c := range e.closers {
		c()
	}
}

// logf writes a line to the record, with the seconds since the start.
func (e *env) logf(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(e.record, "%8.3f  %s\n", time.Since(e.started).Seconds(), fmt.Sprintf(format, args...))
}

// vm is one daemon.
type vm struct {
	ip, front, ready string
	settings         string // the file
	cmd              *exec.Cmd
	exited           chan struct{}
	stderr           *tail
}

// startVMs starts daemons in the zones given, one for each, and waits until all are ready.
func (e *env) startVMs(ctx context.Context, zones ...string) error {
	var seeds []string
	for i := range zones {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("127.61.0.%d:%d", i+1, e.ports[1])))
	}
	for i, zone := range zones {
		if err := e.startVM(i, zone, seeds[:min(len(seeds), 3)]); err != nil {
			return err
		}
	}
	for _, v := range e.vms {
		if err := v.awaitReady(ctx); err != nil {
			return err
		}
	}
	e.logf("%d VMs are ready", len(e.vms))
	time.Sleep(2 * time.Second) // they learn of each other
	return nil
}

func (e *env) startVM(i int, zone string, seeds []string) error {
	ip := fmt.Sprintf("127.61.0.%d", i+1)
	admin := fmt.Sprintf("%s:%d", ip, e.ports[2])
	v := &vm{
		ip: ip, front: fmt.Sprintf("%s:%d", ip, e.ports[0]), ready: "http://" + admin + platform.ReadyPath,
		settings: filepath.Join(e.dir, fmt.Sprintf("node-%d.toml", i+1)), exited: make(chan struct{}), stderr: &tail{},
	}
	text := render(e.template, map[string]string{
		"node": fmt.Sprintf("edge-%s-%d", zone, i+1), "zone": zone,
		"listen.front": v.front, "listen.control": fmt.Sprintf("%s:%d", ip, e.ports[1]), "listen.readinessAddr": admin,
		"platform.address": e.storeAddr, "limits.cpuShare": "0.272", "limits.linkMbps": "700.0", "seeds|json": "[" + strings.Join(seeds, ",") + "]",
		"limits.memoryMb": "206", "limits.maxFds": "2870",
		"bounds.retryBudgetRatio": "0.2", "bounds.retryBudgetSlack": "108", "bounds.retryWindowS": "10", "bounds.graceS": "6",
	})
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		return err
	}
	v.cmd = exec.Command(e.daemon, "--settings", v.settings)
	v.cmd.Stderr = v.stderr
	v.cmd.Dir = e.dir
	if err := v.cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = v.cmd.Wait() // the exit status does not matter: each exit before kill is a fault
		close(v.exited)
	}()
	e.vms = append(e.vms, v)
	return nil
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-zA-Z.]+)\}\}(.*?)\{\{/[a-zA-Z.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-zA-Z.|]+)\}\}`)
)

// render fills in the template as the platform does, for values that are neither lists nor tables.
func render(template string, values map[string]string) string {
	text := section.ReplaceAllStringFunc(template, func(s string) string {
		m := section.FindStringSubmatch(s)
		if values[m[1]] == "" {
			return ""
		}
		return m[2]
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string { return values[placeholder.FindStringSubmatch(s)[1]] })
}

var errNotReady = errors.New("a VM is not ready")

func (v *vm) awaitReady(ctx context.Context) error {
	for range 100 {
		resp, err := http.Get(v.ready)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-v.exited:
			return fmt.Errorf("%w: %s ended: %s", errNotReady, v.ip, v.stderr.String())
		case <-time.After(100 * time.Millisecond):
		}
	}
	return fmt.Errorf("%w: %s", errNotReady, v.ip)
}

// hasExited reports whether the daemon has ended.
func (v *vm) hasExited() bool {
	select {
	case <-v.exited:
		return true
	default:
		return false
	}
}

func (v *vm) kill() {
	if !v.hasExited() {
		_ = v.cmd.Process.Signal(syscall.SIGKILL) // fails if it has just ended
		<-v.exited
	}
}

// tail keeps the first bytes written.
type tail struct {
	mu   sync.Mutex
	text []byte
}

const maxTail = 1 << 20

func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if room := maxTail - len(t.text); room > 0 {
		t.text = append(t.text, p[:min(room, len(p))]...)
	}
	return len(p), nil
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.text)
}
