// Package settings reads the daemon's settings file, checks it and fills in defaults.
// Settings that it returns are valid and have every optional table. Its functions are
// safe for concurrent use; a Watcher is used by one goroutine.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/sardinespindle/sardinespindle/internal/validate"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/settings"
)

const (
	defaultWatchSeconds        = 30
	defaultLingerMs            = 3000
	defaultGraceMs             = 60_000
	defaultTraceSample         = 0.01
	defaultRepeatRatio         = 0.2
	defaultRepeatSlack         = 100
	defaultRepeatWindowSeconds = 10
)

// Load reads a settings file in TOML and checks it as Parse does. The error names the file.
func Load(path string) (*gen.Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Parse checks the text of a settings file and fills in defaults. It rejects unknown keys
// and invalid values. The error names the key of each problem: first those that the schema
// finds, then the others.
func Parse(text []byte) (*gen.Settings, error) {
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		return nil, fmt.Errorf("parse: %w", err)
	}
	if err := validate.MustCompile("settings", "").Check(tree); err != nil {
		return nil, err
	}
	s := defaults()
	if err := toml.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("parse: %w", err)
	}
	if err := checkBeyondSchema(s); err != nil {
		return nil, err
	}
	return s, nil
}

func defaults() *gen.Settings {
	return &gen.Settings{
		Platform: gen.Platform{WatchSeconds: defaultWatchSeconds, Kind: gen.PlatformKindManifest},
		Fleet:    &gen.Fleet{Capacity: 1},
		Limits:   &gen.Limits{},
		Repeats:  &gen.Repeats{Ratio: defaultRepeatRatio, Slack: defaultRepeatSlack, WindowSeconds: defaultRepeatWindowSeconds},
		Log:      &gen.Log{Level: gen.LogLevelInfo, Format: gen.LogFormatJson},
		Trace:    &gen.Trace{Exporter: gen.TraceExporterNone, Sample: defaultTraceSample},
		Stop:     &gen.Stop{LingerMs: defaultLingerMs, GraceMs: defaultGraceMs},
		Experiment: &gen.Experiment{
			Policy: gen.ExperimentPolicyCurrent,
		},
	}
}

// checkBeyondSchema finds what the schema cannot: addresses that match its pattern but do
// not parse, one address for two listeners, and an exporter without its endpoint.
func checkBeyondSchema(s *gen.Settings) error {
	var problems validate.Problems
	seen := make(map[gen.Address]string)
	for _, a := range []struct {
		key   string
		value gen.Address
	}{
		{"listen.callers", s.Listen.Callers},
		{"listen.peers", s.Listen.Peers},
		{"listen.admin", s.Listen.Admin},
	} {
		if _, err := netip.ParseAddrPort(string(a.value)); err != nil {
			problems = append(problems, validate.Problem{Key: a.key, Reason: err.Error()})
		}
		if other, dup := seen[a.value]; dup {
			problems = append(problems, validate.Problem{Key: a.key, Reason: "same address as " + other})
		}
		seen[a.value] = a.key
	}
	for i, a := range s.Platform.Addresses {
		if _, err := netip.ParseAddrPort(string(a)); err != nil {
			problems = append(problems, validate.Problem{Key: fmt.Sprintf("platform.addresses.%d", i), Reason: err.Error()})
		}
	}
	if s.Trace.Exporter == gen.TraceExporterOtlp && strings.TrimSpace(s.Trace.Endpoint) == "" {
		problems = append(problems, validate.Problem{Key: "trace.endpoint", Reason: "required for exporter otlp"})
	}
	if len(problems) > 0 {
		return problems
	}
	return nil
}
