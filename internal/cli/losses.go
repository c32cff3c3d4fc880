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

// losses summarizes the routers' logs: which requests were not served and why, and how many
// tokens of shared prompt prefixes engines prefilled again.
type losses struct {
	outputs
	groupBy     string
	maxGroups   int
	reuseWindow time.Duration
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
	f.StringVar(&c.groupBy, "by", "outcome,reason,route", "what to group by, separated by `commas`")
	f.IntVar(&c.maxGroups, "most", 20, "`number` of groups to print")
	f.DurationVar(&c.reuseWindow, "reuse", 10*time.Second, "the `time` within which a shared part should not be read again")
}

// groupKeys are the attributes that requests can be grouped by. Each function returns the
// attribute of a request_done line; first is the time of the first line.
var groupKeys = map[string]func(l logLine, first time.Time) string{
	"outcome": func(l logLine, _ time.Time) string { return outcomeOf(l) },
	"reason":  func(l logLine, _ time.Time) string { return l.fields["reason"] },
	"route":   func(l logLine, _ time.Time) string { return l.fields["route"] },
	"account": func(l logLine, _ time.Time) string { return l.fields["account"] },
	"server":  func(l logLine, _ time.Time) string { return l.fields["server"] },
	"vm":      func(l logLine, _ time.Time) string { return l.vm },
	"second":  func(l logLine, first time.Time) string { return strconv.Itoa(int(l.at.Sub(first).Seconds())) },
}

// averagedFields are the log fields whose means are printed for each group.
var averagedFields = []string{"first_byte", "total", "left", "expected_loss", "running", "backlog", "weights_behind", "retry_after"}

// outcomeOf returns how a request ended: served, refused, failed, cut (the response was
// incomplete) or unanswered (no status was logged).
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
	names := strings.Split(c.groupBy, ",")
	for _, name := range names {
		if groupKeys[name] == nil {
			return c.usage("losses can't group by %q; it can by %s", name, strings.Join(slices.Sorted(maps.Keys(groupKeys)), ", "))
		}
	}
	if f.NArg() == 0 {
		return c.usage("losses needs at least one log file")
	}
	var finished []logLine
	for _, path := range f.Args() {
		parsed, err := readLog(path)
		if err != nil {
			return c.usage("%v", err)
		}
		finished = append(finished, slices.DeleteFunc(parsed, func(l logLine) bool { return l.fields["event"] != "request_done" })...)
	}
	if len(finished) == 0 {
		fmt.Fprintf(c.err, "no request ended in %d files\n", f.NArg())
		return subcommands.ExitFailure
	}
	slices.SortStableFunc(finished, func(a, b logLine) int { return a.at.Compare(b.at) })
	c.printGroups(names, finished)
	c.printSharedTokens(finished)
	return subcommands.ExitSuccess
}

// requestGroup aggregates the requests with the same values of the grouping attributes.
type requestGroup struct {
	values  []string
	count   int
	sums    map[string]float64
	samples map[string]int
}

func groupRequests(names []string, finished []logLine) []*requestGroup {
	groups := map[string]*requestGroup{}
	for _, l := range finished {
		var values []string
		for _, name := range names {
			values = append(values, cmp.Or(groupKeys[name](l, finished[0].at), "-"))
		}
		key := strings.Join(values, "\x00")
		g := groups[key]
		if g == nil {
			g = &requestGroup{values: values, sums: map[string]float64{}, samples: map[string]int{}}
			groups[key] = g
		}
		g.count++
		for _, name := range averagedFields {
			if v, err := strconv.ParseFloat(l.fields[name], 64); err == nil {
				g.sums[name] += v
				g.samples[name]++
			}
		}
	}
	return slices.SortedFunc(maps.Values(groups), func(a, b *requestGroup) int {
		return cmp.Or(cmp.Compare(b.count, a.count), slices.Compare(a.values, b.values))
	})
}

func (c *losses) printGroups(names []string, finished []logLine) {
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "count\tshare\t%s\t%s\n", strings.Join(names, "\t"), strings.Join(averagedFields, "\t"))
	for i, g := range groupRequests(names, finished) {
		if i == c.maxGroups {
			break
		}
		fmt.Fprintf(w, "%d\t%.4f\t%s", g.count, float64(g.count)/float64(len(finished)), strings.Join(g.values, "\t"))
		for _, name := range averagedFields {
			if g.samples[name] == 0 {
				fmt.Fprint(w, "\t-")
				continue
			}
			fmt.Fprintf(w, "\t%.3g", g.sums[name]/float64(g.samples[name]))
		}
		fmt.Fprintln(w)
	}
	_ = w.Flush() // Write errors on the terminal are ignored, as everywhere in this package.
}

// sharedTokens counts the shared prefix tokens of a route's prompts: cache hits, fetches, and
// prefills by the time since the prefix was last used.
type sharedTokens struct{ requests, cached, fetched, firstPrefill, repeatedPrefill, latePrefill float64 }

// sumSharedTokens returns the counts for each route. It distinguishes the first prefill of a
// prefix on a weights version from a prefill within reuseWindow after its last use and from a
// later one.
func sumSharedTokens(finished []logLine, reuseWindow time.Duration) map[string]*sharedTokens {
	type prefixOnWeights struct{ prefix, weights string }
	lastUse := map[prefixOnWeights]time.Time{}
	sums := map[string]*sharedTokens{}
	for _, l := range finished {
		shared, err := strconv.ParseFloat(l.fields["shared_tokens"], 64)
		if err != nil || shared == 0 || outcomeOf(l) != "served" {
			continue
		}
		sum := sums[l.fields["route"]]
		if sum == nil {
			sum = &sharedTokens{}
			sums[l.fields["route"]] = sum
		}
		cached, _ := strconv.ParseFloat(l.fields["cached"], 64)   // A missing field counts as 0.
		fetched, _ := strconv.ParseFloat(l.fields["fetched"], 64) // A missing field counts as 0.
		key := prefixOnWeights{l.fields["prefix"], l.fields["weights"]}
		missing := max(0, shared-cached-fetched)
		last, known := lastUse[key]
		switch {
		case !known:
			sum.firstPrefill += missing
		case requestStart([]logLine{l}, l.fields["request_id"]).Sub(last) < reuseWindow:
			sum.repeatedPrefill += missing
		default:
			sum.latePrefill += missing
		}
		sum.requests++
		sum.cached += min(cached, shared)
		sum.fetched += fetched
		lastUse[key] = l.at
	}
	return sums
}

func (c *losses) printSharedTokens(finished []logLine) {
	sums := sumSharedTokens(finished, c.reuseWindow)
	if len(sums) == 0 {
		return
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "\nshared tokens of\trequests\tcached\tfetched\tread first\tread again within %v\tread again later\n", c.reuseWindow)
	for _, route := range slices.SortedFunc(maps.Keys(sums), func(a, b string) int { return cmp.Compare(sums[b].repeatedPrefill, sums[a].repeatedPrefill) }) {
		s := sums[route]
		fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\n", route, s.requests, s.cached, s.fetched, s.firstPrefill, s.repeatedPrefill, s.latePrefill)
	}
	_ = w.Flush() // Write errors on the terminal are ignored, as everywhere in this package.
}
