package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
	upstreamgen "github.com/sardinespindle/sardinespindle/schema/gen/upstream"
)

// PathResult is the cost of sub-requests over HTTP.
type PathResult struct {
	Subrequests int `json:"subrequests"`
	// CPUMicros is the CPU time of one sub-request, including the server's side.
	CPUMicros float64 `json:"cpu_us_per_subrequest"`
	// Micros is the latency of one sub-request, sent one at a time.
	Micros float64 `json:"us_per_subrequest"`
}

// Path sends n sub-requests over loopback to a server that replies at once.
func Path(n int) (PathResult, error) {
	server := httptest.NewServer(http.HandlerFunc(replyAtOnce))
	defer server.Close()
	c, err := upstream.New(upstream.Options{
		VM: "vm-01", Zone: "zone-0", Log: log.New(io.Discard), Registerer: prometheus.NewRegistry(),
	})
	if err != nil {
		return PathResult{}, err
	}
	defer c.Close()
	m, err := singleServerManifest(strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		return PathResult{}, err
	}
	c.Apply(m)
	w := m.Workloads["search"]
	body := []byte(`{"query":"jack","limit":10}`)
	if err := sendSubrequest(c, w, "warm", body); err != nil {
		return PathResult{}, err
	}
	cpu, start := cpuTime(), time.Now()
	for i := range n {
		if err := sendSubrequest(c, w, fmt.Sprint(i), body); err != nil {
			return PathResult{}, err
		}
	}
	return PathResult{
		Subrequests: n,
		CPUMicros:   float64((cpuTime() - cpu).Microseconds()) / float64(n),
		Micros:      float64(time.Since(start).Microseconds()) / float64(n),
	}, nil
}

func sendSubrequest(c *upstream.Client, w *manifest.Workload, id string, body []byte) error {
	t, err := c.Pick(w, "s000", nil, false)
	if err != nil {
		return err
	}
	r := c.Do(context.Background(), t, upstream.Attempt{
		Kind: upstream.Search, Workload: "search", Shard: "s000", RequestID: id,
		Deadline: time.Now().Add(time.Second), Body: body,
	})
	if r.Class != upstream.OK {
		return fmt.Errorf("sub-request %s: %w", id, r.Err)
	}
	return nil
}

func singleServerManifest(address string) (*manifest.Manifest, error) {
	p := workloadPart(1)
	u := exampleUpstream(0, 1)
	u.Address = address
	p.Upstreams = []gen.Upstream{u}
	head, texts, err := encodeManifest(1, []gen.Part{p})
	if err != nil {
		return nil, err
	}
	return manifest.NewBuilder().Build(head, texts)
}

func replyAtOnce(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Spindle-Request-Id")
	w.Header().Set("Spindle-Request-Id", id)
	if r.Method != http.MethodPost {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	reply := upstreamgen.Reply{
		RequestId: id, Shard: r.Header.Get("Spindle-Shard"),
		Snapshot:      upstreamgen.Snapshot{Index: 1, Map: 1},
		Documents:     []upstreamgen.Document{{Id: "d", Score: 1}},
		DocumentsHeld: 1,
	}
	_ = json.NewEncoder(w).Encode(reply)
}
