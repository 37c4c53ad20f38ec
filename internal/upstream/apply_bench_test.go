package upstream

import (
	"fmt"
	"testing"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/manifest"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// BenchmarkApply measures a new manifest in which one of 810 upstreams of 270 shards changed.
func BenchmarkApply(b *testing.B) {
	c, err := New(Options{VM: "vm-1", Zone: "a", ManifestOnly: true, Share: func(*gen.Upstream) int { return 8 }, MayPreconnect: func() bool { return false }})
	if err != nil {
		b.Fatal(err)
	}
	build := func(n int) *manifest.Manifest {
		m := &manifest.Manifest{Workloads: map[string]*manifest.Workload{}, Upstreams: map[string]*gen.Upstream{}}
		for i := range 810 {
			name := fmt.Sprintf("parts~%d", i/3)
			w := m.Workloads[name]
			if w == nil {
				w = &manifest.Workload{Workload: gen.Workload{Name: gen.Name(name), Kind: gen.WorkloadKindSingle}}
				m.Workloads[name] = w
			}
			identity := fmt.Sprintf("i-%d", i)
			if i == 5 {
				identity = fmt.Sprintf("i-5-%d", n)
			}
			u := &gen.Upstream{Address: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200), Identity: identity, Zone: "a", Workload: gen.Name(name), Slots: 3, ConnectionLimit: 175}
			m.Upstreams[u.Address] = u
			w.Upstreams = append(w.Upstreams, u)
		}
		return m
	}
	manifests := []*manifest.Manifest{build(0), build(1)}
	c.Apply(manifests[0])
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		c.Apply(manifests[n%2])
	}
	b.ReportMetric(float64(b.Elapsed())/float64(b.N)/float64(time.Microsecond), "us/apply")
}
