package doccheck_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

const root = "../.."

func TestDoccheck(t *testing.T) { testkit.Run(t, "doccheck") }

// pages returns the text of every Markdown page by its path.
func pages() map[string]string {
	out := map[string]string{}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && strings.HasPrefix(d.Name(), ".") && path != root {
			return filepath.SkipDir
		}
		if d.IsDir() || filepath.Ext(path) != ".md" {
			return nil
		}
		text, err := os.ReadFile(path)
		out[path] = string(text)
		return err
	})
	Expect(err).NotTo(HaveOccurred())
	return out
}

// sources returns the text of every Go file and Makefile, concatenated.
func sources() string {
	var all strings.Builder
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && strings.HasPrefix(d.Name(), ".") && path != root {
			return filepath.SkipDir
		}
		if filepath.Ext(path) != ".go" && d.Name() != "Makefile" {
			return nil
		}
		text, err := os.ReadFile(path)
		all.Write(text)
		return err
	})
	Expect(err).NotTo(HaveOccurred())
	return all.String()
}

// forEachMatch calls fn with the first group of every match of a pattern in the pages.
func forEachMatch(pattern string, fn func(page, found string)) {
	re := regexp.MustCompile(pattern)
	for page, text := range pages() {
		for _, m := range re.FindAllStringSubmatch(text, -1) {
			fn(page, m[1])
		}
	}
}

var _ = Describe("the pages", func() {
	It("link only to files that exist", func() {
		forEachMatch(`\]\(([^)#:]+)[^)]*\)`, func(page, link string) {
			_, err := os.Stat(filepath.Join(filepath.Dir(page), link))
			Expect(err).NotTo(HaveOccurred(), "%s links to %s", page, link)
		})
	})

	It("name only make targets that exist", func() {
		text, err := os.ReadFile(filepath.Join(root, "Makefile"))
		Expect(err).NotTo(HaveOccurred())
		forEachMatch("`?make ([a-z-]+)`", func(page, target string) {
			Expect("\n"+string(text)).To(ContainSubstring("\n"+target+":"), page)
		})
	})

	It("name only packages that exist", func() {
		forEachMatch("`((?:internal|cmd|schema)/[a-z/]+)`", func(page, dir string) {
			_, err := os.Stat(filepath.Join(root, dir))
			Expect(err).NotTo(HaveOccurred(), "%s names %s", page, dir)
		})
	})

	It("name only experiments and metrics that exist", func() {
		code := sources()
		forEachMatch(`--experiment ([a-z-]+)`, func(page, name string) {
			Expect(code).To(ContainSubstring(`"`+name+`"`), page)
		})
		forEachMatch(`(spindle_[a-z_]+)`, func(page, name string) {
			Expect(code).To(ContainSubstring(`"`+name+`"`), page)
		})
	})

	It("name no path of a particular machine", func() {
		forEachMatch(`(/(?:work|root|home|tmp)/[a-z])`, func(page, path string) {
			Fail(page + " names " + path)
		})
	})
})
