package ctl

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
)

const (
	bold  = "\x1b[1m"
	reset = "\x1b[0m"
)

// table is the human-readable form of an output.
type table struct {
	header []string
	rows   [][]string
}

// cell formats a value for a table.
func cell(v any) string { return fmt.Sprint(v) }

// print writes v as JSON if --output is json, and t otherwise.
func (c *command) print(v any, t table) error {
	if c.json {
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	return c.printTable(t)
}

func (c *command) printTable(t table) error {
	var aligned strings.Builder
	w := tabwriter.NewWriter(&aligned, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	header, rest, _ := strings.Cut(aligned.String(), "\n")
	if c.styled() {
		header = bold + header + reset
	}
	_, err := fmt.Fprint(c.out, header+"\n"+rest)
	return err
}

// styled reports whether to print escape sequences: if the output is a terminal and
// NO_COLOR is not set.
func (c *command) styled() bool {
	f, ok := c.out.(*os.File)
	if !ok || os.Getenv("NO_COLOR") != "" {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
