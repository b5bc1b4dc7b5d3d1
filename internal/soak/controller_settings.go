package soak

import (
	"bytes"
	"fmt"
	"os"
	"text/template"
)

// settingsTemplate is the template of the settings file that the platform provides to a controller.
var settingsTemplate = template.Must(template.New("settings").Parse(
	`member = "{{.Member}}"
site = "{{.Zone}}"
public_addr = "{{.PublicAddr}}"
peer_bind = "{{.PeerBind}}"
{{range .Peers}}
[[others]]
member = "{{.Member}}"
site = "{{.Zone}}"
address = "{{.Address}}"
{{end}}
[outside]
cloud = "{{.CloudAddr}}"
state = "{{.StoreAddr}}"

[settings]
size = {{.ControllerCount}}
zones = [{{range .Zones}}"{{.}}", {{end}}]
clock_off_ms = 25.0
{{range .Teams}}
[[settings.teams]]
name = "{{.Name}}"
cpus = 10.0
cpus_max = {{printf "%.1f" .QuotaCPUs}}
gpus = 0.0
gpus_max = 0.0
{{end}}
[settings.workers]
report_s = {{.HeartbeatSeconds}}
lease_s = {{.LeaseSeconds}}
cancel_s = {{.CancelSeconds}}

[settings.state]
rps = {{printf "%g" .Limits.RequestsPerSecond}}
write_rps = {{printf "%g" .Limits.OperationsPerSecond}}
value_kb = {{.Limits.ValueKB}}.0
txn_ops = {{.Limits.Operations}}

[settings.state.next]
write_rps = {{printf "%g" .NextLimits.OperationsPerSecond}}
value_kb = {{.NextLimits.ValueKB}}.0
txn_ops = {{.NextLimits.Operations}}

[settings.cloud]
rps = 20.0
list_lag_s = 1.0

[settings.machine_limits]
cpu_share = 1.0
memory_mb = 400.0
sockets = 2000
`))

// settings are the values for settingsTemplate.
type settings struct {
	Member, Zone, PublicAddr, PeerBind            string
	Peers                                         []peerSettings
	CloudAddr, StoreAddr                          string
	ControllerCount                               int
	Zones                                         []string
	Teams                                         []teamSettings
	HeartbeatSeconds, LeaseSeconds, CancelSeconds float64
	Limits, NextLimits                            limitSettings
}

type peerSettings struct{ Member, Zone, Address string }

type teamSettings struct {
	Name      string
	QuotaCPUs float64
}

type limitSettings struct {
	RequestsPerSecond, OperationsPerSecond float64
	ValueKB, Operations                    int
}

// settingsFor gathers the settings of one controller.
func settingsFor(w *world, index int) settings {
	gathered := settings{
		Member: memberName(index), Zone: zoneOf(index), PublicAddr: w.address(hostController+index, controllerPort), PeerBind: peerBind(w, index),
		CloudAddr: w.address(hostCloud, cloudPort), StoreAddr: w.address(hostStore+index, storePort),
		ControllerCount: controllerCount, Zones: zones,
		HeartbeatSeconds: heartbeatInterval.Seconds(), LeaseSeconds: workerLease.Seconds(), CancelSeconds: cancelDeadline.Seconds(),
		Limits: limitSettingsOf(currentLimits), NextLimits: limitSettingsOf(announcedLimits),
	}
	for _, other := range peersOf(index) {
		gathered.Peers = append(gathered.Peers, peerSettings{memberName(other), zoneOf(other), relayAddress(w, index, other)})
	}
	quotas := teamQuotas()
	for _, team := range teams {
		gathered.Teams = append(gathered.Teams, teamSettings{team, quotas[team]})
	}
	return gathered
}

func limitSettingsOf(limits storeLimits) limitSettings {
	return limitSettings{
		RequestsPerSecond: limits.requestsPerSecond, OperationsPerSecond: limits.operationsPerSecond,
		ValueKB: limits.valueBytes >> 10, Operations: limits.operations,
	}
}

// writeSettings writes the settings file of one controller.
func writeSettings(path string, w *world, index int) error {
	var text bytes.Buffer
	if err := settingsTemplate.Execute(&text, settingsFor(w, index)); err != nil {
		return fmt.Errorf("render the settings: %w", err)
	}
	if err := os.WriteFile(path, text.Bytes(), 0o600); err != nil {
		return fmt.Errorf("write the settings: %w", err)
	}
	return nil
}

// peersOf lists the other controllers.
func peersOf(index int) []int {
	var others []int
	for other := range controllerCount {
		if other != index {
			others = append(others, other)
		}
	}
	return others
}

// peerBind is the address at which a controller receives heartbeats from the others.
func peerBind(w *world, index int) string { return w.address(hostController+index, peerPort) }

// relayAddress is the address to which a controller sends its heartbeats for another.
func relayAddress(w *world, from, to int) string {
	return w.address(hostPeer+from*controllerCount+to, peerPort)
}

// relayToPeers starts the relays for a controller's connections to the others.
func relayToPeers(w *world, from int) error {
	for _, to := range peersOf(from) {
		if err := w.relayPeers(from, to, relayAddress(w, from, to), peerBind(w, to)); err != nil {
			return err
		}
	}
	return nil
}
