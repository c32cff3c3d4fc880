package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/serverconn"
)

// maxReplyBytes bounds how much of a reply body the client reads.
const maxReplyBytes = 64 << 20

// Client implements the platform's interfaces over HTTP.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the platform at the base URL.
func NewClient(base string) *Client {
	return &Client{
		base: base,
		http: &http.Client{
			Timeout:   platform.CallTimeout,
			Transport: serverconn.NewTransport(&http.Transport{MaxIdleConnsPerHost: 16}),
		},
	}
}

// Get implements platform.Table.
func (c *Client) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	var reply RowsReply
	err := c.post(ctx, PathGet, GetRequest{Keys: keys}, &reply)
	return reply.Rows, readError(err)
}

// Scan implements platform.Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	var reply RowsReply
	err := c.post(ctx, PathScan, ScanRequest{Prefix: prefix, After: after, Limit: limit}, &reply)
	return reply.Rows, readError(err)
}

// Commit implements platform.Table.
func (c *Client) Commit(ctx context.Context, checks []platform.Check, writes []platform.Write) error {
	return c.post(ctx, PathCommit, CommitRequest{Checks: checks, Writes: writes}, nil)
}

// Members implements platform.Membership.
func (c *Client) Members(ctx context.Context) ([]platform.Member, error) {
	var reply MembersReply
	err := c.do(ctx, http.MethodGet, PathMembers, nil, &reply)
	return reply.Members, readError(err)
}

// Versions implements platform.Weights.
func (c *Client) Versions(ctx context.Context, model string) ([]string, error) {
	var reply WeightsReply
	err := c.do(ctx, http.MethodGet, PathWeights+url.PathEscape(model), nil, &reply)
	return reply.Versions, readError(err)
}

// Objects returns the platform's object store.
func (c *Client) Objects() platform.Objects { return objects{c} }

type objects struct{ c *Client }

// Put implements platform.Objects.
func (o objects) Put(ctx context.Context, name string, data []byte) error {
	return o.c.do(ctx, http.MethodPut, PathObjects+url.PathEscape(name), data, nil)
}

// Get implements platform.Objects.
func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	var raw rawReply
	err := o.c.do(ctx, http.MethodGet, PathObjects+url.PathEscape(name), nil, &raw)
	return raw.data, readError(err)
}

// rawReply receives the undecoded body of a reply.
type rawReply struct{ data []byte }

func (c *Client) post(ctx context.Context, path string, request, reply any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "encode platform request")
	}
	return c.do(ctx, http.MethodPost, path, body, reply)
}

// do sends one request and decodes the reply. It returns ErrUnavailable if the
// request failed before its first byte was written, and ErrOutcomeUnknown if it
// failed later.
func (c *Client) do(ctx context.Context, method, path string, body []byte, reply any) error {
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { wrote.Store(true) },
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build platform request")
	}
	req.GetBody = nil // The transport must not send the request a second time.
	resp, err := c.http.Do(req)
	if err != nil {
		if wrote.Load() {
			return errors.Wrap(platform.ErrOutcomeUnknown, err.Error())
		}
		return errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return errors.Wrap(platform.ErrOutcomeUnknown, err.Error())
	}
	return decode(resp.StatusCode, data, reply)
}

func decode(status int, data []byte, reply any) error {
	switch status {
	case http.StatusOK:
	case http.StatusConflict:
		return errors.WithStack(platform.ErrConflict)
	case http.StatusNotFound:
		return errors.WithStack(platform.ErrNotFound)
	case http.StatusServiceUnavailable:
		return errors.WithStack(platform.ErrUnavailable)
	default:
		return errors.Wrapf(platform.ErrOutcomeUnknown, "status %d", status)
	}
	if raw, ok := reply.(*rawReply); ok {
		raw.data = data
		return nil
	}
	if reply == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, reply), "decode platform reply")
}

// readError maps the unknown outcome of a read to ErrUnavailable, as a read
// has no effect.
func readError(err error) error {
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		return errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	return err
}
