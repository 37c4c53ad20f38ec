package ctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/ctl"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
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
	DescribeTable("accepts the example manifests",
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

	It("names every problem of a bad manifest", func() {
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

	It("tells wrong usage from a failed check", func() {
		_, err := run("manifest")
		Expect(err).To(BeAssignableToTypeOf(ctl.UsageError{}))
		_, err = run("status", "--vm", "127.0.0.1:1")
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(BeAssignableToTypeOf(ctl.UsageError{}))
	})

	It("fails where a query is not answered", func() {
		vm := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(`{"outcome":"not_run","reason":"overloaded","generation":3,"trace_id":"x"}`))
		}))
		defer vm.Close()
		out, err := run("query", "--vm", strings.TrimPrefix(vm.URL, "http://"), "parts-finder", "jack")
		Expect(err).To(MatchError(ContainSubstring("not_run")))
		Expect(out).To(ContainSubstring("overloaded"))
	})
})
