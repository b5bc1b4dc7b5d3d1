// Package config reads and checks the settings file that the platform hands
// over. Unknown fields are ignored; a missing or impossible one is an error
// that names the field and the reason.
package config

import (
	"errors"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"

	"frostdock.example/frostdock/internal/units"
)

// Peer is another controller.
type Peer struct {
	Member  string `toml:"member"`
	Site    string `toml:"site"`
	Address string `toml:"address"`
}

// Team is a team's guarantee and limit; zero means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective restates one of the operator's aims.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// Config is the whole file.
type Config struct {
	Member     string `toml:"member"`
	Site       string `toml:"site"`
	PublicAddr string `toml:"public_addr"`
	PeerBind   string `toml:"peer_bind"`
	Others     []Peer `toml:"others"`
	Outside    struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"outside"`
	Settings Settings `toml:"settings"`
}

// StateLimits are the limits of the state service.
type StateLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// NextLimits are limits that will hold later; what is missing stays as it is.
type NextLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// Over returns the limits that will hold in place of the present ones.
func (n *NextLimits) Over(present StateLimits) StateLimits {
	next := present
	if n == nil {
		return next
	}
	if n.RPS != nil {
		next.RPS = *n.RPS
	}
	if n.WriteRPS != nil {
		next.WriteRPS = *n.WriteRPS
	}
	if n.ValueKB != nil {
		next.ValueKB = *n.ValueKB
	}
	if n.TxnOps != nil {
		next.TxnOps = *n.TxnOps
	}
	return next
}

// Tighter returns the smaller of each limit.
func (l StateLimits) Tighter(other StateLimits) StateLimits {
	return StateLimits{
		RPS:      min(l.RPS, other.RPS),
		WriteRPS: min(l.WriteRPS, other.WriteRPS),
		ValueKB:  min(l.ValueKB, other.ValueKB),
		TxnOps:   min(l.TxnOps, other.TxnOps),
	}
}

// The smallest settings with which a controller can work.
const (
	minTxnOps  = 3   // a job's end, its place among the accepted ones and its progress change together
	minValueKB = 1.0 // one job, and one machine with its tasks, must fit
	minSockets = 50
)

// check refuses limits with which the service can't work.
func (l StateLimits) check(path string, v *validator) {
	v.requirePositive(path+".rps", l.RPS)
	v.requirePositive(path+".write_rps", l.WriteRPS)
	v.requirePositive(path+".value_kb", l.ValueKB)
	v.require(l.ValueKB >= minValueKB, path+".value_kb", fmt.Sprintf("must be at least %v, else a job could not be stored, got %v", minValueKB, l.ValueKB))
	v.require(l.TxnOps >= minTxnOps, path+".txn_ops", fmt.Sprintf("must be at least %d, got %d", minTxnOps, l.TxnOps))
}

// Settings are the deployment's figures.
type Settings struct {
	Size       int         `toml:"size"`
	Zones      []string    `toml:"zones"`
	ClockOffMs float64     `toml:"clock_off_ms"`
	Teams      []Team      `toml:"teams"`
	Objectives []Objective `toml:"objectives"`
	Workers    struct {
		ReportS float64 `toml:"report_s"`
		LeaseS  float64 `toml:"lease_s"`
		CancelS float64 `toml:"cancel_s"`
	} `toml:"workers"`
	State struct {
		StateLimits
		Next *NextLimits `toml:"next"` // from some moment on; nil: they stay
	} `toml:"state"`
	Cloud struct {
		RPS      float64 `toml:"rps"`
		ListLagS float64 `toml:"list_lag_s"`
	} `toml:"cloud"`
	Limits struct {
		CPUShare float64 `toml:"cpu_share"`
		MemoryMB float64 `toml:"memory_mb"`
		Sockets  int     `toml:"sockets"`
	} `toml:"machine_limits"`
}

// Load reads and checks the file at path.
func Load(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(raw)
}

// Parse checks the text of a settings file.
func Parse(raw []byte) (*Config, error) {
	var c Config
	if err := toml.Unmarshal(raw, &c); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &c, nil
}

// check reports the first field that is wrong: one clear line is worth more than a list.
func (c *Config) check() error {
	var v validator
	c.checkAddresses(&v)
	c.Settings.check(&v)
	return v.err
}

// checkAddresses checks the controller's own names and addresses and those it talks to.
func (c *Config) checkAddresses(v *validator) {
	v.require(c.Member != "", "member", "missing")
	v.requireAddr("public_addr", c.PublicAddr)
	v.requireAddr("peer_bind", c.PeerBind)
	v.requireAddr("outside.cloud", c.Outside.Cloud)
	v.requireAddr("outside.state", c.Outside.State)
	seen := map[string]bool{c.Member: true}
	for i, peer := range c.Others {
		path := fmt.Sprintf("others[%d]", i)
		v.require(peer.Member != "", path+".member", "missing")
		v.require(!seen[peer.Member], path+".member", fmt.Sprintf("%q is named twice", peer.Member))
		seen[peer.Member] = true
		v.requireAddr(path+".address", peer.Address)
	}
}

func (s *Settings) check(v *validator) {
	v.require(s.Size >= 1, "settings.size", fmt.Sprintf("must be at least 1, got %d", s.Size))
	s.checkTeams(v)
	s.checkWorkers(v)
	s.State.check("settings.state", v)
	s.NextState().check("settings.state.next", v)
	v.requirePositive("settings.cloud.rps", s.Cloud.RPS)
	v.require(s.Cloud.ListLagS >= 0, "settings.cloud.list_lag_s", "must not be negative")
	v.requirePositive("settings.machine_limits.memory_mb", s.Limits.MemoryMB)
	v.require(s.Limits.Sockets >= minSockets, "settings.machine_limits.sockets",
		fmt.Sprintf("must be at least %d, got %d", minSockets, s.Limits.Sockets))
}

func (s *Settings) checkTeams(v *validator) {
	v.require(len(s.Teams) > 0, "settings.teams", "missing")
	seen := map[string]bool{}
	for i, team := range s.Teams {
		path := fmt.Sprintf("settings.teams[%d]", i)
		v.require(team.Name != "", path+".name", "missing")
		v.require(!seen[team.Name], path+".name", fmt.Sprintf("%q is named twice", team.Name))
		seen[team.Name] = true
		v.require(team.CPUs >= 0 && team.CPUsMax >= 0 && team.GPUs >= 0 && team.GPUsMax >= 0, path, "amounts must not be negative")
	}
}

func (s *Settings) checkWorkers(v *validator) {
	v.requirePositive("settings.workers.report_s", s.Workers.ReportS)
	v.requirePositive("settings.workers.lease_s", s.Workers.LeaseS)
	v.requirePositive("settings.workers.cancel_s", s.Workers.CancelS)
	minMargin := 2 * (2 + s.Workers.LeaseS/500)
	v.require(s.Workers.CancelS-s.Workers.LeaseS > minMargin, "settings.workers.cancel_s",
		fmt.Sprintf("must exceed lease_s by more than %.1f s, else a controller could never answer workers safely", minMargin))
}

// ErrNoTeam says that a team is not in the settings.
var ErrNoTeam = errors.New("unknown team")

// MostCPUs is how many CPUs all teams together may use at once; 0: that is not limited.
func (s *Settings) MostCPUs() float64 {
	sum := 0.0
	for _, t := range s.Teams {
		if t.CPUsMax <= 0 {
			return 0
		}
		sum += t.CPUsMax
	}
	return sum
}

// NextState is the limits that the state service will have from some moment on.
func (s *Settings) NextState() StateLimits { return s.State.Next.Over(s.State.StateLimits) }

// Lease is the workers' lease.
func (s *Settings) Lease() units.Micros { return units.FromSeconds(s.Workers.LeaseS) }

// Report is the workers' report period.
func (s *Settings) Report() units.Micros { return units.FromSeconds(s.Workers.ReportS) }

// AnswerBound is how long a controller may go on answering workers after the last
// moment at which its copy is known to have been complete. It and one lease together
// stay well under cancel_s, so a controller that is cut off from the state service cannot
// keep a cancelled task alive for longer than the rules allow.
func (s *Settings) AnswerBound() units.Micros {
	return units.FromSeconds((s.Workers.CancelS - s.Workers.LeaseS) * 0.5)
}
