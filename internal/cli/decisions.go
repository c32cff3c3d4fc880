package cli

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"
)

// decisionEvents are the log events of routing and placement decisions.
var decisionEvents = []string{"event=engine_chosen", "event=placement_planned", "event=order_sent", "event=request_refused",
	"event=attempt_started", "event=content_suspected", "event=poison_refused"}

type decisions struct {
	outputs
	filter string
}

func (*decisions) Name() string { return "decisions" }
func (*decisions) Synopsis() string {
	return "print the decisions in a log that comes on standard input"
}
func (*decisions) Usage() string {
	return "papayaspan decisions [-match TEXT] < LOG\n  Reads a router's log, for example through tail -f, and prints its decision lines.\n"
}
func (c *decisions) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.filter, "match", "", "print only lines with this `text`, for example account=acme")
}

func (c *decisions) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		if line := lines.Text(); isDecision(line) && strings.Contains(line, c.filter) {
			fmt.Fprintln(c.out, line)
		}
	}
	if err := lines.Err(); err != nil {
		return c.usage("%v", err)
	}
	return subcommands.ExitSuccess
}

func isDecision(line string) bool {
	for _, e := range decisionEvents {
		if strings.Contains(line, e) {
			return true
		}
	}
	return false
}
