package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/sardinespindle/sardinespindle/platform"
	"github.com/sardinespindle/sardinespindle/platform/standin"
	"github.com/sardinespindle/sardinespindle/schema/gen/settings"
)

// MemoryOptions configures a measurement of the memory and the processor time of daemons that
// serve a catalog of the users' platform.
type MemoryOptions struct {
	BinDir, Dir string
	VMs         int
	// Shards is the number of shards at the start, LaterShards after the repartitioning.
	Shards, LaterShards int
	// Connections is the number of connections that each upstream accepts.
	Connections int
	// Idle is how long the fleet runs without requests, Load how long with them: a third of it
	// before, during and after the repartitioning.
	Idle, Load time.Duration
	// Rate is in requests a second to the whole fleet; every third is a search.
	Rate float64
}

// MemorySample is the resources that one process uses, in MB and in milliseconds of processor time.
type MemorySample struct {
	RSS, Anon, File, Peak float64
	CPUMs                 float64
}

// MemoryResult has the samples of each VM.
type MemoryResult struct {
	Started, Idle, Loaded []MemorySample
	Answered, Failed      int64
}

// Net octets and reply size of the upstreams of a measurement.
const (
	memoryServerNet    = 20
	memoryServersOfNet = 250
	memoryReplyRecords = 10
	memoryCallers      = 64
)

// memoryRun is one measurement under way.
type memoryRun struct {
	*Cluster
	o       MemoryOptions
	store   *standin.Store
	closers []func()
	procs   []*process
	next    int // index of the next upstream
}

// Memory runs a fleet on loopback addresses and samples its processes when they have started, at
// the end of a time without requests, and at the end of a time under load.
func Memory(ctx context.Context, o MemoryOptions) (*MemoryResult, error) {
	m := &memoryRun{
		o: o, store: standin.NewStore(),
		Cluster: &Cluster{Options: Options{BinDir: o.BinDir, Dir: o.Dir}, http: &http.Client{Timeout: callTimeout}},
	}
	defer m.close()
	if err := m.prepare(ctx); err != nil {
		return nil, fmt.Errorf("memory: %w", err)
	}
	r := &MemoryResult{}
	for i := range o.VMs {
		p, err := start(o.Dir, m.ip(0, i+1), filepath.Join(o.BinDir, "sardinespindle"), "--settings", m.settingsFile(i))
		if err != nil {
			return nil, err
		}
		m.procs = append(m.procs, p)
	}
	for i := range o.VMs {
		admin := "http://" + m.address(0, i+1, adminPort) + "/ready"
		if err := m.wait(ctx, m.ip(0, i+1), func() bool { return m.get(ctx, admin, nil) == nil }); err != nil {
			return nil, err
		}
	}
	r.Started = m.sample()
	time.Sleep(o.Idle)
	r.Idle = m.sample()
	m.load(ctx, r)
	r.Loaded = m.sample()
	return r, m.stop()
}

// prepare starts the stand-ins, publishes the first configuration and writes the settings.
func (m *memoryRun) prepare(ctx context.Context) error {
	if err := m.reserveNet(ctx); err != nil {
		return err
	}
	if err := os.MkdirAll(m.o.Dir, dirMode); err != nil {
		return fmt.Errorf("directory: %w", err)
	}
	if err := m.serve(ctx, m.address(1, 250, platformPort), m.store); err != nil {
		return err
	}
	for i := range soakReplicas {
		for _, service := range []string{"orders", "news"} {
			if err := m.addServer(ctx, service, i); err != nil {
				return err
			}
		}
	}
	if err := m.addShards(ctx, "shard", m.o.Shards); err != nil {
		return err
	}
	m.publish(1, "shard", m.o.Shards)
	for i := range m.o.VMs {
		if err := m.writeSettings(i); err != nil {
			return err
		}
	}
	return nil
}

func (m *memoryRun) serve(ctx context.Context, address string, h http.Handler) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("stand-in: %w", err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	m.closers = append(m.closers, func() { _ = srv.Close() })
	go func() { _ = srv.Serve(l) }()
	return nil
}

func (m *memoryRun) addShards(ctx context.Context, prefix string, n int) error {
	for i := range n {
		for replica := range soakReplicas {
			if err := m.addServer(ctx, fmt.Sprintf("%s-%d", prefix, i), replica); err != nil {
				return err
			}
		}
	}
	return nil
}

// addServer starts an upstream of a service and publishes its entry.
func (m *memoryRun) addServer(ctx context.Context, service string, replica int) error {
	i := m.next
	m.next++
	var body strings.Builder
	for n := range memoryReplyRecords {
		body.WriteString(fmt.Sprintf("%016d", (i*memoryReplyRecords+n)*7919%1_000_000)[:recordSize])
	}
	srv := &standin.Server{
		ID: fmt.Sprintf("i-%08x", i*2654435761%(1<<32)), Service: service, Zone: fmt.Sprintf("zone-%d", replica), Slots: soakSlots,
		Body: func(*http.Request) string { return body.String() },
	}
	address := m.address(memoryServerNet+i/memoryServersOfNet, 1+i%memoryServersOfNet, upstreamPort)
	if err := m.serve(ctx, address, srv); err != nil {
		return err
	}
	m.store.Put(standin.EntryKey(srv.ID), srv.Entry(address, "ready"))
	return nil
}

func (m *memoryRun) publish(version int, prefix string, shards int) {
	names := make([]string, shards)
	for i := range names {
		names[i] = fmt.Sprintf("%s-%d", prefix, i)
	}
	m.store.Put(standin.ConfigKey, standin.Config(version, names, nil, m.o.Connections))
}

func (m *memoryRun) settingsFile(i int) string {
	return filepath.Join(m.o.Dir, m.ip(0, i+1)+".toml")
}

func (m *memoryRun) writeSettings(i int) error {
	name := m.ip(0, i+1)
	set := settings.Settings{
		Name: name, Zone: fmt.Sprintf("zone-%d", i%soakReplicas),
		Listen: settings.Listen{
			Callers: settings.Address(m.address(0, i+1, callerPort)), Peers: settings.Address(m.address(0, i+1, peerPort)),
			Admin: settings.Address(m.address(0, i+1, adminPort)),
		},
		Platform: settings.Platform{
			Kind: settings.PlatformKindCatalog, Addresses: []settings.Address{settings.Address(m.address(1, 250, platformPort))}, WatchSeconds: 30,
		},
		Fleet:   &settings.Fleet{Capacity: 1},
		Repeats: &settings.Repeats{Ratio: soakRatio, Slack: soakSlack, WindowSeconds: soakWindow.Seconds()},
		Log:     &settings.Log{Level: settings.LogLevelInfo, Format: settings.LogFormatJson},
		Stop:    &settings.Stop{LingerMs: 0, GraceMs: 1000},
	}
	for n := range min(soakSeedVMs, m.o.VMs) {
		set.Fleet.Seeds = append(set.Fleet.Seeds, settings.Address(m.address(0, n+1, peerPort)))
	}
	body, err := toml.Marshal(set)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := os.WriteFile(m.settingsFile(i), body, fileMode); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// load sends requests at the rate of the options, and repartitions meanwhile.
func (m *memoryRun) load(ctx context.Context, r *MemoryResult) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerVM, DisableCompression: true}, Timeout: soakDeadline + replySlack}
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	slots := make(chan struct{}, memoryCallers)
	rng := rand.New(rand.NewPCG(1, 1))
	begin := time.Now()
	third := m.o.Load / 3
	done := ctx.Done()
	stage := 0
	for n := 0; time.Since(begin) < m.o.Load; n++ {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(rng.ExpFloat64() / m.o.Rate * float64(time.Second))):
		}
		if stage == 0 && time.Since(begin) > third {
			stage = 1
			wg.Go(func() { _ = m.addShards(ctx, "later", m.o.LaterShards) })
		}
		if stage == 1 && time.Since(begin) > 2*third {
			stage = 2
			m.publish(2, "later", m.o.LaterShards)
		}
		select {
		case slots <- struct{}{}:
		default:
			atomic.AddInt64(&r.Failed, 1)
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			if m.call(client, n) {
				atomic.AddInt64(&r.Answered, 1)
			} else {
				atomic.AddInt64(&r.Failed, 1)
			}
		})
	}
	wg.Wait()
}

// call sends request n to one VM after the other and reports whether it was answered.
func (m *memoryRun) call(client *http.Client, n int) bool {
	method, path := http.MethodGet, "/find/"
	switch n % 3 {
	case 1:
		path = "/read/"
	case 2:
		method, path = http.MethodPost, "/order/"
	}
	url := "http://" + m.address(0, n%m.o.VMs+1, callerPort) + path + strconv.Itoa(n)
	req, err := http.NewRequest(method, url, strings.NewReader("body")) //nolint:noctx // the client has a timeout
	if err != nil {
		return false
	}
	req.Host = standin.Host
	req.Header.Set(platform.RequestID, strconv.Itoa(n))
	req.Header.Set(platform.Deadline, strconv.FormatInt(soakDeadline.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// sample returns the resources of each process up to now. A process that was asked to by its
// environment writes a heap profile at that.
func (m *memoryRun) sample() (samples []MemorySample) {
	profiled := os.Getenv("SPINDLE_HEAPPROFILE") != ""
	for _, p := range m.procs {
		if profiled {
			_ = p.signal(syscall.SIGUSR1) // fails only if the process has ended
		}
		pid := p.cmd.Process.Pid
		s := MemorySample{CPUMs: taskMilliseconds(pid)}
		if body, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)); err == nil {
			s.RSS, s.Anon = statusMB(string(body), "VmRSS:"), statusMB(string(body), "RssAnon:")
			s.File, s.Peak = statusMB(string(body), "RssFile:"), statusMB(string(body), "VmHWM:")
		}
		samples = append(samples, s)
	}
	return samples
}

// statusMB returns a field of /proc/PID/status that is in kB; 0 if it is not there.
func statusMB(status, field string) float64 {
	_, rest, _ := strings.Cut(status, field)
	f := strings.Fields(rest)
	if len(f) == 0 {
		return 0
	}
	kb, err := strconv.ParseFloat(f[0], 64)
	if err != nil {
		return 0
	}
	return kb / 1000
}

// taskMilliseconds returns the processor time of a process's threads. /proc/PID/stat has a
// resolution of 10 ms, too coarse for a start.
func taskMilliseconds(pid int) (ms float64) {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, file := range files {
		body, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		text, _, _ := strings.Cut(string(body), " ")
		if ns, err := strconv.ParseFloat(text, 64); err == nil {
			ms += ns / 1e6
		}
	}
	return ms
}

func (m *memoryRun) stop() error {
	var errs []error
	for _, p := range m.procs {
		errs = append(errs, p.stop())
	}
	return errors.Join(errs...)
}

func (m *memoryRun) close() {
	for _, p := range m.procs {
		if p.alive() {
			_ = p.kill()
		}
	}
	for _, f := range m.closers {
		f()
	}
	if m.lock != nil {
		_ = m.lock.Close()
	}
}
