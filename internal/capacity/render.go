package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
)

// Markers around the generated parts of the page: the tables of the product's own interface, from
// slopes, and those of the users' platform, from sweeps.
const (
	beginMarker = "<!-- begin: spindlebench capacity -->"
	endMarker   = "<!-- end: spindlebench capacity -->"
	beginSweeps = "<!-- begin: sweeps -->"
	endSweeps   = "<!-- end: sweeps -->"
)

// Load reads measured slopes from a JSON file.
func Load(file string) (Slopes, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Slopes{}, err
	}
	var s Slopes
	if err := json.Unmarshal(text, &s); err != nil {
		return Slopes{}, fmt.Errorf("%s: %w", file, err)
	}
	return s, nil
}

// Rewrite replaces the tables between the markers of a page with tables computed from the slopes and
// the sweeps in two files.
func Rewrite(slopesFile, sweepsFile, page string) error {
	s, err := Load(slopesFile)
	if err != nil {
		return err
	}
	sweeps, err := LoadSweeps(sweepsFile)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	tables := [][3]string{{beginMarker, Tables(s), endMarker}, {beginSweeps, SweepTables(sweeps), endSweeps}}
	for _, t := range tables {
		before, rest, ok := strings.Cut(string(text), t[0])
		_, after, found := strings.Cut(rest, t[2])
		if !ok || !found {
			return fmt.Errorf("%s lacks %s or %s", page, t[0], t[2])
		}
		text = []byte(before + t[0] + "\n" + t[1] + t[2] + after)
	}
	return os.WriteFile(page, text, 0o644)
}

// Tables renders the generated part of the page.
func Tables(s Slopes) string {
	var b strings.Builder
	b.WriteString("\n### Today's code at that size, a VM\n\n")
	writeRows(&b, Today(s))
	b.WriteString("\n### With the mechanisms below, a VM\n\n")
	writeRows(&b, Planned(s))
	b.WriteString("\n### Reads of the platform a second, whole fleet\n\n| source | today's code | planned |\n| --- | --- | --- |\n")
	var today, planned float64
	for _, r := range PlatformReads() {
		fmt.Fprintf(&b, "| %s | %.1f | %.1f |\n", r.Source, r.Today, r.Planned)
		today += r.Today
		planned += r.Planned
	}
	fmt.Fprintf(&b, "| sum, of %d | %.0f | %.0f |\n", readsBudget, today, planned)
	writeMeasurements(&b, s)
	return b.String()
}

func writeRows(b *strings.Builder, rs []Row) {
	b.WriteString("| role | carried by | cores | memory | bytes a second | within the budget of control |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, r := range rs {
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s |\n", r.Role, r.Carrier, formatCores(r.Cores), formatBytes(r.Memory), formatBytes(r.Bandwidth), r.Fits)
	}
}

func formatCores(c float64) string {
	if c == 0 {
		return "—"
	}
	return fmt.Sprintf("%.4f", c)
}

func formatBytes(v float64) string {
	switch {
	case v == 0:
		return "—"
	case v >= 1e6:
		return fmt.Sprintf("%.1f MB", v/1e6)
	default:
		return fmt.Sprintf("%.1f KB", v/1e3)
	}
}

// writeMeasurements renders the measured slopes.
func writeMeasurements(b *strings.Builder, s Slopes) {
	b.WriteString("\n### Slopes measured\n\n| manifest servers | MB | cold ms | ms after one change | KB fetched after one change | MB held |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, r := range s.Manifest {
		fmt.Fprintf(b, "| %d | %.2f | %.0f | %.0f | %.0f | %.1f |\n", r.Servers, float64(r.Bytes)/1e6, r.ColdMs, r.ChangeMs, float64(r.DeltaBytes)/1e3, r.Memory/1e6)
	}
	b.WriteString("\n| fan-out | µs of CPU a sub-request, decisions and merge | allocations |\n| --- | --- | --- |\n")
	for _, r := range s.Gather {
		fmt.Fprintf(b, "| %d | %.1f | %.1f |\n", r.FanOut, r.CPUMicros, r.Allocs)
	}
	fmt.Fprintf(b, "\nOne sub-request over HTTP on loopback: %.0f µs of CPU, the stand-in's side included; %.0f µs of time.\n", s.Path.CPUMicros, s.Path.Micros)
	b.WriteString("\n| VMs | claim ms, median | messages an order | KB an order | bytes a key at a guard |\n| --- | --- | --- | --- | --- |\n")
	for _, r := range s.Claims {
		fmt.Fprintf(b, "| %d | %.2f | %.0f | %.1f | %.0f |\n", r.VMs, r.ClaimMillis, r.Messages, r.Bytes/1e3, r.KeyBytes)
	}
	b.WriteString("\n| VMs | connections a VM | bytes/s a VM idle | with 10 facts/s | CPU a VM idle | with 10 facts/s | KB a VM | ms to reach all, median | worst | not reached |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range s.Fleet {
		fmt.Fprintf(b, "| %d | %.1f | %.0f | %.0f | %.4f | %.4f | %.0f | %.0f | %.0f | %d |\n", r.VMs, r.Connections, r.IdleBytes, r.LoadedBytes, r.IdleCPU, r.LoadedCPU, r.Memory/1e3, r.ReachAllMs, r.ReachMaxMs, r.Missed)
	}
}
