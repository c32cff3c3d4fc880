package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/logging"
	"papayaspan.dev/papayaspan/platform"
)

// edgeCmd runs the router on the users' platform until SIGTERM.
type edgeCmd struct {
	settings string
	level    string
	// hedgeShare is the share of the requests for a service that may be hedged.
	hedgeShare float64
}

// logCloseTimeout bounds the flush of the log at process exit.
const logCloseTimeout = 50 * time.Millisecond

// Name implements subcommands.Command.
func (*edgeCmd) Name() string { return "edge" }

// Synopsis implements subcommands.Command.
func (*edgeCmd) Synopsis() string { return "run the router on the platform" }

// Usage implements subcommands.Command.
func (*edgeCmd) Usage() string {
	return "papayaspand edge [-settings FILE] [-hedge-share SHARE]\n  Runs the router with the platform's settings file until SIGTERM, which drains it.\n"
}

// SetFlags implements subcommands.Command.
func (c *edgeCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", os.Getenv(platform.SettingsVariable), "the platform's settings `file`")
	f.StringVar(&c.level, "log", "info", "log `level`: debug, info, warn or error")
	f.Float64Var(&c.hedgeShare, "hedge-share", 0, "`share` of the requests for a service that may be sent to a second server because the first one is slow: 0 (none) to 0.1, at most half of the settings' retry_budget_ratio")
}

// Execute implements subcommands.Command.
func (c *edgeCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	out := logging.NewWriter(os.Stdout)
	defer func() {
		if err := out.Close(logCloseTimeout); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}()
	log, err := logging.New(out, c.level)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	s, err := platform.LoadSettings(c.settings)
	if err != nil {
		log.Error("settings_invalid", logging.Error(err))
		return subcommands.ExitUsageError
	}
	if err := s.SetHedgeShare(c.hedgeShare); err != nil {
		log.Error("flag_invalid", zap.String("flag", "hedge-share"), logging.Error(err))
		return subcommands.ExitUsageError
	}
	p, err := platform.New(s, log, out.Dropped)
	if err != nil {
		log.Error("start_failed", logging.Error(err))
		return subcommands.ExitFailure
	}
	p.MeasureProcessor()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			p.Reload(c.settings)
		}
	}()
	if err := p.Run(ctx); err != nil {
		log.Warn("stopped_with_requests_open", logging.Error(err))
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
