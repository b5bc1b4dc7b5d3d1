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

// machineType is one entry of the catalog.
type machineType struct {
	Name        string   `json:"name"`
	CPUs        float64  `json:"cpus"`
	Cards       int      `json:"cards"`
	MemoryGB    float64  `json:"memoryGb"`
	LocalGB     float64  `json:"localGb"`
	FetchGBPerS float64  `json:"fetchGbPerS"`
	Rate        float64  `json:"rate"`
	MarketPrice float64  `json:"marketPrice"`
	BootS       float64  `json:"bootS"`
	Yards       []string `json:"yards"`

	spare int // machines that can still be rented in each zone, of each kind
}

type listed struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Stock    string  `json:"stock"`
	Yard     string  `json:"yard"`
	Loaners  bool    `json:"loaners"`
	Stage    string  `json:"stage"`
	AgeS     float64 `json:"ageS"`
}

type snapshot struct {
	at   time.Time
	list []listed
}

// cloud stands in for the cloud.
type cloud struct {
	w       *world
	mu      sync.Mutex
	types   []*machineType
	benches map[string]*bench
	hires   map[string][]string
	last    int
	shots   []snapshot
	down    bool
	addr    string
	hook    func(r *http.Request, body []byte) action
}

func newCloud(w *world, types []*machineType) *cloud {
	c := &cloud{w: w, types: types, benches: map[string]*bench{}, hires: map[string][]string{}}
	c.addr = w.listen(c.serve)
	go func() {
		for {
			c.mu.Lock()
			c.shots = append(c.shots, snapshot{time.Now(), c.list()})
			c.mu.Unlock()
			time.Sleep(time.Second)
		}
	}()
	return c
}

func (c *cloud) typeOf(name string) *machineType {
	for _, t := range c.types {
		if t.Name == name {
			return t
		}
	}
	return nil
}

func (c *cloud) list() []listed {
	all := []listed{}
	for _, b := range c.benches {
		entry := listed{b.name, b.endpoint, b.stock.Name, b.yard, b.loaners, b.stage, time.Since(b.hired).Seconds()}
		all = append(all, entry)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].UID < all[j].UID })
	return all
}

// create adds a machine, which is up after boot.
func (c *cloud) create(stock *machineType, yard string, loaners bool, boot time.Duration) *bench {
	name := fmt.Sprintf("n-%06d", c.last)
	c.last++
	b := newBench(c.w, name, stock, yard, loaners)
	b.stage, b.hired = "starting", time.Now()
	c.benches[name] = b
	go func() {
		time.Sleep(boot)
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.benches[name] == b {
			b.stage = "running"
			b.start()
		}
	}()
	return b
}

func (c *cloud) add(stock, yard string, loaners bool, n int) []*bench {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*bench
	for range n {
		b := c.create(c.typeOf(stock), yard, loaners, 0)
		b.hired = time.Now().Add(-time.Hour)
		all = append(all, b)
	}
	return all
}

func (c *cloud) remove(name string) {
	b := c.benches[name]
	if b == nil {
		return
	}
	delete(c.benches, name)
	b.remove()
}

func (c *cloud) all() []*bench {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*bench
	for _, entry := range c.list() {
		all = append(all, c.benches[entry.UID])
	}
	return all
}

func (c *cloud) serve(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	c.mu.Lock()
	var act action
	if c.hook != nil {
		act = c.hook(r, body)
	}
	if c.down || act.refuse {
		c.mu.Unlock()
		reply(rw, 503, map[string]string{"error": "trouble"})
		return
	}
	if act.lost || act.applyWait > 0 {
		c.mu.Unlock()
		if act.applyWait > 0 {
			go func() {
				time.Sleep(act.applyWait)
				c.mu.Lock()
				defer c.mu.Unlock()
				c.carryOut(r, body)
			}()
		}
		hang(r)
		return
	}
	status, answer := c.carryOut(r, body)
	c.mu.Unlock()
	if act.noAnswer {
		hang(r)
		return
	}
	time.Sleep(act.delay)
	reply(rw, status, answer)
}

func (c *cloud) carryOut(r *http.Request, body []byte) (int, any) {
	malformed := map[string]string{"error": "malformed"}
	switch r.Method + " " + r.URL.Path {
	case "GET /catalog":
		return 200, map[string]any{"stocks": c.types}
	case "GET /machines":
		at := time.Now().Add(-time.Duration(cloudLagS * float64(time.Second)))
		shown := []listed{}
		for _, shot := range c.shots {
			if !shot.at.After(at) {
				shown = shot.list
			}
		}
		since := r.URL.Query().Get("since")
		most, err := strconv.Atoi(r.URL.Query().Get("most"))
		if err != nil || most > 500 {
			most = 500
		}
		page := []listed{}
		truncated := false
		for _, entry := range shown {
			if entry.UID <= since {
				continue
			}
			if len(page) == most {
				truncated = true
				break
			}
			page = append(page, entry)
		}
		return 200, map[string]any{"benches": page, "truncated": truncated}
	case "POST /machines":
		var request struct {
			Hire, Stock, Yard string
			Loaners           bool
			HowMany           int
		}
		if json.Unmarshal(body, &request) != nil || request.Hire == "" || request.HowMany < 1 || request.HowMany > 50 || c.typeOf(request.Stock) == nil {
			return 400, malformed
		}
		if names, ok := c.hires[request.Hire]; ok {
			return 200, map[string]any{"benches": names}
		}
		stock := c.typeOf(request.Stock)
		n := min(request.HowMany, stock.spare)
		if n == 0 {
			return 503, map[string]string{"error": "no capacity"}
		}
		stock.spare -= n
		names := []string{}
		for range n {
			names = append(names, c.create(stock, request.Yard, request.Loaners, time.Duration(stock.BootS*float64(time.Second))).name)
		}
		c.hires[request.Hire] = names
		c.w.note("cloud: %s rents %v", request.Hire, names)
		return 200, map[string]any{"benches": names}
	case "POST /machines/delete":
		var request struct{ Benches []string }
		if json.Unmarshal(body, &request) != nil || len(request.Benches) > 100 {
			return 400, malformed
		}
		for _, name := range request.Benches {
			c.remove(name)
		}
		c.w.note("cloud: deleted %v", request.Benches)
		return 200, map[string]any{}
	}
	return 400, malformed
}
