package callers_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardinespindle/sardinespindle/internal/admission"
	"github.com/sardinespindle/sardinespindle/internal/callers"
	"github.com/sardinespindle/sardinespindle/internal/gather"
	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/single"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

func TestCallers(t *testing.T) { testkit.Run(t, "callers") }

// fakeBackend is a Searcher and a Runner that counts its calls and returns one result.
type fakeBackend struct {
	calls    int
	deadline time.Time
	result   outcome.Outcome
}

func (b *fakeBackend) Search(_ context.Context, s gather.Search) outcome.Outcome {
	b.calls++
	b.deadline = s.Deadline
	return b.result
}

func (b *fakeBackend) Run(context.Context, single.Request) outcome.Outcome {
	b.calls++
	return b.result
}

func digest(token string) gen.Digest {
	sum := sha256.Sum256([]byte(token))
	return gen.Digest(hex.EncodeToString(sum[:]))
}

// testManifest declares a caller with grants for a sharded and a single workload, and a
// caller without grants.
func testManifest(callerRate float64) *manifest.Manifest {
	search := &manifest.Workload{Workload: gen.Workload{Name: "parts", Kind: gen.WorkloadKindSharded, Idempotent: true, MaxBodyBytes: 65536}}
	orders := &manifest.Workload{Workload: gen.Workload{Name: "orders", Kind: gen.WorkloadKindSingle, MaxBodyBytes: 64, ResendWindowMs: 1000}}
	c := &manifest.Caller{Caller: gen.Caller{Name: "builders", TokenSha256: digest("secret")}, ByWorkload: map[string]*gen.Grant{
		"parts":  {Workload: "parts", DeadlineMs: 200, Trade: gen.GrantTradePartial, Rate: callerRate},
		"orders": {Workload: "orders", DeadlineMs: 200, Trade: gen.GrantTradeComplete, Rate: callerRate},
	}}
	other := &manifest.Caller{Caller: gen.Caller{Name: "strangers", TokenSha256: digest("other")}, ByWorkload: map[string]*gen.Grant{}}
	return &manifest.Manifest{
		Generation: 3,
		Workloads:  map[string]*manifest.Workload{"parts": search, "orders": orders},
		Callers:    map[string]*manifest.Caller{string(digest("secret")): c, string(digest("other")): other},
	}
}

// vm serves the callers' interface with a fakeBackend.
type vm struct {
	*httptest.Server
	backend  *fakeBackend
	server   *callers.Server
	registry *prometheus.Registry
	ready    bool
}

// health returns the status of the health check.
func (v *vm) health() int {
	resp, err := http.Get(v.URL + "/v1/health")
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	return resp.StatusCode
}

func newVM(m *manifest.Manifest) *vm {
	v := &vm{backend: &fakeBackend{result: outcome.Outcome{Kind: caller.OutcomeAnswered}}, registry: prometheus.NewRegistry()}
	a := admission.New(admission.Options{VMs: func() int { return 1 }})
	if m != nil {
		a.Apply(m)
	}
	v.server = callers.New(callers.Options{
		Manifest: func() *manifest.Manifest { return m }, Ready: func() bool { return v.ready }, Searcher: v.backend, Runner: v.backend,
		Admission: a, Log: log.New(io.Discard), Registerer: v.registry,
	})
	v.Server = httptest.NewServer(v.server.Handler())
	DeferCleanup(v.Close)
	return v
}

// post sends a request and returns its answer; headers are pairs of name and value.
func (v *vm) post(path, body string, headers ...string) (*http.Response, caller.Reply) {
	req, err := http.NewRequest(http.MethodPost, v.URL+"/v1/workloads/"+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer secret")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var r caller.Reply
	Expect(json.NewDecoder(resp.Body).Decode(&r)).To(Succeed())
	return resp, r
}

var _ = Describe("an invalid request", func() {
	key := uuid.Must(uuid.NewV7()).String()
	DescribeTable("is rejected with its reason and reaches no upstream:",
		func(path, body string, status int, reason outcome.Reason, headers ...string) {
			v := newVM(testManifest(0))
			resp, r := v.post(path, body, headers...)
			Expect(resp.StatusCode).To(Equal(status), r.Detail)
			Expect(r.Outcome).To(Equal(caller.OutcomeRejected))
			Expect(r.Reason).To(BeEquivalentTo(reason))
			Expect(v.backend.calls).To(BeZero())
		},
		Entry("body that is not JSON", "parts/search", `{"query":`, 400, outcome.BadRequest),
		Entry("body with an unknown key", "parts/search", `{"query":"x","colour":1}`, 400, outcome.BadRequest),
		Entry("limit below its minimum of 1", "parts/search", `{"query":"x","limit":0}`, 400, outcome.BadRequest),
		Entry("body of two JSON values", "parts/search", `{"query":"x"}{"query":"y"}`, 400, outcome.BadRequest),
		Entry("body of 65 bytes where 64 are allowed", "orders/requests", strings.Repeat("x", 65), 413, outcome.TooLarge, "Idempotency-Key", key),
		Entry("unknown workload", "nothing/search", `{"query":"x"}`, 404, outcome.UnknownWorkload),
		Entry("search on a workload that is not sharded", "orders/search", `{"query":"x"}`, 400, outcome.BadRequest),
		Entry("missing token", "parts/search", `{"query":"x"}`, 401, outcome.Unauthorized, "Authorization", ""),
		Entry("unknown token", "parts/search", `{"query":"x"}`, 401, outcome.Unauthorized, "Authorization", "Bearer guess"),
		Entry("caller without a grant for the workload", "parts/search", `{"query":"x"}`, 403, outcome.Forbidden, "Authorization", "Bearer other"),
		Entry("deadline that is not a number", "parts/search", `{"query":"x"}`, 400, outcome.BadRequest, "Spindle-Deadline-Ms", "soon"),
		Entry("deadline of 0 ms", "parts/search", `{"query":"x"}`, 400, outcome.BadRequest, "Spindle-Deadline-Ms", "0"),
		Entry("order without an idempotency key", "orders/requests", `{}`, 400, outcome.MissingKey),
		Entry("order with a key that is a UUIDv4, not a UUIDv7", "orders/requests", `{}`, 400, outcome.BadKey, "Idempotency-Key", uuid.NewString()),
		Entry("order with a key of 4000 bytes", "orders/requests", `{}`, 400, outcome.BadKey, "Idempotency-Key", strings.Repeat("k", 4000)),
	)
})

var _ = Describe("a caller", func() {
	// Otherwise a caller could occupy capacity for longer than its grant allows.
	It("can shorten the deadline of its grant, but not extend it", func() {
		v := newVM(testManifest(0))
		v.post("parts/search", `{"query":"x"}`, "Spindle-Deadline-Ms", "50")
		Expect(time.Until(v.backend.deadline)).To(BeNumerically("<=", 50*time.Millisecond))
		v.post("parts/search", `{"query":"x"}`, "Spindle-Deadline-Ms", "999999")
		Expect(time.Until(v.backend.deadline)).To(BeNumerically("<=", 200*time.Millisecond))
	})

	// Retry-After counts whole seconds: if it were rounded down, the caller would resend too early.
	It("gets not_run with Retry-After within 100 ms once its rate limit is used up", func() {
		v := newVM(testManifest(1))
		v.post("parts/search", `{"query":"x"}`)
		start := time.Now()
		resp, r := v.post("parts/search", `{"query":"x"}`)
		Expect(time.Since(start)).To(BeNumerically("<", 100*time.Millisecond))
		Expect(resp.StatusCode).To(Equal(http.StatusTooManyRequests))
		Expect(r.Outcome).To(Equal(caller.OutcomeNotRun))
		Expect(r.RetryAfterMs).To(BeNumerically(">", 0))
		seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
		Expect(err).NotTo(HaveOccurred())
		Expect(seconds * 1000).To(BeNumerically(">=", r.RetryAfterMs))
		Expect(v.backend.calls).To(Equal(1))
	})

	// After not_run a caller may order anew; an order that another VM ran would run twice.
	It("gets unknown, not not_run, for a shed order unless it is marked as a first attempt", func() {
		v := newVM(testManifest(1))
		key := uuid.Must(uuid.NewV7()).String()
		v.post("orders/requests", `{}`, "Idempotency-Key", key)
		_, r := v.post("orders/requests", `{}`, "Idempotency-Key", key)
		Expect(r.Outcome).To(Equal(caller.OutcomeUnknown))
		_, r = v.post("orders/requests", `{}`, "Idempotency-Key", uuid.Must(uuid.NewV7()).String(), "Spindle-First-Attempt", "true")
		Expect(r.Outcome).To(Equal(caller.OutcomeNotRun))
	})

	// A VM without a manifest knows no callers or workloads, so it must not reject requests that
	// other VMs accept.
	It("gets not_run with the reason no_manifest while the VM has no manifest", func() {
		_, r := newVM(nil).post("parts/search", `{"query":"x"}`)
		Expect(r.Outcome).To(Equal(caller.OutcomeNotRun))
		Expect(r.Reason).To(BeEquivalentTo(outcome.NoManifest))
	})

	// The load balancer sends requests until it has seen the health check fail.
	It("is answered while the VM is stopping, on a connection that closes, and the health check fails", func() {
		v := newVM(testManifest(0))
		v.server.Stop()
		resp, r := v.post("parts/search", `{"query":"x"}`)
		Expect(r.Outcome).To(Equal(caller.OutcomeAnswered))
		Expect(resp.Close).To(BeTrue())
		v.ready = true
		Expect(v.health()).To(Equal(http.StatusServiceUnavailable))
	})

	// A metric with a label value for each path that anybody sends grows without a bound.
	It("adds no label to the metrics if its token is rejected or the VM has no manifest", func() {
		for _, m := range []*manifest.Manifest{testManifest(0), nil} {
			v := newVM(m)
			for i := range 3 {
				v.post(fmt.Sprintf("made-up-%d/search", i), `{"query":"x"}`, "Authorization", "Bearer made-up")
			}
			families, err := v.registry.Gather()
			Expect(err).NotTo(HaveOccurred())
			Expect(families).To(HaveLen(1))
			Expect(families[0].GetMetric()).To(HaveLen(1))
		}
	})

	It("sees the health check fail until the VM is ready", func() {
		v := newVM(testManifest(0))
		Expect(v.health()).To(Equal(http.StatusServiceUnavailable))
		v.ready = true
		Expect(v.health()).To(Equal(http.StatusOK))
	})
})
