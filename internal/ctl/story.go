package ctl

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"sort"
	"strings"
	"time"
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

// pathChanged is the message of a VM that has lost or regained its path to the upstreams.
const pathChanged = "path to upstreams changed"

// beliefs are the messages by which a VM logs a change of what it believes of upstreams, the store and
// other VMs.
var beliefs = []string{
	pathChanged, "upstream names a limit", "upstream leaves", "upstream wants a pause",
	"the store came back from a copy", "source lost", "following", "VM unreachable",
	"gatherer role changed",
}

// beliefTime is how long before a request a change of a belief is printed with it. A lost path to the
// upstreams is printed however old.
const beliefTime = 10 * time.Second

// explainLogs prints the lines about one request in the logs of several VMs, and the beliefs that these
// VMs changed shortly before and meanwhile, ordered by time.
func (c *command) explainLogs(files []string, request string) error {
	var lines, changes []logLine
	for _, file := range files {
		found, changed, err := readLogLines(file, request)
		if err != nil {
			return err
		}
		lines, changes = append(lines, found...), append(changes, changed...)
	}
	if len(lines) == 0 {
		return fmt.Errorf("request %s: %w", request, errNoLine)
	}
	lines = append(lines, relevantBeliefs(lines, changes)...)
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

// relevantBeliefs returns the changes of beliefs, by VMs that have lines about the request, from
// beliefTime before their first such line to their last one, and the last change of a path if that
// lost it.
func relevantBeliefs(lines, changes []logLine) (out []logLine) {
	first, last := map[string]time.Time{}, map[string]time.Time{}
	for _, l := range lines {
		at := l.at()
		if first[l.VM].IsZero() || at.Before(first[l.VM]) {
			first[l.VM] = at
		}
		if at.After(last[l.VM]) {
			last[l.VM] = at
		}
	}
	paths := map[string]logLine{}
	for _, l := range changes {
		at := l.at()
		switch {
		case first[l.VM].IsZero() || at.After(last[l.VM]):
		case !at.Before(first[l.VM].Add(-beliefTime)):
			out = append(out, l)
		case l.Msg == pathChanged && at.After(paths[l.VM].at()):
			paths[l.VM] = l
		}
	}
	for _, l := range paths {
		if l.Fields["reached"] == false {
			out = append(out, l)
		}
	}
	return out
}

// at returns the time of a line; zero if it has none.
func (l logLine) at() time.Time {
	t, _ := time.Parse(time.RFC3339, l.Time) // the zero time sorts before all others
	return t
}

// readLogLines returns those lines of a file that have the id of the request, and those about a changed
// belief. It ignores text before the first brace of a line, and lines without a JSON object:
// other programs may write prefixes and lines of their own.
func readLogLines(file, request string) (lines, changes []logLine, err error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, nil, fmt.Errorf("read log: %w", err)
	}
	defer f.Close()
	in := bufio.NewScanner(f)
	in.Buffer(nil, maxLineBytes)
	for in.Scan() {
		text := in.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, request) && !containsAny(text, beliefs) {
			continue
		}
		l, id, ok := parseLogLine(text[start:])
		switch {
		case !ok:
		case id == request:
			lines = append(lines, l)
		case slices.Contains(beliefs, l.Msg):
			changes = append(changes, l)
		}
	}
	if err := in.Err(); err != nil {
		return nil, nil, fmt.Errorf("read log %s: %w", file, err)
	}
	return lines, changes, nil
}

func containsAny(text string, parts []string) bool {
	return slices.ContainsFunc(parts, func(part string) bool { return strings.Contains(text, part) })
}

// parseLogLine returns a line and the id of the request that it is about; false if it is no JSON object.
func parseLogLine(text string) (l logLine, id string, ok bool) {
	var fields map[string]any
	if json.Unmarshal([]byte(text), &fields) != nil {
		return logLine{}, "", false
	}
	l.Fields = fields
	l.Time, _ = fields["time"].(string)
	l.VM, _ = fields["vm"].(string)
	l.Msg, _ = fields["msg"].(string)
	id, _ = fields["id"].(string)
	for _, name := range []string{"time", "vm", "msg", "id", "level"} {
		delete(fields, name)
	}
	return l, id, true
}
