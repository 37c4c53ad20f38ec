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

// table is rows under a head, for a person.
type table struct {
	head []string
	rows [][]string
}

func text(v any) string { return fmt.Sprint(v) }

// print writes a value as JSON or its table, as asked for.
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
	fmt.Fprintln(w, strings.Join(t.head, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	head, rest, _ := strings.Cut(aligned.String(), "\n")
	if c.terminal() {
		head = bold + head + reset
	}
	_, err := fmt.Fprint(c.out, head+"\n"+rest)
	return err
}

// terminal reports whether the output is read by a person at a terminal.
func (c *command) terminal() bool {
	f, ok := c.out.(*os.File)
	if !ok || os.Getenv("NO_COLOR") != "" {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
