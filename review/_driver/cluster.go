package main

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sardinespindle/sardinespindle/platform"
	"github.com/sardinespindle/sardinespindle/platform/standin"
)

// Ports of each machine.
const (
	callersPort = "8104"
	peersPort   = "8106"
	adminPort   = "8108"
)

// Bounds of a small deployment, as on its sheet.
const (
	configApply = 3 * time.Second // configApplyMs
	drainTime   = 3 * time.Second // drainMs
	heartbeat   = 1200 * time.Millisecond
)

// restartDelay is the pause after which the platform starts an ended process again.
const restartDelay = 300 * time.Millisecond

// cluster is the store, the servers and the daemons of one run.
type cluster struct {
	rec     *record
	dir     string // temporary
	binary  string
	store   *standin.Store
	address string // of the store
	vms     []*vm
	starter chan func()

	mu      sync.Mutex // guards the fields below
	servers map[string]*server
	version int // of the last configuration
}

// vmSpec describes a machine of the system.
type vmSpec struct{ ip, zone string }

// vm is a machine with its daemon.
type vm struct {
	vmSpec
	settings string

	mu      sync.Mutex // guards the fields below
	cmd     *exec.Cmd
	ended   chan struct{}
	closing bool // the driver ends it
	ends    int  // ends of the process by itself
}

func newCluster(rec *record, root string) (*cluster, error) {
	binary := filepath.Join(root, "target", "sardinespindle")
	if _, err := os.Stat(binary); err != nil {
		return nil, fmt.Errorf("the deploy file's build is missing: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cluster{
		rec: rec, dir: dir, binary: binary, store: standin.NewStore(), address: l.Addr().String(),
		starter: make(chan func()), servers: map[string]*server{}, version: 4,
	}
	go func() { _ = http.Serve(l, c.store) }()
	go func() {
		// The kernel ends the daemons with the thread that started them, so that thread must stay.
		runtime.LockOSThread()
		for start := range c.starter {
			start()
		}
	}()
	go c.beat()
	return c, nil
}

// publish writes the next version of the configuration.
func (c *cluster) publish(routes ...map[string]any) {
	c.mu.Lock()
	c.version += 3
	version, services := c.version, map[string]bool{}
	for _, s := range c.servers {
		services[s.service] = true
	}
	c.mu.Unlock()
	list := []map[string]any{}
	for _, name := range slices.Sorted(maps.Keys(services)) {
		list = append(list, map[string]any{"name": name, "healthPath": "/health", "maxConnections": 58, "protocol": "h1", "tls": false})
	}
	prefixes := []string{}
	for _, r := range routes {
		prefixes = append(prefixes, fmt.Sprint(r["pathPrefix"]))
	}
	c.store.Put(standin.ConfigKey, map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	c.rec.add("operator: the store has acknowledged version %d with routes %v", version, prefixes)
}

// searchRoute is a route over all shards, with the figures of catalogue-browse.
func searchRoute(name, prefix string, t topology) map[string]any {
	return map[string]any{
		"name": name, "host": standin.Host, "pathPrefix": prefix, "type": "idempotent", "timeoutMs": 3000, "targetLatencyMs": 200,
		"priority": 1, "gather": t.shards, "maxAttempts": 2, "topK": t.top, "minVersion": t.least,
	}
}

// singleRoute is a route to one service, with the figures of order-history.
func singleRoute(name, prefix, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": standin.Host, "pathPrefix": prefix, "type": kind, "timeoutMs": 15000, "targetLatencyMs": 800,
		"priority": 2, "service": service, "maxAttempts": 2,
	}
}

// startVMs starts perZone machines in each zone and waits until they are ready and know each other.
func (c *cluster) startVMs(ctx context.Context, perZone int, zones ...string) error {
	prefix, err := freeNet(perZone * len(zones))
	if err != nil {
		return err
	}
	for i := range perZone {
		for j, zone := range zones {
			c.vms = append(c.vms, &vm{vmSpec: vmSpec{ip: fmt.Sprintf("%s.%d", prefix, 1+i*len(zones)+j), zone: zone}})
		}
	}
	for _, v := range c.vms {
		if err := c.writeSettings(v); err != nil {
			return err
		}
		if err := c.start(v); err != nil {
			return err
		}
	}
	for _, v := range c.vms {
		if err := v.awaitReady(ctx); err != nil {
			return err
		}
	}
	time.Sleep(5 * time.Second)
	return nil
}

// freeNet returns the first three bytes of a loopback network on which the machines' ports are free.
func freeNet(machines int) (string, error) {
	for i := range 200 {
		prefix := fmt.Sprintf("127.%d.%d", 40+i, 1+os.Getpid()%250)
		if portsFree(prefix, machines) {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no loopback network with free ports")
}

func portsFree(prefix string, machines int) bool {
	for n := 1; n <= machines; n++ {
		for _, port := range []string{callersPort, peersPort, adminPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%s", prefix, n, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// writeSettings writes what the template of the deploy file yields for a machine.
func (c *cluster) writeSettings(v *vm) error {
	var seeds []string
	for _, s := range c.vms[:min(3, len(c.vms))] {
		seeds = append(seeds, `"`+net.JoinHostPort(s.ip, peersPort)+`"`)
	}
	v.settings = filepath.Join(c.dir, v.ip+".toml")
	return os.WriteFile(v.settings, fmt.Appendf(nil, `name = "edge-%s"
zone = "%s"

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
seeds = [%s]

[repeats]
ratio = 0.2
slack = 129
window_seconds = 10

[log]
level = "info"

[stop]
linger_ms = 2500
grace_ms = 6000
`, v.ip, v.zone, net.JoinHostPort(v.ip, callersPort), net.JoinHostPort(v.ip, peersPort), net.JoinHostPort(v.ip, adminPort), c.address, strings.Join(seeds, ",")), 0o600)
}

// start starts a machine's daemon with the command of the deploy file, and again whenever it ends by
// itself.
func (c *cluster) start(v *vm) error {
	logFile, err := os.OpenFile(v.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(c.binary, "--settings", v.settings)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.dir, "LANG=C"}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	c.starter <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return err
	}
	ended := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.ended = cmd, ended
	v.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = logFile.Close()
		v.mu.Lock()
		closing := v.closing
		if !closing {
			v.ends++
		}
		v.mu.Unlock()
		close(ended)
		if !closing {
			c.rec.add("machine %s: the process ended by itself: %v", v.ip, err)
			c.rec.addLines("  stderr: ", lastPanic(v.settings+".log"))
			time.Sleep(restartDelay)
			if !v.isClosing() {
				_ = c.start(v)
			}
		}
	}()
	return nil
}

func (v *vm) isClosing() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.closing
}

// lastPanic returns the first lines of the last panic in a log, and the project's functions in it.
func lastPanic(path string) (out []string) {
	b, err := os.ReadFile(path)
	i := strings.LastIndex(string(b), "\npanic: ")
	if err != nil || i < 0 {
		return nil
	}
	for n, line := range strings.Split(string(b[i+1:]), "\n") {
		if n < 2 {
			out = append(out, line)
		} else if k := strings.LastIndex(line, "("); k > 0 && strings.HasPrefix(line, "github.com/sardinespindle/") && len(out) < 10 {
			out = append(out, line[:k])
		}
	}
	return out
}

func (v *vm) awaitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		if resp, err := client.Get("http://" + net.JoinHostPort(v.ip, adminPort) + platform.ReadyPath); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("machine %s is not ready", v.ip)
}

// endsByThemselves returns how often daemons ended by themselves.
func (c *cluster) endsByThemselves() (n int) {
	for _, v := range c.vms {
		v.mu.Lock()
		n += v.ends
		v.mu.Unlock()
	}
	return n
}

// close ends all daemons.
func (c *cluster) close() {
	for _, v := range c.vms {
		v.mu.Lock()
		v.closing = true
		v.mu.Unlock()
	}
	time.Sleep(2 * restartDelay) // a start under way
	for _, v := range c.vms {
		v.mu.Lock()
		cmd, ended := v.cmd, v.ended
		v.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Kill()
			<-ended
		}
	}
	_ = os.RemoveAll(c.dir)
}
