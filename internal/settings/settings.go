// Package settings reads and checks the daemon's settings file.
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
	defaultWatchSeconds = 30
	defaultLingerMs     = 3000
	defaultSample       = 0.01
	defaultRatio        = 0.2
	defaultSlack        = 100
	defaultWindow       = 10
)

// Load reads a TOML file, refuses unknown keys and bad values by key, and fills
// defaults. The error names the file and lists every problem.
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

// Parse checks the text of a settings file and fills defaults.
func Parse(text []byte) (*gen.Settings, error) {
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		return nil, fmt.Errorf("parse: %w", err)
	}
	if err := validate.Must("settings", "").Check(tree); err != nil {
		return nil, err
	}
	s := withDefaults()
	if err := toml.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("parse: %w", err)
	}
	if err := checkAddresses(s); err != nil {
		return nil, err
	}
	return s, nil
}

func withDefaults() *gen.Settings {
	return &gen.Settings{
		Platform: gen.Platform{WatchSeconds: defaultWatchSeconds, Kind: gen.PlatformKindManifest},
		Fleet:    &gen.Fleet{Capacity: 1},
		Repeats:  &gen.Repeats{Ratio: defaultRatio, Slack: defaultSlack, WindowSeconds: defaultWindow},
		Log:      &gen.Log{Level: gen.LogLevelInfo, Format: gen.LogFormatJson},
		Trace:    &gen.Trace{Exporter: gen.TraceExporterNone, Sample: defaultSample},
		Stop:     &gen.Stop{LingerMs: defaultLingerMs},
		Experiment: &gen.Experiment{
			Policy: gen.ExperimentPolicyCurrent,
		},
	}
}

// checkAddresses finds what the pattern of the schema lets through.
func checkAddresses(s *gen.Settings) error {
	var found validate.Problems
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
			found = append(found, validate.Problem{Key: a.key, Reason: err.Error()})
		}
		if other, dup := seen[a.value]; dup {
			found = append(found, validate.Problem{Key: a.key, Reason: "same address as " + other})
		}
		seen[a.value] = a.key
	}
	for i, a := range s.Platform.Addresses {
		if _, err := netip.ParseAddrPort(string(a)); err != nil {
			found = append(found, validate.Problem{Key: fmt.Sprintf("platform.addresses.%d", i), Reason: err.Error()})
		}
	}
	if s.Trace.Exporter == gen.TraceExporterOtlp && strings.TrimSpace(s.Trace.Endpoint) == "" {
		found = append(found, validate.Problem{Key: "trace.endpoint", Reason: "required for exporter otlp"})
	}
	if len(found) > 0 {
		return found
	}
	return nil
}
