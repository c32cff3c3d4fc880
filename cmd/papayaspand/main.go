// Command papayaspand runs the router of one VM.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/daemon"
	"papayaspan.dev/papayaspan/internal/logging"
	"papayaspan.dev/papayaspan/internal/platform/rest"
	"papayaspan.dev/papayaspan/internal/settings"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&serveCmd{}, "")
	subcommands.Register(&edgeCmd{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// serveCmd runs the router until SIGTERM or SIGINT.
type serveCmd struct{ settings string }

// Name implements subcommands.Command.
func (*serveCmd) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*serveCmd) Synopsis() string { return "run the router" }

// Usage implements subcommands.Command.
func (*serveCmd) Usage() string {
	return "papayaspand serve -settings FILE\n  Runs the router until SIGTERM, which drains it.\n"
}

// SetFlags implements subcommands.Command.
func (c *serveCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "papayaspand.jsonc", "settings `file`, JSON with comments")
}

// Execute implements subcommands.Command.
func (c *serveCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s, err := settings.Load(c.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	log, err := logging.New(os.Stderr, s.Log.Level)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	client := rest.NewClient(s.Platform.URL)
	d, err := daemon.New(s, log, daemon.Platform{Table: client, Objects: client.Objects(), Membership: client, Weights: client})
	if err != nil {
		log.Error("start_failed", zap.Error(err))
		return subcommands.ExitFailure
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d.Start(ctx)
	select {
	case <-ctx.Done():
	case <-d.DrainRequested():
	}
	if err := d.Shutdown(context.Background()); err != nil {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
