package ctl

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sort"
	"strings"
)

// maxLineBytes bounds one line of a log file.
const maxLineBytes = 1 << 20

var errNoLine = errors.New("no line of this request in the files")

// logLine is one line about a request in a daemon's log.
type logLine struct {
	Time   string         `json:"time"`
	VM     string         `json:"vm"`
	Msg    string         `json:"msg"`
	Fields map[string]any `json:"fields"`
}

// explainLogs prints the lines about one request in the logs of several VMs, ordered by
// time.
func (c *command) explainLogs(files []string, request string) error {
	var lines []logLine
	for _, file := range files {
		found, err := readLogLines(file, request)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return fmt.Errorf("request %s: %w", request, errNoLine)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time < lines[j].Time })
	t := table{header: []string{"TIME", "VM", "WHAT", "DETAILS"}}
	for _, l := range lines {
		t.rows = append(t.rows, []string{l.Time, l.VM, l.Msg, l.details()})
	}
	if c.json {
		return c.print(lines, table{})
	}
	return c.printTable(t)
}

// details lists the fields that are not empty and have no column of their own, ordered
// by name.
func (l logLine) details() string {
	names := make([]string, 0, len(l.Fields))
	for name, v := range l.Fields {
		if v != "" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for i, name := range names {
		names[i] = fmt.Sprintf("%s=%v", name, l.Fields[name])
	}
	return strings.Join(names, " ")
}

// readLogLines returns those lines of a file that have the id of the request. It ignores
// text before the first brace of a line, and lines without a JSON object: other programs
// may write prefixes and lines of their own.
func readLogLines(file, request string) ([]logLine, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	defer f.Close()
	var out []logLine
	in := bufio.NewScanner(f)
	in.Buffer(nil, maxLineBytes)
	for in.Scan() {
		text := in.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, request) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(text[start:]), &fields) != nil || fields["id"] != request {
			continue
		}
		l := logLine{Fields: fields}
		l.Time, _ = fields["time"].(string)
		l.VM, _ = fields["vm"].(string)
		l.Msg, _ = fields["msg"].(string)
		for _, name := range []string{"time", "vm", "msg", "id", "level"} {
			delete(fields, name)
		}
		out = append(out, l)
	}
	if err := in.Err(); err != nil {
		return nil, fmt.Errorf("read log %s: %w", file, err)
	}
	return out, nil
}
