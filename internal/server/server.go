// Package server runs one controller process and does all of its I/O.
//
// It owns the clock, the queue of messages and every socket: the listener for users, agents and
// health probes, the heartbeat streams from and to the other controllers, and the connections to the
// key-value store, the cloud and the agents. Everything received becomes a message in the queue. One
// goroutine, the loop, takes the queued messages in batches, passes them to
// controller.Controller.Step, and carries out the effects that Step returns, in order.
//
// The package promises that
//   - only the loop calls the controller, so that the controller's state needs no lock;
//   - the loop waits only for messages and its ticker: replies and heartbeats are handed over
//     without blocking, and each call to another process has a goroutine of its own;
//   - a call is sent at most once and results in exactly one message, even without a complete
//     response: whether the call was carried out is then unknown;
//   - a call to an agent is sent soon after it was decided, while the controller has the authority
//     for it, or not at all, and its message says which;
//   - connections are bounded in each direction, so that neither users nor a large fleet can use up
//     the sockets needed for the key-value store.
//
// The package never decides anything about jobs or machines, keeps no state of the cluster, and never
// repeats a call: all of that is left to the controller. Its own decisions are about load only: which
// requests of users are refused immediately, and which connections are closed early.
//
// [Server.Run] waits for the goroutines that it starts: listeners, heartbeat streams, the loop and the
// latency log. The goroutines of calls belong to no group and are not waited for. Each ends once its
// call has ended, which a timeout bounds, and the queue has accepted the message; a call to an agent
// first waits for a slot, which is bounded as well (see agentClients). Calls still in flight at
// shutdown end with the process. A controller is prepared for that: any call may have been carried out
// without its response arriving.
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
	// tickInterval is the interval at which Step is called when no message arrives.
	tickInterval = 25 * time.Millisecond
	// maxBatchMessages bounds the number of messages passed to one Step.
	maxBatchMessages = 256
	// queueCapacity bounds the number of messages that wait for the loop. Posting to a full queue blocks.
	queueCapacity = 4096
	// clockOrigin is the value of Server.now at the start of the process. It is not 0, which stands for "never".
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

// New prepares a controller process; Run starts it. The incarnation distinguishes this process from
// earlier and later ones of the same member.
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

// now returns clockOrigin plus the time since the start of the process, by the monotonic clock.
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

// loop is the body of the one goroutine that uses the controller. Each iteration passes the time and the
// queued messages to the controller, and carries out the effects. Messages still queued when ctx ends
// are dropped.
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

// appendQueued appends the messages that are in the queue now, up to maxBatchMessages, without waiting.
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

// execute carries out one effect, or starts the call that the effect asks for; it never blocks. Calls
// start in the order of their effects, but may arrive in any order.
func (s *Server) execute(effect controller.Effect) {
	switch effect := effect.(type) {
	case controller.Reply:
		s.http.pending.deliver(effect)
	case controller.StoreCall:
		go s.kv.call(effect)
	case controller.CloudCall:
		go s.cloud.call(effect)
	case controller.AgentCall:
		go s.agents.call(effect, s.agents.sendDeadline(effect))
	case controller.BroadcastHeartbeat:
		s.broadcast(effect.Heartbeat)
	}
}

// broadcast passes a heartbeat to the stream of every other controller. A stream that has not yet taken
// the previous heartbeat does not get this one: each heartbeat is complete, so the next one makes up for it.
func (s *Server) broadcast(heartbeat peer.Heartbeat) {
	for _, stream := range s.heartbeatStreams {
		select {
		case stream <- heartbeat:
		default:
		}
	}
}
