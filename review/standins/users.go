package main

import (
	"encoding/json"
	"math/rand"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// submission is the body of POST /submissions.
type submission struct {
	UID       string   `json:"uid"`
	Lot       string   `json:"lot"`
	Crew      string   `json:"crew"`
	Cut       string   `json:"cut"`
	Grade     string   `json:"grade"`
	Pieces    int      `json:"pieces"`
	CPUs      float64  `json:"cpus"`
	Cards     float64  `json:"cards"`
	MemoryGB  float64  `json:"memoryGb"`
	Pattern   string   `json:"pattern"`
	SizeGB    float64  `json:"sizeGb"`
	Stocks    []string `json:"stocks"`
	Yard      *string  `json:"yard"`
	SamePlace bool     `json:"samePlace"`
	Spread    bool     `json:"spread"`
	Loaners   bool     `json:"loaners"`
	SawS      float64  `json:"sawS"`
	StackS    float64  `json:"stackS"`
	StowS     float64  `json:"stowS"`
	DueS      *float64 `json:"dueS"`
	WaitsOn   []string `json:"waitsOn,omitempty"`
}

// users stands in for the users and the load balancer.
type users struct {
	region *region

	mu       sync.Mutex
	accepted map[string]string // by job: the last stage that its user was told
}

func newUsers(r *region) *users { return &users{region: r, accepted: map[string]string{}} }

// healthy returns the running nodes in a random order.
func (u *users) healthy() []*node {
	var nodes []*node
	for _, i := range rand.Perm(len(u.region.nodes)) {
		if u.region.nodes[i].up() {
			nodes = append(nodes, u.region.nodes[i])
		}
	}
	return nodes
}

type answer struct {
	UID     string `json:"uid"`
	Stage   string `json:"stage"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// request sends one request to a node and notes it.
func (u *users) request(n *node, method, path string, body any, timeout time.Duration) (int, answer, time.Duration) {
	status, retryAfter, response := call(method, "http://"+n.publicAddr+path, body, timeout)
	var decoded answer
	if json.Unmarshal(response, &decoded) != nil {
		decoded = answer{}
	}
	wait := time.Second
	if seconds, err := strconv.Atoi(retryAfter); err == nil {
		wait = max(wait, min(30*time.Second, time.Duration(seconds)*time.Second))
	}
	u.region.record.add("user: %s %s at %s: %d %s %.120s", method, path, n.name, status, decoded.Stage, response)
	return status, decoded, wait
}

// submit submits a job as its user does, with retries for up to 60 s, and reports whether it was accepted.
func (u *users) submit(s submission, runs time.Duration) bool {
	return u.submitWith(s, func(string) time.Duration { return runs })
}

// submitWith is submit for a job whose tasks differ in their run times.
func (u *users) submitWith(s submission, runsOf func(piece string) time.Duration) bool {
	u.region.upload(s.UID, &jobFacts{
		cpus: s.CPUs, memoryGB: s.MemoryGB, image: s.Pattern, imageGB: s.SizeGB, daemon: s.Cut == "daemon",
		runsOf: runsOf, stackS: s.StackS, stowS: s.StowS,
	})
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); {
		wait := time.Second
		if nodes := u.healthy(); len(nodes) > 0 {
			var status int
			var told answer
			status, told, wait = u.request(nodes[0], http.MethodPost, "/submissions", s, 5*time.Second)
			switch status {
			case 200, 201:
				u.told(s.UID, told.Stage)
				return true
			case 400, 422:
				return false
			}
		}
		time.Sleep(wait)
	}
	return false
}

func (u *users) told(id, stage string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.accepted[id] = stage
}

// abort cancels a job, with retries for up to 60 s, and returns the stage that its user was told.
func (u *users) abort(id string) string {
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); {
		wait := time.Second
		if nodes := u.healthy(); len(nodes) > 0 {
			var status int
			var told answer
			status, told, wait = u.request(nodes[0], http.MethodPost, "/submissions/"+id+"/abort", nil, 5*time.Second)
			if status == 200 {
				u.told(id, told.Stage)
				if told.Stage == "cancelled" {
					u.region.toldCancelled(id)
				}
				return told.Stage
			}
		}
		time.Sleep(wait)
	}
	return ""
}

// poll asks one node for a job's state.
func (u *users) poll(n *node, id string) (int, answer) {
	status, told, _ := u.request(n, http.MethodGet, "/submissions/"+id, nil, 2*time.Second)
	return status, told
}
