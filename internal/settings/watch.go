package settings

import (
	"bytes"
	"fmt"
	"os"
	"time"

	gen "github.com/sardinespindle/sardinespindle/schema/gen/settings"
)

// PollInterval is the time between two reads of the settings file. The file is polled because
// the seeds may change without a signal to the process. A VM that restarts at another address
// finds the fleet through the seeds.
const PollInterval = 2 * time.Second

// Watcher detects changes of the settings file. It is used by one goroutine.
type Watcher struct {
	path string
	text []byte
}

// NewWatcher returns a Watcher that compares the file with its present text.
func NewWatcher(path string) *Watcher {
	text, err := os.ReadFile(path)
	if err != nil {
		text = nil // the first Look reports it
	}
	return &Watcher{path: path, text: text}
}

// Poll reads the file. If its text has changed since the last Poll, it returns the settings
// and true. An invalid text is reported once, an unreadable file at each Poll.
func (w *Watcher) Poll() (*gen.Settings, bool, error) {
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
