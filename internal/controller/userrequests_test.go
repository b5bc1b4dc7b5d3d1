package controller

import (
	"encoding/json"
	"errors"
	"net/http"
	"testing"

	"frostdock.example/frostdock/internal/units"
)

// passthroughAuditor returns every status unchanged.
type passthroughAuditor struct{}

func (passthroughAuditor) checkAnswer(status *JobStatus) *JobStatus { return status }

func openRequests(requests ...UserRequest) *userRequests {
	users := newUserRequests(&environment{}, passthroughAuditor{})
	for _, request := range requests {
		users.open(request)
	}
	return users
}

// TestAnswerOnce answers a request three times: only the first answer is sent, not the other two.
func TestAnswerOnce(t *testing.T) {
	users := openRequests(UserRequest{RequestID: 1})
	users.reject(1, http.StatusNotFound, nil)
	users.answerStatus(1, http.StatusOK, &JobStatus{})
	users.askToRetry(1)
	if len(users.effects) != 1 || users.openCount() != 0 {
		t.Fatalf("%d answers, %d open", len(users.effects), users.openCount())
	}
	if reply, ok := replyTo(1, users.effects); !ok || reply.Status != http.StatusNotFound || reply.Body != nil {
		t.Errorf("answered %+v", reply)
	}
}

// TestExpire checks that requests time out, and that queries do so before submissions and cancellations.
func TestExpire(t *testing.T) {
	users := openRequests(UserRequest{RequestID: 1, Kind: SubmitJob}, UserRequest{RequestID: 2, Kind: QueryJob}, UserRequest{RequestID: 3, Kind: CancelJob})
	for _, tc := range []struct {
		now     units.Micros
		expired []uint64
	}{
		{queryWait, nil},
		{queryWait + 1, []uint64{2}},
		{submitWait, nil},
		{submitWait + 1, []uint64{1, 3}},
	} {
		users.now, users.effects = tc.now, nil
		users.expire()
		if len(users.effects) != len(tc.expired) {
			t.Errorf("at %d: %d answers", tc.now, len(users.effects))
		}
		for _, id := range tc.expired {
			reply, ok := replyTo(id, users.effects)
			if !ok || reply.Status != http.StatusServiceUnavailable || reply.RetryAfterSeconds != 1 {
				t.Errorf("request %d at %d: answered %+v", id, tc.now, reply)
			}
		}
	}
}

// TestRejectBody checks how the cause of a rejection is encoded in the response body.
func TestRejectBody(t *testing.T) {
	users := openRequests(UserRequest{RequestID: 1})
	users.reject(1, http.StatusUnprocessableEntity, errors.New("cpus: <0>"))
	reply, _ := replyTo(1, users.effects)
	body, err := json.Marshal(reply.Body)
	if err != nil {
		t.Fatal(err)
	}
	if want := "{\"error\":\"cpus: \\u003c0\\u003e\"}"; string(body) != want || reply.RetryAfterSeconds != 0 {
		t.Errorf("answered %s, want %s", body, want)
	}
}
