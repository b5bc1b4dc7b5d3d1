package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// machineType is a type in the cloud's catalog.
type machineType struct {
	Name        string   `json:"name"`
	CPUs        float64  `json:"cpus"`
	Cards       float64  `json:"cards"`
	MemoryGB    float64  `json:"memoryGb"`
	LocalGB     float64  `json:"localGb"`
	FetchGBPerS float64  `json:"fetchGbPerS"`
	Rate        float64  `json:"rate"`
	MarketPrice float64  `json:"marketPrice"`
	BootS       float64  `json:"bootS"`
	Yards       []string `json:"yards"`
}

// listed is a machine in the cloud's list.
type listed struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Stock    string  `json:"stock"`
	Yard     string  `json:"yard"`
	Loaners  bool    `json:"loaners"`
	Stage    string  `json:"stage"`
	AgeS     float64 `json:"ageS"`
}

// cloudMachine is a machine and its worker.
type cloudMachine struct {
	worker *worker
	since  time.Time
	gone   time.Time // zero: still there
}

// cloud stands in for the cloud. It has no machines to rent beyond those that the case begins with: each
// rental is answered with "no capacity".
type cloud struct {
	record *recorder
	types  []machineType
	lag    time.Duration
	rps    float64

	mu       sync.Mutex
	machines map[string]*cloudMachine
	calls    bucket
	addr     string
}

func newCloud(record *recorder, types []machineType, lag time.Duration, rps float64) (*cloud, error) {
	c := &cloud{record: record, types: types, lag: lag, rps: rps, machines: map[string]*cloudMachine{}}
	var err error
	_, c.addr, err = serveOn(c.handle)
	return c, err
}

func (c *cloud) machineType(name string) machineType {
	for _, t := range c.types {
		if t.Name == name {
			return t
		}
	}
	return machineType{}
}

// add adds a machine that was up before the run.
func (c *cloud) add(w *worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines[w.name] = &cloudMachine{worker: w, since: time.Now().Add(-time.Hour)}
}

func (c *cloud) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	c.mu.Lock()
	now := time.Now()
	c.calls.level = min(2*c.rps, c.calls.level+c.rps*now.Sub(c.calls.at).Seconds())
	c.calls.at = now
	allowed := c.calls.level >= 1
	if allowed {
		c.calls.level--
	}
	c.mu.Unlock()
	if !allowed {
		reply(w, http.StatusTooManyRequests, nil)
		return
	}
	switch {
	case r.URL.Path == "/catalog":
		reply(w, http.StatusOK, map[string]any{"stocks": c.types})
	case r.URL.Path == "/machines" && r.Method == http.MethodGet:
		since := r.URL.Query().Get("since")
		most, err := strconv.Atoi(r.URL.Query().Get("most"))
		if err != nil || most > 500 {
			most = 500
		}
		reply(w, http.StatusOK, c.list(since, most))
	case r.URL.Path == "/machines":
		reply(w, http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
	case r.URL.Path == "/machines/delete":
		var request struct {
			Benches []string `json:"benches"`
		}
		if json.Unmarshal(body, &request) != nil || len(request.Benches) > 100 {
			reply(w, http.StatusBadRequest, nil)
			return
		}
		c.remove(request.Benches)
		reply(w, http.StatusOK, map[string]any{})
	default:
		reply(w, http.StatusBadRequest, nil)
	}
}

func (c *cloud) remove(names []string) {
	for _, name := range names {
		c.mu.Lock()
		m := c.machines[name]
		present := m != nil && m.gone.IsZero()
		if present {
			m.gone = time.Now()
		}
		c.mu.Unlock()
		if present {
			m.worker.remove()
			c.record.add("cloud: machine %s deleted", name)
		}
	}
}

// list returns the machines as of lag ago.
func (c *cloud) list(since string, most int) any {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Now().Add(-c.lag)
	var names []string
	for name, m := range c.machines {
		if name > since && m.since.Before(at) && (m.gone.IsZero() || m.gone.After(at)) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	truncated := len(names) > most
	names = names[:min(len(names), most)]
	machines := []listed{}
	for _, name := range names {
		m := c.machines[name]
		machines = append(machines, listed{name, m.worker.addr, m.worker.kind.Name, m.worker.yard, m.worker.spot, "running", at.Sub(m.since).Seconds()})
	}
	return map[string]any{"benches": machines, "truncated": truncated}
}

func machineName(number int) string { return fmt.Sprintf("n-%06d", number) }
