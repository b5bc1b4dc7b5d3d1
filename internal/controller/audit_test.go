package controller

import (
	"bytes"
	"log/slog"
	"regexp"
	"strings"
	"testing"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// TestInvariantsFire has each invariant refuse what breaks it, and count it.
func TestInvariantsFire(t *testing.T) {
	c, o, _ := foreignJob(t)
	m := c.replica.machines["n-000001"]
	entry := schema.Task{Job: "j-000001", Index: 0, Attempt: 1<<28 | 1}
	launch := []agent.Command{{Action: agent.Start, Task: "j-000001/0", Attempt: entry.Attempt}}
	fired := func(invariant string, want bool) {
		t.Helper()
		if got := c.audit.violations[invariant] > 0; got != want {
			t.Errorf("%q fired: %v", invariant, got)
		}
		clear(c.audit.violations)
	}
	if out, ok := c.audit.checkCommands(m, launch); !ok || len(out) > 0 {
		t.Error("what is not entered is started")
	}
	fired(invariantStart, true)
	c.replica.apply(shardOfMachine(c.replica.layout), encode(machineWith(entry)), o.rev+1, false)
	if out, ok := c.audit.checkCommands(m, launch); !ok || len(out) != 1 {
		t.Error("what is entered is not started")
	}
	fired(invariantStart, false)
	c.replica.apply(schema.CancellationPrefix+"j-000001", []byte(`{}`), o.rev+2, false)
	if out, _ := c.audit.checkCommands(m, launch); len(out) > 0 {
		t.Error("a task of a cancelled job is started")
	}
	fired(invariantStart, true)

	shard := newStagedShard(c.planner, m.shard, true, "")
	shard.machines = []*stagedMachine{{machine: m, shard: shard}}
	m.agent.tasks[keyOf(entry)] = agent.TaskStatus{Task: "j-000001/0", Attempt: entry.Attempt, State: agent.Running}
	shard.auditReleases()
	if len(shard.machines[0].kept) != 1 {
		t.Error("an entry is freed while its task runs")
	}
	fired(invariantRelease, true)

	p := newPlan(c.planner, c.partitions.led[0])
	p.joint.removedJobs[c.replica.jobShardOf("j-000001")] = map[string]bool{"j-000001": true}
	p.auditForgotten()
	fired(invariantForget, false) // it is marked, so its end is stored
	c.replica.jobs["j-000001"].cancellationShown = false
	p.auditForgotten()
	if p.joint.removedJobs[c.replica.jobShardOf("j-000001")]["j-000001"] {
		t.Error("a job without an end is cleared away")
	}
	fired(invariantForget, true)

	c.dependencies.learnOutcome("j-000001", schema.Outcome{State: StageCancelled})
	if st := c.audit.checkAnswer(&JobStatus{ID: "j-000001", Stage: StagePending}); st.Stage != StageCancelled {
		t.Errorf("a cancelled job is called %s", st.Stage)
	}
	fired(invariantAnswer, false) // overtaken by the end, which is told instead
	if st := c.audit.checkAnswer(&JobStatus{ID: "j-000001", Stage: StageDone}); st.Stage != StageCancelled {
		t.Errorf("a cancelled job is called %s", st.Stage)
	}
	fired(invariantAnswer, true)

	c.freshness.provenAt = c.now - c.cfg.Settings.StalenessBound() - units.Second
	if _, ok := c.audit.checkCommands(m, nil); ok {
		t.Error("a controller whose copy is old commands")
	}
	fired(invariantCommand, true)
}

// TestTimeline rebuilds from the log alone who owned what, on which proof, and what was started
// and answered, as docs/operations.md tells to.
func TestTimeline(t *testing.T) {
	var log bytes.Buffer
	c, o, step := foreignJob(t)
	c.log = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	c.freshness.provenAt = 0 // the proof is lost, and found again
	c.authority.since = c.now
	for range 80 {
		step()
	}
	entry := schema.Task{Job: "j-000001", Index: 0, Attempt: 1<<28 | 1}
	step(o.news(kv.Event{Set: shardOfMachine(c.replica.layout), Value: encode(machineWith(entry)), ModRevision: o.rev + 1}))
	for range 80 {
		step()
	}
	for _, want := range []string{
		`msg="authority lost" revision=\d+ proof_age_s=-1 for_s=`,
		`msg="authority gained" revision=\d+ proof_age_s=0\.\d+ complete_revision=\d+ incarnation=test`,
		`level=INFO msg=decisions revision=\d+ proof_age_s=0[.\d]* terms=map\[0:1\] starts=1\b`,
		`level=DEBUG msg=commands revision=\d+ proof_age_s=0[.\d]* machine=n-000001 fencing_token=\d+ agent_epoch=1 "launch j-000001/0.attempt"=268435457`,
	} {
		if !regexp.MustCompile(want).MatchString(log.String()) {
			t.Errorf("no line %s in\n%s", want, strings.TrimSpace(log.String()))
		}
	}
}
