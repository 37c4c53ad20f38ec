package catalog

import (
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/sardinespindle/sardinespindle/internal/policy/route"
)

// drawConfig draws a configuration of few services, so that versions share some of them.
func drawConfig(t *rapid.T, version int) *Config {
	c := &Config{Version: version}
	var shards []string
	for i := range 4 {
		if rapid.Bool().Draw(t, "published") {
			name := fmt.Sprintf("s%d", i)
			c.Services = append(c.Services, Service{
				Name: name, ConnectionLimit: rapid.IntRange(1, 2).Draw(t, "limit"), ColdPerSecond: float64(rapid.IntRange(0, 1).Draw(t, "tolerated")),
			})
			shards = append(shards, name)
		}
	}
	c.Routes = []*route.Route{{Name: "search", Host: "h", Prefix: "/", Shards: shards}}
	return c
}

// drawEntries draws entries of few identities at few addresses.
func drawEntries(t *rapid.T) []Entry {
	var entries []Entry
	for i := range 6 {
		if rapid.Bool().Draw(t, "listed") {
			entries = append(entries, Entry{
				Identity: fmt.Sprintf("i%d", i), Service: fmt.Sprintf("s%d", rapid.IntRange(0, 3).Draw(t, "service")),
				Address: fmt.Sprintf("10.0.0.%d:80", rapid.IntRange(0, 4).Draw(t, "address")), Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"),
				Slots: rapid.IntRange(0, 2).Draw(t, "slots"), Draining: rapid.Bool().Draw(t, "draining"),
				StartedUnixMs: int64(rapid.IntRange(0, 1).Draw(t, "started")), WarmupLeft: time.Duration(rapid.IntRange(0, 1).Draw(t, "left")),
				Position: Position{Revision: int64(rapid.IntRange(1, 9).Draw(t, "revision"))},
			})
		}
	}
	return entries
}

// A catalog that takes over what did not change must not keep an upstream, a zone or a search of the one before.
var _ = ginkgo.Describe("A catalog compiled from the one in force", func() {
	ginkgo.It("is the same as one compiled anew", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			var older *Catalog
			config := drawConfig(t, 1)
			for step := range rapid.IntRange(2, 8).Draw(t, "steps") {
				if rapid.Bool().Draw(t, "new version") {
					config = drawConfig(t, step+2)
				}
				entries := drawEntries(t)
				evacuated := rapid.SampledFrom([][]string{nil, {"a"}, {"a", "b"}}).Draw(t, "evacuated")
				anew := compile(config, slices.Clone(entries), evacuated, nil)
				older = compile(config, entries, evacuated, older)
				if !reflect.DeepEqual(older, anew) {
					t.Fatalf("step %d: %+v, compiled anew: %+v", step, older, anew)
				}
			}
		})
	})
})
