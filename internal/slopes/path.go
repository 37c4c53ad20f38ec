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

// PathResult is what one sub-request over HTTP costs.
type PathResult struct {
	Subrequests int `json:"subrequests"`
	// CPU of one sub-request in microseconds, the stand-in's side included.
	CPUMicros float64 `json:"cpu_us_per_subrequest"`
	// Latency of one sub-request in microseconds, one at a time.
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
	m, err := oneServer(strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		return PathResult{}, err
	}
	c.Apply(m)
	w := m.Workloads["search"]
	body := []byte(`{"query":"jack","limit":10}`)
	if err := sendOne(c, w, "warm", body); err != nil {
		return PathResult{}, err
	}
	cpu, begin := cpuTime(), time.Now()
	for i := range n {
		if err := sendOne(c, w, fmt.Sprint(i), body); err != nil {
			return PathResult{}, err
		}
	}
	return PathResult{
		Subrequests: n,
		CPUMicros:   float64((cpuTime() - cpu).Microseconds()) / float64(n),
		Micros:      float64(time.Since(begin).Microseconds()) / float64(n),
	}, nil
}

func sendOne(c *upstream.Client, w *manifest.Workload, id string, body []byte) error {
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

func oneServer(address string) (*manifest.Manifest, error) {
	p := workloadPart(1)
	u := server(0, 1)
	u.Address = address
	p.Upstreams = []gen.Upstream{u}
	head, texts, err := publish(1, []gen.Part{p})
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
