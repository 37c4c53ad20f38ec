package settings_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/settings"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestSettings(t *testing.T) { testkit.Run(t, "settings") }

const good = `
name = "vm-01"
zone = "morava-1"
[listen]
callers = "127.1.0.1:8080"
peers = "127.1.0.1:8081"
admin = "127.1.0.1:8082"
[platform]
addresses = ["127.0.0.1:7000"]
`

var _ = Describe("Parse", func() {
	It("fills defaults", func() {
		s, err := settings.Parse([]byte(good))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Platform.WatchSeconds).To(Equal(30))
		Expect(s.Stop.LingerMs).To(Equal(3000))
	})

	DescribeTable("refuses by key",
		func(extra string, want ...string) {
			_, err := settings.Parse([]byte(good + extra))
			for _, w := range want {
				Expect(err).To(MatchError(ContainSubstring(w)))
			}
		},
		Entry("unknown key", "[log]\ncolour = \"red\"\n", "log", "colour"),
		Entry("unknown table", "[cluster]\nseed = 1\n", "cluster"),
		Entry("bad value", "[log]\nlevel = \"loud\"\n", "log.level"),
		Entry("two problems at once", "[log]\nlevel = \"loud\"\n[stop]\nlinger_ms = -1\n", "log.level", "stop.linger_ms"),
		Entry("exporter without endpoint", "[trace]\nexporter = \"otlp\"\n", "trace.endpoint"),
		Entry("wrong type", "[stop]\nlinger_ms = \"3s\"\n", "stop.linger_ms"),
	)

	It("refuses host names and duplicate addresses", func() {
		_, err := settings.Parse([]byte("name=\"a\"\nzone=\"z\"\n[listen]\ncallers=\"localhost:1\"\npeers=\"127.0.0.1:2\"\nadmin=\"127.0.0.1:2\"\n[platform]\naddresses=[\"127.0.0.1:3\"]\n"))
		Expect(err).To(MatchError(ContainSubstring("listen.callers")))
		_, err = settings.Parse([]byte("name=\"a\"\nzone=\"z\"\n[listen]\ncallers=\"127.0.0.1:1\"\npeers=\"127.0.0.1:2\"\nadmin=\"127.0.0.1:2\"\n[platform]\naddresses=[\"127.0.0.1:3\"]\n"))
		Expect(err).To(MatchError(ContainSubstring("same address as listen.peers")))
	})
})
