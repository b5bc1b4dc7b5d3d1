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
	cloud      *cloudView
	membership *membership
	peers      *peerTable
}

const (
	// readinessGrace is how long the store may have been silent before a failure counts.
	readinessGrace = 2 * units.Second
	// peerEvidenceLife is how long a peer's heartbeat shows that the peer reaches the store.
	peerEvidenceLife = 3 * units.Second
)

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
	if !r.replica.synced || len(r.cloud.types) == 0 || !r.membership.registered {
		return false
	}
	storeLost := !r.store.healthy() && r.now-r.store.answeredAt > readinessGrace
	return !storeLost || !r.peerReachesStore()
}

// peerReachesStore reports whether a recent heartbeat of another controller says that it reaches the
// store.
func (r *readiness) peerReachesStore() bool {
	for _, peer := range r.peers.latest {
		if r.now-peer.receivedAt < peerEvidenceLife && peer.heartbeat.StateOK {
			return true
		}
	}
	return false
}
