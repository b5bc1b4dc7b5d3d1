package guard

import "testing"

// TestMayStart, TestMayRelease and TestMayForget look at each reason, and at what lacks just one
// fact for it.
func TestMayStart(t *testing.T) {
	good, may := TaskFacts{Accepted: true, DependenciesDone: true}, Permissions{MayCommand: true, MayStart: true}
	for name, tc := range map[string]struct {
		facts TaskFacts
		right Permissions
		want  StartRefusal
	}{
		"all is well":       {good, may, StartAllowed},
		"job is over":       {TaskFacts{DependenciesDone: true}, may, StartMustNotRun},
		"job is cancelled":  {TaskFacts{Accepted: true, DependenciesDone: true, Cancelled: true}, may, StartMustNotRun},
		"task is completed": {TaskFacts{Accepted: true, DependenciesDone: true, Completed: true}, may, StartMustNotRun},
		"to be stopped":     {TaskFacts{Accepted: true, DependenciesDone: true, StopRequested: true}, may, StartMustNotRun},
		"a need is open":    {TaskFacts{Accepted: true}, may, StartDependenciesOpen},
		"no claim":          {good, Permissions{MayStart: true}, StartNotAuthorized},
		"an old copy":       {good, Permissions{MayCommand: true}, StartReplicaTooOld},
	} {
		if got := tc.facts.MayStart(tc.right); got != tc.want {
			t.Errorf("%s: %q, want %q", name, got, tc.want)
		}
	}
}

// TestMayRelease: see TestMayStart.
func TestMayRelease(t *testing.T) {
	wanted, unwanted := TaskFacts{Accepted: true}, TaskFacts{Accepted: true, Cancelled: true}
	for name, tc := range map[string]struct {
		facts   TaskFacts
		machine MachineFacts
		want    ReleaseReason
	}{
		"wanted and absent":            {wanted, MachineFacts{Quiesced: true}, KeepEntry},
		"unwanted and absent":          {unwanted, MachineFacts{Quiesced: true}, ReleaseProvenAbsent},
		"unwanted, a command may come": {unwanted, MachineFacts{}, KeepEntry},
		"unwanted and there":           {unwanted, MachineFacts{Reported: true, Quiesced: true}, KeepEntry},
		"ended":                        {wanted, MachineFacts{Reported: true, Ended: true, TokenSeen: true}, ReleaseReportedEnd},
		"ended by an old report":       {wanted, MachineFacts{Reported: true, Ended: true}, KeepEntry},
		"lease over":                   {wanted, MachineFacts{Reported: true, LeaseExpired: true}, ReleaseLeaseExpired},
		"completed, not stored":        {TaskFacts{Accepted: true, Completed: true}, MachineFacts{LeaseExpired: true}, KeepEntry},
		"completed and stored":         {TaskFacts{Accepted: true, Completed: true, CompletionStored: true}, MachineFacts{}, ReleaseCompletionStored},
		"machine deleted":              {wanted, MachineFacts{MachineDeleted: true}, ReleaseMachineDeleted},
		"job over":                     {TaskFacts{}, MachineFacts{}, ReleaseJobOver},
	} {
		if got := tc.facts.MayRelease(tc.machine); got != tc.want {
			t.Errorf("%s: %q, want %q", name, got, tc.want)
		}
	}
}

// TestMayForget: see TestMayStart.
func TestMayForget(t *testing.T) {
	for name, tc := range map[string]struct {
		facts JobFacts
		want  ForgetReason
	}{
		"nothing is over":              {JobFacts{}, KeepJob},
		"completed":                    {JobFacts{Completed: true, Entered: true}, ForgetCompleted},
		"cancelled":                    {JobFacts{Cancelled: true, CancellationShown: true}, ForgetCancelled},
		"cancelled, tasks are entered": {JobFacts{Cancelled: true, CancellationShown: true, Entered: true}, KeepJob},
		"cancelled and completed":      {JobFacts{Cancelled: true, CancellationShown: true, Completed: true, Entered: true}, KeepJob},
		"cancelled with another":       {JobFacts{Cancelled: true, CancelledByDependency: true}, ForgetCancelledByDependency},
		"cancelled, mark not shown":    {JobFacts{Cancelled: true}, KeepJob},
	} {
		if got := tc.facts.MayForget(); got != tc.want {
			t.Errorf("%s: %q, want %q", name, got, tc.want)
		}
	}
}

// TestAnswer looks at what answers rest on, and at those that an outcome has overtaken.
func TestAnswer(t *testing.T) {
	for name, tc := range map[string]struct {
		facts                  AnswerFacts
		basis                  AnswerBasis
		overtaken, contradicts bool
	}{
		"running":                       {AnswerFacts{}, AnswerRecentReplica, false, false},
		"done, not stored":              {AnswerFacts{Final: true}, AnswerRecentReplica, false, false},
		"cancelled, not stored":         {AnswerFacts{Final: true, Cancelled: true}, AnswerDerivedOutcome, false, false},
		"the stored outcome":            {AnswerFacts{Final: true, OutcomeStored: true, Agrees: true}, AnswerStoredOutcome, false, false},
		"running, but over":             {AnswerFacts{OutcomeStored: true}, AnswerStoredOutcome, true, false},
		"done, but stored as cancelled": {AnswerFacts{Final: true, OutcomeStored: true}, AnswerStoredOutcome, true, true},
	} {
		if got := tc.facts.Basis(); got != tc.basis {
			t.Errorf("%s: rests on %q, want %q", name, got, tc.basis)
		}
		if got := tc.facts.Overtaken(); got != tc.overtaken {
			t.Errorf("%s: overtaken %v", name, got)
		}
		if got := tc.facts.Contradicts(); got != tc.contradicts {
			t.Errorf("%s: contradicts %v", name, got)
		}
	}
}

// TestNotProvenOver has a job that is neither shown as accepted nor proven to be over: its tasks are neither
// started nor stopped, and their entries stay, unless the machine is gone. Once it is proven that the job
// is over they go (TestMayRelease, "job over").
func TestNotProvenOver(t *testing.T) {
	facts, may := TaskFacts{NotProvenOver: true, DependenciesDone: true}, Permissions{MayCommand: true, MayStart: true}
	if got := facts.MustStop(); got != KeepRunning {
		t.Errorf("must stop: %q", got)
	}
	if got := facts.MayStart(may); got != StartJobNotShown {
		t.Errorf("may start: %q", got)
	}
	for _, machine := range []MachineFacts{{}, {Quiesced: true}, {LeaseExpired: true}, {Reported: true, Ended: true, TokenSeen: true}} {
		if got := facts.MayRelease(machine); got != KeepEntry {
			t.Errorf("%+v: may release: %q", machine, got)
		}
	}
	if got := facts.MayRelease(MachineFacts{MachineDeleted: true}); got != ReleaseMachineDeleted {
		t.Errorf("machine deleted: may release: %q", got)
	}
	facts.Cancelled = true
	if got := facts.MustStop(); got != StopCancelled {
		t.Errorf("cancelled: must stop: %q", got)
	}
	if got := facts.MayRelease(MachineFacts{Quiesced: true}); got != KeepEntry {
		t.Errorf("cancelled: may release: %q", got)
	}
}
