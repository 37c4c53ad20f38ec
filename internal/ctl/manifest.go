package ctl

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/validate"
)

// errInvalid is returned after the problems of a manifest were printed.
var errInvalid = errors.New("manifest is not valid")

func (c *command) manifestCommands(app *kingpin.Application, run map[string]func(context.Context) error) {
	m := app.Command("manifest", "Check and compare manifests.")
	check := m.Command("check", "Check a head and its parts, and report every problem.")
	files := check.Arg("file", "Head file first, then the files of its parts.").Required().ExistingFiles()
	run["manifest check"] = func(context.Context) error { return c.check(*files) }
	diff := m.Command("diff", "List what changes from one manifest to another.")
	a := diff.Arg("a", "Folder of the first manifest: head.json and part files.").Required().ExistingDir()
	b := diff.Arg("b", "Folder of the second manifest.").Required().ExistingDir()
	run["manifest diff"] = func(context.Context) error { return c.diff(*a, *b) }
}

// summary is the output of a check that passed.
type summary struct {
	Generation int    `json:"generation"`
	Digest     string `json:"digest"`
	Workloads  int    `json:"workloads"`
	Upstreams  int    `json:"upstreams"`
	Callers    int    `json:"callers"`
}

func (c *command) check(files []string) error {
	m, err := load(files)
	var problems validate.Problems
	if errors.As(err, &problems) {
		return c.printProblems(problems)
	}
	if err != nil {
		return err
	}
	s := summary{m.Generation, m.Digest, len(m.Workloads), len(m.Upstreams), len(m.Callers)}
	return c.print(s, table{
		header: []string{"GENERATION", "WORKLOADS", "UPSTREAMS", "CALLERS", "DIGEST"},
		rows:   [][]string{{cell(s.Generation), cell(s.Workloads), cell(s.Upstreams), cell(s.Callers), s.Digest[:12]}},
	})
}

func (c *command) printProblems(problems validate.Problems) error {
	t := table{header: []string{"KEY", "PROBLEM"}}
	for _, p := range problems {
		t.rows = append(t.rows, []string{p.Key, p.Reason})
	}
	if err := c.print(problems, t); err != nil {
		return err
	}
	return fmt.Errorf("%w: %d problems", errInvalid, len(problems))
}

func (c *command) diff(a, b string) error {
	from, err := loadDir(a)
	if err != nil {
		return fmt.Errorf("%s: %w", a, err)
	}
	to, err := loadDir(b)
	if err != nil {
		return fmt.Errorf("%s: %w", b, err)
	}
	changes := manifest.Diff(from, to)
	t := table{header: []string{"CHANGE", "SUBJECT"}}
	for _, ch := range changes {
		t.rows = append(t.rows, []string{string(ch.Kind), ch.Subject})
	}
	return c.print(changes, t)
}

// loadDir builds the manifest of a directory: head.json, and every other file in it as
// a part.
func loadDir(dir string) (*manifest.Manifest, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	files := []string{dir + "/head.json"}
	for _, e := range entries {
		if e.Name() != "head.json" && !e.IsDir() {
			files = append(files, dir+"/"+e.Name())
		}
	}
	return load(files)
}

// load builds the manifest of a head file and part files. Each part is offered with
// and without a newline at its end, because the digest may cover either.
func load(files []string) (*manifest.Manifest, error) {
	head, err := os.ReadFile(files[0])
	if err != nil {
		return nil, err
	}
	texts := make(map[string][]byte)
	for _, f := range files[1:] {
		body, err := os.ReadFile(f)
		if err != nil {
			return nil, err
		}
		texts[manifest.Digest(body)] = body
		trimmed := bytes.TrimSuffix(body, []byte("\n"))
		texts[manifest.Digest(trimmed)] = trimmed
	}
	return manifest.NewBuilder().Build(head, texts)
}
