package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/settings"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/settings"
)

func TestSettings(t *testing.T) { testkit.Run(t, "settings") }

const validText = `
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
	It("fills in defaults", func() {
		s, err := settings.Parse([]byte(validText))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Platform.WatchSeconds).To(Equal(30))
		Expect(s.Stop.LingerMs).To(Equal(3000))
		Expect(*s.Cold).To(Equal(gen.Cold{Overage: 1}))
	})

	// The platform renders whole numbers without a decimal point, and a missing value as an empty line.
	DescribeTable("takes the bound of cold upstreams as rendered", func(lines string, want gen.Cold) {
		s, err := settings.Parse([]byte(validText + "[cold]\n" + lines))
		Expect(err).NotTo(HaveOccurred())
		Expect(*s.Cold).To(Equal(want))
	},
		Entry("both", "overage = 1.5\nslack = 5\n", gen.Cold{Overage: 1.5, Slack: 5}),
		Entry("none", "\n\n", gen.Cold{Overage: 1}),
		Entry("one", "\nslack = 5.0\n", gen.Cold{Overage: 1, Slack: 5}),
	)

	// The template of the users' platform leaves a value out that is not published.
	It("reads limits of the machine, each of which may be missing", func() {
		s, err := settings.Parse([]byte(validText))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Limits.MemoryMb).To(BeZero())
		s, err = settings.Parse([]byte(validText + "[limits]\n\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Limits.Descriptors).To(BeZero())
		s, err = settings.Parse([]byte(validText + "[limits]\nmemory_mb = 136\ndescriptors = 2870\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Limits.MemoryMb).To(BeEquivalentTo(136))
		Expect(s.Limits.Descriptors).To(BeEquivalentTo(2870))
	})

	DescribeTable("rejects invalid text and names the keys",
		func(extra string, want ...string) {
			_, err := settings.Parse([]byte(validText + extra))
			for _, w := range want {
				Expect(err).To(MatchError(ContainSubstring(w)))
			}
		},
		Entry("an unknown key", "[log]\ncolour = \"red\"\n", "log", "colour"),
		Entry("an unknown table", "[cluster]\nseed = 1\n", "cluster"),
		Entry("an invalid value", "[log]\nlevel = \"loud\"\n", "log.level"),
		Entry("two problems at once", "[log]\nlevel = \"loud\"\n[stop]\nlinger_ms = -1\n", "log.level", "stop.linger_ms"),
		Entry("an exporter without an endpoint", "[trace]\nexporter = \"otlp\"\n", "trace.endpoint"),
		Entry("a value of the wrong type", "[stop]\nlinger_ms = \"3s\"\n", "stop.linger_ms"),
	)

	It("rejects a host name as an address, and one address for two listeners", func() {
		_, err := settings.Parse([]byte("name=\"a\"\nzone=\"z\"\n[listen]\ncallers=\"localhost:1\"\npeers=\"127.0.0.1:2\"\nadmin=\"127.0.0.1:2\"\n[platform]\naddresses=[\"127.0.0.1:3\"]\n"))
		Expect(err).To(MatchError(ContainSubstring("listen.callers")))
		_, err = settings.Parse([]byte("name=\"a\"\nzone=\"z\"\n[listen]\ncallers=\"127.0.0.1:1\"\npeers=\"127.0.0.1:2\"\nadmin=\"127.0.0.1:2\"\n[platform]\naddresses=[\"127.0.0.1:3\"]\n"))
		Expect(err).To(MatchError(ContainSubstring("same address as listen.peers")))
	})
})

var _ = Describe("Watcher", func() {
	// Guards against a log line about the same invalid file every two seconds.
	It("returns the settings of a changed file, and reports an invalid text once", func() {
		path := filepath.Join(GinkgoT().TempDir(), "settings.toml")
		write := func(text string) { Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed()) }
		write(validText)
		w := settings.NewWatcher(path)
		_, changed, err := w.Poll()
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(BeFalse())

		write(validText + "\n[fleet]\nseeds = [\"127.1.0.9:8081\"]\n")
		s, changed, err := w.Poll()
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(BeTrue())
		Expect(s.Fleet.Seeds).To(HaveLen(1))

		write(validText + "\nunknown = 1\n")
		_, changed, err = w.Poll()
		Expect(err).To(HaveOccurred())
		Expect(changed).To(BeFalse())
		_, changed, err = w.Poll()
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(BeFalse())
	})
})
