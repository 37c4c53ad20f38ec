package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"
)

// maxSpans bounds the spans of one trace that are read from one file.
const maxSpans = 10_000

var errNoSpan = errors.New("no span of this trace in the files")

// span is one span in the format of OpenTelemetry's stdout exporter.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	StartTime   time.Time
	EndTime     time.Time
	Attributes  []struct {
		Key   string
		Value struct{ Value any }
	}
}

func (c *command) traceCommands(app *kingpin.Application, run map[string]func(context.Context) error) {
	cmd := app.Command("trace", "Make a trace context, and show the spans of a trace.")
	cmd.Command("new", "Print a sampled traceparent header to send with a request.")
	run["trace new"] = func(context.Context) error { return c.newTrace() }
	show := cmd.Command("show", "Show the spans of one trace from the output of daemons with the stdout exporter.")
	id := show.Arg("id", "Trace id, as in a reply.").Required().String()
	files := show.Arg("file", "Files with the daemons' standard output.").Required().ExistingFiles()
	run["trace show"] = func(context.Context) error { return c.showTrace(*id, *files) }
}

func (c *command) newTrace() error {
	id := uuid.New()
	parent := uuid.New()
	header := fmt.Sprintf("00-%x-%x-01", id[:], parent[:8])
	return c.print(map[string]string{"traceparent": header}, table{header: []string{"TRACEPARENT"}, rows: [][]string{{header}}})
}

func (c *command) showTrace(id string, files []string) error {
	var spans []span
	for _, f := range files {
		found, err := readSpans(f, id)
		if err != nil {
			return fmt.Errorf("%s: %w", f, err)
		}
		spans = append(spans, found...)
	}
	if len(spans) == 0 {
		return errNoSpan
	}
	sort.Slice(spans, func(i, j int) bool { return spans[i].StartTime.Before(spans[j].StartTime) })
	t := table{header: []string{"SPAN", "AT", "TOOK", "ATTRIBUTES"}}
	start := spans[0].StartTime
	for _, root := range roots(spans) {
		t.rows = appendSpan(t.rows, spans, root, start, 0)
	}
	return c.print(spans, t)
}

// readSpans returns the spans of a trace from a file of consecutive JSON values.
func readSpans(file, id string) ([]span, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var found []span
	decoder := json.NewDecoder(f)
	for {
		var s span
		err := decoder.Decode(&s)
		if errors.Is(err, io.EOF) || len(found) == maxSpans {
			return found, nil
		}
		if err != nil {
			return nil, err
		}
		if s.SpanContext.TraceID == id {
			found = append(found, s)
		}
	}
}

// roots returns the spans whose parent is not among the given spans.
func roots(spans []span) []span {
	known := make(map[string]bool, len(spans))
	for _, s := range spans {
		known[s.SpanContext.SpanID] = true
	}
	var out []span
	for _, s := range spans {
		if !known[s.Parent.SpanID] {
			out = append(out, s)
		}
	}
	return out
}

// appendSpan appends the row of a span and, indented below it, those of its
// descendants. Attributes of HTTP and the network are left out.
func appendSpan(rows [][]string, spans []span, s span, start time.Time, depth int) [][]string {
	var attributes []string
	for _, a := range s.Attributes {
		if !strings.HasPrefix(a.Key, "http.") && !strings.HasPrefix(a.Key, "net") {
			attributes = append(attributes, fmt.Sprintf("%s=%v", a.Key, a.Value.Value))
		}
	}
	rows = append(rows, []string{
		strings.Repeat("  ", depth) + s.Name,
		fmt.Sprintf("%.1fms", s.StartTime.Sub(start).Seconds()*1000),
		fmt.Sprintf("%.1fms", s.EndTime.Sub(s.StartTime).Seconds()*1000),
		strings.Join(attributes, " "),
	})
	for _, child := range spans {
		if child.Parent.SpanID == s.SpanContext.SpanID && child.SpanContext.SpanID != s.SpanContext.SpanID {
			rows = appendSpan(rows, spans, child, start, depth+1)
		}
	}
	return rows
}
