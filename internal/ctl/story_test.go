package ctl_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/ctl"
)

var _ = Describe("explain --logs", func() {
	write := func(name, text string) string {
		path := filepath.Join(GinkgoT().TempDir(), name)
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return path
	}
	run := func(args ...string) (string, error) {
		var out bytes.Buffer
		err := ctl.Run(context.Background(), args, &out, GinkgoWriter)
		return out.String(), err
	}

	It("prints the lines about one request from the logs of several VMs, ordered by time", func() {
		a := write("a.log", "not JSON r1\n"+
			`{"time":"2026-07-06T04:12:24.300Z","level":"info","msg":"request","vm":"a","id":"r1","outcome":"unknown","detail":"slow:3"}`+"\n"+
			`{"time":"2026-07-06T04:12:24.400Z","level":"info","msg":"request","vm":"a","id":"r2","outcome":"answered"}`+"\n")
		b := write("b.log", `  1.2 b {"time":"2026-07-06T04:12:24.200Z","level":"info","msg":"request for another VM","vm":"b","id":"r1","from":"a"}`+"\n")
		out, err := run("explain", "--logs", a, "--logs", b, "--request", "r1")
		Expect(err).NotTo(HaveOccurred())
		lines := strings.Split(strings.TrimSpace(out), "\n")
		Expect(lines).To(HaveLen(3))
		Expect(lines[1]).To(And(ContainSubstring("request for another VM"), ContainSubstring("from=a")))
		Expect(lines[2]).To(ContainSubstring("detail=slow:3"))
	})

	It("prints what the VMs of the request came to believe shortly before, and a path lost earlier", func() {
		line := func(at, msg, vm, more string) string {
			return fmt.Sprintf(`{"time":"2026-07-06T04:12:%sZ","level":"info","msg":%q,"vm":%q%s}`, at, msg, vm, more) + "\n"
		}
		a := write("a.log", line("02.000", "path to upstreams changed", "a", `,"reached":true`)+
			line("03.000", "path to upstreams changed", "a", `,"reached":false`)+
			line("04.000", "upstream leaves", "a", `,"address":"old"`)+
			line("23.000", "upstream names a limit", "a", `,"address":"x"`)+
			line("24.000", "request", "a", `,"id":"r1"`)+
			line("25.000", "upstream leaves", "a", `,"address":"later"`))
		b := write("b.log", line("23.500", "upstream leaves", "b", `,"address":"of another VM"`))
		out, err := run("explain", "--logs", a, "--logs", b, "--request", "r1")
		Expect(err).NotTo(HaveOccurred())
		lines := strings.Split(strings.TrimSpace(out), "\n")
		Expect(lines).To(HaveLen(4))
		Expect(lines[1]).To(ContainSubstring("reached=false"))
		Expect(lines[2]).To(ContainSubstring("names a limit"))
		Expect(lines[3]).To(ContainSubstring("request"))
	})

	It("fails if no line names the request, and if a flag is missing, which the error names", func() {
		a := write("a.log", "")
		_, err := run("explain", "--logs", a, "--request", "r1")
		Expect(err).To(MatchError(ContainSubstring("no line of this request")))
		_, err = run("explain", "--logs", a)
		Expect(err).To(MatchError(ContainSubstring("--request")))
		_, err = run("explain", "w")
		Expect(err).To(MatchError(ContainSubstring("--vm")))
	})
})
