package cli

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/google/subcommands"
	"github.com/pkg/errors"
)

// explain prints the log lines that concern one request: the request's own lines
// and the events of its VM and its servers around that time. Given a service instead, it prints what
// concerns the roll-outs of that service's software versions.
type explain struct {
	outputs
	id string
	// service is set instead of id.
	service string
	window  time.Duration
	skew    time.Duration
}

func (*explain) Name() string { return "explain" }
func (*explain) Synopsis() string {
	return "print what the logs of several VMs say of one request"
}
func (*explain) Usage() string {
	return `papayaspan explain -id ID [-window 3s] [-skew 1s] LOG...
papayaspan explain -service SERVICE LOG...
  Reads one log file for each VM and prints, in the order of time, the decisions on
  the request, what its VM learnt meanwhile, and what all VMs learnt of the servers
  that it was sent to. However old they are, it prints the back-offs and leaves of these
  servers that held then. For a request that was refused because others like it crash
  servers, it prints the crashes and the convictions, and for one that was refused because
  all servers back off, all back-offs that held at its VM.
`
}
func (c *explain) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.id, "id", "", "`id` of the request")
	f.StringVar(&c.service, "service", "", "print the roll-outs of this `service` instead: orders, stages, samples, verdicts")
	f.DurationVar(&c.window, "window", 3*time.Second, "how long before the request events count")
	f.DurationVar(&c.skew, "skew", time.Second, "by how much the clocks of VMs may differ")
}

// logLine is one line of a VM's log.
type logLine struct {
	vm     string
	at     time.Time
	fields map[string]string
	text   string
}

func (c *explain) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if (c.id == "") == (c.service == "") || f.NArg() == 0 {
		return c.usage("explain needs either -id or -service, and at least one log file")
	}
	var lines []logLine
	for _, path := range f.Args() {
		parsed, err := readLog(path)
		if err != nil {
			return c.usage("%v", err)
		}
		lines = append(lines, parsed...)
	}
	if c.service != "" {
		return c.explainRollouts(lines)
	}
	related := selectLines(lines, c.id, c.window, c.skew)
	if len(related) == 0 {
		fmt.Fprintf(c.err, "no line of the request %q in %d files\n", c.id, f.NArg())
		return subcommands.ExitFailure
	}
	first := requestStart(related, c.id)
	for _, l := range related {
		fmt.Fprintf(c.out, "%+8.3fs %s %s\n", l.at.Sub(first).Seconds(), l.vm, l.text)
	}
	return subcommands.ExitSuccess
}

// explainRollouts prints the lines about the roll-outs of a service in chronological order.
func (c *explain) explainRollouts(lines []logLine) subcommands.ExitStatus {
	related := slices.DeleteFunc(lines, func(l logLine) bool {
		event := l.fields["event"]
		about := strings.HasPrefix(event, "server_rollout") || strings.HasPrefix(event, "server_version_")
		return !about || l.fields["service"] != c.service
	})
	if len(related) == 0 {
		fmt.Fprintf(c.err, "no line about a roll-out of the service %q\n", c.service)
		return subcommands.ExitFailure
	}
	slices.SortStableFunc(related, func(a, b logLine) int { return cmp.Or(a.at.Compare(b.at), strings.Compare(a.vm, b.vm)) })
	for _, l := range related {
		fmt.Fprintf(c.out, "%+8.3fs %s %s\n", l.at.Sub(related[0].at).Seconds(), l.vm, l.text)
	}
	return subcommands.ExitSuccess
}

// readLog parses a logfmt file and names the VM after the file. Lines without a
// time or an event, such as the stack trace of a crash, are skipped.
func readLog(path string) ([]logLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "read log")
	}
	defer file.Close()
	lines, err := parseLog(file, strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)))
	return lines, errors.Wrapf(err, "log %s", path)
}

func parseLog(r io.Reader, vm string) ([]logLine, error) {
	var lines []logLine
	d := logfmt.NewDecoder(r)
	for d.ScanRecord() {
		l := logLine{vm: vm, fields: map[string]string{}}
		var text []string
		for d.ScanKeyval() {
			key, value := string(d.Key()), string(d.Value())
			l.fields[key] = value
			if key != "time" && key != "level" {
				text = append(text, key+"="+quoteValue(value))
			}
		}
		at, err := time.Parse(time.RFC3339Nano, l.fields["time"])
		if err != nil || l.fields["event"] == "" {
			continue
		}
		l.at, l.text = at, strings.Join(text, " ")
		lines = append(lines, l)
	}
	return lines, d.Err()
}

func quoteValue(value string) string {
	if strings.ContainsAny(value, " \"=") {
		return fmt.Sprintf("%q", value)
	}
	return value
}

// selectLines returns the lines of a request and, from window before its arrival until
// its last line, the related lines of its VM and its servers, in chronological order.
// For the lines of other VMs this interval is widened by skew, the maximum difference
// between the clocks.
func selectLines(lines []logLine, id string, window, skew time.Duration) []logLine {
	requestLines := slices.DeleteFunc(slices.Clone(lines), func(l logLine) bool { return l.fields["request_id"] != id })
	if len(requestLines) == 0 {
		return nil
	}
	start, to := requestStart(requestLines, id), requestLines[0].at
	from := start.Add(-window)
	vms, servers, causes := map[string]bool{}, map[string]bool{}, map[string]bool{}
	refusedForBackoffs := false
	for _, l := range requestLines {
		refusedForBackoffs = refusedForBackoffs || l.fields["reason"] == "servers_back_off"
		if cause := l.fields["crash_cause"]; cause != "" {
			causes[cause] = true
		}
		if l.at.After(to) {
			to = l.at
		}
		vms[l.vm] = true
		for _, name := range []string{"server", "fetch_from"} {
			if v := l.fields[name]; v != "" {
				servers[v] = true
			}
		}
	}
	out := slices.DeleteFunc(slices.Clone(lines), func(l logLine) bool {
		if l.fields["request_id"] == id {
			return false
		}
		ofServer := servers[l.fields["server"]]
		switch {
		case concernsCrashCause(l, causes),
			vms[l.vm] && (ofServer || refusedForBackoffs) && backsOffDuring(l, start, to),
			ofServer && saysLeaving(l) && !l.at.After(to):
			return false
		}
		margin := skew
		if vms[l.vm] {
			margin = 0
		}
		outside := l.at.Before(from.Add(-margin)) || l.at.After(to.Add(margin))
		return outside || !explainsOutcome(l, servers, vms[l.vm])
	})
	slices.SortStableFunc(out, func(a, b logLine) int { return cmp.Or(a.at.Compare(b.at), strings.Compare(a.vm, b.vm)) })
	return out
}

// concernsCrashCause reports whether a line belongs to the evidence because of which a request
// was refused: a crash of a server that ran requests with one of the traits, or a conviction.
// Such evidence may be hours old.
func concernsCrashCause(l logLine, causes map[string]bool) bool {
	switch l.fields["event"] {
	case "crash_cause_found", "crash_cause_cleared":
		return causes[l.fields["crash_cause"]]
	case "server_crashed":
		return slices.ContainsFunc(strings.Split(l.fields["parts"]+","+l.fields["contents"], ","), func(trait string) bool { return causes[trait] })
	}
	return false
}

// backsOffDuring reports whether a line states a back-off of a server that holds within an interval.
// The server may have asked for it in a response to another VM's request over a connection of this VM.
func backsOffDuring(l logLine, from, to time.Time) bool {
	var left string
	switch l.fields["event"] {
	case "server_backs_off":
		left = l.fields["left"]
	case "server_asked_through_tunnel":
		left = l.fields["backoff"]
	}
	d, err := time.ParseDuration(left + "s")
	return err == nil && !l.at.After(to) && l.at.Add(d).After(from)
}

// saysLeaving reports whether a line states that a server has said that it leaves, which holds until
// its next start.
func saysLeaving(l logLine) bool {
	return l.fields["event"] == "server_says_leaving" ||
		l.fields["event"] == "server_asked_through_tunnel" && l.fields["leaves"] == "true"
}

// explainsOutcome reports whether a line that belongs to no request may explain the
// outcome of the request: an event of one of its servers or, on its own VM, an
// event of the store, the configuration or the VM.
func explainsOutcome(l logLine, servers map[string]bool, ownVM bool) bool {
	if l.fields["request_id"] != "" {
		return false
	}
	if servers[l.fields["server"]] {
		return true
	}
	if !ownVM {
		return false
	}
	switch l.fields["event"] {
	case "store_lost", "store_regained", "feed_history_gone", "catalog_in_force", "weights_named",
		"node_started", "leave_started", "node_stopped", "log_lines_dropped", "peer_heard":
		return true
	}
	return false
}

// requestStart returns the arrival time of the request by its VM's clock. The last
// line of a request is logged at its end and contains the total duration.
func requestStart(lines []logLine, id string) time.Time {
	var start time.Time
	for _, l := range lines {
		if l.fields["request_id"] != id {
			continue
		}
		at := l.at
		if total, err := time.ParseDuration(l.fields["total"] + "s"); err == nil {
			at = at.Add(-total)
		}
		if start.IsZero() || at.Before(start) {
			start = at
		}
	}
	return start
}
