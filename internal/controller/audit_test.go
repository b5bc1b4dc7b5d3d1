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

// TestMayStart, TestMayRelease and TestMayForget look at each reason, and at what lacks just one
// fact for it.
func TestMayStart(t *testing.T) {
	good, may := taskFacts{accepted: true, needsDone: true}, rights{commands: true, starts: true}
	for name, tc := range map[string]struct {
		facts taskFacts
		right rights
		want  startRefusal
	}{
		"all is well":       {good, may, startAllowed},
		"job is over":       {taskFacts{needsDone: true}, may, startUnwanted},
		"job is cancelled":  {taskFacts{accepted: true, needsDone: true, cancelled: true}, may, startUnwanted},
		"task is completed": {taskFacts{accepted: true, needsDone: true, completed: true}, may, startUnwanted},
		"to be stopped":     {taskFacts{accepted: true, needsDone: true, stopMarked: true}, may, startUnwanted},
		"a need is open":    {taskFacts{accepted: true}, may, startNeedsOpen},
		"no claim":          {good, rights{starts: true}, startNotEntitled},
		"an old copy":       {good, rights{commands: true}, startCopyTooOld},
	} {
		if got := tc.facts.mayStart(tc.right); got != tc.want {
			t.Errorf("%s: %q, want %q", name, got, tc.want)
		}
	}
}

// TestMayRelease: see TestMayStart.
func TestMayRelease(t *testing.T) {
	wanted, unwanted := taskFacts{accepted: true}, taskFacts{accepted: true, cancelled: true}
	for name, tc := range map[string]struct {
		facts   taskFacts
		machine machineFacts
		want    releaseReason
	}{
		"wanted and absent":            {wanted, machineFacts{settled: true}, keepEntry},
		"unwanted and absent":          {unwanted, machineFacts{settled: true}, releaseNotThere},
		"unwanted, a command may come": {unwanted, machineFacts{}, keepEntry},
		"unwanted and there":           {unwanted, machineFacts{reported: true, settled: true}, keepEntry},
		"ended":                        {wanted, machineFacts{reported: true, ended: true, tokenSeen: true}, releaseReportedEnd},
		"ended by an old report":       {wanted, machineFacts{reported: true, ended: true}, keepEntry},
		"lease over":                   {wanted, machineFacts{reported: true, leaseOver: true}, releaseLeaseOver},
		"completed, not stored":        {taskFacts{accepted: true, completed: true}, machineFacts{leaseOver: true}, keepEntry},
		"completed and stored":         {taskFacts{accepted: true, completed: true, endStored: true}, machineFacts{}, releaseEndStored},
		"machine deleted":              {wanted, machineFacts{machineGone: true}, releaseMachineGone},
		"job over":                     {taskFacts{}, machineFacts{}, releaseJobOver},
	} {
		if got := tc.facts.mayRelease(tc.machine); got != tc.want {
			t.Errorf("%s: %q, want %q", name, got, tc.want)
		}
	}
}

// TestMayForget: see TestMayStart.
func TestMayForget(t *testing.T) {
	for name, tc := range map[string]struct {
		facts jobFacts
		want  forgetReason
	}{
		"nothing is over":              {jobFacts{}, keepJob},
		"completed":                    {jobFacts{completed: true, entered: true}, forgetCompleted},
		"cancelled":                    {jobFacts{cancelled: true, marked: true}, forgetCancelled},
		"cancelled, tasks are entered": {jobFacts{cancelled: true, marked: true, entered: true}, keepJob},
		"cancelled and completed":      {jobFacts{cancelled: true, marked: true, completed: true, entered: true}, keepJob},
		"cancelled with another":       {jobFacts{cancelled: true, derived: true}, forgetDerived},
		"cancelled, mark not shown":    {jobFacts{cancelled: true}, keepJob},
	} {
		if got := tc.facts.mayForget(); got != tc.want {
			t.Errorf("%s: %q, want %q", name, got, tc.want)
		}
	}
}

// TestInvariantsFire has each invariant refuse what breaks it, and count it.
func TestInvariantsFire(t *testing.T) {
	c, o, _ := foreignJob(t)
	m := c.replica.machines["n-000001"]
	entry := schema.Task{Job: "j-000001", Num: 0, Attempt: 1<<28 | 1}
	launch := []agent.Order{{Op: agent.Launch, Task: "j-000001/0", Attempt: entry.Attempt}}
	fired := func(invariant string, want bool) {
		t.Helper()
		if got := c.audit.violations[invariant] > 0; got != want {
			t.Errorf("%q fired: %v", invariant, got)
		}
		clear(c.audit.violations)
	}
	if out, ok := c.cleared(m, launch); !ok || len(out) > 0 {
		t.Error("what is not entered is started")
	}
	fired(invariantStart, true)
	c.apply(shardOfMachine(c.replica.layout), encode(machineWith(entry)), o.rev+1, false)
	if out, ok := c.cleared(m, launch); !ok || len(out) != 1 {
		t.Error("what is entered is not started")
	}
	fired(invariantStart, false)
	c.apply(schema.Cancels+"j-000001", []byte(`{}`), o.rev+2, false)
	if out, _ := c.cleared(m, launch); len(out) > 0 {
		t.Error("a task of a cancelled job is started")
	}
	fired(invariantStart, true)

	gd := &shardDraft{c: c, g: m.g, own: true, moveTo: -1, drafts: []*draft{{m: m}}}
	m.rt.pieces[keyOf(entry)] = agent.Piece{Task: "j-000001/0", Attempt: entry.Attempt, State: agent.Running}
	gd.auditReleases()
	if len(gd.drafts[0].keep) != 1 {
		t.Error("an entry is freed while its task runs")
	}
	fired(invariantRelease, true)

	b := &batch{c: c, cleared: map[*jobShard]map[string]bool{c.replica.jobShardOf("j-000001"): {"j-000001": true}}}
	b.auditForgotten()
	fired(invariantForget, false) // it is marked, so its end is stored
	c.replica.jobs["j-000001"].marked = false
	b.auditForgotten()
	if b.cleared[c.replica.jobShardOf("j-000001")]["j-000001"] {
		t.Error("a job without an end is cleared away")
	}
	fired(invariantForget, true)

	c.learnEnd("j-000001", schema.Final{Stage: Cancelled})
	if st := c.auditAnswer(&Status{ID: "j-000001", Stage: Pending}); st.Stage != Cancelled {
		t.Errorf("a cancelled job is called %s", st.Stage)
	}
	fired(invariantAnswer, false) // overtaken by the end, which is told instead
	if st := c.auditAnswer(&Status{ID: "j-000001", Stage: Done}); st.Stage != Cancelled {
		t.Errorf("a cancelled job is called %s", st.Stage)
	}
	fired(invariantAnswer, true)

	c.knownAt = c.now - c.cfg.Settings.AnswerBound() - units.Second
	if _, ok := c.cleared(m, nil); ok {
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
	c.knownAt = 0 // the proof is lost, and found again
	c.entitledAt = c.now
	for range 80 {
		step()
	}
	entry := schema.Task{Job: "j-000001", Num: 0, Attempt: 1<<28 | 1}
	step(o.news(kv.Event{Set: shardOfMachine(c.replica.layout), Value: encode(machineWith(entry)), Stamp: o.rev + 1}))
	for range 80 {
		step()
	}
	for _, want := range []string{
		`msg="may no longer act on the copy" rev=\d+ proof_age_s=-1 for_s=`,
		`msg="may act on the copy" rev=\d+ proof_age_s=0\.\d+ complete_at=\d+ inc=test`,
		`level=INFO msg=decisions rev=\d+ proof_age_s=0[.\d]* epochs=map\[0:1\] starts=1\b`,
		`level=DEBUG msg=orders rev=\d+ proof_age_s=0[.\d]* machine=n-000001 token=\d+ session=1 "launch j-000001/0.attempt"=268435457`,
	} {
		if !regexp.MustCompile(want).MatchString(log.String()) {
			t.Errorf("no line %s in\n%s", want, strings.TrimSpace(log.String()))
		}
	}
}
