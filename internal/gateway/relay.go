package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/hop"
	"papayaspan.dev/papayaspan/internal/logging"
	"papayaspan.dev/papayaspan/internal/membudget"
	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/sse"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// maxBufferedBytes is the size up to which a response is buffered until it is complete,
// so that another attempt can replace one that is cut off.
const maxBufferedBytes = 256 << 10

// relayResponse relays the response, or returns the failure if it can't be relayed.
func (a *attempt) relayResponse(caller context.Context, resp *http.Response) *failure {
	t := a.t
	head := t.g.opts.Dialect.Head(a.candidate.Entry.ID, resp)
	a.inFlight.DataReceived()
	a.recordRateLimit(head)
	a.recordLeaving(head)
	a.recordBackoff(resp, head)
	a.tellOpener(head)
	if head.WeightsVersion > 0 && t.call.Model != "" {
		t.g.opts.Directory.SetWeights(a.candidate.Entry.ID, a.candidate.Entry.Started, t.call.Model, head.WeightsVersion, t.g.opts.Now())
	}
	if head.NotRun || head.Misdirected || head.WrongWeights {
		return a.declinedFailure(resp, head)
	}
	a.inFlight.Accept()
	if !head.Signed {
		return a.sentFailure(caller, "unsigned_answer", errors.Errorf("status %d without a signature", resp.StatusCode))
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		a.result = selector.Failed
		if t.begun || t.route.Repeatable() && t.sends < t.route.MaxAttempts && t.timeLeft() > minAttemptTime {
			return a.serverErrorFailure(caller, resp)
		}
	}
	if resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return a.relayStream(caller, resp)
	}
	if t.begun {
		return a.sentFailure(caller, "resume_declined", errors.Errorf("status %d", resp.StatusCode))
	}
	return a.relayWhole(caller, resp)
}

// recordLeaving records that the server's run leaves, as its response states. The response may be
// an error: a leaving server says so in all of them.
func (a *attempt) recordLeaving(head Head) {
	t, e := a.t, a.candidate.Entry
	switch {
	case head.Misdirected:
		return // The response is another server's.
	case head.LeavingErr != nil:
		t.g.opts.Log.Warn("server_leaving_malformed", zap.String("request_id", t.call.ID),
			zap.String("server", string(e.ID)), logging.Error(head.LeavingErr))
		return
	case !head.Leaving || t.g.opts.Directory.MarkDrained(e.ID, e.Started, t.g.opts.Now()) == nil:
		return
	}
	t.g.meters.leaves.Inc(1)
	t.g.opts.Log.Info("server_says_leaving", append(a.answeringRun(), zap.String("request_id", t.call.ID), zap.String("server", string(e.ID)))...)
	t.g.opts.NotifyPeers()
}

// tellOpener tells the VM that opened the connection, if that is another one, what the server asks of
// it.
func (a *attempt) tellOpener(head Head) {
	if asked := (hop.Asked{Backoff: head.Backoff, Leaves: head.Leaving}); asked != (hop.Asked{}) && !head.Misdirected {
		a.conn.Tell(asked)
	}
}

// answeringRun returns, for logs, the run to which the server's response is attributed, the one that
// the directory shows now, and how old the connection is and the run's last own proof: a connection
// that is younger than the proof may lead to a later run.
func (a *attempt) answeringRun() []zap.Field {
	g, e := a.t.g, a.candidate.Entry
	fields := []zap.Field{
		zap.Int64("server_started", e.Started), zap.Stringer("server_revision", e.Revision),
		zap.Duration("connection_age", a.conn.Age()), zap.Bool("connection_reused", a.conn.Reused),
	}
	if provedAt, doubted := g.opts.Servers.RunProof(selector.KeyOf(e)); !provedAt.IsZero() {
		fields = append(fields, zap.Duration("run_proof_age", g.opts.Now().Sub(provedAt)), zap.Bool("run_doubted", doubted))
	}
	if known := g.opts.Directory.View().Server(e.ID); known != nil {
		fields = append(fields, zap.Int64("known_started", known.Started), zap.Stringer("known_revision", known.Revision), zap.String("known_state", string(known.State)))
	}
	return fields
}

// declinedFailure returns the failure of a request that the server guarantees not to
// have run.
func (a *attempt) declinedFailure(resp *http.Response, head Head) *failure {
	f := &failure{code: "declined", sent: true, err: errors.Errorf("status %d", resp.StatusCode)}
	a.result = selector.Failed
	switch {
	case head.WrongWeights:
		f.code = "other_weights"
		a.result = selector.Neutral
		a.t.sends--
	case head.Misdirected:
		f.code = "misdirected"
		a.result = selector.Misdirected
		a.t.sends--
	default:
		a.t.g.opts.RateLimits.RecordRefusal(selector.KeyOf(a.candidate.Entry))
		a.recordFull(resp, head)
	}
	return f
}

// serverErrorFailure returns the failure of a request that the server ran
// unsuccessfully. A short response is kept for the caller in case no attempt brings a
// better one.
func (a *attempt) serverErrorFailure(caller context.Context, resp *http.Response) *failure {
	held, release := a.t.g.holdResponse()
	body, ended, err := membudget.Read(resp.Body, maxBufferedBytes, held)
	if err != nil {
		release()
		return a.sentFailure(caller, "answer_cut", err)
	}
	f := &failure{code: "server_error", err: errors.Errorf("status %d", resp.StatusCode), sent: true, mayHaveRun: true}
	if !ended {
		release()
		return f // A truncated body must not be passed on as the whole.
	}
	if a.t.fallback != nil {
		a.t.fallback.release()
	}
	a.t.fallback = &fallbackResponse{status: resp.StatusCode, header: resp.Header, body: body, release: release}
	return f
}

// relayWhole relays a response that is not an event stream.
func (a *attempt) relayWhole(caller context.Context, resp *http.Response) *failure {
	t := a.t
	held, release := a.t.g.holdResponse()
	defer release()
	body, ended, err := membudget.Read(resp.Body, maxBufferedBytes, held)
	if err != nil {
		return a.sentFailure(caller, "answer_cut", err)
	}
	if !hop.Framed(resp) {
		if f := a.checkUnframedEnd(caller, body); f != nil {
			return f
		}
	}
	a.inFlight.FirstByte(t.g.model().PrefillRate)
	t.recordFirstByte(resp.StatusCode)
	if ended {
		a.recordServed()
		if err := t.sink.Answer(resp.StatusCode, resp.Header, body); err != nil {
			t.outcome.reason = "caller_gone"
		}
		return nil
	}
	if err := t.sink.Begin(resp.StatusCode, resp.Header); err != nil {
		return a.sentFailure(caller, "caller_gone", err)
	}
	t.begun = true
	t.keepOnStop()
	if err := t.sink.WriteBody(body); err != nil {
		return a.sentFailure(caller, "caller_gone", err)
	}
	release()
	buf := make([]byte, 32<<10)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if werr := t.sink.WriteBody(buf[:n]); werr != nil {
				return a.sentFailure(caller, "caller_gone", werr)
			}
		}
		if err == io.EOF && !hop.Framed(resp) {
			if f := a.checkUnframedEnd(caller, nil); f != nil {
				return f
			}
		}
		if err == io.EOF {
			a.recordServed()
			return nil
		}
		if err != nil {
			return a.sentFailure(caller, "answer_cut", err)
		}
	}
}

// recordServed records that the server ran the call to its end.
func (a *attempt) recordServed() {
	if a.result == selector.Neutral {
		a.result = selector.Succeeded
	}
	a.t.ran = verdict.Ran
	a.t.g.opts.CrashCauses.RecordSuccess(a.t.traits(), a.candidate.Weights(a.t.call.Model))
}

// recordBegun records once that the server has survived the begin of the stream.
func (a *attempt) recordBegun() {
	if first := a.firstEventAt.Load(); a.survivedBegin || a.t.g.opts.Now().Sub(*first) < beginTime {
		return
	}
	a.survivedBegin = true
	a.t.g.opts.CrashCauses.RecordBegun(a.t.traits(), a.candidate.Weights(a.t.call.Model))
}

// recordFirstByte records the status and the time to the first byte of the response.
func (t *task) recordFirstByte(status int) {
	t.outcome.status = status
	if t.firstByte == 0 {
		t.firstByte = t.waited()
		t.g.meters.firstByte[t.route.Kind].Update(t.firstByte.Milliseconds())
	}
}

// relayStream relays an event stream, complete events only. The response head is sent
// with the first event, so that until then another server can take over.
func (a *attempt) relayStream(caller context.Context, resp *http.Response) *failure {
	t := a.t
	events := sse.NewRawReader(resp.Body, 0)
	held, release := t.g.holdResponse()
	defer release()
	if held != nil {
		events.CountMemory(held)
	}
	if !hop.Framed(resp) {
		events.RejectStatusLines()
	}
	resumed := t.lastEvent >= 0
	numbers := a.newSequence()
	defer func() { a.recordSteps(numbers) }()
	first, relayed := true, false
	for {
		event, err := events.Next()
		if err == io.EOF {
			if f := a.checkStreamEnd(caller, resp, resumed, relayed); f != nil {
				return f
			}
			return a.endStream(resp)
		}
		if err != nil {
			return a.sentFailure(caller, "stream_cut", err)
		}
		if resumed && event.ID < 0 && !event.Comment {
			return a.sentFailure(caller, "resume_declined", errors.New("an event without an ID follows in a resumed stream"))
		}
		if first {
			// Engines send the head before they have read the prompt.
			first = false
			now := t.g.opts.Now()
			a.firstEventAt.Store(&now)
			a.inFlight.FirstByte(t.g.model().PrefillRate)
			a.recordStoreUse()
			if t.prompt != nil && t.prompt.Storable() {
				t.g.opts.NotifyPeers()
			}
		}
		a.inFlight.DataReceived()
		a.recordBegun()
		if event.ID >= 0 {
			if t.lastEvent < 0 && numbers.previous < 0 {
				t.g.opts.Origins.RecordFirst(originOf(a.candidate.Entry), string(a.candidate.Entry.ID), event.ID)
			}
			isNew, err := numbers.next(t.lastEvent, event.ID)
			if err != nil {
				return a.outOfOrder(caller, numbers, err)
			}
			if !isNew {
				continue // The caller has received it.
			}
		}
		if f := a.beginAnswer(caller, resp); f != nil {
			return f
		}
		if err := t.sink.WriteBody(event.Bytes); err != nil {
			return a.sentFailure(caller, "caller_gone", err)
		}
		if event.ID >= 0 {
			t.lastEvent, relayed = event.ID, true
			t.outcome.recordEvent(event.ID)
		}
	}
}

// beginAnswer sends the response head unless it has been sent.
func (a *attempt) beginAnswer(caller context.Context, resp *http.Response) *failure {
	t := a.t
	if t.begun {
		return nil
	}
	t.recordFirstByte(resp.StatusCode)
	a.pinStream()
	if err := t.sink.Begin(resp.StatusCode, resp.Header); err != nil {
		return a.sentFailure(caller, "caller_gone", err)
	}
	t.begun = true
	t.keepOnStop()
	return nil
}

func (a *attempt) endStream(resp *http.Response) *failure {
	if !a.t.begun {
		a.t.recordFirstByte(resp.StatusCode)
		if err := a.t.sink.Begin(resp.StatusCode, resp.Header); err != nil {
			a.t.outcome.reason = "caller_gone"
		}
	}
	a.recordServed()
	return nil
}
