// Package cli implements the operators' command-line tool. Every command
// prints a table, or JSON with -json, and ends with one of the exit codes.
package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"path/filepath"

	"github.com/google/subcommands"
)

// Exit codes.
const (
	// ExitOK means that the command did what it says.
	ExitOK = int(subcommands.ExitSuccess)
	// ExitNotRun means that nothing was changed.
	ExitNotRun = int(subcommands.ExitFailure)
	// ExitUsage means that the command line or a file is wrong.
	ExitUsage = int(subcommands.ExitUsageError)
	// ExitMayHaveRun means that the outcome is unknown; the same command may
	// be given again and tells it.
	ExitMayHaveRun = 3
	// ExitNotInForce means that a ticket was accepted and is not in force
	// everywhere within the time to wait.
	ExitNotInForce = 4
)

// env is where a command reads and writes.
type env struct {
	out, err io.Writer
}

// Run parses the arguments, runs one command and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	fs := flag.NewFlagSet("papayaspan", flag.ContinueOnError)
	fs.SetOutput(stderr)
	cmdr := subcommands.NewCommander(fs, filepath.Base("papayaspan"))
	cmdr.Output, cmdr.Error = stdout, stderr
	cmdr.Register(cmdr.HelpCommand(), "")
	cmdr.Register(cmdr.FlagsCommand(), "")
	for group, list := range commands(env{stdout, stderr}) {
		for _, c := range list {
			cmdr.Register(c, group)
		}
	}
	if err := fs.Parse(args); err != nil {
		return ExitUsage
	}
	return int(cmdr.Execute(ctx))
}

func commands(e env) map[string][]subcommands.Command {
	return map[string][]subcommands.Command{
		"settings": {&checkSettings{env: e}},
		"tickets": {
			&fileTicket{filer{env: e}},
			&showTicket{filer{env: e}},
			&listTickets{env: e},
			&issueKey{filer: filer{env: e}},
			&withdrawKey{filer{env: e}},
		},
		"state": showCommands(e),
		"vms":   {&addresses{env: e}, &drain{env: e}},
		"logs":  {&decisions{env: e}, &explain{env: e}, &losses{env: e}},
	}
}

// fail prints an error and returns its exit code.
func (e env) fail(err error) subcommands.ExitStatus {
	code, text := describe(err)
	fmt.Fprintln(e.err, text)
	return subcommands.ExitStatus(code)
}

// usage prints what is wrong with the command line.
func (e env) usage(format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(e.err, format+"\n", args...)
	return subcommands.ExitUsageError
}
