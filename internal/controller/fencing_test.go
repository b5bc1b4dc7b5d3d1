package controller

import (
	"testing"

	"frostdock.example/frostdock/internal/units"
)

// TestDirectCommand goes through the stages of a direct command. A command without an answer is unclear
// until a heartbeat shows that it can no longer be carried out.
func TestDirectCommand(t *testing.T) {
	const token, epoch = 7, 3
	for name, tc := range map[string]struct {
		happens func(*directCommand)
		want    directCommandStage
	}{
		"sent":                     {func(*directCommand) {}, commandInFlight},
		"answered":                 {(*directCommand).answered, commandSettled},
		"unanswered":               {(*directCommand).unanswered, commandUnclear},
		"higher token":             {func(d *directCommand) { d.unanswered(); d.heartbeatReceived(token+1, epoch) }, commandSettled},
		"later epoch":              {func(d *directCommand) { d.unanswered(); d.heartbeatReceived(token, epoch+1) }, commandSettled},
		"same token and epoch":     {func(d *directCommand) { d.unanswered(); d.heartbeatReceived(token, epoch) }, commandUnclear},
		"later epoch while waited": {func(d *directCommand) { d.heartbeatReceived(token, epoch+1) }, commandInFlight},
	} {
		var command directCommand
		if !command.settled() {
			t.Fatal("not settled before a command was sent")
		}
		command.send(token, epoch)
		tc.happens(&command)
		if command.stage != tc.want {
			t.Errorf("%s: stage %d, want %d", name, command.stage, tc.want)
		}
	}
}

// TestQuiesced checks each condition under which a command can still arrive, or may have started a task that
// the latest heartbeat does not list.
func TestQuiesced(t *testing.T) {
	const startAt, expired = 100 * units.Second, 100*units.Second + responseLifetime + 1
	startSent := func(_ *Controller, state *agentState) { state.responses.startAt = startAt }
	answerTo := func(calledAt units.Micros) func(*Controller, *agentState) {
		return func(c *Controller, state *agentState) {
			startSent(c, state)
			state.responses.callAnswered(calledAt)
		}
	}
	for name, tc := range map[string]struct {
		happens func(c *Controller, state *agentState)
		want    bool
	}{
		"nothing":           {func(*Controller, *agentState) {}, true},
		"never heard":       {func(_ *Controller, state *agentState) { state.heardAt = 0 }, false},
		"token not seen":    {func(_ *Controller, state *agentState) { state.tokenSeen-- }, false},
		"command in flight": {func(_ *Controller, state *agentState) { state.command.send(1, 1) }, false},
		"command unclear":   {func(_ *Controller, state *agentState) { state.command.send(1, 1); state.command.unanswered() }, false},
		"start just given":  {func(c *Controller, state *agentState) { state.responses.startAt = c.now }, false},
		"start has expired": {func(c *Controller, state *agentState) { state.responses.startAt = c.now - responseLifetime - 1 }, false},
		"start about to":    {func(c *Controller, state *agentState) { state.responses.startAt = c.now - responseLifetime }, false},
		"start, then heartbeat": {func(c *Controller, state *agentState) {
			startSent(c, state)
			state.responses.heartbeatReceived(startAt+1, 0, false, 0, 0)
		}, true},
		"called before the end":   {answerTo(expired - 1), false},
		"called after the end":    {answerTo(expired), true},
		"called before the start": {answerTo(startAt - 1), false},
		"agent was restarted":     {func(_ *Controller, state *agentState) { state.forgetEpoch() }, false},
	} {
		c, _, _ := controllerWithForeignJob(t)
		m := c.replica.machines["n-000001"]
		tc.happens(c, m.agent)
		if got := c.facts.quiesced(m); got != tc.want {
			t.Errorf("%s: %v, want %v", name, got, tc.want)
		}
	}
}

// TestLostResponses records one heartbeat per period of a machine, and counts the heartbeats that show that
// the responses before them were lost.
func TestLostResponses(t *testing.T) {
	const (
		lease  = 31 * units.Second
		period = 6 * units.Second
		token  = 9
	)
	for name, tc := range map[string]struct {
		shown    uint64 // fencing token that each heartbeat shows
		newEpoch bool   // the last heartbeat is of a new epoch
		beats    int
		want     int
	}{
		"the token is seen":            {shown: token, beats: 4, want: 0},
		"the token is never seen":      {shown: token - 1, beats: 4, want: 3},
		"the lease expires all along":  {shown: token, newEpoch: true, beats: 10, want: minLostResponses},
		"a new epoch soon after a gap": {shown: token, newEpoch: true, beats: 3, want: 0},
	} {
		var responses responseState
		now := 100 * units.Second
		for beat := 1; beat <= tc.beats; beat++ {
			now += period
			responses.heartbeatReceived(now, lease, tc.newEpoch && beat == tc.beats, tc.shown, token)
		}
		if responses.lost != tc.want {
			t.Errorf("%s: %d lost, want %d", name, responses.lost, tc.want)
		}
	}
}
