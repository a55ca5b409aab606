package standin

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// readyWord is the first word of the line that a process prints once it
	// accepts requests.
	readyWord = "ready"
	// outputTimeout bounds the wait for the remaining output of a process that
	// has ended.
	outputTimeout = 5 * time.Second
	// statePollInterval is the time between two reads of a process's state.
	statePollInterval = time.Millisecond
)

// Build builds packages of the current module into directory.
func Build(ctx context.Context, directory string, packages ...string) error {
	args := append([]string{"build", "-o", directory + string(os.PathSeparator)}, packages...)
	output, err := exec.CommandContext(ctx, "go", args...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("go build: %w: %s", err, output)
	}
	return nil
}

// ProcessConfig configures a process to start.
type ProcessConfig struct {
	// Path is the path of the executable.
	Path string
	Args []string
	// Log receives the standard output and the standard error, in writes that are
	// not concurrent. If it is nil, they are discarded.
	Log io.Writer
}

// Process is a process that a test has started.
type Process struct {
	cmd    *exec.Cmd
	output output
	done   chan struct{}
	group  conc.WaitGroup
}

// StartProcess starts a process and waits until it prints a line whose first word
// is "ready". The process is killed when ctx ends.
func StartProcess(ctx context.Context, config ProcessConfig) (*Process, error) {
	p := &Process{
		cmd:    exec.CommandContext(ctx, config.Path, config.Args...),
		output: output{log: cmp.Or[io.Writer](config.Log, io.Discard), ready: make(chan string, 1)},
		done:   make(chan struct{}),
	}
	p.cmd.Stdout = &p.output
	p.cmd.Stderr = &p.output
	p.cmd.WaitDelay = outputTimeout
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", config.Path, err)
	}
	p.group.Go(func() {
		defer close(p.done)
		_ = p.cmd.Wait()
	})
	if err := p.awaitReady(); err != nil {
		return nil, errors.Join(err, p.Close())
	}
	return p, nil
}

func (p *Process) awaitReady() error {
	select {
	case line := <-p.output.ready:
		p.output.ready <- line
		return nil
	case <-p.done:
		return fmt.Errorf("%s ended before it was ready: %s", p.cmd.Path, p.cmd.ProcessState)
	}
}

// Ready returns the rest of the line that the process printed when it was ready,
// without the word "ready".
func (p *Process) Ready() string {
	line := <-p.output.ready
	p.output.ready <- line
	return line
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill sends SIGKILL to the process and waits until it has ended.
func (p *Process) Kill() error {
	err := p.signal(syscall.SIGKILL)
	<-p.done
	return err
}

// Terminate sends SIGTERM to the process. It does not wait for its end.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Suspend suspends the process with SIGSTOP, and returns once it is suspended.
func (p *Process) Suspend(ctx context.Context) error {
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return p.awaitState(ctx, func(state string) bool { return state == "T" })
}

// Resume resumes a suspended process, and returns once it runs again or has ended.
func (p *Process) Resume(ctx context.Context) error {
	err := p.signal(syscall.SIGCONT)
	if err == nil {
		err = p.awaitState(ctx, func(state string) bool { return state != "T" })
	}
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Wait waits until the process has ended and returns its exit status, or -1 if a
// signal ended it.
func (p *Process) Wait(ctx context.Context) (int, error) {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// Ended describes how the process ended, such as its exit status or the signal that
// ended it. It returns "" while the process runs.
func (p *Process) Ended() string {
	select {
	case <-p.done:
		return p.cmd.ProcessState.String()
	default:
		return ""
	}
}

// Close kills the process if it still exists, suspended or not, and waits until
// it has ended.
func (p *Process) Close() error {
	err := p.signal(syscall.SIGKILL)
	p.group.Wait()
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

func (p *Process) signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// awaitState waits until the state of the process, as the kernel reports it,
// satisfies wanted.
func (p *Process) awaitState(ctx context.Context, wanted func(string) bool) error {
	for {
		state, err := p.state()
		if err != nil {
			return err
		}
		if wanted(state) {
			return nil
		}
		if !sleepContext(ctx, statePollInterval) {
			return ctx.Err()
		}
	}
}

// state returns the letter for the process's state in /proc, such as "T" for
// suspended. It returns os.ErrProcessDone if the process no longer exists.
func (p *Process) state() (string, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ESRCH) {
		return "", os.ErrProcessDone
	}
	if err != nil {
		return "", err
	}
	_, rest, ok := strings.Cut(string(stat), ") ")
	if !ok || rest == "" {
		return "", fmt.Errorf("no state in %q", stat)
	}
	return rest[:1], nil
}

// output writes a process's output to log, and sends the rest of the line that
// begins with readyWord on ready.
type output struct {
	mu    sync.Mutex
	log   io.Writer
	line  []byte
	found bool
	ready chan string
}

// Write implements io.Writer.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.found {
		o.search(p)
	}
	return o.log.Write(p)
}

// search looks for the ready line in the output, of which p is the next part.
func (o *output) search(p []byte) {
	o.line = append(o.line, p...)
	for !o.found {
		line, rest, whole := bytes.Cut(o.line, []byte("\n"))
		if !whole {
			return
		}
		o.line = rest
		word, value, _ := strings.Cut(string(line), " ")
		if word == readyWord {
			o.found = true
			o.line = nil
			o.ready <- value
		}
	}
}
