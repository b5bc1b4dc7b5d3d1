package main

import (
	"errors"
	"fmt"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// team is a team of the settings.
type team struct {
	name              string
	guaranteed, limit float64
}

// deployment holds the settings that all controllers share.
type deployment struct {
	zones               []string
	nodeZones           []string // one for each controller
	teams               []team
	reportS             float64
	leaseS, cancelS     float64
	state               storeLimits
	next                *storeLimits // announced limits; nil: none
	cloudRPS, listLagS  float64
	cpuShare, memoryMB  float64
	sockets             int
	clockOffMs          float64
	program, workFolder string
}

// node is one controller: its settings file and its process.
type node struct {
	name       string
	zone       string
	publicAddr string
	peerBind   string
	stateAddr  string
	settings   string // path of the settings file
	logPath    string
	program    string
	record     *recorder

	mu      sync.Mutex
	process *os.Process
	starts  int
}

// givenAddrs holds the addresses that freeAddr has returned.
var givenAddrs = map[string]bool{}

// freeAddr returns a loopback address with a port that is free now. The port is below those that systems give
// to outgoing connections, so that none of these takes it while the controller is down.
func freeAddr() (string, error) {
	for range 200 {
		addr := fmt.Sprintf("127.0.0.1:%d", 12000+rand.Intn(18000))
		if givenAddrs[addr] {
			continue
		}
		if listener, err := net.Listen("tcp4", addr); err == nil {
			listener.Close()
			givenAddrs[addr] = true
			return addr, nil
		}
	}
	return "", errors.New("no free port")
}

// newNodes prepares the controllers of a deployment: their addresses and settings files.
func newNodes(record *recorder, d *deployment, stateAddrs []string, cloudAddr string) ([]*node, error) {
	var nodes []*node
	for i, zone := range d.nodeZones {
		n := &node{
			name: fmt.Sprintf("bay-%d", i), zone: zone, stateAddr: stateAddrs[i], program: d.program, record: record,
			settings: filepath.Join(d.workFolder, fmt.Sprintf("bay-%d.toml", i)),
			logPath:  filepath.Join(d.workFolder, fmt.Sprintf("bay-%d.log", i)),
		}
		var err error
		if n.publicAddr, err = freeAddr(); err != nil {
			return nil, err
		}
		if n.peerBind, err = freeAddr(); err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		if err := os.WriteFile(n.settings, []byte(d.text(n, nodes, cloudAddr)), 0o600); err != nil {
			return nil, err
		}
	}
	return nodes, nil
}

// text returns the settings file of one controller, in the form of DEPLOY-frostdock.md.
func (d *deployment) text(n *node, nodes []*node, cloudAddr string) string {
	var b strings.Builder
	add := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	add("member = %q\nsite = %q\npublic_addr = %q\npeer_bind = %q", n.name, n.zone, n.publicAddr, n.peerBind)
	for _, other := range nodes {
		if other != n {
			add("[[others]]\nmember = %q\nsite = %q\naddress = %q", other.name, other.zone, other.peerBind)
		}
	}
	add("[outside]\ncloud = %q\nstate = %q", cloudAddr, n.stateAddr)
	add("[settings]\nsize = %d\nzones = [\"%s\"]\nclock_off_ms = %.1f", len(nodes), strings.Join(d.zones, `", "`), d.clockOffMs)
	for _, t := range d.teams {
		add("[[settings.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0", t.name, t.guaranteed, t.limit)
	}
	add("[settings.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 35.0\ngang_peer_s = 6.0\ncancel_s = %.1f", d.reportS, d.leaseS, d.cancelS)
	add("[settings.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d", d.state.rps, d.state.writeRPS, d.state.valueKB, d.state.txnOps)
	if d.next != nil {
		add("[settings.state.next]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d", d.next.rps, d.next.writeRPS, d.next.valueKB, d.next.txnOps)
	}
	add("[settings.cloud]\nrps = %.1f\nlist_lag_s = %.1f", d.cloudRPS, d.listLagS)
	add("[settings.machine_limits]\ncpu_share = %.2f\nmemory_mb = %.1f\nsockets = %d", d.cpuShare, d.memoryMB, d.sockets)
	return b.String()
}

// starter starts processes on a thread of its own: they are to end with this program, and the kernel ties
// that to the thread that started them.
var starter = func() func(*exec.Cmd) error {
	type job struct {
		command *exec.Cmd
		done    chan error
	}
	jobs := make(chan job)
	go func() {
		runtime.LockOSThread()
		for j := range jobs {
			j.done <- j.command.Start()
		}
	}()
	return func(command *exec.Cmd) error {
		done := make(chan error)
		jobs <- job{command, done}
		return <-done
	}
}()

// start starts the controller's process, as deploy/service.toml does.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		return fmt.Errorf("%s runs already", n.name)
	}
	log, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(n.program, "--config", n.settings)
	command.Env = append(os.Environ(), "LOG_LEVEL=info")
	command.Stderr = log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := starter(command); err != nil {
		return err
	}
	n.process = command.Process
	n.starts++
	n.record.say("%s starts (process %d)", n.name, command.Process.Pid)
	go func() {
		err := command.Wait()
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.process == command.Process { // nobody killed it
			n.process = nil
			n.record.say("%s ENDED BY ITSELF: %v", n.name, err)
		}
	}()
	return nil
}

// kill ends the controller's process with no warning.
func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return
	}
	n.record.say("%s is killed", n.name)
	n.process.Kill()
	n.process = nil
}

// signal sends a signal to the controller's process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.record.say("%s gets %v", n.name, s)
		n.process.Signal(s)
	}
}

// up reports whether the process runs.
func (n *node) up() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process != nil
}

// ready asks the controller whether it can take requests.
func (n *node) ready() bool {
	status, _, _ := call("GET", "http://"+n.publicAddr+"/ready", nil, time.Second)
	return status == 200
}

// grep returns how many lines of the controller's log contain a text.
func (n *node) grep(text string) int {
	log, err := os.ReadFile(n.logPath)
	if err != nil {
		return 0
	}
	count := 0
	for _, line := range strings.Split(string(log), "\n") {
		if strings.Contains(line, text) {
			count++
		}
	}
	return count
}
