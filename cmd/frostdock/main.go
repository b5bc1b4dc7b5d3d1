// Command frostdock is a cluster scheduler: one controller of a deployment.
package main

import (
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/spf13/pflag"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/server"
	"frostdock.example/frostdock/internal/policy"
)

// version is set by release builds with -ldflags "-X main.version=...".
var version = "0.1.0-dev"

func main() {
	if err := run(os.Args[1:], os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "frostdock:", err)
		os.Exit(1)
	}
}

func run(args []string, stdout, stderr io.Writer) error {
	flags := pflag.NewFlagSet("frostdock", pflag.ContinueOnError)
	flags.SortFlags = false
	flags.SetOutput(stderr)
	path := flags.String("config", "", "settings file of the platform (required)")
	script := flags.String("policy", "", "the operators' own settings, a Starlark script (optional)")
	check := flags.Bool("check", false, "check settings and policy, then exit")
	show := flags.Bool("version", false, "print the version, then exit")
	flags.Usage = func() {
		fmt.Fprintf(stderr, "frostdock runs one controller of a cluster scheduler.\n\nUsage: frostdock --config PATH [flags]\n\n%s\nLOG_LEVEL: error, info (default) or debug\n", flags.FlagUsages())
	}
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, pflag.ErrHelp) {
			return nil
		}
		return err
	}
	if *show {
		fmt.Fprintln(stdout, "frostdock", version)
		return nil
	}
	if flags.NArg() > 0 {
		return fmt.Errorf("unexpected argument %q", flags.Arg(0))
	}
	if *path == "" {
		return errors.New("--config: missing; see --help")
	}
	cfg, err := config.Load(*path)
	if err != nil {
		return err
	}
	pol, err := policy.Load(*script)
	if err != nil {
		return err
	}
	if *check {
		fmt.Fprintln(stdout, "settings and policy are fine")
		return nil
	}
	log := logger(stderr)
	// One core is all there is, and the memory is counted from outside.
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(cfg.Settings.Limits.MemoryMB * 0.7 * (1 << 20)))
	debug.SetGCPercent(200)

	var id [8]byte
	if _, err := crand.Read(id[:]); err != nil {
		return fmt.Errorf("draw an incarnation: %w", err)
	}
	inc := hex.EncodeToString(id[:])
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	log.Info("start", "node", cfg.Member, "version", version, "inc", inc)
	return server.New(cfg, pol, log, inc).Run(ctx)
}

func logger(w io.Writer) *slog.Logger {
	level, name := slog.LevelInfo, os.Getenv("LOG_LEVEL")
	known := true
	switch name {
	case "error":
		level = slog.LevelError
	case "warn":
		level = slog.LevelWarn
	case "debug":
		level = slog.LevelDebug
	case "", "info":
	default:
		known = false
	}
	log := slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
	if !known {
		log.Warn("unknown LOG_LEVEL, using info", "value", name)
	}
	return log
}
