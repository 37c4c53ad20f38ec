package forward

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/catalog"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/policy/route"
	"github.com/sardinespindle/sardinespindle/internal/single"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

// Load pattern: all VMs return from a loss of power at once, and callers ask them before they have their first
// catalog. These requests were refused, and most callers had no time left to resend them.
var _ = Describe("A request that comes before the first catalog", func() {
	var s *Server
	var current atomic.Pointer[catalog.Catalog]
	var first chan struct{}
	BeforeEach(func() {
		current.Store(nil)
		first = make(chan struct{})
		s = New(Options{
			Catalog: current.Load, FirstCatalog: first, Poison: noPoison{}, VM: "vm-1", Zone: "a", Log: log.New(GinkgoWriter),
			Headers: HeaderNames{RequestID: "Id", Deadline: "Deadline"}, VMs: func(string) int { return 3 }, Now: func() time.Duration { return time.Second },
			Gatherers: func() (map[string][]string, bool) { return nil, true },
			Runner: runnerFunc(func(single.Request) outcome.Outcome {
				return outcome.Outcome{Kind: caller.OutcomeAnswered, ResultStatus: http.StatusOK, Header: http.Header{}}
			}),
		})
	})
	call := func(deadline string) int {
		r := httptest.NewRequest(http.MethodGet, "http://h/x", nil)
		r.Header.Set("Deadline", deadline)
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		return w.Code
	}

	It("waits for it and is served", func() {
		go func() {
			defer GinkgoRecover()
			time.Sleep(20 * time.Millisecond)
			current.Store(newVersion(1, nil, []string{"orders"},
				&route.Route{Name: "r", Host: "h", Prefix: "/", Targets: []route.Target{{Service: "orders", Weight: 1}}, Timeout: 15 * time.Second}))
			close(first)
		}()
		Expect(call("15000")).To(Equal(http.StatusOK))
	})

	It("is refused after a quarter of the time that its caller waits", func() {
		Expect(call("40")).To(Equal(http.StatusServiceUnavailable))
	})

	It("is refused at once if no catalog is expected any more, or the caller does not say how long it waits", func() {
		Expect(call("")).To(Equal(http.StatusServiceUnavailable))
		Expect(call("NaN")).To(Equal(http.StatusServiceUnavailable))
		close(first)
		Expect(call("1e300")).To(Equal(http.StatusServiceUnavailable))
	})
})
