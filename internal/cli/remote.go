package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	goahttp "goa.design/goa/v3/http"

	gen "papayaspan.dev/papayaspan/gen/admin"
	"papayaspan.dev/papayaspan/gen/http/admin/client"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// EnvOperatorKey is the environment variable that contains the operator's key.
const EnvOperatorKey = "PAPAYASPAN_OPERATOR_KEY"

const callTimeout = 15 * time.Second

// apiFlags holds the flags of commands that call the administration API.
type apiFlags struct {
	admin   string
	keyFile string
	json    bool
}

func (r *apiFlags) setFlags(f *flag.FlagSet) {
	f.StringVar(&r.admin, "admin", "http://127.0.0.1:8082", "`URL` of any VM's administration API")
	f.StringVar(&r.keyFile, "operator-key-file", "", "`file` with the operator's key; default the variable "+EnvOperatorKey)
	f.BoolVar(&r.json, "json", false, "print JSON")
}

// key returns the operator's key, from the key file if one is given.
func (r *apiFlags) key() (*string, error) {
	k := os.Getenv(EnvOperatorKey)
	if r.keyFile != "" {
		data, err := os.ReadFile(r.keyFile)
		if err != nil {
			return nil, errors.Wrap(err, "read operator key")
		}
		k = strings.TrimSpace(string(data))
	}
	return &k, nil
}

// client returns the generated client of the administration API.
func (r *apiFlags) client() (*gen.Client, error) {
	u, err := url.Parse(r.admin)
	if err != nil || u.Host == "" {
		return nil, errors.Errorf("-admin %q is not a URL", r.admin)
	}
	doer := &http.Client{Timeout: callTimeout}
	c := client.NewClient(u.Scheme, u.Host, doer, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return gen.NewClient(c.FileTicket(), c.ShowTicket(), c.ListTickets(), c.ShowState(), c.Drain()), nil
}

// connect returns the client and the operator's key.
func (r *apiFlags) connect() (*gen.Client, *string, error) {
	key, err := r.key()
	if err != nil {
		return nil, nil, err
	}
	c, err := r.client()
	return c, key, err
}

// describeError returns the exit code and the message for an error. An error without
// a verdict is a transport failure: the outcome is unknown, unless the connection
// could not be established.
func describeError(err error) (int, string) {
	var f *gen.Failure
	var op *net.OpError
	switch {
	case errors.As(err, &f):
		return describeFailure(f)
	case errors.As(err, &op) && op.Op == "dial":
		return ExitNotRun, "not run: " + err.Error()
	default:
		return ExitMayHaveRun, "outcome unknown: " + err.Error()
	}
}

func describeFailure(f *gen.Failure) (int, string) {
	text := fmt.Sprintf("%s (%s): %s", f.Name, f.Verdict, f.Message)
	if f.RetryAfterSeconds != nil {
		text += fmt.Sprintf("; come back in %d s", *f.RetryAfterSeconds)
	}
	if f.Verdict == verdict.NotRun.String() {
		return ExitNotRun, text
	}
	return ExitMayHaveRun, text
}

// state returns the configuration in force on the VM that serves the request.
func (r *apiFlags) state(ctx context.Context) (*gen.State, error) {
	c, key, err := r.connect()
	if err != nil {
		return nil, err
	}
	return c.ShowState(ctx, &gen.ShowStatePayload{Key: key})
}

// printTable prints rows in aligned columns.
func printTable(w io.Writer, header []string, rows [][]string) {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	_ = tw.Flush()
}

// printJSON prints v with indentation.
func printJSON(w io.Writer, v any) {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}
