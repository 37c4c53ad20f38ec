package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sardinespindle/sardinespindle/internal/admin"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

// maxReplyBytes bounds the reply read from a VM.
const maxReplyBytes = 16 << 20

var errNotAnswered = errors.New("request not answered")

func (c *command) statusCommand(app *kingpin.Application, run map[string]func(context.Context) error) {
	cmd := app.Command("status", "Show what a VM knows.")
	vm := cmd.Flag("vm", "Operators' address of the VM, IP number and port.").Required().TCP()
	upstreams := cmd.Flag("upstreams", "List the upstreams too.").Bool()
	run["status"] = func(ctx context.Context) error {
		var s admin.Status
		if err := c.call(ctx, http.MethodGet, "http://"+(*vm).String()+"/v1/status", nil, nil, &s); err != nil {
			return err
		}
		return c.printStatus(s, *upstreams)
	}
}

func (c *command) printStatus(s admin.Status, upstreams bool) error {
	if c.json {
		return c.print(s, table{})
	}
	err := c.printTable(table{
		header: []string{"VM", "ZONE", "READY", "STOPPING", "GENERATION", "RELAY", "IN FLIGHT", "FACTS", "UP"},
		rows:   [][]string{{s.Name, s.Zone, cell(s.Ready), cell(s.Stopping), cell(s.Generation), cell(s.Relay), cell(s.InFlight), cell(s.Facts), cell(s.UptimeMs/1000) + "s"}},
	})
	if err != nil {
		return err
	}
	if len(s.Evacuated) > 0 {
		fmt.Fprintln(c.out)
		fmt.Fprintln(c.out, "Evacuated zones:", strings.Join(s.Evacuated, ", "))
	}
	fmt.Fprintln(c.out)
	t := table{header: []string{"MEMBER", "ZONE", "STATE", "INCARNATION"}}
	for _, m := range s.Roster {
		t.rows = append(t.rows, []string{m.Name, m.Zone, m.State, m.Incarnation})
	}
	if err := c.printTable(t); err != nil || !upstreams {
		return err
	}
	fmt.Fprintln(c.out)
	return c.printTable(upstreamTable(s.Upstreams))
}

func upstreamTable(states []upstream.State) table {
	t := table{header: []string{"UPSTREAM", "WORKLOAD", "ZONE", "ELIGIBILITY", "OUTSTANDING", "LIMIT", "LATENCY", "CONNECTIONS", "SHARE", "SUSPECT", "COLD"}}
	for _, u := range states {
		t.rows = append(t.rows, []string{u.Address, u.Workload, u.Zone, u.Eligibility, cell(u.Outstanding), cell(u.Limit), fmt.Sprintf("%.1fms", u.LatencyMs), cell(u.Connections), cell(u.Share), cell(u.Suspect), coldCell(u.Cold)})
	}
	return t
}

// coldCell returns for how long an upstream is cold, by which evidence, and what this VM may send it.
func coldCell(c *upstream.Cold) string {
	if c == nil {
		return ""
	}
	return fmt.Sprintf("%.1fs (%s), %d of %g/s", float64(c.LeftMs)/1000, c.Source, c.Share, c.PerSecond)
}

func (c *command) explainCommand(app *kingpin.Application, run map[string]func(context.Context) error) {
	cmd := app.Command("explain", "Say what a request would meet now at a VM, and why; or, with --logs, what became of one. Nothing is run.")
	vm := cmd.Flag("vm", "Operators' address of the VM, IP number and port.").TCP()
	callerName := cmd.Flag("caller", "Caller by name.").String()
	logs := cmd.Flag("logs", "File with the log of a VM; may be repeated.").ExistingFiles()
	request := cmd.Flag("request", "Id of a request in the logs.").String()
	workload := cmd.Arg("workload", "Workload.").String()
	run["explain"] = func(ctx context.Context) error {
		switch {
		case len(*logs) > 0 && *request == "":
			return UsageError{errors.New("--logs needs --request")}
		case len(*logs) > 0:
			return c.explainLogs(*logs, *request)
		case *vm == nil || *callerName == "" || *workload == "":
			return UsageError{errors.New("--vm, --caller and a workload are needed, or --logs and --request")}
		}
		var e admin.Explanation
		q := admin.ExplainRequest{Caller: *callerName, Workload: *workload}
		if err := c.call(ctx, http.MethodPost, "http://"+(*vm).String()+"/v1/explain", nil, q, &e); err != nil {
			return err
		}
		return c.printExplanation(e)
	}
}

func (c *command) printExplanation(e admin.Explanation) error {
	if c.json {
		return c.print(e, table{})
	}
	err := c.printTable(table{
		header: []string{"VERDICT", "GENERATION", "DEADLINE", "TRADE", "PRIORITY", "HEDGE AFTER", "ADMISSION RATE"},
		rows:   [][]string{{e.Verdict, cell(e.Generation), cell(e.DeadlineMs) + "ms", e.Trade, cell(e.Priority), fmt.Sprintf("%.1fms", e.HedgeAfterMs), fmt.Sprintf("%.1f/s", e.AdmissionRate)}},
	})
	if err != nil {
		return err
	}
	for _, r := range e.Reasons {
		if _, err := fmt.Fprintln(c.out, "because", r); err != nil {
			return err
		}
	}
	t := table{header: []string{"SHARD", "ELIGIBLE", "REPLICAS"}}
	for _, s := range e.Shards {
		var replicas []string
		for _, r := range s.Replicas {
			replicas = append(replicas, fmt.Sprintf("%s (%s, %d of %d, %.1fms)", r.Address, r.Eligibility, r.Outstanding, r.Limit, r.LatencyMs))
		}
		t.rows = append(t.rows, []string{s.Shard, cell(s.Eligible), strings.Join(replicas, " ")})
	}
	return c.printTable(t)
}

func (c *command) queryCommand(app *kingpin.Application, run map[string]func(context.Context) error) {
	cmd := app.Command("query", "Send a search as a caller. The token is read from SPINDLE_TOKEN.")
	vm := cmd.Flag("vm", "Callers' address of the VM, IP number and port.").Required().TCP()
	limit := cmd.Flag("limit", "Largest number of documents.").Default("10").Int()
	workload := cmd.Arg("workload", "Sharded workload.").Required().String()
	words := cmd.Arg("words", "Words to search for.").Required().Strings()
	run["query"] = func(ctx context.Context) error {
		q := caller.Search{Query: strings.Join(*words, " "), Limit: *limit}
		header := http.Header{"Authorization": {"Bearer " + os.Getenv("SPINDLE_TOKEN")}}
		var r caller.Reply
		url := "http://" + (*vm).String() + "/v1/workloads/" + *workload + "/search"
		if err := c.call(ctx, http.MethodPost, url, header, q, &r); err != nil {
			return err
		}
		return c.printAnswer(r)
	}
}

// printAnswer prints the answer to a search. It returns an error if the request was not
// answered.
func (c *command) printAnswer(r caller.Reply) error {
	t := table{header: []string{"OUTCOME", "REASON", "COVERAGE", "MISSING", "SNAPSHOT", "GENERATION", "TRACE"}}
	row := []string{string(r.Outcome), r.Reason, "", "", "", cell(r.Generation), r.TraceId}
	if r.Coverage != nil {
		row[2] = fmt.Sprintf("%d/%d", r.Coverage.ShardsCovered, r.Coverage.ShardsTotal)
		row[3] = strings.Join(r.Coverage.Missing, ",")
	}
	if r.Snapshot != nil {
		row[4] = fmt.Sprintf("%d.%d", r.Snapshot.Index, r.Snapshot.Map)
	}
	t.rows = append(t.rows, row)
	if err := c.print(r, t); err != nil {
		return err
	}
	if !c.json && len(r.Documents) > 0 {
		docs := table{header: []string{"SCORE", "DOCUMENT", "TEXT"}}
		for _, d := range r.Documents {
			docs.rows = append(docs.rows, []string{fmt.Sprintf("%.3f", d.Score), d.Id, d.Body})
		}
		if err := c.printTable(docs); err != nil {
			return err
		}
	}
	if r.Outcome != caller.OutcomeAnswered {
		return fmt.Errorf("%w: %s", errNotAnswered, r.Outcome)
	}
	return nil
}

// call sends one request to a VM and decodes its JSON reply. It accepts any status: a VM
// also replies with an outcome if it did not run the request.
func (c *command) call(ctx context.Context, method, url string, header http.Header, body, into any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("VM not read: %w", err)
	}
	defer resp.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return fmt.Errorf("VM not read: %w", err)
	}
	if err := json.Unmarshal(reply, into); err != nil {
		return fmt.Errorf("VM replied with status %d: %w", resp.StatusCode, err)
	}
	return nil
}
