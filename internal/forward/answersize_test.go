package forward

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/catalog"
	"github.com/sardinespindle/sardinespindle/internal/ingress"
	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/policy/clientlimit"
	"github.com/sardinespindle/sardinespindle/internal/policy/repeat"
	"github.com/sardinespindle/sardinespindle/internal/policy/route"
	"github.com/sardinespindle/sardinespindle/internal/single"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

// largeRunner answers with 200 KB, or with less, while it is released.
type largeRunner struct {
	small   atomic.Bool
	runs    atomic.Int64
	release atomic.Pointer[chan struct{}]
}

func (l *largeRunner) Run(context.Context, single.Request) outcome.Outcome {
	l.runs.Add(1)
	if release := l.release.Load(); release != nil {
		<-*release
	}
	size := 200_000
	if l.small.Load() {
		size = 1000
	}
	return outcome.Outcome{Kind: caller.OutcomeAnswered, Result: []byte(strings.Repeat("x", size)), ResultStatus: http.StatusOK, Header: http.Header{}}
}

var _ = Describe("A server whose callers hold what they may", func() {
	var runner *largeRunner
	var statuses chan int
	var get func()
	BeforeEach(func() {
		r := &route.Route{Name: "read", Host: "h", Prefix: "/", Timeout: 5 * time.Second, Idempotent: true, Targets: []route.Target{{Service: "read", Weight: 1}}}
		c := &catalog.Catalog{
			Config:   &catalog.Config{Version: 1},
			Manifest: &manifest.Manifest{Workloads: map[string]*manifest.Workload{"read": {}}}, Table: route.NewTable([]*route.Route{r}),
		}
		runner = &largeRunner{}
		s := New(Options{
			Catalog: func() *catalog.Catalog { return c }, Headers: HeaderNames{RequestID: "Id", Deadline: "Deadline"}, Log: log.New(GinkgoWriter),
			Runner: runner, Poison: noPoison{}, Repeats: repeat.Limits{Window: time.Second}, VMs: func(string) int { return 1 },
			Gatherers: func() (map[string][]string, bool) { return nil, true }, Now: func() time.Duration { return 0 },
		})
		server := s.HTTPServer("")
		gate := ingress.New(ingress.Options{
			Listener: "callers", Capacity: clientlimit.Capacity{Memory: 400e3, Answers: 320e3, Connections: 100}, Metrics: ingress.NewMetrics(nil), Log: log.New(GinkgoWriter),
		})
		gate.Protect(server)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = server.Serve(gate.Listen(l)) }()
		DeferCleanup(server.Close)
		statuses = make(chan int, 10)
		get = func() {
			defer GinkgoRecover()
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			req, err := http.NewRequest(http.MethodGet, "http://"+l.Addr().String()+"/x", http.NoBody)
			Expect(err).NotTo(HaveOccurred())
			req.Host = "h"
			resp, err := client.Do(req)
			Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
			statuses <- resp.StatusCode
		}
	})

	// Guards against answers that exhaust the memory once requests have run and can't be refused any more.
	It("refuses a request unsent if there is no room for an answer as large as its route's last ones", func() {
		get()
		Expect(statuses).To(Receive(Equal(http.StatusOK)))

		release := make(chan struct{})
		runner.release.Store(&release)
		for n := range 4 {
			go get()
			Eventually(runner.runs.Load).Should(BeEquivalentTo(n + 2))
		}
		get()
		Expect(statuses).To(Receive(Equal(http.StatusServiceUnavailable)))
		Expect(runner.runs.Load()).To(BeEquivalentTo(5), "the refused request did not run")
		close(release)
		for range 4 {
			Eventually(statuses, 5*time.Second).Should(Receive(Equal(http.StatusOK)))
		}
	})

	// One large answer made a route refuse requests with 503 while nearly all room was free.
	It("does not refuse requests for one large answer among small ones", func() {
		answer := func() {
			get()
			Expect(statuses).To(Receive(Equal(http.StatusOK)))
		}
		answer() // a large one, from which on sizes are remembered
		runner.small.Store(true)
		for range 200 {
			answer()
		}
		runner.small.Store(false)
		answer()
		runner.small.Store(true)
		release := make(chan struct{})
		runner.release.Store(&release)
		before := runner.runs.Load()
		for range 10 {
			go get()
		}
		Eventually(runner.runs.Load).Should(BeEquivalentTo(before + 10))
		close(release)
		for range 10 {
			Eventually(statuses, 5*time.Second).Should(Receive(Equal(http.StatusOK)))
		}
	})
})
