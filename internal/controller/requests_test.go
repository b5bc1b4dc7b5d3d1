package controller

import (
	"encoding/json"
	"errors"
	"net/http"
	"testing"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// requestHarness runs a controller that has loaded its store, in which j-000001 has ended, j-000002 depends
// on it, and j-000003 depends on j-000002.
type requestHarness struct {
	controller *Controller
	store      *fakeStore
	now        units.Micros
	messages   []Message // input of the next step

	// answer, if not nil, replaces the store's answer to a call when it returns true.
	answer func(kv.Request) (kv.Response, bool)
}

func newRequestHarness(t *testing.T, outcome schema.Outcome) *requestHarness {
	t.Helper()
	c, store := storeWithDependencies(outcome)
	store.checkConditions = true
	w := &requestHarness{controller: c, store: store, now: units.Second}
	for range 100 {
		w.step()
	}
	if !c.replica.synced {
		t.Fatal("the replica is not loaded after 100 steps")
	}
	c.catalog.types = []cloud.MachineType{{Name: "big", CPUs: 32, MemGB: 256, Zones: []string{"a"}}}
	return w
}

// step runs one step of the controller with the answers to the effects of the previous step.
func (w *requestHarness) step() []Effect {
	w.now += 25 * units.Millisecond
	effects := w.controller.Step(w.now, w.now+units.Micros(1e15), w.messages)
	w.messages = nil
	for _, effect := range effects {
		if call, ok := effect.(StoreCall); ok && w.answer != nil {
			if response, ok := w.answer(call.Request); ok {
				w.messages = append(w.messages, StoreResult{CallID: call.CallID, Response: response})
				continue
			}
		}
		w.messages = append(w.messages, w.store.answer(effect)...)
	}
	return effects
}

// ask sends a request and returns its reply.
func (w *requestHarness) ask(t *testing.T, request UserRequest) Reply {
	t.Helper()
	request.RequestID = 7
	w.messages = append(w.messages, request)
	for range 200 {
		if reply, ok := replyTo(request.RequestID, w.step()); ok {
			return reply
		}
	}
	t.Fatal("the request is not answered after 200 steps")
	return Reply{}
}

func bodyText(t *testing.T, reply Reply) string {
	t.Helper()
	if reply.Body == nil {
		return ""
	}
	text, err := json.Marshal(reply.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// submission is a request that submits a job with one task.
func submission(id string, needs ...string) UserRequest {
	return UserRequest{Kind: SubmitJob, JobID: id, Job: &schema.Job{ID: id, Team: "red", Tasks: 1, CPUs: 1, Needs: needs}}
}

// TestRequestPhases sends requests that are decided in different phases of handling.
func TestRequestPhases(t *testing.T) {
	const (
		pending   = `{"uid":"j-000009","stage":"pending","done":0,"running":0}`
		doneFirst = `{"uid":"j-000001","stage":"done","done":1,"running":0}`
		waiting   = `{"uid":"j-000003","stage":"pending","done":0,"running":0,"waitsOn":["j-000002"]}`
	)
	infeasible := submission("j-000009")
	infeasible.Job.CPUs = 33
	for _, tc := range []struct {
		name    string
		request UserRequest
		status  int
		body    string
	}{
		{"no job named", UserRequest{Kind: SubmitJob}, http.StatusBadRequest, ""},
		{"query of a job that is over", UserRequest{Kind: QueryJob, JobID: "j-000001"}, http.StatusOK, doneFirst},
		{"cancellation of a job that is over", UserRequest{Kind: CancelJob, JobID: "j-000001"}, http.StatusOK, doneFirst},
		{"query of a job that waits", UserRequest{Kind: QueryJob, JobID: "j-000003"}, http.StatusOK, waiting},
		{"query of an unknown job", UserRequest{Kind: QueryJob, JobID: "j-000009"}, http.StatusNotFound, ""},
		{"cancellation of an unknown job", UserRequest{Kind: CancelJob, JobID: "j-000009"}, http.StatusNotFound, ""},
		{
			"malformed submission", UserRequest{Kind: SubmitJob, JobID: "j-000009", Malformed: errors.New("tasks: wrong")},
			http.StatusBadRequest, `{"error":"tasks: wrong"}`,
		},
		{"malformed repeated submission", UserRequest{Kind: SubmitJob, JobID: "j-000003", Malformed: errors.New("tasks: wrong")}, http.StatusOK, waiting},
		{"infeasible submission", infeasible, http.StatusUnprocessableEntity, `{"error":"a task fits no allowed machine type"}`},
		{"submission", submission("j-000009"), http.StatusCreated, pending},
		{"repeated submission", submission("j-000003"), http.StatusOK, waiting},
		{"submission that needs a job that is done", submission("j-000009", "j-000001"), http.StatusCreated, pending},
		{
			"submission that needs an unknown job", submission("j-000009", "j-000008"),
			http.StatusUnprocessableEntity, `{"error":"waitsOn: j-000008: no such job was accepted"}`,
		},
		{
			"cancellation", UserRequest{Kind: CancelJob, JobID: "j-000003"},
			http.StatusOK, `{"uid":"j-000003","stage":"cancelled","done":0,"running":0}`,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newRequestHarness(t, schema.Outcome{State: StageDone, TasksDone: 1})
			reply := w.ask(t, tc.request)
			if body := bodyText(t, reply); reply.Status != tc.status || body != tc.body {
				t.Errorf("answered %d %s, want %d %s", reply.Status, body, tc.status, tc.body)
			}
		})
	}
}

// TestRequestsOfCancelledDependents submits and cancels a job that is cancelled because of a dependency.
func TestRequestsOfCancelledDependents(t *testing.T) {
	const dependent = `{"uid":"j-000009","stage":"cancelled","done":0,"running":0,"cancelledWith":"j-000001"}`
	w := newRequestHarness(t, schema.Outcome{State: StageCancelled})
	reply := w.ask(t, submission("j-000009", "j-000001"))
	if body := bodyText(t, reply); reply.Status != http.StatusCreated || body != dependent {
		t.Errorf("the submission is answered %d %s", reply.Status, body)
	}
	if _, ok := w.store.keys[schema.OutcomePrefix+"j-000009"]; !ok {
		t.Error("no outcome is stored")
	}
	reply = w.ask(t, UserRequest{Kind: CancelJob, JobID: "j-000009"})
	if body := bodyText(t, reply); reply.Status != http.StatusOK || body != dependent {
		t.Errorf("the cancellation is answered %d %s", reply.Status, body)
	}
}

// TestRequestsBeforeLoading checks that requests get 503 and Retry-After while the replica is not loaded.
func TestRequestsBeforeLoading(t *testing.T) {
	for _, request := range []UserRequest{submission("j-000009"), {Kind: QueryJob, JobID: "j-000003"}, {Kind: CancelJob, JobID: "j-000003"}} {
		c, store := storeWithDependencies(schema.Outcome{State: StageDone, TasksDone: 1})
		w := &requestHarness{controller: c, store: store, now: units.Second}
		reply := w.ask(t, request)
		if reply.Status != http.StatusServiceUnavailable || reply.RetryAfterSeconds != 1 || reply.Body != nil {
			t.Errorf("request %d is answered %+v", request.Kind, reply)
		}
	}
}
