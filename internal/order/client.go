package order

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/lease"
	"papayaspan.dev/papayaspan/internal/openai"
	"papayaspan.dev/papayaspan/internal/serverconn"
)

const (
	pathOrders = "/orders"
	pathLoad   = "/load"
	// answerTimeout bounds the wait for the response to an order. An engine may
	// respond only after the weights are loaded.
	answerTimeout = 5 * time.Second
	readTimeout   = 1 * time.Second
	maxLoadBytes  = 64 << 10
)

// ErrFenced means that the engine has seen a greater fencing token.
var ErrFenced = errors.New("engine refused the fencing token")

// Client sends orders to engines and reads their load reports.
type Client struct {
	reads *http.Client
}

// NewClient returns a Client.
func NewClient() *Client {
	return &Client{reads: &http.Client{Timeout: readTimeout, CheckRedirect: noRedirect, Transport: serverconn.DefaultTransport()}}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Send sends one order. No byte of it is written after the deadline: the order
// has a connection of its own, whose close resets it and discards unsent data.
func (c *Client) Send(ctx context.Context, url string, f lease.Fencing, w Weights, deadline time.Time) error {
	body, err := json.Marshal(openai.Order{Fencing: uint64(f), Weights: w})
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(url, "/")+pathOrders, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "order")
	}
	req.GetBody = nil // prevents the transport from resending the order
	transport := serverconn.NewTransport(&http.Transport{DisableKeepAlives: true, DialContext: BoundedDial(deadline)})
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return errors.Wrap(err, "send order")
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusConflict:
		return errors.WithStack(ErrFenced)
	case resp.StatusCode >= http.StatusMultipleChoices:
		return errors.Errorf("order answered with status %d", resp.StatusCode)
	}
	return nil
}

// BoundedDial returns a dial function for connections that are established and
// written to only before the deadline.
func BoundedDial(deadline time.Time) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		d := net.Dialer{Deadline: deadline, Control: limitRetransmission}
		conn, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return conn, conn.SetWriteDeadline(deadline)
	}
}

// Read reads an engine's load report, which states its weights.
func (c *Client) Read(ctx context.Context, url string) (openai.Load, error) {
	var l openai.Load
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(url, "/")+pathLoad, nil)
	if err != nil {
		return l, errors.Wrap(err, "load report")
	}
	resp, err := c.reads.Do(req)
	if err != nil {
		return l, errors.Wrap(err, "load report")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return l, errors.Errorf("load report answered with status %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxLoadBytes)).Decode(&l)
	return l, errors.Wrap(err, "load report")
}
