// Command driver3 plays the scripts of review/8 and review/9: it is the platform, the servers, the
// clients and the operator of a small deployment, and starts the system's own processes.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/sardinespindle/sardinespindle/platform/standin"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// setup is what each case gets.
type setup struct {
	program string // of the system
	dir     string // for settings and logs
	trouble bool
	record  *recorder
	store   *standin.Store
	address string // of the store
}

// cases returns the verdict of each case: whether the rule was broken.
var cases = map[string]func(ctx context.Context, s *setup) (bool, error){
	"drain":  playDrain,
	"status": playStatus,
}

func main() {
	if len(os.Args) != 5 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver3 CASE PROGRAM FOLDER TROUBLE")
		os.Exit(failed)
	}
	code, err := play(os.Args[1], os.Args[2], os.Args[3], os.Args[4] != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

// timeLimit is less than the 120 s that a script may run.
const timeLimit = 115 * time.Second

func play(name, program, folder string, trouble bool) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return failed, err
	}
	defer os.RemoveAll(dir)
	record, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		return failed, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return failed, err
	}
	s := &setup{
		program: program, dir: dir, trouble: trouble, record: record,
		store: standin.NewStore(), address: l.Addr().String(),
	}
	go func() { _ = http.Serve(l, s.store) }()
	record.printf("case %s, trouble %v", name, s.trouble)
	isBroken, err := cases[name](ctx, s)
	switch {
	case err != nil:
		record.printf("could not run: %v", err)
		return failed, err
	case isBroken:
		record.printf("the rule was broken")
		return broken, nil
	default:
		record.printf("the rule held")
		return held, nil
	}
}
