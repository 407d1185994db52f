// Package starter starts entries and stand-ins as separate processes on loopback, for the demo and for
// proofs. The product's own processes never start another.
package starter

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// readyTimeout bounds a stand-in's start.
	readyTimeout = 10 * time.Second
	// stopTimeout bounds the end of a process that was asked to stop.
	stopTimeout = 10 * time.Second
)

// Process is one process that this program started.
type Process struct {
	name    string
	address string
	command *exec.Cmd
	done    chan struct{}
	err     error
}

// StartError tells which process did not start.
type StartError struct {
	Name string
	Err  error
}

func (e *StartError) Error() string { return fmt.Sprintf("start %s: %v", e.Name, e.Err) }

// Unwrap gives the cause.
func (e *StartError) Unwrap() error { return e.Err }

// errNotReady tells that a process ended or was silent before it was ready.
var errNotReady = errors.New("not ready in time")

// ready is the line that a stand-in prints when it serves.
type ready struct {
	Ready   bool   `json:"ready"`
	Address string `json:"address"`
}

// startStandin starts a stand-in and waits until it has said where it serves.
func startStandin(binary, dir, name string, args ...string) (*Process, error) {
	p := &Process{name: name, command: exec.Command(binary, args...), done: make(chan struct{})}
	stdout, err := p.command.StdoutPipe()
	if err != nil {
		return nil, &StartError{Name: name, Err: err}
	}
	if err := p.start(dir); err != nil {
		return nil, err
	}
	address, err := awaitReady(stdout)
	if err != nil {
		_ = p.Kill()
		return nil, &StartError{Name: name, Err: err}
	}
	p.address = address
	return p, nil
}

// startEntry starts an entry; its caller waits for readiness by the entry's own status.
func startEntry(binary, dir, name, settings string) (*Process, error) {
	p := &Process{name: name, command: exec.Command(binary, "entry", "--settings", settings), done: make(chan struct{})}
	if err := p.start(dir); err != nil {
		return nil, err
	}
	return p, nil
}

// StartForward starts an entry on a platform, with the file of its settings named in an environment variable. Its logs go to a
// file of its own in the folder.
func StartForward(binary, dir, name, variable, settings string) (*Process, error) {
	p := &Process{name: name, command: exec.Command(binary, "forward"), done: make(chan struct{})}
	p.command.Env = append(os.Environ(), variable+"="+settings)
	if err := p.start(dir); err != nil {
		return nil, err
	}
	return p, nil
}

// start runs the command with its errors written to a file of its own.
func (p *Process) start(dir string) error {
	file, err := os.OpenFile(filepath.Join(dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return &StartError{Name: p.name, Err: err}
	}
	p.command.Stderr = file
	if p.command.Stdout == nil {
		p.command.Stdout = file
	}
	if err := p.command.Start(); err != nil {
		return &StartError{Name: p.name, Err: errors.Join(err, file.Close())}
	}
	go func() {
		p.err = errors.Join(p.command.Wait(), file.Close())
		close(p.done)
	}()
	return nil
}

// awaitReady reads the ready line and then keeps the pipe empty.
func awaitReady(stdout io.Reader) (string, error) {
	lines := make(chan ready, 1)
	go func() {
		scanner := bufio.NewScanner(stdout)
		var once sync.Once
		for scanner.Scan() {
			var line ready
			if json.Unmarshal(scanner.Bytes(), &line) == nil && line.Ready {
				once.Do(func() { lines <- line })
			}
		}
	}()
	select {
	case line := <-lines:
		return line.Address, nil
	case <-time.After(readyTimeout):
		return "", errNotReady
	}
}

// Name is the process's name in the fleet.
func (p *Process) Name() string { return p.name }

// Address is where a stand-in serves.
func (p *Process) Address() string { return p.address }

// Kill ends the process at once.
func (p *Process) Kill() error {
	if err := p.command.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	<-p.done
	return nil
}

// Suspend stops the process in its tracks; Thaw lets it go on.
func (p *Process) Suspend() error { return p.command.Process.Signal(syscall.SIGSTOP) }

// Resume lets a frozen process go on.
func (p *Process) Resume() error { return p.command.Process.Signal(syscall.SIGCONT) }

// Terminate asks the process to stop as planned.
func (p *Process) Terminate() error { return p.command.Process.Signal(syscall.SIGTERM) }

// Wait waits for the end and gives the exit code; false if it did not come in time.
func (p *Process) Wait(timeout time.Duration) (code int, ended bool) {
	select {
	case <-p.done:
		return p.command.ProcessState.ExitCode(), true
	case <-time.After(timeout):
		return 0, false
	}
}

// stop ends the process: as planned where it obeys in time, else at once.
func (p *Process) stop() error {
	_ = p.Terminate()
	if _, ended := p.Wait(stopTimeout); ended {
		return nil
	}
	return p.Kill()
}

// PID is the process's number.
func (p *Process) PID() int { return p.command.Process.Pid }
