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
type process struct {
	w      *world
	index  int
	name   string
	config string
	binary string
	client *fasthttp.HostClient

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{} // closed when cmd has ended
	killed  bool          // it was meant to end
	log     *os.File
	crashes []string
	ready   bool
}

func newController(w *world, index int) (*process, error) {
	n := &process{w: w, index: index, name: memberName(index), binary: w.opts.Binary}
	if w.opts.Before != "" {
		n.binary = w.opts.Before
	}
	address := w.address(hostController+index, 8080)
	n.client = &fasthttp.HostClient{Addr: address, MaxConns: 4096, MaxIdemponentCallAttempts: 1, MaxIdleConnDuration: 5 * time.Second}
	n.config = filepath.Join(w.opts.Dir, n.name+".toml")
	settings, err := settingsFor(w, index, address)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(n.config, []byte(settings), 0o600); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if n.log, err = os.Create(filepath.Join(w.opts.Dir, n.name+".log")); err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	w.run(n.probe)
	return n, nil
}

func memberName(index int) string { return fmt.Sprintf("bay-%d", index) }

// settingsFor writes the platform's settings file of one controller.
func settingsFor(w *world, index int, public string) (string, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "member = %q\nsite = %q\npublic_addr = %q\npeer_bind = %q\n", memberName(index), zones[index%len(zones)], public, w.address(hostController+index, 8081))
	for other := range controllers {
		if other == index {
			continue
		}
		address := w.address(hostPeer+index*controllers+other, 8081)
		if err := w.links.forward(w, index, other, address, w.address(hostController+other, 8081)); err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "[[others]]\nmember = %q\nsite = %q\naddress = %q\n", memberName(other), zones[other%len(zones)], address)
	}
	fmt.Fprintf(&b, "[outside]\ncloud = %q\nstate = %q\n", w.address(hostCloud, 8443), w.address(hostState+index, 2379))
	fmt.Fprintf(&b, "[settings]\nsize = %d\nzones = [%q, %q]\nclock_off_ms = 25.0\n", controllers, zones[0], zones[1])
	limits := teamLimits()
	for _, team := range teams {
		fmt.Fprintf(&b, "[[settings.teams]]\nname = %q\ncpus = 10.0\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n", team, limits[team])
	}
	fmt.Fprintf(&b, "[settings.workers]\nreport_s = %g\nlease_s = %g\ncancel_s = %g\n", reportEvery.Seconds(), workerLease.Seconds(), cancelIn.Seconds())
	fmt.Fprintf(&b, "[settings.state]\nrps = %g\nwrite_rps = %g\nvalue_kb = %d.0\ntxn_ops = %d\n", limitsNow.requestsPerSecond, limitsNow.changesPerSecond, limitsNow.valueBytes>>10, limitsNow.changes)
	fmt.Fprintf(&b, "[settings.state.next]\nwrite_rps = %g\nvalue_kb = %d.0\ntxn_ops = %d\n", limitsNext.changesPerSecond, limitsNext.valueBytes>>10, limitsNext.changes)
	b.WriteString("[settings.cloud]\nrps = 20.0\nlist_lag_s = 1.0\n[settings.machine_limits]\ncpu_share = 1.0\nmemory_mb = 400.0\nsockets = 2000\n")
	return b.String(), nil
}

// start starts the process, if it is not there.
func (n *process) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil || n.w.over() {
		return nil
	}
	cmd := exec.Command(n.binary, "--config", n.config)
	cmd.Stdout, cmd.Stderr = n.log, n.log
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
		n.processEnded(cmd, err)
		close(ended)
	}()
	if err := <-started; err != nil {
		return fmt.Errorf("start %s: %w", n.name, err)
	}
	n.cmd, n.ended, n.killed = cmd, ended, false
	n.w.events.add("%s starts, process %d", n.name, cmd.Process.Pid)
	return nil
}

// processEnded notes the end of a process, and starts it again if it ended by itself.
func (n *process) processEnded(cmd *exec.Cmd, err error) {
	n.mu.Lock()
	meant := n.killed || n.w.over()
	if !meant {
		n.crashes = append(n.crashes, fmt.Sprintf("%s ended by itself: %v", n.name, err))
		n.w.events.add("BROKEN %s ended by itself: %v", n.name, err)
	}
	if n.cmd == cmd {
		n.cmd = nil
	}
	n.mu.Unlock()
	if !meant {
		n.w.after(time.Second, func() { _ = n.start() })
	}
}

// kill ends the process without a signal that it could see, and waits until it is gone.
func (n *process) kill() {
	n.mu.Lock()
	cmd, ended := n.cmd, n.ended
	n.killed = true
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	n.w.events.add("%s is killed", n.name)
	if err := cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		n.w.events.add("kill %s: %v", n.name, err)
	}
	<-ended
}

// restart kills the process and starts it again after some time.
func (n *process) restart(away time.Duration) {
	n.kill()
	if n.w.sleep(away) {
		if err := n.start(); err != nil {
			n.w.events.add("BROKEN %v", err)
		}
	}
}

// pause stops the process for some time; its clocks run on.
func (n *process) pause(d time.Duration) {
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	n.w.events.add("%s stands still for %v", n.name, d)
	_ = cmd.Process.Signal(syscall.SIGSTOP)
	n.w.sleep(d)
	_ = cmd.Process.Signal(syscall.SIGCONT)
}

// end kills the process for good.
func (n *process) end() {
	n.kill()
	_ = n.log.Close()
}

// complaints that a log must not have: crashes, data races and broken invariants.
var complaints = []string{"panic: ", "fatal error: ", "DATA RACE", "invariant violated"}

// unexpected lists ends by itself and complaints.
func (n *process) unexpected() []string {
	n.mu.Lock()
	out := append([]string{}, n.crashes...)
	n.mu.Unlock()
	file, err := os.Open(n.log.Name())
	if err != nil {
		return append(out, err.Error())
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		for _, complaint := range complaints {
			if strings.Contains(lines.Text(), complaint) && len(out) < 20 {
				out = append(out, n.name+": "+lines.Text())
			}
		}
	}
	return out
}

// post sends a request; status 0 means that there was no answer.
func (n *process) post(path string, body any, within time.Duration, into any) int {
	return n.call("POST", path, body, within, into)
}

func (n *process) call(method, path string, body any, within time.Duration, into any) int {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + n.client.Addr + path)
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return 0
		}
		req.SetBody(raw)
	}
	if n.client.DoTimeout(req, resp, within) != nil {
		return 0
	}
	if into != nil && len(resp.Body()) > 0 {
		_ = json.Unmarshal(resp.Body(), into) // a body that is none shows in what is missing
	}
	return resp.StatusCode()
}

// probe asks for the health as a load balancer does.
func (n *process) probe() {
	for n.w.sleep(300 * time.Millisecond) {
		ready := n.call("GET", "/ready", nil, time.Second, nil) == 200
		n.mu.Lock()
		n.ready = ready
		n.mu.Unlock()
	}
}

func (n *process) isReady() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ready && n.cmd != nil
}

// over reports whether the run is being closed.
func (w *world) over() bool {
	select {
	case <-w.stopped:
		return true
	default:
		return false
	}
}
