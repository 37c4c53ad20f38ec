package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/relay"
	"github.com/sardinespindle/sardinespindle/internal/standin"
)

// Loopback addresses, VMs counted from 1: 127.NET.0.N is VM N, 127.NET.1.N the platform
// as VM N sees it, 127.NET.(99+I).J the link from VM I to VM J. Upstreams use the third
// octets from 10 to 23.
const (
	callerPort   = 8080
	peerPort     = 8081
	adminPort    = 8082
	platformPort = 8083
	controlPort  = 8084
	lockPort     = 8085

	firstNet = 30
	lastNet  = 250
	linkNet  = 100
	maxVMs   = 20
)

// voteAfter is the time after a VM's start from which it votes on new orders. Its guard
// abstains on keys created less than 4 s (FutureSkew and ClockSkew of package once) after the
// guard's admission, and on all earlier keys.
const voteAfter = 5 * time.Second

const (
	readyTimeout = 20 * time.Second
	readyPoll    = 50 * time.Millisecond
	callTimeout  = 2 * time.Second
)

// Options describes a cluster.
type Options struct {
	BinDir     string
	Deployment string
	VMs        int
	Seed       uint64
	Policy     string
	Disable    []string
	LingerMs   int
	// Self is the spindlebench binary, which serves the upstreams.
	Self string
	// Dir receives settings and logs.
	Dir string
}

// Cluster is a running set of stand-ins and daemons. Platform, the links, Do and Log are safe
// for concurrent use. Only one goroutine at a time may change a VM, or the deployment.
type Cluster struct {
	Options
	Platform   *standin.Platform
	Deployment *Deployment
	VMs        []*VM
	Generation int
	net        int
	lock       net.Listener
	http       *http.Client
	servers    []*http.Server
	links      [][]*relay.Relay
	upstreams  *process
	parts      map[string]bool // digests already published
}

// NewCluster starts the stand-ins and the daemons, and waits until each VM is ready.
func NewCluster(ctx context.Context, o Options) (*Cluster, error) {
	if o.VMs < 1 || o.VMs > maxVMs {
		return nil, fmt.Errorf("cluster: %d VMs, want 1 to %d", o.VMs, maxVMs)
	}
	c := &Cluster{
		Options:  o,
		Platform: standin.NewPlatform(),
		http:     &http.Client{Timeout: callTimeout},
		parts:    map[string]bool{},
	}
	if err := c.start(ctx); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	if err := c.reserveNet(ctx); err != nil {
		return err
	}
	var err error
	if c.Deployment, err = NewDeployment(c.Options.Deployment, c.net); err != nil {
		return err
	}
	if err := os.MkdirAll(c.Dir, dirMode); err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	if err := c.startUpstreams(ctx); err != nil {
		return err
	}
	if err := c.Commit(); err != nil {
		return err
	}
	if err := c.prepareVMs(ctx); err != nil {
		return err
	}
	for _, vm := range c.VMs {
		if err := c.StartVM(vm); err != nil {
			return err
		}
	}
	return c.WaitReady(ctx)
}

// reserveNet reserves a second octet that no other bench on this machine uses, by listening
// on its lock port.
func (c *Cluster) reserveNet(ctx context.Context) error {
	var lc net.ListenConfig
	for n := firstNet; n <= lastNet; n++ {
		l, err := lc.Listen(ctx, "tcp", fmt.Sprintf("127.%d.0.254:%d", n, lockPort))
		if err == nil {
			c.net, c.lock = n, l
			return nil
		}
	}
	return errors.New("cluster: no free loopback net")
}

func (c *Cluster) address(third, fourth, port int) string {
	return fmt.Sprintf("%s:%d", c.ip(third, fourth), port)
}

func (c *Cluster) ip(third, fourth int) string {
	return fmt.Sprintf("127.%d.%d.%d", c.net, third, fourth)
}

func (c *Cluster) startUpstreams(ctx context.Context) error {
	file := filepath.Join(c.Dir, "upstreams.json")
	body, err := json.Marshal(c.Deployment.Parts())
	if err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	if err := os.WriteFile(file, body, fileMode); err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	c.upstreams, err = start(c.Dir, "upstreams", c.Self, "standin", "upstreams",
		"--parts", file, "--control", c.control(), "--seed", fmt.Sprint(c.Seed))
	if err != nil {
		return err
	}
	return c.wait(ctx, "upstreams", func() bool { return c.get(ctx, "http://"+c.control()+"/v1/log", nil) == nil })
}

func (c *Cluster) control() string { return c.address(0, 253, controlPort) }

// Commit publishes the deployment as the next generation.
func (c *Cluster) Commit() error {
	p, err := Publish(c.Deployment.Parts(), c.Generation+1, timestamp())
	if err != nil {
		return err
	}
	c.Generation++
	for i, body := range p.Parts {
		if !c.parts[p.Digests[i]] {
			c.parts[p.Digests[i]] = true
			c.Platform.Set("manifest/parts/"+p.Digests[i], body)
		}
	}
	c.Platform.Set("manifest/head", p.Head)
	return nil
}

func (c *Cluster) wait(ctx context.Context, what string, ok func() bool) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if ok() {
			return nil
		}
		time.Sleep(readyPoll)
	}
	return fmt.Errorf("cluster: %s not ready in %v (logs in %s)", what, readyTimeout, c.Dir)
}

// get fetches and decodes a JSON document; if into is nil, it checks only the status.
func (c *Cluster) get(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("get: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("get: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("get %s: status %d", url, resp.StatusCode)
	}
	if into == nil {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return fmt.Errorf("get %s: %w", url, err)
	}
	return nil
}

// Do sends a command to the upstreams.
func (c *Cluster) Do(ctx context.Context, cmd standin.Command) error {
	body, err := json.Marshal(cmd)
	if err != nil {
		return fmt.Errorf("command: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.control()+"/v1/command", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("command: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("command: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("command: status %d", resp.StatusCode)
	}
	return nil
}

// Log returns what the upstreams ran.
func (c *Cluster) Log(ctx context.Context) (standin.Log, error) {
	var l standin.Log
	err := c.get(ctx, "http://"+c.control()+"/v1/log", &l)
	return l, err
}

// Close stops all processes and servers, daemons before upstreams.
func (c *Cluster) Close() error {
	var errs []error
	for _, vm := range c.VMs {
		if vm.proc != nil && vm.proc.alive() {
			errs = append(errs, vm.proc.signal(syscall.SIGCONT), vm.proc.signal(syscall.SIGTERM))
		}
	}
	for _, vm := range c.VMs {
		if vm.proc != nil && vm.proc.alive() {
			errs = append(errs, vm.proc.stop())
		}
	}
	if c.upstreams != nil {
		errs = append(errs, c.upstreams.stop())
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	for _, row := range c.links {
		for _, r := range row {
			if r != nil {
				r.Close()
			}
		}
	}
	if c.lock != nil {
		_ = c.lock.Close()
	}
	return errors.Join(errs...)
}
