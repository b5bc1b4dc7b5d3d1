package config

import (
	"strings"
	"testing"
)

const validConfig = `
member = "a"
site = "z"
public_addr = "127.0.0.1:8080"
peer_bind = "127.0.0.1:8081"
unknown = 3
[[others]]
member = "b"
site = "z"
address = "127.0.0.1:8082"
[outside]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[settings]
size = 2
zones = ["z"]
[[settings.teams]]
name = "red"
[settings.workers]
report_s = 3.0
lease_s = 22.0
cancel_s = 47.0
[settings.state]
rps = 250.0
write_rps = 25.0
value_kb = 4.0
txn_ops = 12
[settings.cloud]
rps = 8.0
list_lag_s = 8.0
[settings.machine_limits]
cpu_share = 0.5
memory_mb = 200.0
sockets = 1000
`

func TestParse(t *testing.T) {
	cfg, err := Parse([]byte(validConfig))
	if err != nil || cfg.Settings.StalenessBound().Seconds() != 12.5 {
		t.Fatalf("%+v, %v", cfg, err)
	}
	for _, tc := range []struct{ old, new, field string }{
		{`member = "a"`, ``, "member"},
		{`member = "b"`, `member = "a"`, "others[0].member"},
		{`state = "127.0.0.1:2"`, `state = "store:2"`, "outside.state"},
		{`size = 2`, `size = 0`, "settings.size"},
		{`lease_s = 22.0`, `lease_s = 46.0`, "settings.workers.cancel_s"},
		{"lease_s = 22.0\ncancel_s = 47.0", "lease_s = 900.0\ncancel_s = 906.0", "settings.workers.cancel_s"}, // clock drift alone, 1/500 of the lease, takes 1.8 s
		{`write_rps = 25.0`, `write_rps = -1.0`, "settings.state.write_rps"},
		{`name = "red"`, `name = "red"` + "\ncpus = -1.0", "settings.teams[0]"},
		{`report_s = 3.0`, `report_s = "x"`, "report_s"},
		{`value_kb = 4.0`, `value_kb = 0.5`, "settings.state.value_kb"}, // too small for a job
		{`txn_ops = 12`, "txn_ops = 12\n[settings.state.next]\ntxn_ops = 2", "settings.state.next.txn_ops"},
		{`txn_ops = 12`, "txn_ops = 12\n[settings.state.next]\nvalue_kb = 0.0", "settings.state.next.value_kb"},
		{`txn_ops = 12`, "txn_ops = 12\n[settings.state.next]\nwrite_rps = -3.0", "settings.state.next.write_rps"},
	} {
		_, err := Parse([]byte(strings.Replace(validConfig, tc.old, tc.new, 1)))
		if err == nil || !strings.Contains(err.Error(), tc.field) {
			t.Errorf("%q: %v does not name %s", tc.new, err, tc.field)
		}
	}
}

// TestNextKVLimits checks that announced limits replace the present ones, and that limits without an
// announcement stay as they are.
func TestNextKVLimits(t *testing.T) {
	cfg, err := Parse([]byte(validConfig))
	if err != nil || cfg.Settings.NextKVLimits() != cfg.Settings.KVStore.KVLimits {
		t.Fatalf("%+v, %v", cfg, err)
	}
	cfg, err = Parse([]byte(strings.Replace(validConfig, "txn_ops = 12", "txn_ops = 12\n[settings.state.next]\nwrite_rps = 18.0\nvalue_kb = 8.0\ntxn_ops = 4", 1)))
	if err != nil {
		t.Fatal(err)
	}
	next := cfg.Settings.NextKVLimits()
	if want := (KVLimits{RPS: 250, WriteRPS: 18, ValueKB: 8, TxnOps: 4}); next != want {
		t.Errorf("%+v, want %+v", next, want)
	}
	if got, want := cfg.Settings.KVStore.Min(next), (KVLimits{RPS: 250, WriteRPS: 18, ValueKB: 4, TxnOps: 4}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}
