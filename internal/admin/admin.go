// Package admin serves metrics, health and status to operators over HTTP. No request
// to it changes the state of the VM. Its handlers run concurrently and hold no lock, so the
// functions in Options must be safe for concurrent use.
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
	idleTimeout       = 2 * time.Minute
	maxExplainBytes   = 64 << 10
	// MaxHeaderBytes bounds the head of a request.
	MaxHeaderBytes = 16 << 10
	// maxReports is how many answers with metrics or status, which are large, are written at once.
	maxReports = 4
)

// limitReports refuses requests while maxReports of them are answered.
func limitReports(reports chan struct{}, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case reports <- struct{}{}:
			defer func() { <-reports }()
			h.ServeHTTP(w, r)
		default:
			w.Header().Set("Retry-After", "1")
			http.Error(w, "too many reports at once", http.StatusServiceUnavailable)
		}
	})
}

// Options configures the HTTP interface.
type Options struct {
	// Ready reports whether the VM takes new requests.
	Ready  func() bool
	Status func() Status
	// Explain returns how a request would be treated now; optional.
	Explain  func(ExplainRequest) Explanation
	Gatherer prometheus.Gatherer
	// ReadyPath is a path that reports readiness besides /readyz; optional.
	ReadyPath string
	Log       *log.Logger
}

// Handler returns the HTTP handler of the interface. It serves /v1/explain only if
// o.Explain is set.
func Handler(o Options) http.Handler {
	mux := http.NewServeMux()
	reports := make(chan struct{}, maxReports)
	mux.Handle("GET /metrics", limitReports(reports, promhttp.HandlerFor(o.Gatherer, promhttp.HandlerOpts{})))
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
	mux.Handle("GET /v1/status", limitReports(reports, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, o.Log, o.Status()) })))
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
	return &http.Server{
		Addr: addr, Handler: Handler(o), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: MaxHeaderBytes,
	}
}

func writeJSON(w http.ResponseWriter, l *log.Logger, v any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(v); err != nil {
		l.Debug("admin response not written", "reason", err)
	}
}
