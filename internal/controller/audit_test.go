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

// auditCase is a controller that commands a machine, and a task of another controller's job that may be
// entered there.
type auditCase struct {
	*testing.T
	c     *Controller
	store *fakeStore
	m     *machine
	entry schema.Task
}

// checkViolation checks whether an invariant was violated since the last call.
func (a *auditCase) checkViolation(invariant string, want bool) {
	a.Helper()
	if got := a.c.audit.violations[invariant] > 0; got != want {
		a.Errorf("%q fired: %v", invariant, got)
	}
	clear(a.c.audit.violations)
}

// TestInvariantsFire breaks each invariant, and checks that the audit refuses and counts that.
func TestInvariantsFire(t *testing.T) {
	c, store, _ := controllerWithForeignJob(t)
	a := &auditCase{T: t, c: c, store: store, m: c.replica.machines["n-000001"], entry: schema.Task{Job: "j-000001", Index: 0, Attempt: 1<<28 | 1}}
	a.checkStarts()
	a.checkReleases()
	a.checkForgotten()
	a.checkAnswers()
	a.checkCommands()
}

// checkStarts leaves the task entered and its job cancelled.
func (a *auditCase) checkStarts() {
	c, start := a.c, []agent.Command{{Action: agent.Start, Task: "j-000001/0", Attempt: a.entry.Attempt}}
	if allowed, ok := c.audit.checkCommands(a.m, start); !ok || len(allowed) > 0 {
		a.Error("a task that is not entered is started")
	}
	a.checkViolation(invariantStart, true)
	c.replica.apply(shardOfMachine(c.replica.layout), encode(machineWith(a.entry)), a.store.revision+1, false)
	if allowed, ok := c.audit.checkCommands(a.m, start); !ok || len(allowed) != 1 {
		a.Error("an entered task is not started")
	}
	a.checkViolation(invariantStart, false)
	c.replica.apply(schema.CancellationPrefix+"j-000001", []byte(`{}`), a.store.revision+2, false)
	if allowed, _ := c.audit.checkCommands(a.m, start); len(allowed) > 0 {
		a.Error("a task of a cancelled job is started")
	}
	a.checkViolation(invariantStart, true)
}

func (a *auditCase) checkReleases() {
	shard := newStagedShard(a.c.planner, a.m.shard, true, "")
	shard.machines = []*stagedMachine{{machine: a.m, shard: shard}}
	a.m.agent.tasks[keyOf(a.entry)] = agent.TaskStatus{Task: "j-000001/0", Attempt: a.entry.Attempt, State: agent.Running}
	shard.auditReleases()
	if len(shard.machines[0].kept) != 1 {
		a.Error("an entry is released while its task runs")
	}
	a.checkViolation(invariantRelease, true)
}

func (a *auditCase) checkForgotten() {
	c := a.c
	p := newPlan(c.planner, c.partitions.led[0])
	p.joint.removedJobs[c.replica.jobShardOf("j-000001")] = map[string]bool{"j-000001": true}
	p.auditForgotten()
	a.checkViolation(invariantForget, false) // the job's cancellation is shown, so its outcome is stored
	c.replica.jobs["j-000001"].cancellationShown = false
	p.auditForgotten()
	if p.joint.removedJobs[c.replica.jobShardOf("j-000001")]["j-000001"] {
		a.Error("a job without an outcome is removed")
	}
	a.checkViolation(invariantForget, true)
}

func (a *auditCase) checkAnswers() {
	c := a.c
	c.dependencies.learnOutcome("j-000001", schema.Outcome{State: StageCancelled})
	if status := c.audit.checkAnswer(&JobStatus{ID: "j-000001", Stage: StagePending}); status.Stage != StageCancelled {
		a.Errorf("a cancelled job is reported as %s", status.Stage)
	}
	a.checkViolation(invariantAnswer, false) // replaced by the stored outcome
	if status := c.audit.checkAnswer(&JobStatus{ID: "j-000001", Stage: StageDone}); status.Stage != StageCancelled {
		a.Errorf("a cancelled job is reported as %s", status.Stage)
	}
	a.checkViolation(invariantAnswer, true)
}

// checkCommands leaves the controller with a replica that is too old to command.
func (a *auditCase) checkCommands() {
	c := a.c
	c.freshness.provenAt = c.now - c.cfg.Settings.StalenessBound() - units.Second
	if _, ok := c.audit.checkCommands(a.m, nil); ok {
		a.Error("a controller whose replica is too old may command")
	}
	a.checkViolation(invariantCommand, true)
}

// TestTimeline reconstructs from the log alone which controller led what, on which proof, and what was
// started and answered, as docs/operations.md describes.
func TestTimeline(t *testing.T) {
	var log bytes.Buffer
	c, o, step := controllerWithForeignJob(t)
	c.log = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	c.freshness.provenAt = 0 // the proof of freshness is lost, and regained by the steps below
	c.authority.gainedAt = c.now
	for range 80 {
		step()
	}
	entry := schema.Task{Job: "j-000001", Index: 0, Attempt: 1<<28 | 1}
	step(o.watchEvents(kv.Event{Set: shardOfMachine(c.replica.layout), Value: encode(machineWith(entry)), ModRevision: o.revision + 1}))
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
