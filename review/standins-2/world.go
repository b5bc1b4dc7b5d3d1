package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Settings, those of the map deployment in the brief.
var (
	stateRPS, stateWriteRPS   = 250.0, 25.0
	stateValueKB, stateTxnOps = 4, 12
	reportS, leaseS, cancelS  = 3.0, 22.0, 47.0
	cloudRPS, cloudLagS       = 8.0, 8.0
	memoryMB, sockets         = 234.0, 2500
	zones                     = []string{"zona-xela"}
)

type team struct {
	name        string
	cpus, limit float64
}

// world is one run of a case.
type world struct {
	trouble   bool
	dir       string // temporary
	root      string // of the repository
	began     time.Time
	recordMu  sync.Mutex
	record    *os.File
	nodeCount int
	nodes     []*node
	teams     []team
	quota     map[string]float64
	store     *store
	cloud     *cloud
	check     *checker
	cases     string
}

func (w *world) note(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) rnd(n int) int { return rand.IntN(n) }

func (w *world) elapsed() time.Duration { return time.Since(w.began) }

// unable ends the run because the case could not be played.
func (w *world) unable(format string, args ...any) {
	w.note("could not run: "+format, args...)
	fmt.Printf("could not run: "+format+"\n", args...)
	w.stop()
	os.Exit(2)
}

func (w *world) stop() {
	for _, n := range w.nodes {
		n.kill()
	}
	_ = os.RemoveAll(w.dir)
}

// finish ends the run: status 1 if a rule was broken, else 0.
func (w *world) finish() {
	w.check.mu.Lock()
	broken := append([]string(nil), w.check.broken...)
	w.check.mu.Unlock()
	w.stop()
	if len(broken) > 0 {
		fmt.Println("broken:", broken[0])
		w.note("result: broken (%d)", len(broken))
		os.Exit(1)
	}
	fmt.Println("held")
	w.note("result: held")
	os.Exit(0)
}

// listen serves HTTP on a free loopback port and returns the address.
func (w *world) listen(handle http.HandlerFunc) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fmt.Println("listen:", err)
		os.Exit(2)
	}
	go func() { _ = (&http.Server{Handler: handle}).Serve(listener) }()
	return listener.Addr().String()
}

// freeAddr returns a free loopback address. Its port is below those that outgoing connections get, so that none takes it
// before the controller does.
func freeAddr() string {
	for range 1000 {
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000)))
		if err == nil {
			addr := listener.Addr().String()
			_ = listener.Close()
			return addr
		}
	}
	fmt.Println("no free port")
	os.Exit(2)
	return ""
}

// node is one controller.
type node struct {
	w            *world
	index        int
	member, site string
	public, peer string
	viaProxy     string // address for workers, if they go through a proxy
	settings     string
	mu           sync.Mutex
	alive        bool
	command      *exec.Cmd
	logFile      *os.File
}

func (n *node) workerAddr() string {
	if n.viaProxy != "" {
		return n.viaProxy
	}
	return n.public
}

func newWorld(caseName string, nodeCount int, teams []team, types []*machineType) *world {
	w := &world{trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), nodeCount: nodeCount, teams: teams, quota: map[string]float64{}, cases: caseName}
	record := os.Getenv("RECORD")
	if record == "" {
		record = "record.txt"
	}
	var err error
	if w.record, err = os.Create(record); err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	if w.dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	w.root = os.Getenv("ROOT")
	for _, t := range teams {
		w.quota[t.name] = t.limit
	}
	w.check = newChecker(w)
	w.store = newStore(w)
	w.cloud = newCloud(w, types)
	for i := range nodeCount {
		w.nodes = append(w.nodes, &node{w: w, index: i, member: fmt.Sprintf("bay-%d", i), site: zones[i%len(zones)], public: freeAddr(), peer: freeAddr()})
	}
	for _, n := range w.nodes {
		n.write()
	}
	go func() {
		for {
			time.Sleep(200 * time.Millisecond)
			w.check.checkDeadlines()
		}
	}()
	return w
}

func (n *node) write() {
	w := n.w
	var text strings.Builder
	p := func(format string, args ...any) { fmt.Fprintf(&text, format+"\n", args...) }
	p("member = %q\nsite = %q\npublic_addr = %q\npeer_bind = %q", n.member, n.site, n.public, n.peer)
	for _, other := range w.nodes {
		if other != n {
			p("[[others]]\nmember = %q\nsite = %q\naddress = %q", other.member, other.site, other.peer)
		}
	}
	p("[outside]\ncloud = %q\nstate = %q", w.cloud.addr, w.store.addrs[n.index])
	p("[settings]\nsize = %d\nclock_off_ms = 25.0", w.nodeCount)
	p("zones = [%q]", strings.Join(zones, `", "`))
	text2 := strings.ReplaceAll(text.String(), `\", \"`, `", "`)
	text.Reset()
	text.WriteString(text2)
	for _, t := range w.teams {
		p("[[settings.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0", t.name, t.cpus, t.limit)
	}
	p("[settings.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 35.0\ngang_peer_s = 6.0\ncancel_s = %.1f", reportS, leaseS, cancelS)
	p("[settings.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %d.0\ntxn_ops = %d", stateRPS, stateWriteRPS, stateValueKB, stateTxnOps)
	p("[settings.cloud]\nrps = %.1f\nlist_lag_s = %.1f", cloudRPS, cloudLagS)
	p("[settings.machine_limits]\ncpu_share = 0.48\nmemory_mb = %.1f\nsockets = %d", memoryMB, sockets)
	n.settings = filepath.Join(w.dir, n.member+".toml")
	if err := os.WriteFile(n.settings, []byte(text.String()), 0o600); err != nil {
		w.unable("%v", err)
	}
}

// runLine returns the command of the deploy file.
func (w *world) runLine() []string {
	raw, err := os.ReadFile(filepath.Join(w.root, "deploy", "service.toml"))
	if err != nil {
		w.unable("%v", err)
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`))
		}
	}
	w.unable("no run line")
	return nil
}

func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.alive {
		return
	}
	n.alive = true
	line := append(n.w.runLine(), n.settings)
	n.command = exec.Command(line[0], line[1:]...)
	n.command.Dir = n.w.root
	if logs := os.Getenv("LOGS"); logs != "" {
		n.logFile, _ = os.OpenFile(filepath.Join(logs, n.member+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		n.command.Stderr = n.logFile
	}
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		n.w.unable("%v", err)
	}
	n.w.note("%s starts", n.member)
	go func(command *exec.Cmd) {
		err := command.Wait()
		n.w.note("%s ended: %v", n.member, err)
		n.mu.Lock()
		n.alive = false
		n.mu.Unlock()
	}(n.command)
}

func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command != nil && n.command.Process != nil {
		_ = n.command.Process.Kill()
	}
}

func (n *node) signal(s syscall.Signal) {
	n.w.note("%s gets %v", n.member, s)
	_ = n.command.Process.Signal(s)
}

// crash ends the controller and starts it again after a time.
func (n *node) crash(down time.Duration) {
	n.w.note("%s is killed, back after %v", n.member, down)
	n.kill()
	go func() {
		time.Sleep(down)
		n.start()
	}()
}

func (w *world) startNodes() {
	// The loader of processes ends them with the thread that started them, so that thread must live on.
	for _, n := range w.nodes {
		n.start()
	}
}

type answer struct {
	status int
	UID    string `json:"uid"`
	Stage  string `json:"stage"`
	Done   int    `json:"done"`
	Run    int    `json:"running"`
	raw    string
}

// request is one request of a user to a node.
func (w *world) request(n int, method, path string, body any, timeout time.Duration) answer {
	var encoded []byte
	if body != nil {
		encoded, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, method, "http://"+w.nodes[n].public+path, bytes.NewReader(encoded))
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{raw: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	raw, _ := io.ReadAll(response.Body)
	result := answer{status: response.StatusCode, raw: string(raw)}
	_ = json.Unmarshal(raw, &result)
	return result
}

func (w *world) ready() bool {
	for i := range w.nodes {
		if w.request(i, "GET", "/ready", nil, time.Second).status != 200 {
			return false
		}
	}
	return true
}

// awaitReady waits until all controllers are ready.
func (w *world) awaitReady() {
	w.await(30*time.Second, "all controllers are ready", w.ready)
	w.note("all controllers are ready")
}

func (w *world) await(limit time.Duration, what string, holds func() bool) {
	if !w.within(limit, holds) {
		w.unable("not within %v: %s", limit, what)
	}
}

func (w *world) within(limit time.Duration, holds func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// submit submits a job, as a user does, until it is accepted. It begins with node n.
func (w *world) submit(n int, j *jobSpec) bool {
	w.check.know(j)
	for until := time.Now().Add(60 * time.Second); time.Now().Before(until); time.Sleep(time.Second) {
		got := w.request(n%w.nodeCount, "POST", "/submissions", j, 5*time.Second)
		w.note("user: submits %s to %s: %d %s", j.UID, w.nodes[n%w.nodeCount].member, got.status, strings.TrimSpace(got.raw))
		switch got.status {
		case 200, 201:
			return true
		case 400, 422:
			return false
		}
		n++
	}
	return false
}

func (w *world) poll(n int, id string) answer {
	got := w.request(n%w.nodeCount, "GET", "/submissions/"+id, nil, 2*time.Second)
	w.note("user: polls %s at %s: %d %s", id, w.nodes[n%w.nodeCount].member, got.status, strings.TrimSpace(got.raw))
	return got
}

// abort cancels a job until the user is told, and returns what the user is told.
func (w *world) abort(n int, id string) string {
	for until := time.Now().Add(60 * time.Second); time.Now().Before(until); time.Sleep(time.Second) {
		got := w.request(n%w.nodeCount, "POST", "/submissions/"+id+"/abort", nil, 5*time.Second)
		w.note("user: cancels %s at %s: %d %s", id, w.nodes[n%w.nodeCount].member, got.status, strings.TrimSpace(got.raw))
		if got.status == 200 {
			if got.Stage == "cancelled" {
				w.check.mu.Lock()
				w.check.cancelled[id] = time.Now()
				w.check.mu.Unlock()
			}
			return got.Stage
		}
		n++
	}
	return ""
}
