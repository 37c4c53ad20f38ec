package main

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestMain(m *testing.M) {
	if path := os.Getenv(settingsVariable); path != "" {
		if err := run(options{settings: path}); err != nil {
			println(err.Error())
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func TestSardinespindle(t *testing.T) { testkit.Run(t, "sardinespindle") }

// settingsVariable names the variable that makes this test program run as the daemon with
// the given settings file.
const settingsVariable = "SPINDLE_TEST_SETTINGS"

const forwarderSettings = `
name = "vm-1"
zone = "a"

[listen]
callers = "127.9.0.1:0"
peers = "127.9.0.2:0"
admin = "127.9.0.3:0"

[platform]
kind = "catalog"
addresses = ["127.0.0.1:1"]

[fleet]
capacity = 1
seeds = ["127.0.0.1:2"]

[repeats]
ratio = 0.2
slack = 10
window_seconds = 10

[log]
level = "info"

[stop]
linger_ms = 300
grace_ms = 2000
`

func startDaemon() *exec.Cmd {
	path := filepath.Join(GinkgoT().TempDir(), "settings.toml")
	Expect(os.WriteFile(path, []byte(forwarderSettings), 0o600)).To(Succeed())
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), settingsVariable+"="+path)
	cmd.Stderr = GinkgoWriter
	stdout, err := cmd.StdoutPipe()
	Expect(err).NotTo(HaveOccurred())
	Expect(cmd.Start()).To(Succeed())
	lines := bufio.NewScanner(stdout)
	for lines.Scan() && !strings.Contains(lines.Text(), `"started"`) {
		continue // the signal handlers are installed before this line
	}
	return cmd
}

var _ = Describe("A daemon that is told to stop", func() {
	// The handler of SIGTERM was removed when the daemon had stopped, so that a signal which
	// arrived before the process exited killed it.
	It("exits without an error although SIGTERM is repeated until it has exited", func() {
		cmd := startDaemon()
		exited := make(chan error, 1)
		go func() { exited <- cmd.Wait() }()
		deadline := time.After(10 * time.Second)
		for {
			_ = cmd.Process.Signal(syscall.SIGTERM)
			select {
			case err := <-exited:
				Expect(err).NotTo(HaveOccurred())
				return
			case <-deadline:
				_ = cmd.Process.Kill()
				Fail("the daemon did not exit within 10 s")
			default:
			}
		}
	})
})

var _ = Describe("The command line", func() {
	It("takes a settings file, with one dash or two", func() {
		for _, args := range [][]string{{"--settings", "a.toml"}, {"--settings=a.toml"}, {"-settings", "a.toml"}} {
			o, err := parseFlags(args, GinkgoWriter)
			Expect(err).NotTo(HaveOccurred())
			Expect(o.settings).To(Equal("a.toml"))
			Expect(o.check).To(BeFalse())
		}
		o, err := parseFlags([]string{"--settings", "a.toml", "--check"}, GinkgoWriter)
		Expect(err).NotTo(HaveOccurred())
		Expect(o.check).To(BeTrue())
	})
	// Guards against a daemon that ignores a misspelled flag or a stray word.
	DescribeTable("refuses", func(args ...string) {
		_, err := parseFlags(args, GinkgoWriter)
		Expect(err).To(HaveOccurred())
	},
		Entry("no settings"),
		Entry("an unknown flag", "--settings", "a.toml", "--chek"),
		Entry("an argument", "--settings", "a.toml", "check"),
	)
})
