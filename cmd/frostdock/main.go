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
	"frostdock.example/frostdock/internal/policy"
	"frostdock.example/frostdock/internal/server"
)

// version is set by release builds with -ldflags "-X main.version=...".
var version = "0.1.0-dev"

func main() {
	if err := run(os.Args[1:], os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "frostdock:", err)
		os.Exit(1)
	}
}

// options holds the values of the command-line flags.
type options struct {
	configPath  string
	policyPath  string
	checkOnly   bool
	showVersion bool
}

// parseFlags parses the command line. For --help it prints the usage and returns pflag.ErrHelp.
func parseFlags(args []string, stderr io.Writer) (options, error) {
	var opts options
	flags := pflag.NewFlagSet("frostdock", pflag.ContinueOnError)
	flags.SortFlags = false
	flags.SetOutput(stderr)
	flags.StringVar(&opts.configPath, "config", "", "settings file of the platform (required)")
	flags.StringVar(&opts.policyPath, "policy", "", "the operators' own settings, a Starlark script (optional)")
	flags.BoolVar(&opts.checkOnly, "check", false, "check settings and policy, then exit")
	flags.BoolVar(&opts.showVersion, "version", false, "print the version, then exit")
	flags.Usage = func() {
		_, _ = fmt.Fprintf(stderr, "frostdock runs one controller of a cluster scheduler.\n\nUsage: frostdock --config PATH [flags]\n\n%s\nLOG_LEVEL: error, info (default) or debug\n", flags.FlagUsages())
	}
	if err := flags.Parse(args); err != nil {
		return options{}, err
	}
	if opts.showVersion {
		return opts, nil
	}
	if flags.NArg() > 0 {
		return options{}, fmt.Errorf("unexpected argument %q", flags.Arg(0))
	}
	if opts.configPath == "" {
		return options{}, errors.New("--config: missing; see --help")
	}
	return opts, nil
}

func run(args []string, stdout, stderr io.Writer) error {
	opts, err := parseFlags(args, stderr)
	if errors.Is(err, pflag.ErrHelp) {
		return nil
	}
	if err != nil {
		return err
	}
	if opts.showVersion {
		_, _ = fmt.Fprintln(stdout, "frostdock", version)
		return nil
	}
	cfg, err := config.Load(opts.configPath)
	if err != nil {
		return err
	}
	operatorPolicy, err := policy.Load(opts.policyPath)
	if err != nil {
		return err
	}
	if opts.checkOnly {
		_, _ = fmt.Fprintln(stdout, "settings and policy are fine")
		return nil
	}
	logger := newLogger(stderr)
	// Only one core is available, and the memory of the process is measured from outside.
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(cfg.Settings.ProcessLimits.MemoryMB * 0.7 * (1 << 20)))
	debug.SetGCPercent(200)

	var random [8]byte
	if _, err := crand.Read(random[:]); err != nil {
		return fmt.Errorf("generate incarnation: %w", err)
	}
	incarnation := hex.EncodeToString(random[:])
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	logger.Info("starting", "node", cfg.Member, "version", version, "incarnation", incarnation)
	return server.New(cfg, operatorPolicy, logger, incarnation).Run(ctx)
}

func newLogger(w io.Writer) *slog.Logger {
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
	logger := slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
	if !known {
		logger.Warn("unknown LOG_LEVEL, using info", "value", name)
	}
	return logger
}
