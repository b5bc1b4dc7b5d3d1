package soak

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// controller is one member of the service, whose process comes and goes.
type controllerProcess struct {
	world      *world
	index      int
	name       string
	configPath string
	binary     string
	client     *fasthttp.HostClient

	mu            sync.Mutex
	cmd           *exec.Cmd
	exited        chan struct{} // closed when cmd has ended
	killRequested bool          // it was meant to end
	logFile       *os.File
	crashes       []string
	ready         bool
}

func newController(w *world, index int) (*controllerProcess, error) {
	process := &controllerProcess{world: w, index: index, name: memberName(index), binary: w.opts.Binary}
	if w.opts.PreviousBinary != "" {
		process.binary = w.opts.PreviousBinary
	}
	address := w.address(hostController+index, 8080)
	process.client = &fasthttp.HostClient{Addr: address, MaxConns: 4096, MaxIdemponentCallAttempts: 1, MaxIdleConnDuration: 5 * time.Second}
	process.configPath = filepath.Join(w.opts.Dir, process.name+".toml")
	settings, err := settingsFor(w, index, address)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(process.configPath, []byte(settings), 0o600); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if process.logFile, err = os.Create(filepath.Join(w.opts.Dir, process.name+".log")); err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	w.spawn(process.probe)
	return process, nil
}

func memberName(index int) string { return fmt.Sprintf("bay-%d", index) }

// settingsFor writes the platform's settings file of one controller.
func settingsFor(w *world, index int, public string) (string, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "member = %q\nsite = %q\npublic_addr = %q\npeer_bind = %q\n", memberName(index), zones[index%len(zones)], public, w.address(hostController+index, 8081))
	for other := range controllerCount {
		if other == index {
			continue
		}
		address := w.address(hostPeer+index*controllerCount+other, 8081)
		if err := w.network.forward(w, index, other, address, w.address(hostController+other, 8081)); err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "[[others]]\nmember = %q\nsite = %q\naddress = %q\n", memberName(other), zones[other%len(zones)], address)
	}
	fmt.Fprintf(&b, "[outside]\ncloud = %q\nstate = %q\n", w.address(hostCloud, 8443), w.address(hostStore+index, 2379))
	fmt.Fprintf(&b, "[settings]\nsize = %d\nzones = [%q, %q]\nclock_off_ms = 25.0\n", controllerCount, zones[0], zones[1])
	limits := teamLimits()
	for _, team := range teams {
		fmt.Fprintf(&b, "[[settings.teams]]\nname = %q\ncpus = 10.0\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n", team, limits[team])
	}
	fmt.Fprintf(&b, "[settings.workers]\nreport_s = %g\nlease_s = %g\ncancel_s = %g\n", heartbeatInterval.Seconds(), workerLease.Seconds(), cancelDeadline.Seconds())
	fmt.Fprintf(&b, "[settings.state]\nrps = %g\nwrite_rps = %g\nvalue_kb = %d.0\ntxn_ops = %d\n", currentLimits.requestsPerSecond, currentLimits.changesPerSecond, currentLimits.valueBytes>>10, currentLimits.changes)
	fmt.Fprintf(&b, "[settings.state.next]\nwrite_rps = %g\nvalue_kb = %d.0\ntxn_ops = %d\n", announcedLimits.changesPerSecond, announcedLimits.valueBytes>>10, announcedLimits.changes)
	b.WriteString("[settings.cloud]\nrps = 20.0\nlist_lag_s = 1.0\n[settings.machine_limits]\ncpu_share = 1.0\nmemory_mb = 400.0\nsockets = 2000\n")
	return b.String(), nil
}

// start starts the process, if it is not there.
func (p *controllerProcess) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil || p.world.isStopped() {
		return nil
	}
	cmd := exec.Command(p.binary, "--config", p.configPath)
	cmd.Stdout, cmd.Stderr = p.logFile, p.logFile
	cmd.Env = append(os.Environ(), "LOG_LEVEL=info", "GORACE=halt_on_error=1")
	ended := make(chan struct{})
	started := make(chan error, 1)
	go func() {
		// The kernel ends the child when the thread that started it does, so that none is
		// left behind if this process is killed: the thread is kept until the child has ended.
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		err := cmd.Start()
		started <- err
		if err != nil {
			return
		}
		err = cmd.Wait()
		p.processExited(cmd, err)
		close(ended)
	}()
	if err := <-started; err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.cmd, p.exited, p.killRequested = cmd, ended, false
	p.world.events.add("%s starts, process %d", p.name, cmd.Process.Pid)
	return nil
}

// processExited notes the end of a process, and starts it again if it ended by itself.
func (p *controllerProcess) processExited(cmd *exec.Cmd, err error) {
	p.mu.Lock()
	meant := p.killRequested || p.world.isStopped()
	if !meant {
		p.crashes = append(p.crashes, fmt.Sprintf("%s ended by itself: %v", p.name, err))
		p.world.events.add("BROKEN %s ended by itself: %v", p.name, err)
	}
	if p.cmd == cmd {
		p.cmd = nil
	}
	p.mu.Unlock()
	if !meant {
		p.world.after(time.Second, func() { _ = p.start() })
	}
}

// kill ends the process without a signal that it could see, and waits until it is gone.
func (p *controllerProcess) kill() {
	p.mu.Lock()
	cmd, ended := p.cmd, p.exited
	p.killRequested = true
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	p.world.events.add("%s is killed", p.name)
	if err := cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.world.events.add("kill %s: %v", p.name, err)
	}
	<-ended
}

// restartAfter kills the process and starts it again after some time.
func (p *controllerProcess) restartAfter(away time.Duration) {
	p.kill()
	if p.world.sleep(away) {
		if err := p.start(); err != nil {
			p.world.events.add("BROKEN %v", err)
		}
	}
}

// pause stops the process for some time; its clocks run on.
func (p *controllerProcess) pause(duration time.Duration) {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	p.world.events.add("%s stands still for %v", p.name, duration)
	_ = cmd.Process.Signal(syscall.SIGSTOP)
	p.world.sleep(duration)
	_ = cmd.Process.Signal(syscall.SIGCONT)
}

// shutDown kills the process for good.
func (p *controllerProcess) shutDown() {
	p.kill()
	_ = p.logFile.Close()
}

// fatalLogLines that a log must not have: crashes, data races and broken invariants.
var fatalLogLines = []string{"panic: ", "fatal error: ", "DATA RACE", "invariant violated"}

// failures lists ends by itself and complaints.
func (p *controllerProcess) failures() []string {
	p.mu.Lock()
	out := append([]string{}, p.crashes...)
	p.mu.Unlock()
	file, err := os.Open(p.logFile.Name())
	if err != nil {
		return append(out, err.Error())
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		for _, complaint := range fatalLogLines {
			if strings.Contains(lines.Text(), complaint) && len(out) < 20 {
				out = append(out, p.name+": "+lines.Text())
			}
		}
	}
	return out
}

// post sends a request; status 0 means that there was no answer.
func (p *controllerProcess) post(path string, body any, timeout time.Duration, into any) int {
	return p.call("POST", path, body, timeout, into)
}

func (p *controllerProcess) call(method, path string, body any, timeout time.Duration, into any) int {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + p.client.Addr + path)
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return 0
		}
		req.SetBody(raw)
	}
	if p.client.DoTimeout(req, resp, timeout) != nil {
		return 0
	}
	if into != nil && len(resp.Body()) > 0 {
		_ = json.Unmarshal(resp.Body(), into) // a body that is none shows in what is missing
	}
	return resp.StatusCode()
}

// probe asks for the health as a load balancer does.
func (p *controllerProcess) probe() {
	for p.world.sleep(300 * time.Millisecond) {
		ready := p.call("GET", "/ready", nil, time.Second, nil) == 200
		p.mu.Lock()
		p.ready = ready
		p.mu.Unlock()
	}
}

func (p *controllerProcess) isReady() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ready && p.cmd != nil
}

// isStopped reports whether the run is being closed.
func (w *world) isStopped() bool {
	select {
	case <-w.stopped:
		return true
	default:
		return false
	}
}
