package controller

import (
	"net/http"

	"frostdock.example/frostdock/internal/units"
)

// readiness tells a load balancer whether to route user requests to this controller. It keeps no state, and
// requests are handled whatever it reports.
type readiness struct {
	*environment
	store      *storeClient
	replica    *replica
	catalog    *catalog
	membership *membership
	peers      *peerTable
}

// readinessGrace is the time after the store's last answer during which a failure of the store is ignored.
const readinessGrace = 2 * units.Second

// handle answers a health probe.
func (r *readiness) handle(request ReadyRequest) {
	status := http.StatusOK
	if !r.ready() {
		status = http.StatusServiceUnavailable
	}
	r.reply(request.RequestID, status, nil)
}

// ready reports whether this controller has loaded its state and serves users as well as any other. It does
// not if it has lost the store while a peer still reaches the store. If no controller reaches the store,
// all stay ready, so that requests are served as soon as the store is back.
func (r *readiness) ready() bool {
	if !r.replica.synced || !r.catalog.known() || !r.membership.registered {
		return false
	}
	storeLost := !r.store.healthy() && r.now-r.store.answeredAt > readinessGrace
	return !storeLost || !r.peers.anyReachesStore()
}
