package bench

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// stopTimeout is how long a child may take to exit after SIGTERM.
const stopTimeout = 30 * time.Second

// errExited reports that a child exited with code 0 when it should have kept running.
var errExited = errors.New("exit status 0")

// process is a child process of the bench. Signals go to this process only, by its handle.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error // valid once done is closed
}

// start starts a child whose output is appended to a log file in dir.
func start(dir, name, bin string, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(bin, args...) //nolint:noctx // ended by stop and kill, not by a context
	cmd.Stdout = log
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

func (p *process) signal(s os.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("signal %s: %w", p.name, err)
	}
	return nil
}

// pause suspends the child for d.
func (p *process) pause(d time.Duration) error {
	err := p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	return errors.Join(err, p.signal(syscall.SIGCONT))
}

// alive reports whether the child has not exited.
func (p *process) alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// exitError waits until the child exits and returns how it ended, errExited for code 0.
func (p *process) exitError() error {
	<-p.done
	if p.err == nil {
		return errExited
	}
	return p.err
}

// stop ends the child with SIGTERM, or with SIGKILL after stopTimeout. It returns an
// error if the child had to be killed or exited with a non-zero code.
func (p *process) stop() error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		if err := p.kill(); err != nil {
			return err
		}
		return fmt.Errorf("stop %s: still running %v after SIGTERM", p.name, stopTimeout)
	}
	if p.err != nil {
		return fmt.Errorf("stop %s: %w", p.name, p.err)
	}
	return nil
}

// kill ends the child with SIGKILL and waits for it.
func (p *process) kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.done
	return nil
}
