// Package ctl implements spindlectl, the operators' command line. It checks and
// compares manifests, queries VMs, and prints logs and traces of requests. It changes
// no state of the fleet. Run may be called concurrently with different writers.
package ctl

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sardinespindle/sardinespindle/internal/replyhead"
)

// requestTimeout bounds one HTTP request to a VM.
const requestTimeout = 10 * time.Second

// UsageError is the error of an invalid command line.
type UsageError struct{ Err error }

// Error returns the text of the wrapped error.
func (e UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e UsageError) Unwrap() error { return e.Err }

// command holds what all subcommands share.
type command struct {
	out  io.Writer
	json bool
	http *http.Client
}

// Run parses and runs a command line. It returns a UsageError if the command line is
// invalid, and another error if a check failed, a file or a VM could not be read, or
// a query was not answered.
func Run(ctx context.Context, args []string, out, errOut io.Writer) error {
	c := &command{out: out, http: &http.Client{
		Timeout: requestTimeout, Transport: &http.Transport{Proxy: http.ProxyFromEnvironment, DialContext: replyhead.Dial((&net.Dialer{}).DialContext)},
	}}
	app := kingpin.New("spindlectl", "Reads what a fleet of sardinespindle VMs knows. Exit codes: 0 done, 1 check failed or VM not read, 2 usage.")
	app.UsageWriter(errOut)
	app.ErrorWriter(errOut)
	app.Terminate(nil)
	output := app.Flag("output", "Output format.").Default("table").Enum("table", "json")
	run := map[string]func(context.Context) error{}
	c.manifestCommands(app, run)
	c.statusCommand(app, run)
	c.explainCommand(app, run)
	c.queryCommand(app, run)
	c.traceCommands(app, run)
	for _, a := range args {
		if a == "--help" || a == "--help-long" || a == "--help-man" {
			app.Usage(args)
			return nil
		}
	}
	name, err := app.Parse(args)
	if err != nil {
		return UsageError{err}
	}
	c.json = *output == "json"
	return run[name](ctx)
}
