package guard

import "testing"

// TestMayStart, TestMayRelease and TestMayForget check each reason, and cases that lack just one of the
// facts that a reason needs.
func TestMayStart(t *testing.T) {
	startable, allPermissions := TaskFacts{Accepted: true, DependenciesDone: true}, Permissions{MayCommand: true, MayStart: true}
	for name, tc := range map[string]struct {
		facts       TaskFacts
		permissions Permissions
		want        StartRefusal
	}{
		"all conditions met":  {startable, allPermissions, StartAllowed},
		"job is over":         {TaskFacts{DependenciesDone: true}, allPermissions, StartMustNotRun},
		"job is cancelled":    {TaskFacts{Accepted: true, DependenciesDone: true, Cancelled: true}, allPermissions, StartMustNotRun},
		"task is completed":   {TaskFacts{Accepted: true, DependenciesDone: true, Completed: true}, allPermissions, StartMustNotRun},
		"stop requested":      {TaskFacts{Accepted: true, DependenciesDone: true, StopRequested: true}, allPermissions, StartMustNotRun},
		"superseded":          {TaskFacts{Accepted: true, DependenciesDone: true, Superseded: true}, allPermissions, StartMustNotRun},
		"dependency not done": {TaskFacts{Accepted: true}, allPermissions, StartDependenciesOpen},
		"not authorized":      {startable, Permissions{MayStart: true}, StartNotAuthorized},
		"replica too old":     {startable, Permissions{MayCommand: true}, StartReplicaTooOld},
	} {
		if got := tc.facts.MayStart(tc.permissions); got != tc.want {
			t.Errorf("%s: %q, want %q", name, got, tc.want)
		}
	}
}

// TestMayRelease: see TestMayStart.
func TestMayRelease(t *testing.T) {
	accepted, cancelled := TaskFacts{Accepted: true}, TaskFacts{Accepted: true, Cancelled: true}
	for name, tc := range map[string]struct {
		facts   TaskFacts
		machine MachineFacts
		want    ReleaseReason
	}{
		"accepted, not reported":     {accepted, MachineFacts{Quiesced: true}, KeepEntry},
		"cancelled, not reported":    {cancelled, MachineFacts{Quiesced: true}, ReleaseProvenAbsent},
		"cancelled, not quiesced":    {cancelled, MachineFacts{}, KeepEntry},
		"cancelled, reported":        {cancelled, MachineFacts{Reported: true, Quiesced: true}, KeepEntry},
		"ended":                      {accepted, MachineFacts{Reported: true, Ended: true, TokenSeen: true}, ReleaseReportedEnd},
		"ended under an older token": {accepted, MachineFacts{Reported: true, Ended: true}, KeepEntry},
		"lease expired":              {accepted, MachineFacts{Reported: true, LeaseExpired: true}, ReleaseLeaseExpired},
		"completed, not stored":      {TaskFacts{Accepted: true, Completed: true}, MachineFacts{LeaseExpired: true}, KeepEntry},
		"completed and stored":       {TaskFacts{Accepted: true, Completed: true, CompletionStored: true}, MachineFacts{}, ReleaseCompletionStored},
		"machine deleted":            {accepted, MachineFacts{MachineDeleted: true}, ReleaseMachineDeleted},
		"job over":                   {TaskFacts{}, MachineFacts{}, ReleaseJobOver},
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
		"neither cancelled nor completed": {JobFacts{}, KeepJob},
		"completed":                       {JobFacts{Completed: true, HasEntries: true}, ForgetCompleted},
		"cancelled":                       {JobFacts{Cancelled: true, CancellationShown: true}, ForgetCancelled},
		"cancelled, tasks have entries":   {JobFacts{Cancelled: true, CancellationShown: true, HasEntries: true}, KeepJob},
		"cancelled and completed":         {JobFacts{Cancelled: true, CancellationShown: true, Completed: true, HasEntries: true}, KeepJob},
		"cancelled by dependency":         {JobFacts{Cancelled: true, CancelledByDependency: true}, ForgetCancelledByDependency},
		"cancelled, document not shown":   {JobFacts{Cancelled: true}, KeepJob},
	} {
		if got := tc.facts.MayForget(); got != tc.want {
			t.Errorf("%s: %q, want %q", name, got, tc.want)
		}
	}
}

// TestAnswer checks the basis of answers, and which of them a stored outcome makes outdated or contradicts.
func TestAnswer(t *testing.T) {
	for name, tc := range map[string]struct {
		facts                 AnswerFacts
		basis                 AnswerBasis
		outdated, contradicts bool
	}{
		"running":                       {AnswerFacts{}, AnswerRecentReplica, false, false},
		"done, not stored":              {AnswerFacts{Final: true}, AnswerRecentReplica, false, false},
		"cancelled, not stored":         {AnswerFacts{Final: true, Cancelled: true}, AnswerDerivedOutcome, false, false},
		"the stored outcome":            {AnswerFacts{Final: true, OutcomeStored: true, Agrees: true}, AnswerStoredOutcome, false, false},
		"running, outcome stored":       {AnswerFacts{OutcomeStored: true}, AnswerStoredOutcome, true, false},
		"done, but stored as cancelled": {AnswerFacts{Final: true, OutcomeStored: true}, AnswerStoredOutcome, true, true},
	} {
		if got := tc.facts.Basis(); got != tc.basis {
			t.Errorf("%s: basis %q, want %q", name, got, tc.basis)
		}
		if got := tc.facts.Outdated(); got != tc.outdated {
			t.Errorf("%s: outdated %v", name, got)
		}
		if got := tc.facts.Contradicts(); got != tc.contradicts {
			t.Errorf("%s: contradicts %v", name, got)
		}
	}
}

// TestNotProvenOver checks a job that is neither shown as accepted nor proven to be over: its tasks are
// neither started nor stopped, and their entries stay, unless the machine is deleted. TestMayRelease
// ("job over") checks the entries of a job that is proven to be over.
func TestNotProvenOver(t *testing.T) {
	facts, allPermissions := TaskFacts{NotProvenOver: true, DependenciesDone: true}, Permissions{MayCommand: true, MayStart: true}
	if got := facts.MustStop(); got != KeepRunning {
		t.Errorf("must stop: %q", got)
	}
	if got := facts.MayStart(allPermissions); got != StartJobNotShown {
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
