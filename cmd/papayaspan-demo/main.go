// Command papayaspan-demo runs three routers and all stand-ins in one process
// on loopback, files a first ticket, and prints commands to try.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/daemon"
	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/logging"
	"papayaspan.dev/papayaspan/internal/standin/local"
	"papayaspan.dev/papayaspan/internal/ticket"
)

const routers = 3

func main() {
	level := flag.String("log", "info", "log `level`: debug, info, warn or error")
	flag.Parse()
	if err := run(*level); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(level string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log, err := logging.New(os.Stderr, level)
	if err != nil {
		return err
	}
	s, err := local.Start(3, local.EngineOptions())
	if err != nil {
		return err
	}
	defer s.Close()
	store := ticket.NewStore(s.Platform, s.Platform.Objects(), head.Direct{Table: s.Platform}, "demo", time.Now)
	rec, err := store.File(ctx, s.FirstTicket())
	if err != nil {
		return err
	}
	if rec.Status != ticket.Accepted {
		return errors.Errorf("first ticket refused: %v", rec.Problems)
	}
	daemons := make([]*daemon.Daemon, routers)
	for i := range daemons {
		if daemons[i], err = s.StartRouter(s.Settings(i+1), log); err != nil {
			return err
		}
	}
	printCommands(daemons[0])
	<-ctx.Done()
	for _, d := range daemons {
		d.Kill()
	}
	return nil
}

func printCommands(d *daemon.Daemon) {
	fmt.Printf(`
A streamed answer:
  curl -N http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' -d '{"model":"%[3]s","stream":true,"messages":[{"role":"user","content":"Rewind plan for a 5 hp stator"}]}'
Which address to use:
  curl http://%[1]s/v1/addresses
The operators' tool:
  PAPAYASPAN_OPERATOR_KEY=%[4]s go run ./cmd/papayaspan tickets -admin http://%[5]s

Stop with Ctrl-C.
`, d.Self().CallerAddress, local.CallerSecret, local.Model, local.OperatorKey, d.AdminAddress())
}
