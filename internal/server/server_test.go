package server

import (
	"context"
	"io"
	"log/slog"
	"testing"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/policy"
)

// newConfig returns the configuration of a controller with the given number of sockets that can reach neither
// the key-value store nor the cloud.
func newConfig(sockets int) *config.Config {
	cfg := &config.Config{Member: "a"}
	cfg.Endpoints.KVStore, cfg.Endpoints.Cloud = "127.0.0.1:1", "127.0.0.1:1"
	cfg.Settings.Size, cfg.Settings.ProcessLimits.Sockets = 1, sockets
	cfg.Settings.Workers.LeaseS, cfg.Settings.Workers.CancelS, cfg.Settings.Workers.HeartbeatS = 22, 47, 3
	return cfg
}

// newServer returns a server whose loop does not run: the messages that it posts stay in its queue.
func newServer(cfg *config.Config) *Server {
	return New(cfg, policy.Default(), slog.New(slog.NewTextHandler(io.Discard, nil)), "test")
}

// newIsolatedServer starts the loop of a server with the configuration of newConfig, and returns the server.
func newIsolatedServer(t *testing.T, sockets int) *Server {
	t.Helper()
	s := newServer(newConfig(sockets))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.loop(ctx)
	return s
}
