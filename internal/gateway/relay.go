package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/sse"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// holdBytes is up to which size an answer is held back until it is whole, so that
// another attempt may replace one that is cut off.
const holdBytes = 256 << 10

// answer relays the answer, or returns why it can't be.
func (a *attempt) answer(caller context.Context, resp *http.Response) *failure {
	t := a.t
	head := t.g.opts.Dialect.Head(a.c.Entry.ID, resp)
	a.run.Heard()
	a.noteRateLimit(head)
	if head.WeightsVersion > 0 && t.call.Model != "" {
		t.g.opts.Directory.SetWeights(a.c.Entry.ID, a.c.Entry.Started, t.call.Model, head.WeightsVersion, t.g.opts.Now())
	}
	if head.NotRun || head.Misdirected || head.OtherWeights {
		return a.declined(resp, head)
	}
	if !head.Sealed {
		return a.lost(caller, "unsigned_answer", errors.Errorf("status %d without a signature", resp.StatusCode))
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		a.conduct = selector.Failed
		if t.begun || t.route.Repeatable() && t.sends < t.route.MaxAttempts && t.left() > minAttempt {
			return a.serverError(caller, resp)
		}
	}
	if resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return a.relayStream(caller, resp)
	}
	if t.begun {
		return a.lost(caller, "resume_declined", errors.Errorf("status %d", resp.StatusCode))
	}
	return a.relayWhole(caller, resp)
}

// declined returns the failure of a request that the server promises not to have
// run.
func (a *attempt) declined(resp *http.Response, head Head) *failure {
	f := &failure{code: "declined", sent: true, err: errors.Errorf("status %d", resp.StatusCode)}
	a.conduct = selector.Failed
	switch {
	case head.OtherWeights:
		f.code = "other_weights"
		a.conduct = selector.Neutral
		a.t.sends--
	case head.Misdirected:
		f.code = "misdirected"
		a.conduct = selector.Misdirected
		a.t.sends--
	}
	return f
}

// serverError returns the failure of a request that the server ran without
// success; its answer is kept for the case that no better one comes, if it is short.
func (a *attempt) serverError(caller context.Context, resp *http.Response) *failure {
	body, err := io.ReadAll(io.LimitReader(resp.Body, holdBytes+1))
	if err != nil {
		return a.lost(caller, "answer_cut", err)
	}
	f := &failure{code: "server_error", err: errors.Errorf("status %d", resp.StatusCode), sent: true, mayHaveRun: true}
	if len(body) > holdBytes {
		return f // A part of it must not be passed on as the answer.
	}
	a.t.spare = &spareAnswer{status: resp.StatusCode, header: resp.Header, body: body}
	return f
}

// relayWhole relays an answer that is not a stream of events.
func (a *attempt) relayWhole(caller context.Context, resp *http.Response) *failure {
	t := a.t
	body, err := io.ReadAll(io.LimitReader(resp.Body, holdBytes+1))
	if err != nil {
		return a.lost(caller, "answer_cut", err)
	}
	a.run.Answered(t.g.model().PrefillRate)
	t.note(resp.StatusCode)
	if len(body) <= holdBytes {
		a.served()
		if err := t.sink.Answer(resp.StatusCode, resp.Header, body); err != nil {
			t.outcome.reason = "caller_gone"
		}
		return nil
	}
	if err := t.sink.Begin(resp.StatusCode, resp.Header); err != nil {
		return a.lost(caller, "caller_gone", err)
	}
	t.begun = true
	if err := t.sink.Piece(body); err != nil {
		return a.lost(caller, "caller_gone", err)
	}
	buf := make([]byte, 32<<10)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if werr := t.sink.Piece(buf[:n]); werr != nil {
				return a.lost(caller, "caller_gone", werr)
			}
		}
		if err == io.EOF {
			a.served()
			return nil
		}
		if err != nil {
			return a.lost(caller, "answer_cut", err)
		}
	}
}

func (a *attempt) served() {
	if a.conduct == selector.Neutral {
		a.conduct = selector.Good
	}
	a.t.ran = verdict.Ran
	a.t.g.opts.Suspects.Served(a.t.content())
}

// note records the first byte of the answer.
func (t *task) note(status int) {
	t.outcome.status = status
	if t.firstByte == 0 {
		t.firstByte = t.waited()
		t.g.meters.firstByte[t.route.Kind].Update(t.firstByte.Milliseconds())
	}
}

// relayStream relays events, whole ones only. The head goes out with the first
// event, so that another server may still answer before.
func (a *attempt) relayStream(caller context.Context, resp *http.Response) *failure {
	t := a.t
	events := sse.NewRawReader(resp.Body, 0)
	first := true
	for {
		event, err := events.Next()
		if err == io.EOF {
			return a.endStream(resp)
		}
		if err != nil {
			return a.lost(caller, "stream_cut", err)
		}
		if first {
			// Engines send the head before they have read the prompt.
			first = false
			a.read.Store(true)
			a.run.Answered(t.g.model().PrefillRate)
			a.noteStore()
			if t.prompt != nil && t.prompt.Keepable() {
				t.g.opts.Tell()
			}
		}
		a.run.Heard()
		if event.ID >= 0 && event.ID <= t.lastEvent {
			continue // The caller has it.
		}
		if f := a.begin(caller, resp); f != nil {
			return f
		}
		if err := t.sink.Piece(event.Bytes); err != nil {
			return a.lost(caller, "caller_gone", err)
		}
		if event.ID >= 0 {
			t.lastEvent = event.ID
		}
	}
}

func (a *attempt) begin(caller context.Context, resp *http.Response) *failure {
	t := a.t
	if t.begun {
		return nil
	}
	t.note(resp.StatusCode)
	if err := t.sink.Begin(resp.StatusCode, resp.Header); err != nil {
		return a.lost(caller, "caller_gone", err)
	}
	t.begun = true
	return nil
}

func (a *attempt) endStream(resp *http.Response) *failure {
	if !a.t.begun {
		a.t.note(resp.StatusCode)
		if err := a.t.sink.Begin(resp.StatusCode, resp.Header); err != nil {
			a.t.outcome.reason = "caller_gone"
		}
	}
	a.served()
	return nil
}
