package cli

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
)

// losses sums up, from the routers' logs, which requests were not served and why, and which
// shared parts of prompts engines read again.
type losses struct {
	env
	by    string
	most  int
	reuse time.Duration
}

func (*losses) Name() string { return "losses" }
func (*losses) Synopsis() string {
	return "sum up which requests were lost and why, from the logs of several VMs"
}
func (*losses) Usage() string {
	return `papayaspan losses [-by outcome,reason,route] [-most 20] [-reuse 10s] LOG...
  Reads one log file for each VM and prints, largest first, how many requests ended in
  each way, with the means of what the choice of a server was based on; then how many
  tokens of shared parts were read, and read again although some engine had read them
  for the same weights within the reuse time.
  Groups: outcome, reason, route, account, server, vm, second (since the first line).
`
}
func (c *losses) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.by, "by", "outcome,reason,route", "what to group by, separated by `commas`")
	f.IntVar(&c.most, "most", 20, "`number` of groups to print")
	f.DurationVar(&c.reuse, "reuse", 10*time.Second, "the `time` within which a shared part should not be read again")
}

// lossGroups are what requests can be grouped by; the value tells it of a line.
var lossGroups = map[string]func(l logLine, first time.Time) string{
	"outcome": func(l logLine, _ time.Time) string { return outcomeOf(l) },
	"reason":  func(l logLine, _ time.Time) string { return l.fields["reason"] },
	"route":   func(l logLine, _ time.Time) string { return l.fields["route"] },
	"account": func(l logLine, _ time.Time) string { return l.fields["account"] },
	"server":  func(l logLine, _ time.Time) string { return l.fields["server"] },
	"vm":      func(l logLine, _ time.Time) string { return l.vm },
	"second":  func(l logLine, first time.Time) string { return strconv.Itoa(int(l.at.Sub(first).Seconds())) },
}

// lossInputs are the fields of which the means are printed.
var lossInputs = []string{"first_byte", "total", "left", "expected_loss", "running", "backlog", "weights_behind", "retry_after"}

// outcomeOf names how a request ended: served, refused, failed or cut.
func outcomeOf(l logLine) string {
	status, err := strconv.Atoi(l.fields["status"])
	switch {
	case err != nil || status == 0:
		return "unanswered"
	case status < 300 && l.fields["reason"] == "":
		return "served"
	case status < 300:
		return "cut"
	case l.fields["verdict"] == "not_run":
		return "refused"
	default:
		return "failed"
	}
}

func (c *losses) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	names := strings.Split(c.by, ",")
	for _, name := range names {
		if lossGroups[name] == nil {
			return c.usage("losses can't group by %q; it can by %s", name, strings.Join(slices.Sorted(maps.Keys(lossGroups)), ", "))
		}
	}
	if f.NArg() == 0 {
		return c.usage("losses needs at least one log file")
	}
	var done []logLine
	for _, path := range f.Args() {
		read, err := readLog(path)
		if err != nil {
			return c.usage("%v", err)
		}
		done = append(done, slices.DeleteFunc(read, func(l logLine) bool { return l.fields["event"] != "request_done" })...)
	}
	if len(done) == 0 {
		fmt.Fprintf(c.err, "no request ended in %d files\n", f.NArg())
		return subcommands.ExitFailure
	}
	slices.SortStableFunc(done, func(a, b logLine) int { return a.at.Compare(b.at) })
	c.printGroups(names, done)
	c.printReadings(done)
	return subcommands.ExitSuccess
}

// lossGroup sums requests up that ended alike.
type lossGroup struct {
	names []string
	count int
	sums  map[string]float64
	seen  map[string]int
}

func groupLosses(names []string, done []logLine) []*lossGroup {
	groups := map[string]*lossGroup{}
	for _, l := range done {
		var values []string
		for _, name := range names {
			values = append(values, cmp.Or(lossGroups[name](l, done[0].at), "-"))
		}
		key := strings.Join(values, "\x00")
		g := groups[key]
		if g == nil {
			g = &lossGroup{names: values, sums: map[string]float64{}, seen: map[string]int{}}
			groups[key] = g
		}
		g.count++
		for _, name := range lossInputs {
			if v, err := strconv.ParseFloat(l.fields[name], 64); err == nil {
				g.sums[name] += v
				g.seen[name]++
			}
		}
	}
	return slices.SortedFunc(maps.Values(groups), func(a, b *lossGroup) int {
		return cmp.Or(cmp.Compare(b.count, a.count), slices.Compare(a.names, b.names))
	})
}

func (c *losses) printGroups(names []string, done []logLine) {
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "count\tshare\t%s\t%s\n", strings.Join(names, "\t"), strings.Join(lossInputs, "\t"))
	for i, g := range groupLosses(names, done) {
		if i == c.most {
			break
		}
		fmt.Fprintf(w, "%d\t%.4f\t%s", g.count, float64(g.count)/float64(len(done)), strings.Join(g.names, "\t"))
		for _, name := range lossInputs {
			if g.seen[name] == 0 {
				fmt.Fprint(w, "\t-")
				continue
			}
			fmt.Fprintf(w, "\t%.3g", g.sums[name]/float64(g.seen[name]))
		}
		fmt.Fprintln(w)
	}
	_ = w.Flush() // As other prints to the terminal.
}

// readings are the shared tokens of a route's prompts, by what became of them.
type readings struct{ requests, cached, fetched, first, again, later float64 }

// sumReadings tells the first reading of a prefix on some weights from those within the reuse
// time after its last use, and from later ones.
func sumReadings(done []logLine, reuse time.Duration) map[string]*readings {
	type part struct{ prefix, weights string }
	used := map[part]time.Time{}
	sums := map[string]*readings{}
	for _, l := range done {
		shared, err := strconv.ParseFloat(l.fields["shared_tokens"], 64)
		if err != nil || shared == 0 || outcomeOf(l) != "served" {
			continue
		}
		sum := sums[l.fields["route"]]
		if sum == nil {
			sum = &readings{}
			sums[l.fields["route"]] = sum
		}
		cached, _ := strconv.ParseFloat(l.fields["cached"], 64)   // Absent means none.
		fetched, _ := strconv.ParseFloat(l.fields["fetched"], 64) // Likewise.
		key := part{l.fields["prefix"], l.fields["weights"]}
		missing := max(0, shared-cached-fetched)
		last, known := used[key]
		switch {
		case !known:
			sum.first += missing
		case requestStart([]logLine{l}, l.fields["request_id"]).Sub(last) < reuse:
			sum.again += missing
		default:
			sum.later += missing
		}
		sum.requests++
		sum.cached += min(cached, shared)
		sum.fetched += fetched
		used[key] = l.at
	}
	return sums
}

func (c *losses) printReadings(done []logLine) {
	sums := sumReadings(done, c.reuse)
	if len(sums) == 0 {
		return
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "\nshared tokens of\trequests\tcached\tfetched\tread first\tread again within %v\tread again later\n", c.reuse)
	for _, route := range slices.SortedFunc(maps.Keys(sums), func(a, b string) int { return cmp.Compare(sums[b].again, sums[a].again) }) {
		s := sums[route]
		fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\n", route, s.requests, s.cached, s.fetched, s.first, s.again, s.later)
	}
	_ = w.Flush() // As other prints to the terminal.
}
