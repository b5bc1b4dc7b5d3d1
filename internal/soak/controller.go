package soak

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// crashRestartDelay is the delay before a controller that exited by itself is restarted.
const crashRestartDelay = time.Second

// controllerProcess is one member of the service, whose process is killed and restarted during a run.
type controllerProcess struct {
	world      *world
	index      int
	name       string
	configPath string
	logFile    *os.File // shared by its successive processes
	client     *fasthttp.HostClient

	mu            sync.Mutex
	binary        string
	cmd           *exec.Cmd     // nil: no process is running
	exited        chan struct{} // closed when cmd has ended
	killRequested bool          // cmd is meant to end
	crashes       []string
	ready         bool
}

func memberName(index int) string { return fmt.Sprintf("bay-%d", index) }

// newController prepares a controller's peer relays, settings and log. start starts its process.
func newController(w *world, index int) (*controllerProcess, error) {
	p := &controllerProcess{world: w, index: index, name: memberName(index), binary: w.opts.Binary}
	if w.opts.PreviousBinary != "" {
		p.binary = w.opts.PreviousBinary
	}
	p.client = newClient(w.address(hostController+index, controllerPort))
	if err := relayToPeers(w, index); err != nil {
		return nil, err
	}
	p.configPath = filepath.Join(w.opts.Dir, p.name+".toml")
	if err := writeSettings(p.configPath, w, index); err != nil {
		return nil, err
	}
	var err error
	if p.logFile, err = os.Create(filepath.Join(w.opts.Dir, p.name+".log")); err != nil {
		return nil, fmt.Errorf("create the log: %w", err)
	}
	w.spawn(p.probe)
	return p, nil
}

// start starts the process unless it is running.
func (p *controllerProcess) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil || p.world.isStopped() {
		return nil
	}
	cmd := exec.CommandContext(p.world.ctx, p.binary, "--config", p.configPath)
	cmd.Stdout, cmd.Stderr = p.logFile, p.logFile
	cmd.Env = append(os.Environ(), "LOG_LEVEL=info", "GORACE=halt_on_error=1")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	exited, started := make(chan struct{}), make(chan error, 1)
	p.world.spawn(func() { p.runProcess(cmd, started, exited) })
	if err := <-started; err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.cmd, p.exited, p.killRequested = cmd, exited, false
	p.world.events.add("%s starts, process %d", p.name, cmd.Process.Pid)
	return nil
}

// runProcess starts a process and waits until it has ended. The kernel kills the child when the
// thread that started it ends (Pdeathsig), so that no child outlives this process. The goroutine
// therefore keeps its thread until the child has ended.
func (p *controllerProcess) runProcess(cmd *exec.Cmd, started chan<- error, exited chan<- struct{}) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	err := cmd.Start()
	started <- err
	if err != nil {
		return
	}
	p.processExited(cmd, cmd.Wait())
	close(exited)
}

// processExited handles the end of a process, and restarts it if it was not killed by the run.
func (p *controllerProcess) processExited(cmd *exec.Cmd, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == cmd {
		p.cmd = nil
	}
	if p.killRequested || p.world.isStopped() {
		return
	}
	p.recordCrash("%s exited by itself: %v", p.name, err)
	p.world.after(crashRestartDelay, p.startAgain)
}

// recordCrash records a failure of the process, which fails the run.
func (p *controllerProcess) recordCrash(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	p.crashes = append(p.crashes, line)
	p.world.events.add("BROKEN %s", line)
}

// startAgain restarts the process during the run; a failed start counts as a crash.
func (p *controllerProcess) startAgain() {
	if err := p.start(); err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.recordCrash("%v", err)
	}
}

// kill ends the process with SIGKILL, which it can't handle, and waits until it has ended.
func (p *controllerProcess) kill() {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.killRequested = true
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	p.world.events.add("%s is killed", p.name)
	p.signal(cmd, syscall.SIGKILL)
	<-exited
}

// signal sends a signal, unless the process has already ended.
func (p *controllerProcess) signal(cmd *exec.Cmd, signal os.Signal) {
	if err := cmd.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.world.events.add("send %v to %s: %v", signal, p.name, err)
	}
}

// restartAfter kills the process and restarts it after the downtime.
func (p *controllerProcess) restartAfter(downtime time.Duration) {
	p.kill()
	if p.world.sleep(downtime) {
		p.startAgain()
	}
}

// upgrade kills the process and restarts it with another binary. The downtime is drawn after the old
// process has ended.
func (p *controllerProcess) upgrade(binary string, drawDowntime func() time.Duration) {
	p.kill()
	p.mu.Lock()
	p.binary = binary
	p.mu.Unlock()
	if p.world.sleep(drawDowntime()) {
		p.startAgain()
	}
}

// pause suspends the process for a duration; its clocks keep running.
func (p *controllerProcess) pause(duration time.Duration) {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	p.world.events.add("%s is paused for %v", p.name, duration)
	p.signal(cmd, syscall.SIGSTOP)
	p.world.sleep(duration)
	p.signal(cmd, syscall.SIGCONT)
}

// close kills the process and closes its log.
func (p *controllerProcess) close() error {
	p.kill()
	if err := p.logFile.Close(); err != nil {
		return fmt.Errorf("log of %s: %w", p.name, err)
	}
	return nil
}

// failures lists the crashes of the process and the fatal lines in its log.
func (p *controllerProcess) failures() []string {
	p.mu.Lock()
	found := slices.Clone(p.crashes)
	p.mu.Unlock()
	return append(found, p.fatalLogLines(maxFailures-len(found))...)
}

// probe polls the controller's readiness, as a load balancer does.
func (p *controllerProcess) probe() {
	for p.world.sleep(probeInterval) {
		ready := p.isHealthy()
		p.mu.Lock()
		p.ready = ready
		p.mu.Unlock()
	}
}

// isReady reports whether a load balancer would route users to this controller.
func (p *controllerProcess) isReady() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ready && p.cmd != nil
}
