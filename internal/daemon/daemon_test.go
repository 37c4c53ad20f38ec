package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/admin"
	"github.com/sardinespindle/sardinespindle/internal/daemon"
	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/platform"
	"github.com/sardinespindle/sardinespindle/internal/settings"
	"github.com/sardinespindle/sardinespindle/internal/standin"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

func TestDaemon(t *testing.T) { testkit.Run(t, "daemon") }

const (
	token  = "secret"
	linger = 200 * time.Millisecond
	// serviceTime is how long the upstream takes for a request; it outlasts the linger time.
	serviceTime = 600 * time.Millisecond
)

// address returns a loopback address that is free now.
func address() string {
	const ip = "127.34.0.1"
	return fmt.Sprintf("%s:%d", ip, testkit.FreePort(ip))
}

// publish commits a manifest to the platform. It has one single workload, which upstream
// serves.
func publish(p *standin.Platform, upstream string, generation int) {
	part := fmt.Sprintf(`{"workloads":[{"name":"news","kind":"single","idempotent":true}],
		"upstreams":[{"address":%q,"zone":"a","workload":"news","slots":4,"connection_limit":50}],
		"callers":[{"name":"teachers","token_sha256":%q,"grants":[{"workload":"news","deadline_ms":5000,"trade":"complete"}]}]}`,
		upstream, manifest.Digest([]byte(token)))
	digest := manifest.Digest([]byte(part))
	head, err := json.Marshal(gen.Head{Generation: generation, Parts: []gen.PartRef{{Digest: gen.Digest(digest), Bytes: len(part)}}})
	Expect(err).NotTo(HaveOccurred())
	p.Set(platform.PartKey(digest), []byte(part))
	p.Set(platform.HeadKey, head)
	p.Set(platform.VMsKey, []byte(`{"vms":[]}`))
}

// deferCleanup registers a cleanup for the end of the spec.
func deferCleanup(f func()) { DeferCleanup(f) }

// vm is a daemon in the process of the test, with its platform and its upstream.
type vm struct {
	callers, admin string
	upstream       string
	platform       *standin.Platform
	client         *http.Client
	stop           context.CancelFunc
	done           chan error
}

// start runs a VM until it is ready. disable lists mechanisms to switch off, as in the
// settings; service is the service time of the upstream.
func start(cleanup func(func()), disable string, service time.Duration) *vm {
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Spindle-Request-Id", r.Header.Get("Spindle-Request-Id"))
		if r.Method == http.MethodPost {
			_, _ = io.Copy(io.Discard, r.Body)
			time.Sleep(service)
			fmt.Fprint(w, "done")
		}
	}))
	cleanup(up.Close)
	p := standin.NewPlatform()
	publish(p, up.Listener.Addr().String(), 1)
	config := httptest.NewServer(p.Handler("vm-01"))
	cleanup(config.Close)
	v := &vm{
		callers: address(), admin: address(), done: make(chan error, 1),
		upstream: up.Listener.Addr().String(), platform: p, client: &http.Client{Transport: &http.Transport{}},
	}
	cleanup(v.client.CloseIdleConnections)
	s, err := settings.Parse(fmt.Appendf(nil, `
name = "vm-01"
zone = "a"
[listen]
callers = %q
peers = %q
admin = %q
[platform]
addresses = [%q]
watch_seconds = 1
[stop]
linger_ms = %d
[experiment]
disable = [%s]
`, v.callers, address(), v.admin, config.Listener.Addr().String(), linger.Milliseconds(), disable))
	Expect(err).NotTo(HaveOccurred())
	d, err := daemon.New(s, log.New(io.Discard))
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	v.stop = cancel
	cleanup(cancel)
	go func() { v.done <- d.Run(ctx) }()
	Eventually(func() int { return v.get("/readyz") }, "10s", "20ms").Should(Equal(http.StatusOK))
	return v
}

// get returns the HTTP status of a path of the admin interface; 0 if there is no reply.
func (v *vm) get(path string) int {
	resp, err := http.Get("http://" + v.admin + path)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// generation returns the manifest generation in force; 0 for none.
func (v *vm) generation() int {
	resp, err := http.Get("http://" + v.admin + "/v1/status")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var s admin.Status
	Expect(json.NewDecoder(resp.Body).Decode(&s)).To(Succeed())
	return s.Generation
}

// direct sends a request to the upstream itself.
func (v *vm) direct() error {
	resp, err := v.client.Post("http://"+v.upstream+"/request/news", "application/json", strings.NewReader("{}"))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// ask sends a request as a caller and returns the answer.
func (v *vm) ask() (caller.Reply, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+v.callers+"/v1/workloads/news/requests", strings.NewReader("{}"))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := v.client.Do(req)
	if err != nil {
		return caller.Reply{}, err
	}
	defer resp.Body.Close()
	var r caller.Reply
	return r, json.NewDecoder(resp.Body).Decode(&r)
}

// stopWithLoad sends a request, stops the VM while it runs, sends another one before the
// load balancer would have noticed, and returns how many of the two were answered.
func stopWithLoad(v *vm) int {
	replies := make(chan bool, 2)
	ask := func() {
		r, err := v.ask()
		replies <- err == nil && r.Outcome == caller.OutcomeAnswered
	}
	go ask()
	time.Sleep(serviceTime / 4)
	v.stop()
	time.Sleep(linger / 2)
	go ask()
	answered := 0
	for range 2 {
		if <-replies {
			answered++
		}
	}
	return answered
}

var _ = Describe("A daemon that is stopped", func() {
	// Guards against a stop that loses requests in flight, or those that the load balancer
	// sends before it has noticed the stop.
	It("answers running and new requests, and then ends without an error", func() {
		v := start(deferCleanup, "", serviceTime)
		Expect(stopWithLoad(v)).To(Equal(2))
		Eventually(v.done, "10s").Should(Receive(BeNil()))
	})

	// Shows that the check above can fail.
	It("answers neither running nor new requests if the mechanism graceful is off", func() {
		v := start(deferCleanup, `"graceful"`, serviceTime)
		Expect(stopWithLoad(v)).To(BeZero())
		Eventually(v.done, "10s").Should(Receive())
	})
})

var _ = Describe("A daemon that knows of no other VM", func() {
	// Guards against a lone VM that waits for a relay to send it manifests.
	It("gets a new manifest from the platform itself", func() {
		v := start(deferCleanup, "", 0)
		publish(v.platform, v.upstream, 2)
		Eventually(v.generation, "5s", "50ms").Should(Equal(2))
	})
})

// BenchmarkHop measures the latency of requests to an upstream that replies at once, without
// and with an idle VM in between.
func BenchmarkHop(b *testing.B) {
	RegisterTestingT(b)
	v := start(b.Cleanup, "", 0)
	measure := func(name string, ask func() error) {
		const requests = 1000
		latencies := make([]time.Duration, 0, requests)
		for range requests {
			start := time.Now()
			Expect(ask()).To(Succeed())
			latencies = append(latencies, time.Since(start))
		}
		slices.Sort(latencies)
		b.ReportMetric(float64(latencies[requests/2].Microseconds()), name+"-p50-us")
		b.ReportMetric(float64(latencies[requests*99/100].Microseconds()), name+"-p99-us")
	}
	through := func() error { _, err := v.ask(); return err }
	for b.Loop() {
		measure("direct", v.direct)
		measure("vm", through)
	}
}
