package capacity

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Sweep holds what the users' bench measured on one day of a deployment, played at several sizes of the
// fleet, in the format of sweeps.json.
type Sweep struct {
	Site   string `json:"site"`
	At     string `json:"at"`     // when it began
	Commit string `json:"commit"` // of the product code
	// VMs are the sizes, in increasing order; Target is the size to come. Days and the figures of Rows have
	// their order.
	VMs    []int      `json:"vms"`
	Target int        `json:"target"`
	Days   []SweepDay `json:"days"`
	Rows   []SweepRow `json:"rows"`
}

// SweepDay is the result of the day at one size, as shares of what its requests are worth.
type SweepDay struct {
	Worth  float64 `json:"worth"`
	Served float64 `json:"served"`
	Failed float64 `json:"failed"`
	Prices float64 `json:"prices"`
	Broken string  `json:"broken,omitempty"` // the rules broken; empty for none
}

// SweepRow is one measure at each size: at the middle VM and at the busiest, or the usual and the longest time.
type SweepRow struct {
	What    string    `json:"what"`
	Middle  []float64 `json:"middle"`
	Busiest []float64 `json:"busiest"`
}

// Power returns the power of the fleet's size to which the busiest VM's figure grows: the slope of the
// line fitted to the logarithms, from 0 to maxPower.
func (r *SweepRow) Power(vms []int) float64 {
	var xs, ys []float64
	for i, v := range r.Busiest {
		if v <= 0 {
			return 0
		}
		xs, ys = append(xs, math.Log(float64(vms[i]))), append(ys, math.Log(v))
	}
	_, b := fitLine(xs, ys)
	return min(max(b, 0), maxPower)
}

// maxPower bounds the growth that is carried on beyond the sizes measured.
const maxPower = 2

// At returns the busiest VM's figure carried on to a larger size.
func (r *SweepRow) At(vms []int, size int) float64 {
	return last(r.Busiest) * math.Pow(float64(size)/float64(last(vms)), r.Power(vms))
}

// ReachedAt returns the size at which the busiest VM's figure reaches a limit; infinity if it does not
// grow.
func (r *SweepRow) ReachedAt(vms []int, limit float64) float64 {
	if last(r.Busiest) >= limit {
		return float64(last(vms))
	}
	return float64(last(vms)) * math.Pow(limit/last(r.Busiest), 1/r.Power(vms))
}

// What the largest VMs of the users' deployments have, by the measure that it limits.
var vmLimits = map[string]float64{
	"processor %": 80, // of a core
	"memory MB":   536,
	"kB a second": 25_000, // 200 Mbit/s
	"connections": 8_192 - 200,
}

// journalEntry is the part of an entry of the bench's journal that holds a sweep.
type journalEntry struct {
	Command string   `json:"cmd"`
	At      []string `json:"at"`
	Head    string   `json:"head"`
	Site    string   `json:"site"`
	Digest  string   `json:"digest"`
}

var (
	sweepDayLine = regexp.MustCompile(`^sweep-(\d+)\s+\S+\s+\S+\s+(\S+)\s+(\S+)\s+\S+\s+(\S+)\s+.*prices ([\d.]+),.*?(?:\s+BROKEN: (.*?) \(.*)?$`)
	sweepRowLine = regexp.MustCompile(`^(?:spindle: )?(\S.*?)\s{2,}([\d.]+ / [\d.]+.*)$`)
	sweepTarget  = regexp.MustCompile(`at (\d+)$`)
)

var errNoSweep = errors.New("the journal's entry holds no whole sweep")

// parseSweep reads a sweep from the digest of a journal entry.
func parseSweep(e *journalEntry) (Sweep, error) {
	s := Sweep{Site: e.Site, At: e.At[0], Commit: e.Head[:min(len(e.Head), 8)]}
	for _, line := range strings.Split(e.Digest, "\n") {
		if m := sweepDayLine.FindStringSubmatch(line); m != nil {
			figures, err := parseFloats(m[1:6])
			if err != nil {
				return Sweep{}, fmt.Errorf("%q: %w", line, err)
			}
			s.VMs = append(s.VMs, int(figures[0]))
			s.Days = append(s.Days, SweepDay{Worth: figures[1], Served: figures[2], Failed: figures[3], Prices: figures[4], Broken: m[6]})
		} else if m := sweepTarget.FindStringSubmatch(line); m != nil && s.Target == 0 {
			s.Target, _ = strconv.Atoi(m[1])
		} else if m := sweepRowLine.FindStringSubmatch(line); m != nil {
			if row, ok := parseSweepRow(m[1], m[2], len(s.VMs)); ok {
				s.Rows = append(s.Rows, row)
			}
		}
	}
	if len(s.VMs) < 2 || s.Target == 0 || len(s.Rows) == 0 {
		return Sweep{}, errNoSweep
	}
	return s, nil
}

// parseSweepRow reads a row of as many pairs "middle / busiest" as there are sizes.
func parseSweepRow(what, pairs string, sizes int) (SweepRow, bool) {
	fields := strings.Fields(strings.ReplaceAll(pairs, " / ", "/"))
	if len(fields) < sizes {
		return SweepRow{}, false
	}
	r := SweepRow{What: what}
	for _, f := range fields[:sizes] {
		figures, err := parseFloats(strings.Split(f, "/"))
		if err != nil || len(figures) != 2 {
			return SweepRow{}, false
		}
		r.Middle, r.Busiest = append(r.Middle, figures[0]), append(r.Busiest, figures[1])
	}
	return r, true
}

func parseFloats(fields []string) ([]float64, error) {
	out := make([]float64, len(fields))
	for i, f := range fields {
		v, err := strconv.ParseFloat(f, 64)
		if err != nil {
			return nil, err
		}
		out[i] = v
	}
	return out, nil
}

// ImportSweeps returns the newest whole sweep of each site in a journal's directory, by site.
func ImportSweeps(dir string) ([]Sweep, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	newest := map[string]Sweep{}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		var e journalEntry
		if err := json.Unmarshal(text, &e); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		if e.Command != "sweep" || e.Site == "" || len(e.At) == 0 {
			continue
		}
		s, err := parseSweep(&e)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		if s.At > newest[s.Site].At {
			newest[s.Site] = s
		}
	}
	var out []Sweep
	for _, s := range newest {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Sweep) int { return strings.Compare(a.Site, b.Site) })
	return out, nil
}

// LoadSweeps reads sweeps from a JSON file.
func LoadSweeps(file string) ([]Sweep, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var s []Sweep
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return s, nil
}

// WriteSweeps writes sweeps to a JSON file.
func WriteSweeps(file string, s []Sweep) error {
	text, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(text, '\n'), 0o644)
}

// SweepTables renders a table for each sweep, and one of what binds first.
func SweepTables(sweeps []Sweep) string {
	var b strings.Builder
	for i := range sweeps {
		writeSweep(&b, &sweeps[i])
	}
	b.WriteString("\n### The size at which the busiest VM reaches what it has\n\n| site | " + strings.Join(limitedMeasures(), " | ") + " |\n| --- |")
	b.WriteString(strings.Repeat(" --- |", len(vmLimits)) + "\n")
	for i := range sweeps {
		s := &sweeps[i]
		fmt.Fprintf(&b, "| %s |", s.Site)
		for _, what := range limitedMeasures() {
			b.WriteString(" " + s.reachedAt(what) + " |")
		}
		b.WriteString("\n")
	}
	return b.String()
}

// limitedMeasures returns the measures that a VM limits, in the order of their names.
func limitedMeasures() []string {
	var out []string
	for what := range vmLimits {
		out = append(out, what)
	}
	slices.Sort(out)
	return out
}

func (s *Sweep) reachedAt(what string) string {
	for i := range s.Rows {
		if s.Rows[i].What != what {
			continue
		}
		size := s.Rows[i].ReachedAt(s.VMs, vmLimits[what])
		if math.IsInf(size, 1) {
			return "does not grow"
		}
		return fmt.Sprintf("%.0f", size)
	}
	return "not measured"
}

func writeSweep(b *strings.Builder, s *Sweep) {
	fmt.Fprintf(b, "\n### %s, product code of %s\n\n| what |", s.Site, s.Commit)
	for _, n := range s.VMs {
		fmt.Fprintf(b, " %d VMs |", n)
	}
	fmt.Fprintf(b, " power | at %d |\n| --- |%s\n", s.Target, strings.Repeat(" --- |", len(s.VMs)+2))
	b.WriteString("| worth; served; failed; prices |")
	for _, d := range s.Days {
		fmt.Fprintf(b, " %.3f; %.3f; %.3f; %.3f", d.Worth, d.Served, d.Failed, d.Prices)
		if d.Broken != "" {
			b.WriteString("; **" + d.Broken + "**")
		}
		b.WriteString(" |")
	}
	b.WriteString(" | |\n")
	for _, r := range s.Rows {
		fmt.Fprintf(b, "| %s |", r.What)
		for i := range s.VMs {
			fmt.Fprintf(b, " %.4g / %.4g |", r.Middle[i], r.Busiest[i])
		}
		fmt.Fprintf(b, " %.2f | %.4g |\n", r.Power(s.VMs), r.At(s.VMs, s.Target))
	}
}
