package ctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/admin"
	"github.com/sardinespindle/sardinespindle/internal/ctl"
	"github.com/sardinespindle/sardinespindle/internal/replyhead"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
)

func TestCtl(t *testing.T) { testkit.Run(t, "ctl") }

const examples = "../../examples"

func run(args ...string) (string, error) {
	var out, errOut bytes.Buffer
	err := ctl.Run(context.Background(), args, &out, &errOut)
	return out.String(), err
}

func files(deployment string) []string {
	parts, err := filepath.Glob(filepath.Join(examples, deployment, "part-*.json"))
	Expect(err).NotTo(HaveOccurred())
	return append([]string{filepath.Join(examples, deployment, "head.json")}, parts...)
}

var _ = Describe("spindlectl", func() {
	DescribeTable("manifest check accepts the example manifests",
		func(deployment string, upstreams float64) {
			out, err := run(append([]string{"--output", "json", "manifest", "check"}, files(deployment)...)...)
			Expect(err).NotTo(HaveOccurred())
			var s map[string]any
			Expect(json.Unmarshal([]byte(out), &s)).To(Succeed())
			Expect(s["upstreams"]).To(Equal(upstreams))
		},
		Entry("Klapka", "klapka", 115.0),
		Entry("Kervan", "kervan", 130.0),
	)

	// An operator has to see which upstreams get few requests because they are cold.
	It("status lists for how long an upstream is cold, why, and what the VM may send it", func() {
		vm := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(admin.Status{Upstreams: []upstream.State{
				{Address: "10.0.0.1:80", Cold: &upstream.Cold{LeftMs: 2500, Source: "entry", PerSecond: 12, Share: 2}}, {Address: "10.0.0.2:80"},
			}})
		}))
		DeferCleanup(vm.Close)
		out, err := run("status", "--vm", strings.TrimPrefix(vm.URL, "http://"), "--upstreams")
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Count(out, "2.5s (entry), 2 of 12/s")).To(Equal(1))
	})

	It("manifest check lists every problem of an invalid manifest", func() {
		dir := GinkgoT().TempDir()
		head, err := os.ReadFile(files("klapka")[0])
		Expect(err).NotTo(HaveOccurred())
		bad := strings.Replace(string(head), `"generation"`, `"generatoin"`, 1)
		path := filepath.Join(dir, "head.json")
		Expect(os.WriteFile(path, []byte(bad), 0o600)).To(Succeed())
		out, err := run("manifest", "check", path)
		Expect(err).To(MatchError(ContainSubstring("2 problems")))
		Expect(out).To(And(ContainSubstring("generatoin"), ContainSubstring("'generation'")))
	})

	It("returns a UsageError for an invalid command line, and another error for a VM out of reach", func() {
		_, err := run("manifest")
		Expect(err).To(BeAssignableToTypeOf(ctl.UsageError{}))
		_, err = run("status", "--vm", "127.0.0.1:1")
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(BeAssignableToTypeOf(ctl.UsageError{}))
	})

	DescribeTable("status fails if the head of the VM's reply is not valid", func(head string) {
		_, err := run("status", "--vm", testkit.ServeReplies(head+"Content-Length: 2\r\nConnection: close\r\n\r\n{}"))
		Expect(err).To(MatchError(replyhead.ErrInvalid))
	},
		Entry("by its status", "HTTP/1.1 000 Trouble\r\n"),
		Entry("by the name of a field", "HTTP/1.1 200 OK\r\nBad Name: x\r\n"),
	)

	It("status lists the evacuated zones, and no line of them if there are none", func() {
		evacuated := `,"evacuated":["zone-a","zone-c"]`
		vm := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"name":"vm-1","zone":"zone-a"` + evacuated + `}`))
		}))
		defer vm.Close()
		address := strings.TrimPrefix(vm.URL, "http://")
		out, err := run("status", "--vm", address)
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring("Evacuated zones: zone-a, zone-c\n"))
		evacuated = ""
		out, err = run("status", "--vm", address)
		Expect(err).NotTo(HaveOccurred())
		Expect(out).NotTo(ContainSubstring("Evacuated"))
	})

	It("query prints the reason and fails if the request is not answered", func() {
		vm := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(`{"outcome":"not_run","reason":"overloaded","generation":3,"trace_id":"x"}`))
		}))
		defer vm.Close()
		out, err := run("query", "--vm", strings.TrimPrefix(vm.URL, "http://"), "parts-finder", "jack")
		Expect(err).To(MatchError(ContainSubstring("not_run")))
		Expect(out).To(ContainSubstring("overloaded"))
	})

	It("trace show prints the spans of one trace as a tree, whatever their order in the file", func() {
		at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		span := func(trace, id, parent, name string, ms int) string {
			return fmt.Sprintf(`{"Name":%q,"SpanContext":{"TraceID":%q,"SpanID":%q},"Parent":{"SpanID":%q},"StartTime":%q,"EndTime":%q,"Attributes":[{"Key":"shard","Value":{"Type":"STRING","Value":"s01"}}]}`,
				name, trace, id, parent, at.Add(time.Duration(ms)*time.Millisecond).Format(time.RFC3339Nano), at.Add(time.Duration(ms+5)*time.Millisecond).Format(time.RFC3339Nano))
		}
		file := filepath.Join(GinkgoT().TempDir(), "vm-01.out")
		text := span("t1", "b", "a", "subrequest", 2) + "\n" + span("t2", "x", "", "other", 0) + span("t1", "a", "", "caller request", 0)
		Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
		out, err := run("trace", "show", "t1", file)
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(MatchRegexp(`caller request .*\n  subrequest +2.0ms +5.0ms +shard=s01`))
		Expect(out).NotTo(ContainSubstring("other"))
		_, err = run("trace", "show", "t3", file)
		Expect(err).To(HaveOccurred())
	})
})
