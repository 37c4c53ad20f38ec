package settings_test

import (
	"os"
	"path/filepath"
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

var _ = Describe("Watcher", func() {
	It("tells of a changed file once, and keeps what it had where the text is refused", func() {
		path := filepath.Join(GinkgoT().TempDir(), "settings.toml")
		write := func(text string) { Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed()) }
		write(good)
		w := settings.NewWatcher(path)
		_, changed, err := w.Look()
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(BeFalse())

		write(good + "\n[fleet]\nseeds = [\"127.1.0.9:8081\"]\n")
		s, changed, err := w.Look()
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(BeTrue())
		Expect(s.Fleet.Seeds).To(HaveLen(1))

		write(good + "\nunknown = 1\n")
		_, changed, err = w.Look()
		Expect(err).To(HaveOccurred())
		Expect(changed).To(BeFalse())
		_, changed, err = w.Look()
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(BeFalse())
	})
})
