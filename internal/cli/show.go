package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	gen "papayaspan.dev/papayaspan/gen/admin"
	"papayaspan.dev/papayaspan/gen/http/admin/server"
	"papayaspan.dev/papayaspan/internal/settings"
)

type checkSettings struct{ outputs }

func (*checkSettings) Name() string           { return "check-settings" }
func (*checkSettings) Synopsis() string       { return "check a settings file" }
func (*checkSettings) Usage() string          { return "papayaspan check-settings FILE\n" }
func (*checkSettings) SetFlags(*flag.FlagSet) {}

func (c *checkSettings) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.usage("check-settings needs one FILE")
	}
	if _, err := settings.Load(f.Arg(0)); err != nil {
		return c.usage("%v", err)
	}
	fmt.Fprintln(c.out, "ok")
	return subcommands.ExitSuccess
}

// showCmd prints one kind of object of the configuration.
type showCmd struct {
	outputs
	apiFlags
	name   string
	header []string
	rows   func(*gen.State) [][]string
	// jsonValue returns the value that -json prints.
	jsonValue func(*server.ShowStateResponseBody) any
}

func (c *showCmd) Name() string             { return c.name }
func (c *showCmd) Synopsis() string         { return "show " + c.name + " in force" }
func (c *showCmd) Usage() string            { return "papayaspan " + c.name + " [flags]\n" }
func (c *showCmd) SetFlags(f *flag.FlagSet) { c.apiFlags.setFlags(f) }

func (c *showCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	state, err := c.state(ctx)
	if err != nil {
		return c.fail(err)
	}
	if c.json {
		printJSON(c.out, c.jsonValue(server.NewShowStateResponseBody(state)))
		return subcommands.ExitSuccess
	}
	printTable(c.out, c.header, c.rows(state))
	return subcommands.ExitSuccess
}

func rowsOf[T any](list []T, row func(T) []string) [][]string {
	out := make([][]string, len(list))
	for i, x := range list {
		out[i] = row(x)
	}
	return out
}

func showCommands(e outputs) []subcommands.Command {
	return []subcommands.Command{
		&showCmd{outputs: e, name: "accounts", header: []string{"ACCOUNT", "TOKENS/S", "BURST", "WEIGHT"},
			rows:      func(s *gen.State) [][]string { return rowsOf(s.Objects.Accounts, accountRow) },
			jsonValue: func(s *server.ShowStateResponseBody) any { return s.Objects.Accounts }},
		&showCmd{outputs: e, name: "keys", header: []string{"KEY", "ACCOUNT"},
			rows:      func(s *gen.State) [][]string { return rowsOf(s.Objects.Keys, keyRow) },
			jsonValue: func(s *server.ShowStateResponseBody) any { return s.Objects.Keys }},
		&showCmd{outputs: e, name: "models", header: []string{"MODEL", "WEIGHTS", "REPLICAS"},
			rows:      func(s *gen.State) [][]string { return rowsOf(s.Objects.Models, modelRow) },
			jsonValue: func(s *server.ShowStateResponseBody) any { return s.Objects.Models }},
		&showCmd{outputs: e, name: "routes", header: []string{"ROUTE", "PATH", "SERVERS", "OPEN", "IDEMPOTENT"},
			rows:      func(s *gen.State) [][]string { return rowsOf(s.Objects.Routes, routeRow) },
			jsonValue: func(s *server.ShowStateResponseBody) any { return s.Objects.Routes }},
		&showCmd{outputs: e, name: "servers", header: []string{"SERVER", "KIND", "URL", "FAILURE DOMAIN", "MODELS", "LEAVING"},
			rows:      func(s *gen.State) [][]string { return rowsOf(s.Objects.Servers, serverRow) },
			jsonValue: func(s *server.ShowStateResponseBody) any { return s.Objects.Servers }},
		&showCmd{outputs: e, name: "vms", header: []string{"VM", "FAILURE DOMAIN", "ADDRESS", "AT TICKET", "LEAVING"},
			rows:      func(s *gen.State) [][]string { return rowsOf(s.Vms, vmRow) },
			jsonValue: func(s *server.ShowStateResponseBody) any { return s.Vms }},
	}
}

func accountRow(a *gen.Account) []string {
	return []string{a.ID, formatFloat(a.Contract.Rate), formatFloat(a.Contract.Burst), formatFloat(a.Contract.Weight)}
}

func keyRow(k *gen.Key) []string { return []string{k.ID, k.Account} }

func modelRow(m *gen.Model) []string {
	return []string{m.Name, m.WeightsVersion, strconv.Itoa(m.Replicas)}
}

func routeRow(r *gen.Route) []string {
	return []string{r.ID, r.PathPrefix, strings.Join(r.Servers, ","), strconv.FormatBool(r.Open), strconv.FormatBool(r.Idempotent)}
}

func serverRow(s *gen.BackendServer) []string {
	return []string{s.ID, s.Kind, s.URL, s.FailureDomain, strings.Join(s.Models, ","), strconv.FormatBool(s.Leaving)}
}

func vmRow(v *gen.VM) []string {
	return []string{v.ID, v.FailureDomain, v.CallerAddress, strconv.FormatUint(v.Number, 10), strconv.FormatBool(v.Leaving)}
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

type addressList struct {
	outputs
	url, domain string
	json        bool
}

func (*addressList) Name() string     { return "address" }
func (*addressList) Synopsis() string { return "ask which address callers should use" }
func (*addressList) Usage() string    { return "papayaspan address [flags]\n" }
func (c *addressList) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.url, "url", "http://127.0.0.1:8080", "`URL` of any VM's interface towards callers")
	f.StringVar(&c.domain, "failure-domain", "", "the caller's own failure `domain`")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

func (c *addressList) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := get(ctx, c.url+"/v1/addresses?failure_domain="+c.domain)
	if err != nil {
		fmt.Fprintln(c.err, err)
		return subcommands.ExitStatus(ExitNotRun)
	}
	if c.json {
		_, _ = c.out.Write(body)
		return subcommands.ExitSuccess
	}
	var list struct {
		TTLSeconds int `json:"ttl_seconds"`
		Addresses  []struct {
			Address       string `json:"address"`
			FailureDomain string `json:"failure_domain"`
			VM            string `json:"vm"`
		} `json:"addresses"`
	}
	if err := json.Unmarshal(body, &list); err != nil {
		fmt.Fprintln(c.err, err)
		return subcommands.ExitStatus(ExitNotRun)
	}
	rows := make([][]string, len(list.Addresses))
	for i, a := range list.Addresses {
		rows[i] = []string{a.Address, a.FailureDomain, a.VM}
	}
	printTable(c.out, []string{"ADDRESS", "FAILURE DOMAIN", "VM"}, rows)
	fmt.Fprintf(c.out, "keep for %d s\n", list.TTLSeconds)
	return subcommands.ExitSuccess
}

// get returns the body of a URL. Any status but 200 is an error.
func get(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.Errorf("status %d", resp.StatusCode)
	}
	return body, errors.Wrap(err, url)
}

type drain struct {
	outputs
	apiFlags
}

func (*drain) Name() string     { return "drain" }
func (*drain) Synopsis() string { return "drain the VM whose administration API -admin names" }
func (*drain) Usage() string {
	return "papayaspan drain [flags]\n  The VM leaves the addresses, finishes its requests and stops.\n"
}
func (c *drain) SetFlags(f *flag.FlagSet) { c.apiFlags.setFlags(f) }

func (c *drain) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	api, key, err := c.connect()
	if err != nil {
		return c.usage("%v", err)
	}
	if err := api.Drain(ctx, &gen.DrainPayload{Key: key}); err != nil {
		return c.fail(err)
	}
	fmt.Fprintln(c.out, "draining")
	return subcommands.ExitSuccess
}
