package controller

import (
	"slices"
	"strconv"
	"strings"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

const (
	registrationTTL        = 5 * units.Second
	registrationRenewal    = registrationTTL / 5
	registrationRetryDelay = 300 * units.Millisecond
)

// processID identifies a controller process as its registration key does: "member/incarnation".
type processID string

func newProcessID(member, incarnation string) processID {
	return processID(member + "/" + incarnation)
}

func (id processID) member() string {
	member, _, _ := strings.Cut(string(id), "/")
	return member
}

func (id processID) incarnation() string {
	_, incarnation, _ := strings.Cut(string(id), "/")
	return incarnation
}

// registrationKey returns the key under which the process is registered.
func (id processID) registrationKey() string { return schema.RegistrationPrefix + string(id) }

// registeredProcesses returns the registered processes, sorted by ID.
func (r *replica) registeredProcesses() []processID {
	var processes []processID
	for key := range r.registeredSince {
		processes = append(processes, processID(strings.TrimPrefix(key, schema.RegistrationPrefix)))
	}
	slices.Sort(processes)
	return processes
}

// leaderRegistered reports whether the process that leads a partition is registered.
func (r *replica) leaderRegistered(p *partitionDoc) bool {
	_, ok := r.registeredSince[schema.RegistrationKey(p.doc.Member, p.doc.Incarnation)]
	return ok
}

// membership registers this process as a live controller: a key attached to a lease, which is renewed.
//
// When the lease has expired, or when it is unknown whether the registration was stored, other processes
// may lead the partitions that this process led. This process then gives up all leadership and registers
// as a new incarnation. An abandoned incarnation is never used again: nothing that was written in its name,
// even by a request still in flight, counts for the next incarnation.
type membership struct {
	*environment

	store      *storeClient
	replica    *replica
	partitions *partitionTable

	firstIncarnation      string
	abandonedIncarnations int // number of incarnations abandoned so far
	incarnation           string
	leaseID               uint64
	registered            bool // the registration was stored, and is not known to have expired
}

func newMembership(env *environment, store *storeClient, replica *replica, partitions *partitionTable, incarnation string) *membership {
	return &membership{environment: env, store: store, replica: replica, partitions: partitions, firstIncarnation: incarnation, incarnation: incarnation}
}

// process returns the ID under which this process is registered, or is about to be.
func (m *membership) process() processID {
	return newProcessID(m.cfg.Member, m.incarnation)
}

// register obtains a lease from the store and registers this process under it.
func (m *membership) register() {
	m.registered = false
	m.store.call(kv.Request{Kind: kv.GrantLease, TTLMillis: registrationTTL.Milliseconds()}, func(r kv.Response) {
		if r.Status != kv.StatusOK || r.LeaseID == 0 {
			m.after(registrationRetryDelay, m.register)
			return
		}
		m.leaseID = r.LeaseID
		m.writeRegistration()
	})
}

func (m *membership) writeRegistration() {
	key := m.process().registrationKey()
	value := encode(schema.Registration{Incarnation: m.incarnation, Format: knownFormat})
	txn := &kv.Txn{
		Conditions: []kv.Condition{{Key: key}},
		Operations: []kv.Operation{{Set: key, Value: value, LeaseID: m.leaseID}},
	}
	m.store.call(kv.Request{Kind: kv.Transact, Txn: txn}, func(r kv.Response) {
		if r.Status != kv.StatusOK {
			// The registration may have been stored or not: a new incarnation is always safe.
			m.abandonIncarnation()
			m.after(registrationRetryDelay, m.register)
			return
		}
		m.replica.applyCommitted(txn.Operations, r.Revision)
		if m.replica.revisions[key] == 0 { // the answer was so late that the replica shows the end of the lease already
			m.abandonIncarnation()
			m.register()
			return
		}
		m.registered = true
		m.log.Info("registered", "incarnation", m.incarnation)
		m.renew()
	})
}

// renew renews the lease now, and periodically until it has expired.
func (m *membership) renew() {
	m.store.call(kv.Request{Kind: kv.RenewLease, LeaseID: m.leaseID}, func(r kv.Response) {
		switch r.Status {
		case kv.StatusOK:
			m.after(registrationRenewal, m.renew)
		case kv.StatusNotFound:
			m.log.Warn("registration lease expired, giving up leadership", "partitions", m.partitions.ledPartitions())
			m.abandonIncarnation()
			m.register()
		default:
			m.after(registrationRetryDelay, m.renew)
		}
	})
}

// abandonIncarnation gives up all leadership and switches to a new incarnation, not yet registered.
func (m *membership) abandonIncarnation() {
	m.abandonedIncarnations++
	m.incarnation = m.firstIncarnation + "." + strconv.Itoa(m.abandonedIncarnations)
	m.registered = false
	m.partitions.resignAll()
}
