// Package starter starts entries and stand-ins as separate processes on loopback, for the demo and the
// proofs. The product's own processes never start other processes.
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
	// readyTimeout limits the time that a stand-in takes to start.
	readyTimeout = 10 * time.Second
	// stopTimeout limits the time that a process takes to exit after a request to stop.
	stopTimeout = 10 * time.Second
)

// Process is a process started by this program.
type Process struct {
	name    string
	address string
	command *exec.Cmd
	done    chan struct{}
	err     error
}

// StartError reports that a process did not start or was not ready in time.
type StartError struct {
	Name string
	Err  error
}

func (e *StartError) Error() string { return fmt.Sprintf("start %s: %v", e.Name, e.Err) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Err }

// errNotReady reports that a process exited before it was ready, or was not ready in time.
var errNotReady = errors.New("not ready in time")

// ready is the line that a stand-in prints when it is ready to serve.
type ready struct {
	Ready   bool   `json:"ready"`
	Address string `json:"address"`
}

// startStandin starts a stand-in and waits until it has printed its address.
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

// startEntry starts an entry without waiting for it; the caller polls the entry's status for readiness.
func startEntry(binary, dir, name, settings string) (*Process, error) {
	p := &Process{name: name, command: exec.Command(binary, "entry", "--settings", settings), done: make(chan struct{})}
	if err := p.start(dir); err != nil {
		return nil, err
	}
	return p, nil
}

// StartForward starts an entry that forwards requests for a platform. The environment variable holds the path of its
// settings file. Its logs are written to a file named after it in dir.
func StartForward(binary, dir, name, variable, settings string) (*Process, error) {
	p := &Process{name: name, command: exec.Command(binary, "forward"), done: make(chan struct{})}
	p.command.Env = append(os.Environ(), variable+"="+settings)
	if err := p.start(dir); err != nil {
		return nil, err
	}
	return p, nil
}

// StartUnread is like StartForward, but nobody reads the logs.
func StartUnread(binary, dir, name, variable, settings string) (*Process, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, &StartError{Name: name, Err: err}
	}
	p := &Process{name: name, command: exec.Command(binary, "forward"), done: make(chan struct{})}
	p.command.Env = append(os.Environ(), variable+"="+settings)
	p.command.Stdout = w
	if err := errors.Join(p.start(dir), w.Close()); err != nil {
		return nil, errors.Join(err, r.Close())
	}
	go func() {
		<-p.done
		_ = r.Close()
	}()
	return p, nil
}

// start runs the command. Its standard error, and its standard output if it is not piped, are appended to a log file
// in dir.
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

// awaitReady returns the address in the ready line. It continues to drain stdout afterwards, so that the process does
// not block on a full pipe.
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

// Name returns the process's name in the fleet.
func (p *Process) Name() string { return p.name }

// Address returns the address of a stand-in.
func (p *Process) Address() string { return p.address }

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() error {
	if err := p.command.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	<-p.done
	return nil
}

// Suspend pauses the process with SIGSTOP until Resume is called.
func (p *Process) Suspend() error { return p.command.Process.Signal(syscall.SIGSTOP) }

// Resume continues a suspended process.
func (p *Process) Resume() error { return p.command.Process.Signal(syscall.SIGCONT) }

// Terminate asks the process to shut down gracefully.
func (p *Process) Terminate() error { return p.command.Process.Signal(syscall.SIGTERM) }

// Wait waits for the process to exit and returns its exit code. ended is false if the timeout passed first.
func (p *Process) Wait(timeout time.Duration) (code int, ended bool) {
	select {
	case <-p.done:
		return p.command.ProcessState.ExitCode(), true
	case <-time.After(timeout):
		return 0, false
	}
}

// stop shuts the process down gracefully, and kills it if it has not exited after stopTimeout.
func (p *Process) stop() error {
	_ = p.Terminate()
	if _, ended := p.Wait(stopTimeout); ended {
		return nil
	}
	return p.Kill()
}

// PID returns the process ID.
func (p *Process) PID() int { return p.command.Process.Pid }
