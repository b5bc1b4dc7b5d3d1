// Package config reads and checks the settings file that the platform
// provides. Unknown fields are ignored; a missing or invalid field is an error
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

// Team holds a team's guaranteed resources and its quotas; zero means none.
type Team struct {
	Name           string  `toml:"name"`
	GuaranteedCPUs float64 `toml:"cpus"`
	QuotaCPUs      float64 `toml:"cpus_max"`
	GuaranteedGPUs float64 `toml:"gpus"`
	QuotaGPUs      float64 `toml:"gpus_max"`
}

// Objective is one of the operator's service-level objectives.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// Config is the content of the settings file.
type Config struct {
	Member     string `toml:"member"`
	Site       string `toml:"site"`
	PublicAddr string `toml:"public_addr"`
	PeerBind   string `toml:"peer_bind"`
	Peers      []Peer `toml:"others"`
	Endpoints  struct {
		Cloud   string `toml:"cloud"`
		KVStore string `toml:"state"`
	} `toml:"outside"`
	Settings Settings `toml:"settings"`
}

// KVLimits are the limits of the key-value store.
type KVLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// KVLimitsOverride holds announced limits that will replace the present ones; nil: the limit stays.
type KVLimitsOverride struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// ApplyTo returns current with each announced limit in place of the present one; a nil override changes
// nothing.
func (o *KVLimitsOverride) ApplyTo(current KVLimits) KVLimits {
	limits := current
	if o == nil {
		return limits
	}
	if o.RPS != nil {
		limits.RPS = *o.RPS
	}
	if o.WriteRPS != nil {
		limits.WriteRPS = *o.WriteRPS
	}
	if o.ValueKB != nil {
		limits.ValueKB = *o.ValueKB
	}
	if o.TxnOps != nil {
		limits.TxnOps = *o.TxnOps
	}
	return limits
}

// Min returns the smaller value of each limit.
func (l KVLimits) Min(other KVLimits) KVLimits {
	return KVLimits{
		RPS:      min(l.RPS, other.RPS),
		WriteRPS: min(l.WriteRPS, other.WriteRPS),
		ValueKB:  min(l.ValueKB, other.ValueKB),
		TxnOps:   min(l.TxnOps, other.TxnOps),
	}
}

// The smallest settings with which a controller can work.
const (
	minTxnOps  = 3   // one transaction changes a job's outcome, its entry in a job shard and its progress
	minValueKB = 1.0 // one job, and one machine with its tasks, must fit
	minSockets = 50
)

// validate rejects limits with which the service cannot work.
func (l KVLimits) validate(path string, v *validator) {
	v.requirePositive(path+".rps", l.RPS)
	v.requirePositive(path+".write_rps", l.WriteRPS)
	v.requirePositive(path+".value_kb", l.ValueKB)
	v.require(l.ValueKB >= minValueKB, path+".value_kb", fmt.Sprintf("must be at least %v, else a job could not be stored, got %v", minValueKB, l.ValueKB))
	v.require(l.TxnOps >= minTxnOps, path+".txn_ops", fmt.Sprintf("must be at least %d, got %d", minTxnOps, l.TxnOps))
}

// Settings holds the settings of the deployment. Errors of the TOML decoder contain the Go names of this
// package's types and fields, so a renamed field changes the error for a value of the wrong type.
type Settings struct {
	Size       int         `toml:"size"`
	Zones      []string    `toml:"zones"`
	ClockOffMs float64     `toml:"clock_off_ms"`
	Teams      []Team      `toml:"teams"`
	Objectives []Objective `toml:"objectives"`
	Workers    struct {
		HeartbeatS float64 `toml:"report_s"`
		LeaseS     float64 `toml:"lease_s"`
		CancelS    float64 `toml:"cancel_s"`
	} `toml:"workers"`
	KVStore struct {
		KVLimits
		Next *KVLimitsOverride `toml:"next"` // announced limits that apply from some later moment on; nil: none
	} `toml:"state"`
	Cloud struct {
		RPS      float64 `toml:"rps"`
		ListLagS float64 `toml:"list_lag_s"`
	} `toml:"cloud"`
	ProcessLimits struct {
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

// Parse reads and checks the text of a settings file.
func Parse(raw []byte) (*Config, error) {
	var cfg Config
	if err := toml.Unmarshal(raw, &cfg); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := cfg.validate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &cfg, nil
}

// validate returns an error for the first invalid field: one clear line is worth more than a list.
func (c *Config) validate() error {
	var v validator
	c.validateAddresses(&v)
	c.Settings.validate(&v)
	return v.err
}

// validateAddresses checks the names and addresses of the controller, its peers and its endpoints.
func (c *Config) validateAddresses(v *validator) {
	v.require(c.Member != "", "member", "missing")
	v.requireAddr("public_addr", c.PublicAddr)
	v.requireAddr("peer_bind", c.PeerBind)
	v.requireAddr("outside.cloud", c.Endpoints.Cloud)
	v.requireAddr("outside.state", c.Endpoints.KVStore)
	seen := map[string]bool{c.Member: true}
	for i, peer := range c.Peers {
		path := fmt.Sprintf("others[%d]", i)
		v.require(peer.Member != "", path+".member", "missing")
		v.require(!seen[peer.Member], path+".member", fmt.Sprintf("%q is named twice", peer.Member))
		seen[peer.Member] = true
		v.requireAddr(path+".address", peer.Address)
	}
}

func (s *Settings) validate(v *validator) {
	v.require(s.Size >= 1, "settings.size", fmt.Sprintf("must be at least 1, got %d", s.Size))
	s.validateTeams(v)
	s.validateWorkers(v)
	s.KVStore.validate("settings.state", v)
	s.NextKVLimits().validate("settings.state.next", v)
	v.requirePositive("settings.cloud.rps", s.Cloud.RPS)
	v.require(s.Cloud.ListLagS >= 0, "settings.cloud.list_lag_s", "must not be negative")
	v.requirePositive("settings.machine_limits.memory_mb", s.ProcessLimits.MemoryMB)
	v.require(s.ProcessLimits.Sockets >= minSockets, "settings.machine_limits.sockets",
		fmt.Sprintf("must be at least %d, got %d", minSockets, s.ProcessLimits.Sockets))
}

func (s *Settings) validateTeams(v *validator) {
	v.require(len(s.Teams) > 0, "settings.teams", "missing")
	seen := map[string]bool{}
	for i, team := range s.Teams {
		path := fmt.Sprintf("settings.teams[%d]", i)
		v.require(team.Name != "", path+".name", "missing")
		v.require(!seen[team.Name], path+".name", fmt.Sprintf("%q is named twice", team.Name))
		seen[team.Name] = true
		v.require(team.GuaranteedCPUs >= 0 && team.QuotaCPUs >= 0 && team.GuaranteedGPUs >= 0 && team.QuotaGPUs >= 0, path, "amounts must not be negative")
	}
}

func (s *Settings) validateWorkers(v *validator) {
	v.requirePositive("settings.workers.report_s", s.Workers.HeartbeatS)
	v.requirePositive("settings.workers.lease_s", s.Workers.LeaseS)
	v.requirePositive("settings.workers.cancel_s", s.Workers.CancelS)
	minMargin := 2 * (2 + s.Workers.LeaseS/500)
	v.require(s.Workers.CancelS-s.Workers.LeaseS > minMargin, "settings.workers.cancel_s",
		fmt.Sprintf("must exceed lease_s by more than %.1f s, else a controller could never answer workers safely", minMargin))
}

// ErrUnknownTeam is the error for a team that is not in the settings.
var ErrUnknownTeam = errors.New("unknown team")

// TotalCPUQuota returns how many CPUs all teams together may use at the same time; 0: unlimited, since
// some team has no quota.
func (s *Settings) TotalCPUQuota() float64 {
	total := 0.0
	for _, team := range s.Teams {
		if team.QuotaCPUs <= 0 {
			return 0
		}
		total += team.QuotaCPUs
	}
	return total
}

// NextKVLimits returns the limits that the key-value store will have once the announced ones apply.
func (s *Settings) NextKVLimits() KVLimits { return s.KVStore.Next.ApplyTo(s.KVStore.KVLimits) }

// Lease returns how long a worker agent's lease lasts after a heartbeat was answered.
func (s *Settings) Lease() units.Micros { return units.FromSeconds(s.Workers.LeaseS) }

// HeartbeatPeriod returns the time between two heartbeats of a worker agent.
func (s *Settings) HeartbeatPeriod() units.Micros { return units.FromSeconds(s.Workers.HeartbeatS) }

// StalenessBound returns how long a controller may continue to answer workers after the last
// moment at which its replica was proven to be complete. The bound and one lease together
// stay well under cancel_s, so a controller that is cut off from the key-value store cannot
// keep a cancelled task running for longer than cancel_s allows.
func (s *Settings) StalenessBound() units.Micros {
	return units.FromSeconds((s.Workers.CancelS - s.Workers.LeaseS) * 0.5)
}
