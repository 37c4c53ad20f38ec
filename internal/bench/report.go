package bench

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// reportFile is the page that WriteReport writes.
const reportFile = "report.md"

// WriteReport writes one page about all results below dir.
func WriteReport(dir string) error {
	var page strings.Builder
	page.WriteString("# Results\n")
	found := false
	err := filepath.WalkDir(dir, func(path string, e fs.DirEntry, err error) error {
		if err != nil || e.Name() != resultFile {
			return err
		}
		found = true
		return writeSection(&page, dir, path)
	})
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if !found {
		return errors.New("report: no results below " + dir)
	}
	if err := os.WriteFile(filepath.Join(dir, reportFile), []byte(page.String()), fileMode); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// writeSection writes the tables and plots of one file of results.
func writeSection(page *strings.Builder, dir, path string) error {
	body, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var results []*Result
	if err := json.Unmarshal(body, &results); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if len(results) == 0 {
		return nil
	}
	first := results[0]
	printf := func(format string, args ...any) { fmt.Fprintf(page, format+"\n", args...) }
	printf("\n## %s, %s, seed %d\n", first.Experiment, first.Deployment, first.Seed)
	printf("%d VMs, %.0f s each.\n", first.VMs, first.Seconds)
	printf("| policy | requests | answered | not run | unknown | no reply | p50 ms | p99 ms | p999 ms | coverage | extra load | goodput | violations |")
	printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, r := range results {
		printf("| %s | %d | %d | %d | %d | %d | %.1f | %.1f | %.1f | %.4f | %.3f | %.1f | %d |",
			r.Policy, r.Requests, r.Answered, r.NotRun, r.Unknown, r.NoReply, r.P50Ms, r.P99Ms, r.P999Ms, r.CoverageMean, r.ExtraLoad, r.Goodput, r.Violations)
	}
	printf("\n| workload | caller | policy | answered | p50 ms | p99 ms | p999 ms | coverage |")
	printf("| --- | --- | --- | --- | --- | --- | --- | --- |")
	for i := range first.Groups {
		for _, r := range results {
			for _, g := range r.Groups {
				if g.Workload == first.Groups[i].Workload && g.Caller == first.Groups[i].Caller {
					printf("| %s | %s | %s | %d/%d | %.1f | %.1f | %.1f | %.4f |", g.Workload, g.Caller, r.Policy, g.Answered, g.Requests, g.P50Ms, g.P99Ms, g.P999Ms, g.CoverageMean)
				}
			}
		}
	}
	writeViolations(printf, results)
	writePlotLinks(printf, dir, path, first)
	return nil
}

func writeViolations(printf func(string, ...any), results []*Result) {
	for _, r := range results {
		for kind, n := range r.Breakdown {
			printf("\n%s: %d %s", r.Policy, n, kind)
		}
	}
}

func writePlotLinks(printf func(string, ...any), dir, path string, first *Result) {
	rel, err := filepath.Rel(dir, filepath.Dir(path))
	if err != nil {
		return
	}
	printf("")
	for _, g := range first.Groups {
		printf("![%s, %s](%s)", g.Workload, g.Caller, filepath.Join(rel, cdfFile(g)))
	}
	printf("![answers in time, each second](%s)", filepath.Join(rel, timelineFile))
	for _, b := range barCharts {
		printf("![%s](%s)", b.title, filepath.Join(rel, b.file+".png"))
	}
}
