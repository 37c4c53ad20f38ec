// Package ctl is the operators' command line: it checks and compares manifests and
// asks VMs what they know. Nothing in it changes anything.
package ctl

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// requestTimeout bounds one call to a VM.
const requestTimeout = 10 * time.Second

// UsageError says that the command line is wrong.
type UsageError struct{ Err error }

// Error returns what is wrong.
func (e UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the parser's error.
func (e UsageError) Unwrap() error { return e.Err }

// command is what every subcommand needs.
type command struct {
	out  io.Writer
	json bool
	http *http.Client
}

// Run parses and runs a command line. It returns a UsageError where the line is
// wrong, and another error where a check failed or a VM could not be read.
func Run(ctx context.Context, args []string, out, errOut io.Writer) error {
	c := &command{out: out, http: &http.Client{Timeout: requestTimeout}}
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
