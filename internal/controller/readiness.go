package controller

import (
	"net/http"

	"frostdock.example/frostdock/internal/units"
)

// readiness tells a load balancer whether users' requests may come to this controller. It owns nothing,
// and never keeps a request from being handled.
type readiness struct {
	*environment
	store      *storeClient
	replica    *replica
	catalog    *catalog
	membership *membership
	peers      *peerTable
}

// readinessGrace is how long the store may have been silent before a failure counts.
const readinessGrace = 2 * units.Second

// handle answers a health probe.
func (r *readiness) handle(request ReadyRequest) {
	status := http.StatusOK
	if !r.ready() {
		status = http.StatusServiceUnavailable
	}
	r.reply(request.RequestID, status, nil)
}

// ready reports whether this controller serves users as well as any other. Alone without the store it
// does not. If no controller reaches the store, staying in the balancer serves soonest when it returns.
func (r *readiness) ready() bool {
	if !r.replica.synced || !r.catalog.known() || !r.membership.registered {
		return false
	}
	storeLost := !r.store.healthy() && r.now-r.store.answeredAt > readinessGrace
	return !storeLost || !r.peers.anyReachesStore()
}
