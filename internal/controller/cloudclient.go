package controller

// cloudClient sends requests to the cloud and passes each answer to its caller. It retries nothing and
// stores no answers: the caller decides whether a request may be sent again.
type cloudClient struct {
	*environment
	calls map[uint64]func(CloudResult) // continuations of requests in flight, by call ID
}

func newCloudClient(env *environment) *cloudClient {
	return &cloudClient{environment: env, calls: map[uint64]func(CloudResult){}}
}

// call sends a request; done runs once, with its answer.
func (c *cloudClient) call(call CloudCall, done func(CloudResult)) {
	call.CallID = c.newCallID()
	c.calls[call.CallID] = done
	c.emit(call)
}

// handleResult runs the continuation of an answered request, if one waits for the answer.
func (c *cloudClient) handleResult(result CloudResult) {
	if done, ok := c.calls[result.CallID]; ok {
		delete(c.calls, result.CallID)
		done(result)
	}
}
