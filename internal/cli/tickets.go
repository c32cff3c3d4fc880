package cli

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	gen "papayaspan.dev/papayaspan/gen/admin"
	"papayaspan.dev/papayaspan/gen/http/admin/server"
	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/ticket"
)

// pollInterval is the pause between queries of a ticket's status while waiting for it.
const pollInterval = 200 * time.Millisecond

// ReadTicket parses a ticket file, which is JSON with comments. Unknown fields
// are rejected.
func ReadTicket(data []byte) (*gen.FileTicketPayload, error) {
	standard, err := hujson.Standardize(data)
	if err != nil {
		return nil, errors.Wrap(err, "ticket file")
	}
	var body server.FileTicketRequestBody
	dec := json.NewDecoder(bytes.NewReader(standard))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&body); err != nil {
		return nil, errors.Wrap(err, "ticket file")
	}
	if err := server.ValidateFileTicketRequestBody(&body); err != nil {
		return nil, errors.Wrap(err, "ticket file")
	}
	return server.NewFileTicketPayload(&body, nil), nil
}

// ticketFiler files a ticket and, with -wait, polls until it is in force on every VM.
type ticketFiler struct {
	outputs
	apiFlags
	wait time.Duration
}

func (c *ticketFiler) setFlags(f *flag.FlagSet) {
	c.apiFlags.setFlags(f)
	f.DurationVar(&c.wait, "wait", 0, "wait so long until the ticket is in force everywhere; 0 does not wait")
}

func (c *ticketFiler) file(ctx context.Context, p *gen.FileTicketPayload) subcommands.ExitStatus {
	api, key, err := c.connect()
	if err != nil {
		return c.usage("%v", err)
	}
	p.Key = key
	rec, err := api.FileTicket(ctx, p)
	if err != nil {
		return c.fail(err)
	}
	deadline := time.Now().Add(c.wait)
	for rec.Status == string(ticket.Accepted) && !rec.InForceEverywhere && time.Now().Before(deadline) {
		time.Sleep(pollInterval)
		if next, err := api.ShowTicket(ctx, &gen.ShowTicketPayload{Key: key, Number: rec.Number}); err == nil {
			rec = next
		}
	}
	c.print(rec)
	switch {
	case rec.Status != string(ticket.Accepted):
		return subcommands.ExitStatus(ExitNotRun)
	case c.wait > 0 && !rec.InForceEverywhere:
		return subcommands.ExitStatus(ExitNotInForce)
	default:
		return subcommands.ExitStatus(ExitOK)
	}
}

func (c *ticketFiler) print(rec *gen.TicketRecord) {
	if c.json {
		printJSON(c.out, server.NewShowTicketResponseBody(rec))
		return
	}
	fmt.Fprintf(c.out, "ticket %d (%s) by %s at %s: %s\n", rec.Number, rec.ClientID, rec.Operator, rec.FiledAt, rec.Status)
	for _, p := range rec.Problems {
		fmt.Fprintf(c.out, "  %s\n", ticket.Problem{Object: p.Object, Field: p.Field, Reason: p.Reason})
	}
	if rec.Status != string(ticket.Accepted) {
		return
	}
	fmt.Fprintf(c.out, "in force everywhere: %t\n", rec.InForceEverywhere)
	if rec.InForceKnownAt != nil && rec.InForceRule != nil {
		fmt.Fprintf(c.out, "known at %s (%s), acknowledged by %s\n", *rec.InForceKnownAt, *rec.InForceRule, strings.Join(rec.InForceAt, ", "))
	}
	rows := make([][]string, len(rec.Places))
	for i, p := range rec.Places {
		rows[i] = []string{p.VM, p.FailureDomain, strconv.FormatUint(p.Number, 10), strconv.FormatBool(p.InForce)}
	}
	printTable(c.out, []string{"VM", "FAILURE DOMAIN", "AT TICKET", "IN FORCE"}, rows)
}

type fileTicket struct {
	ticketFiler
}

func (*fileTicket) Name() string     { return "file" }
func (*fileTicket) Synopsis() string { return "file a ticket from a file" }
func (*fileTicket) Usage() string {
	return "papayaspan file [flags] FILE\n  Files the ticket. Filing the same file again is safe.\n"
}
func (c *fileTicket) SetFlags(f *flag.FlagSet) {
	c.ticketFiler.setFlags(f)
}

func (c *fileTicket) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.usage("file needs one FILE")
	}
	data, err := os.ReadFile(f.Arg(0))
	if err != nil {
		return c.usage("%v", err)
	}
	p, err := ReadTicket(data)
	if err != nil {
		return c.usage("%v", err)
	}
	return c.file(ctx, p)
}

type showTicket struct {
	ticketFiler
}

func (*showTicket) Name() string     { return "ticket" }
func (*showTicket) Synopsis() string { return "show a ticket's fate and where it is in force" }
func (*showTicket) Usage() string    { return "papayaspan ticket [flags] NUMBER\n" }
func (c *showTicket) SetFlags(f *flag.FlagSet) {
	c.apiFlags.setFlags(f)
}

func (c *showTicket) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	n, err := strconv.ParseUint(f.Arg(0), 10, 64)
	if err != nil || f.NArg() != 1 {
		return c.usage("ticket needs one NUMBER")
	}
	api, key, err := c.connect()
	if err != nil {
		return c.usage("%v", err)
	}
	rec, err := api.ShowTicket(ctx, &gen.ShowTicketPayload{Key: key, Number: n})
	if err != nil {
		return c.fail(err)
	}
	c.print(rec)
	return subcommands.ExitSuccess
}

type listTickets struct {
	outputs
	apiFlags
	after uint64
	limit int
}

func (*listTickets) Name() string     { return "tickets" }
func (*listTickets) Synopsis() string { return "list tickets" }
func (*listTickets) Usage() string    { return "papayaspan tickets [flags]\n" }
func (c *listTickets) SetFlags(f *flag.FlagSet) {
	c.apiFlags.setFlags(f)
	f.Uint64Var(&c.after, "after", 0, "list tickets with a greater number")
	f.IntVar(&c.limit, "limit", 100, "list at most so many")
}

func (c *listTickets) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	api, key, err := c.connect()
	if err != nil {
		return c.usage("%v", err)
	}
	list, err := api.ListTickets(ctx, &gen.ListTicketsPayload{Key: key, After: c.after, Limit: c.limit})
	if err != nil {
		return c.fail(err)
	}
	if c.json {
		bodies := make([]*server.ShowTicketResponseBody, len(list))
		for i, rec := range list {
			bodies[i] = server.NewShowTicketResponseBody(rec)
		}
		printJSON(c.out, bodies)
		return subcommands.ExitSuccess
	}
	rows := make([][]string, len(list))
	for i, rec := range list {
		rows[i] = []string{strconv.FormatUint(rec.Number, 10), rec.FiledAt, rec.Operator, rec.ClientID, rec.Status, rec.Comment}
	}
	printTable(c.out, []string{"NUMBER", "FILED", "OPERATOR", "CLIENT ID", "STATUS", "COMMENT"}, rows)
	return subcommands.ExitSuccess
}

// keySecretBytes is the length of the random part of a new key.
const keySecretBytes = 32

type issueKey struct {
	ticketFiler
	account, id string
}

func (*issueKey) Name() string     { return "issue-key" }
func (*issueKey) Synopsis() string { return "issue a key by a ticket and print its secret once" }
func (*issueKey) Usage() string {
	return "papayaspan issue-key [flags] -account ID -id KEYID\n  The secret is printed once and kept nowhere.\n"
}
func (c *issueKey) SetFlags(f *flag.FlagSet) {
	c.ticketFiler.setFlags(f)
	f.StringVar(&c.account, "account", "", "client account `id`")
	f.StringVar(&c.id, "id", "", "key `id`")
}

func (c *issueKey) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.account == "" || c.id == "" {
		return c.usage("issue-key needs -account and -id")
	}
	raw := make([]byte, keySecretBytes)
	_, _ = rand.Read(raw)
	secret := "pk-" + base64.RawURLEncoding.EncodeToString(raw)
	// The secret is printed before the ticket is filed, so that the operator has
	// it even if the response is lost.
	fmt.Fprintln(c.out, "secret:", secret)
	key := &gen.Key{ID: c.id, Account: c.account, Hash: account.HashSecret(secret)}
	return c.file(ctx, &gen.FileTicketPayload{
		ClientID: "issue-key-" + uuid.NewString(),
		Comment:  "issue key " + c.id,
		Keys:     &gen.KeyChanges{Set: []*gen.Key{key}},
	})
}

type withdrawKey struct {
	ticketFiler
}

func (*withdrawKey) Name() string     { return "withdraw-key" }
func (*withdrawKey) Synopsis() string { return "withdraw a key by a ticket" }
func (*withdrawKey) Usage() string    { return "papayaspan withdraw-key [flags] KEYID\n" }
func (c *withdrawKey) SetFlags(f *flag.FlagSet) {
	c.ticketFiler.setFlags(f)
}

func (c *withdrawKey) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.usage("withdraw-key needs one KEYID")
	}
	return c.file(ctx, &gen.FileTicketPayload{
		ClientID: "withdraw-key-" + uuid.NewString(),
		Comment:  "withdraw key " + f.Arg(0),
		Keys:     &gen.KeyChanges{Remove: []string{f.Arg(0)}},
	})
}
