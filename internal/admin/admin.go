// Package admin serves operators: metrics, health and read-only status. Nothing it
// serves changes anything. It has no lock of its own.
package admin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	readHeaderTimeout = 5 * time.Second
	maxExplainBytes   = 64 << 10
)

// Options configures the interface.
type Options struct {
	// Ready reports whether the VM takes new requests.
	Ready func() bool
	// Status returns the status, to be encoded as JSON.
	Status func() Status
	// Explain says what a request would meet now.
	Explain  func(ExplainRequest) Explanation
	Gatherer prometheus.Gatherer
	// ReadyPath is a second path that tells readiness, besides /readyz; optional.
	ReadyPath string
	Log       *log.Logger
}

// Handler returns the HTTP handler of the interface.
func Handler(o Options) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(o.Gatherer, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	ready := func(w http.ResponseWriter, _ *http.Request) {
		if !o.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
	mux.HandleFunc("GET /readyz", ready)
	if o.ReadyPath != "" {
		mux.HandleFunc("GET "+o.ReadyPath, ready)
	}
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, o.Log, o.Status()) })
	if o.Explain == nil {
		return mux
	}
	mux.HandleFunc("POST /v1/explain", func(w http.ResponseWriter, r *http.Request) {
		var q ExplainRequest
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxExplainBytes)).Decode(&q); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, o.Log, o.Explain(q))
	})
	return mux
}

// Server returns the HTTP server that serves the interface on an address.
func Server(addr string, o Options) *http.Server {
	return &http.Server{Addr: addr, Handler: Handler(o), ReadHeaderTimeout: readHeaderTimeout}
}

func writeJSON(w http.ResponseWriter, l *log.Logger, v any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(v); err != nil {
		l.Debug("status not written", "reason", err)
	}
}
