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

// maxLine bounds one line of a log.
const maxLine = 1 << 20

var errNoLine = errors.New("no line of this request in the files")

// logLine is one line of a daemon's log that names a request.
type logLine struct {
	Time   string         `json:"time"`
	VM     string         `json:"vm"`
	Msg    string         `json:"msg"`
	Fields map[string]any `json:"fields"`
}

// story prints what the logs of several VMs say of one request, in order of time.
func (c *command) story(files []string, request string) error {
	var lines []logLine
	for _, file := range files {
		found, err := linesOf(file, request)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return fmt.Errorf("request %s: %w", request, errNoLine)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time < lines[j].Time })
	t := table{head: []string{"TIME", "VM", "WHAT", "DETAILS"}}
	for _, l := range lines {
		t.rows = append(t.rows, []string{l.Time, l.VM, l.Msg, l.details()})
	}
	if c.json {
		return c.print(lines, table{})
	}
	return c.printTable(t)
}

// details lists the other fields by name.
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

// linesOf returns the lines of a file that name a request. Lines that are no JSON are
// passed over: other programs may write to the same file.
func linesOf(file, request string) ([]logLine, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	defer f.Close()
	var out []logLine
	in := bufio.NewScanner(f)
	in.Buffer(nil, maxLine)
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
