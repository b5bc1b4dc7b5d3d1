// Package server carries the core's effects out and brings it messages: the
// HTTP servers and clients, the heartbeats and the clock. All state is the core's.
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

// tickInterval is how often the core is given the time when nothing else happens.
const tickInterval = 25 * time.Millisecond

// maxBatchMessages bounds how many messages one step takes.
const maxBatchMessages = 256

// Server runs one controller.
type Server struct {
	cfg        *config.Config
	log        *slog.Logger
	controller *controller.Controller
	queue      chan controller.Message
	startedAt  time.Time

	http             *httpServer
	outbound         *outboundClients
	heartbeatStreams []chan peer.Heartbeat
}

// New prepares a controller; Run starts it.
func New(cfg *config.Config, operatorPolicy *policy.Policy, log *slog.Logger, incarnation string) *Server {
	s := &Server{
		cfg: cfg, log: log, controller: controller.New(cfg, operatorPolicy, log, incarnation),
		queue: make(chan controller.Message, 4096), startedAt: time.Now(),
	}
	s.http = newHTTPServer(s)
	s.outbound = newOutboundClients(s)
	return s
}

func (s *Server) now() units.Micros {
	return units.FromDuration(time.Since(s.startedAt)) + units.Second
}

// Run serves until ctx ends or a listener fails.
func (s *Server) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.http.serve(ctx, s.cfg.PublicAddr) })
	group.Go(func() error {
		err := peer.Listen(ctx, s.cfg.PeerBind, func(heartbeat peer.Heartbeat) { s.post(controller.PeerHeartbeat{Heartbeat: heartbeat}) })
		if err != nil {
			return fmt.Errorf("peers: %w", err)
		}
		return nil
	})
	for _, other := range s.cfg.Peers {
		stream := make(chan peer.Heartbeat, 1)
		s.heartbeatStreams = append(s.heartbeatStreams, stream)
		group.Go(func() error { peer.Send(ctx, other.Address, stream); return nil })
	}
	group.Go(func() error { return s.loop(ctx) })
	group.Go(func() error {
		return s.http.latencies.logPeriodically(ctx, s.log.With("node", s.cfg.Member), s.http.limiter)
	})
	return group.Wait()
}

func (s *Server) post(msg controller.Message) { s.queue <- msg }

// loop is the one goroutine that owns the core: it takes whatever has queued
// up as one batch.
func (s *Server) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	batch := make([]controller.Message, 0, maxBatchMessages)
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			return nil
		case msg := <-s.queue:
			batch = append(batch, msg)
		case <-ticker.C:
		}
	drain:
		for len(batch) < maxBatchMessages {
			select {
			case msg := <-s.queue:
				batch = append(batch, msg)
			default:
				break drain
			}
		}
		for _, effect := range s.controller.Step(s.now(), units.Micros(time.Now().UnixMicro()), batch) {
			s.execute(effect)
		}
	}
}

func (s *Server) execute(effect controller.Effect) {
	switch effect := effect.(type) {
	case controller.Reply:
		s.http.reply(effect)
	case controller.StoreCall:
		go s.outbound.callKV(effect)
	case controller.CloudCall:
		go s.outbound.callCloud(effect)
	case controller.AgentCall:
		go s.outbound.callAgent(effect)
	case controller.BroadcastHeartbeat:
		for _, stream := range s.heartbeatStreams {
			select {
			case stream <- effect.Heartbeat:
			default: // the stream is slow: the next heartbeat tells all anew
			}
		}
	}
}
