package controller

import (
	"strings"
	"testing"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// chainStore is a store in which j-000002 needs j-000001, whose end is as given, and j-000003
// needs j-000002.
func chainStore(end schema.Final) (*Core, *outside) {
	cfg := &config.Config{Member: "a"}
	s := &cfg.Settings
	s.Size, s.Teams = 1, []config.Team{{Name: "red"}}
	s.State.StateLimits = config.StateLimits{RPS: 350, WriteRPS: 35, ValueKB: 4, TxnOps: 12}
	s.Workers.ReportS, s.Workers.LeaseS, s.Workers.CancelS = 6, 31, 56
	c := quietCore(cfg)
	o := &outside{keys: map[string]kv.Item{}, asked: map[kv.Kind]int{}}
	layout := c.replica.layout
	layout.Format = schema.FormatChains
	o.put(schema.LayoutOf, layout)
	o.put(schema.Finals+"j-000001", end)
	second := schema.Job{ID: "j-000002", Team: "red", Tasks: 1, CPUs: 1, Needs: schema.IDs{"j-000001"}}
	third := schema.Job{ID: "j-000003", Team: "red", Tasks: 1, CPUs: 1, Needs: schema.IDs{"j-000002"}}
	o.put(schema.JobShardKey(schema.JobShardOf(second.ID, layout.Shelves)), schema.JobShard{Jobs: []schema.Job{second}})
	o.put(schema.JobShardKey(schema.JobShardOf(third.ID, layout.Shelves)), schema.JobShard{Jobs: []schema.Job{third}})
	return c, o
}

// TestReadEnds has a controller that has just loaded read the ends of needed jobs by itself: a
// copy does not have them, and a job that waits for one would wait for good.
func TestReadEnds(t *testing.T) {
	c, o := chainStore(schema.Final{Stage: Done, Done: 1, At: 77})
	step := o.stepper(c)
	for range 100 {
		step()
	}
	j := c.replica.jobs["j-000002"]
	if !j.chain.Ready() || j.since() != 77 || j.waiting() != 1 {
		t.Errorf("ready %v, since %d", j.chain.Ready(), j.since())
	}
	if third := c.replica.jobs["j-000003"]; third.chain.Ready() || third.waiting() != 0 {
		t.Error("j-000003 does not wait for j-000002")
	}
}

// TestAnswerOnlyWhatIsKnown asks about a job before the end of one that it needs, through
// another, has been read: it must not be called pending, since it is cancelled.
func TestAnswerOnlyWhatIsKnown(t *testing.T) {
	c, o := chainStore(schema.Final{Stage: Cancelled})
	now := units.Second
	var msgs []Msg
	asked := false
	var slow []Msg // the answer about the end, which takes longer than others
	for n := range 400 {
		now += 5 * units.Millisecond
		var next []Msg
		if n == 100 {
			next, slow = slow, nil
		}
		if c.replica.synced && !asked {
			asked = true
			msgs = append(msgs, UserReq{To: 7, Kind: Poll, ID: "j-000003"})
		}
		for _, e := range c.Step(now, now+units.Micros(1e15), msgs) {
			if r, ok := e.(Reply); ok && r.To == 7 {
				if st, ok := r.Body.(*Status); !ok || st.Stage != Cancelled || st.Because == "" {
					t.Errorf("answered %d, %+v", r.Status, r.Body)
				}
				return
			}
			if call, ok := e.(StateCall); ok && call.Req.Key == schema.Finals+"j-000001" {
				slow = append(slow, o.answer(e)...)
				continue
			}
			next = append(next, o.answer(e)...)
		}
		msgs = next
	}
	t.Error("not answered")
}

// TestEndStoredBesideEntry loads a store in which a job is among the accepted ones and has its
// end as well: two controllers took it at the moment at which what it needs was cancelled. The
// owner, whose copy does not have that end, tried to write it for ever, and since that failed
// nothing that was in the same transaction was ever stored.
func TestEndStoredBesideEntry(t *testing.T) {
	c, o := chainStore(schema.Final{Stage: Cancelled, At: 77})
	o.put(schema.Finals+"j-000002", schema.Final{Stage: Cancelled, At: 78, Because: "j-000001"})
	o.guarded = true
	step := o.stepper(c)
	for range 600 {
		step()
	}
	for key, item := range o.keys {
		var shard schema.JobShard
		if strings.HasPrefix(key, schema.JobShards) && c.decode(key, item.Value, &shard) && len(shard.Jobs) > 0 {
			t.Errorf("%s still has %s", key, shard.Jobs[0].ID)
		}
	}
}
