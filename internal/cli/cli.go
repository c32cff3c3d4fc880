// Package cli implements the operators' command-line tool. Every command
// prints a table, or JSON with -json, and returns one of the exit codes below.
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
	// ExitOK means that the command succeeded.
	ExitOK = int(subcommands.ExitSuccess)
	// ExitNotRun means that nothing was changed.
	ExitNotRun = int(subcommands.ExitFailure)
	// ExitUsage means that the command line or a file is wrong.
	ExitUsage = int(subcommands.ExitUsageError)
	// ExitMayHaveRun means that the outcome is unknown. Repeating the same
	// command is safe and returns the outcome.
	ExitMayHaveRun = 3
	// ExitNotInForce means that a ticket was accepted but was not in force on
	// every VM within the waiting time.
	ExitNotInForce = 4
)

// outputs holds the writers for a command's results and error messages.
type outputs struct {
	out, err io.Writer
}

// Run parses the arguments, runs one command and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	fs := flag.NewFlagSet("papayaspan", flag.ContinueOnError)
	fs.SetOutput(stderr)
	commander := subcommands.NewCommander(fs, filepath.Base("papayaspan"))
	commander.Output, commander.Error = stdout, stderr
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	for group, list := range commands(outputs{stdout, stderr}) {
		for _, c := range list {
			commander.Register(c, group)
		}
	}
	if err := fs.Parse(args); err != nil {
		return ExitUsage
	}
	return int(commander.Execute(ctx))
}

func commands(e outputs) map[string][]subcommands.Command {
	return map[string][]subcommands.Command{
		"settings": {&checkSettings{outputs: e}, &checkConfig{outputs: e}},
		"tickets": {
			&fileTicket{ticketFiler{outputs: e}},
			&showTicket{ticketFiler{outputs: e}},
			&listTickets{outputs: e},
			&issueKey{ticketFiler: ticketFiler{outputs: e}},
			&withdrawKey{ticketFiler{outputs: e}},
		},
		"state": showCommands(e),
		"vms":   {&addressList{outputs: e}, &drain{outputs: e}},
		"logs":  {&decisions{outputs: e}, &explain{outputs: e}, &losses{outputs: e}},
	}
}

// fail prints an error and returns its exit code.
func (e outputs) fail(err error) subcommands.ExitStatus {
	code, text := describeError(err)
	fmt.Fprintln(e.err, text)
	return subcommands.ExitStatus(code)
}

// usage prints an error in the command line and returns its exit code.
func (e outputs) usage(format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(e.err, format+"\n", args...)
	return subcommands.ExitUsageError
}
