// Package server runs one controller process and does all of its I/O.
//
// It owns the clock, the queue of messages and every socket: the listener for users, agents and
// health probes, the heartbeat streams from and to the other controllers, and the connections to the
// key-value store, the cloud and the agents. Whatever arrives becomes a message in the queue. One
// goroutine, the loop, takes the queued messages in batches, has controller.Controller.Step
// decide on them, and carries out the effects that Step returns, in their order.
//
// The package promises that
//   - only the loop calls the controller, so that the controller's state needs no lock;
//   - the loop waits for nothing but messages and its ticker: replies and heartbeats are handed over
//     without blocking, and each call of another process has a goroutine of its own;
//   - a call is sent at most once and becomes exactly one message, also when there was no complete
//     answer: whether the call was carried out is then unknown;
//   - a call of an agent leaves soon after it was decided, while the right to it lasts, or not at all,
//     which its message tells;
//   - connections are bounded in each direction, so that neither users nor a large fleet can use up
//     the sockets that the key-value store is reached by.
//
// It never decides anything about jobs or machines, keeps no state of the cluster, and never repeats a
// call: all of that is the controller's. Its own decisions are about load only: which requests of
// users are refused at once, and which connections are closed early.
//
// [Server.Run] waits for the goroutines that it starts: listeners, heartbeat streams, the loop and the
// log of latencies. The goroutines of calls belong to no group and are not waited for. Each ends once
// its call has, for which there is a time limit, and the queue has taken the message; calls of agents wait
// for a slot first, for which there is a limit as well (see agentClients). Those still under way at shutdown end with the process. A
// controller is prepared for that: any call may have been carried out without its answer arriving.
package server

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/controller"
	"frostdock.example/frostdock/internal/peer"
	"frostdock.example/frostdock/internal/policy"
	"frostdock.example/frostdock/internal/units"
)

const (
	// tickInterval is how often the controller is given the time when nothing else happens.
	tickInterval = 25 * time.Millisecond
	// maxBatchMessages bounds how many messages one step takes.
	maxBatchMessages = 256
	// queueCapacity bounds the messages that wait for the loop. Whoever posts to a full queue waits.
	queueCapacity = 4096
	// clockOrigin is the time at which the process starts: later than 0, which stands for "never".
	clockOrigin = units.Second
)

// postFunc puts a message into the queue of the loop. It blocks while the queue is full, so the loop
// itself never calls it.
type postFunc func(controller.Message)

// Server runs one controller.
type Server struct {
	cfg        *config.Config
	log        *slog.Logger
	controller *controller.Controller // used by the loop only
	queue      chan controller.Message
	startedAt  time.Time

	http             *httpServer
	kv               *kvClient
	cloud            *cloudClient
	agents           *agentClients
	heartbeatStreams []chan peer.Heartbeat // in the order of cfg.Peers
}

// New prepares a controller process; Run starts it. The incarnation tells this process from earlier
// and later ones of the same member.
func New(cfg *config.Config, operatorPolicy *policy.Policy, log *slog.Logger, incarnation string) *Server {
	s := &Server{
		cfg:        cfg,
		log:        log,
		controller: controller.New(cfg, operatorPolicy, log, incarnation),
		queue:      make(chan controller.Message, queueCapacity),
		startedAt:  time.Now(),
	}
	sockets := cfg.Settings.ProcessLimits.Sockets
	s.http = newHTTPServer(s.post, s.now, sockets)
	s.kv = newKVClient(cfg.Endpoints.KVStore, s.post)
	s.cloud = newCloudClient(cfg.Endpoints.Cloud, s.post)
	s.agents = newAgentClients(sockets, s.post, s.now)
	for range cfg.Peers {
		s.heartbeatStreams = append(s.heartbeatStreams, make(chan peer.Heartbeat, 1))
	}
	return s
}

// Run serves until ctx ends or a listener fails. It returns nil when ctx ended.
func (s *Server) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.http.serve(ctx, s.cfg.PublicAddr) })
	group.Go(func() error { return s.receiveHeartbeats(ctx) })
	for i, other := range s.cfg.Peers {
		group.Go(func() error {
			peer.Send(ctx, other.Address, s.heartbeatStreams[i])
			return nil
		})
	}
	group.Go(func() error {
		s.loop(ctx)
		return nil
	})
	group.Go(func() error {
		s.http.latencies.logPeriodically(ctx, s.log.With("node", s.cfg.Member), s.http.limiter)
		return nil
	})
	return group.Wait()
}

// now is the time since the start by the monotonic clock, counted from clockOrigin.
func (s *Server) now() units.Micros {
	return units.FromDuration(time.Since(s.startedAt)) + clockOrigin
}

func (s *Server) post(message controller.Message) { s.queue <- message }

// receiveHeartbeats listens for the other controllers' heartbeats until ctx ends.
func (s *Server) receiveHeartbeats(ctx context.Context) error {
	err := peer.Listen(ctx, s.cfg.PeerBind, func(heartbeat peer.Heartbeat) {
		s.post(controller.PeerHeartbeat{Heartbeat: heartbeat})
	})
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	return nil
}

// loop is the one goroutine that uses the controller. Each turn gives it the time and the messages
// that have queued up, and carries out the effects. What is still queued when ctx ends is dropped.
func (s *Server) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	batch := make([]controller.Message, 0, maxBatchMessages)
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			return
		case message := <-s.queue:
			batch = append(batch, message)
		case <-ticker.C:
		}
		batch = s.appendQueued(batch)
		for _, effect := range s.controller.Step(s.now(), units.Micros(time.Now().UnixMicro()), batch) {
			s.execute(effect)
		}
	}
}

// appendQueued adds what is in the queue by now, up to the size of a batch, without waiting.
func (s *Server) appendQueued(batch []controller.Message) []controller.Message {
	for len(batch) < maxBatchMessages {
		select {
		case message := <-s.queue:
			batch = append(batch, message)
		default:
			return batch
		}
	}
	return batch
}

// execute carries out one effect, or starts the call that it asks for; it never blocks. Calls start in
// the order of their effects, but nothing orders their arrival.
func (s *Server) execute(effect controller.Effect) {
	switch effect := effect.(type) {
	case controller.Reply:
		s.http.pending.deliver(effect)
	case controller.StoreCall:
		go s.kv.call(effect)
	case controller.CloudCall:
		go s.cloud.call(effect)
	case controller.AgentCall:
		go s.agents.call(effect, s.agents.leaveBefore(effect))
	case controller.BroadcastHeartbeat:
		s.broadcast(effect.Heartbeat)
	}
}

// broadcast hands a heartbeat to the stream of every other controller. A stream that has not yet taken
// the one before goes without: the next heartbeat tells everything anew.
func (s *Server) broadcast(heartbeat peer.Heartbeat) {
	for _, stream := range s.heartbeatStreams {
		select {
		case stream <- heartbeat:
		default:
		}
	}
}
