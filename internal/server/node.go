// Package node carries the core's effects out and brings it messages: the
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

// tick is how often the core is given the time when nothing else happens.
const tick = 25 * time.Millisecond

// mostBatch bounds how many messages one step takes.
const mostBatch = 256

// Node runs one controller.
type Node struct {
	cfg   *config.Config
	log   *slog.Logger
	core  *controller.Core
	queue chan controller.Msg
	begin time.Time

	web   *web
	calls *clients
	beats []chan peer.Heartbeat
}

// New prepares a controller; Run starts it.
func New(cfg *config.Config, pol *policy.Policy, log *slog.Logger, inc string) *Node {
	n := &Node{
		cfg: cfg, log: log, core: controller.New(cfg, pol, log, inc),
		queue: make(chan controller.Msg, 4096), begin: time.Now(),
	}
	n.web = newWeb(n)
	n.calls = newClients(n)
	return n
}

func (n *Node) now() units.Micros {
	return units.FromDuration(time.Since(n.begin)) + units.Second
}

// Run serves until ctx ends or a listener fails.
func (n *Node) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return n.web.serve(ctx, n.cfg.PublicAddr) })
	g.Go(func() error {
		err := peer.Listen(ctx, n.cfg.PeerBind, func(b peer.Heartbeat) { n.post(controller.PeerHeartbeat{Beat: b}) })
		if err != nil {
			return fmt.Errorf("peers: %w", err)
		}
		return nil
	})
	for _, o := range n.cfg.Others {
		ch := make(chan peer.Heartbeat, 1)
		n.beats = append(n.beats, ch)
		g.Go(func() error { peer.Send(ctx, o.Address, ch); return nil })
	}
	g.Go(func() error { return n.loop(ctx) })
	g.Go(func() error { return n.web.times.report(ctx, n.log.With("node", n.cfg.Member), n.web.limit) })
	return g.Wait()
}

func (n *Node) post(m controller.Msg) { n.queue <- m }

// loop is the one goroutine that owns the core: it takes whatever has queued
// up as one batch.
func (n *Node) loop(ctx context.Context) error {
	t := time.NewTicker(tick)
	defer t.Stop()
	batch := make([]controller.Msg, 0, mostBatch)
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			return nil
		case m := <-n.queue:
			batch = append(batch, m)
		case <-t.C:
		}
	more:
		for len(batch) < mostBatch {
			select {
			case m := <-n.queue:
				batch = append(batch, m)
			default:
				break more
			}
		}
		for _, e := range n.core.Step(n.now(), units.Micros(time.Now().UnixMicro()), batch) {
			n.effect(e)
		}
	}
}

func (n *Node) effect(e controller.Effect) {
	switch e := e.(type) {
	case controller.Reply:
		n.web.reply(e)
	case controller.StateCall:
		go n.calls.state(e)
	case controller.CloudCall:
		go n.calls.cloud(e)
	case controller.WorkerCall:
		go n.calls.worker(e)
	case controller.SendHeartbeat:
		for _, ch := range n.beats {
			select {
			case ch <- e.Beat:
			default: // the stream is slow: the next heartbeat tells all anew
			}
		}
	}
}
