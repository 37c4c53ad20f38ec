package settings

import (
	"bytes"
	"fmt"
	"os"
	"time"

	gen "github.com/sardinespindle/sardinespindle/schema/gen/settings"
)

// LookInterval is the time between two looks at the settings file: seeds may change
// without a signal, and a VM that restarts elsewhere finds the fleet by them.
const LookInterval = 2 * time.Second

// Watcher tells when the settings file has changed. It is used by one goroutine.
type Watcher struct {
	path string
	text []byte
}

// NewWatcher returns a Watcher of a file as it is now.
func NewWatcher(path string) *Watcher {
	text, err := os.ReadFile(path)
	if err != nil {
		text = nil // the first look reports it
	}
	return &Watcher{path: path, text: text}
}

// Look returns the settings where the file has changed since the last look. A text that
// is refused is reported once.
func (w *Watcher) Look() (*gen.Settings, bool, error) {
	text, err := os.ReadFile(w.path)
	if err != nil {
		return nil, false, fmt.Errorf("read settings: %w", err)
	}
	if bytes.Equal(text, w.text) {
		return nil, false, nil
	}
	w.text = text
	s, err := Parse(text)
	if err != nil {
		return nil, false, fmt.Errorf("%s: %w", w.path, err)
	}
	return s, true, nil
}
