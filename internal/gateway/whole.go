package gateway

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/hop"
	"papayaspan.dev/papayaspan/internal/logging"
	"papayaspan.dev/papayaspan/internal/selector"
)

// minEmptyResumptions is the number of servers that must end a resumed stream without a further
// event before its end counts as the end of the stream. A server that is in trouble may do so too.
const minEmptyResumptions = 2

const errRunEnded = "the server's run ended with its response"

// checkStreamEnd returns a failure if the end of a server's event stream isn't the end of the
// stream. relayed is set if it brought events that the caller didn't have.
func (a *attempt) checkStreamEnd(caller context.Context, resp *http.Response, resumed, relayed bool) *failure {
	switch {
	case !hop.Framed(resp) && !relayed && !a.t.begun:
		return a.sentFailure(caller, "stream_cut", errors.Wrap(io.ErrUnexpectedEOF, "the connection closed before the first event"))
	case !hop.Framed(resp):
		if f := a.checkUnframedEnd(caller, nil); f != nil {
			return f
		}
	}
	if !resumed || relayed {
		return nil
	}
	if a.t.emptyResumptions++; a.t.emptyResumptions >= minEmptyResumptions {
		return nil
	}
	f := a.sentFailure(caller, "resume_empty", errors.New("the resumed stream ended without a further event"))
	a.result = selector.Neutral
	return f
}

// checkUnframedEnd returns a failure if a response that ended with its connection may not be whole.
// The connections of a server that crashes end in the same way, and a server that answers twice
// writes its second answer behind the first.
func (a *attempt) checkUnframedEnd(caller context.Context, body []byte) *failure {
	matches := func(r *http.Response) bool { return a.t.g.opts.Dialect.Matches(a.t.call, r) }
	if hop.ContainsResponse(body, a.t.call.Method, matches) {
		return a.sentFailure(caller, "answer_repeated", errors.New("another response follows the body"))
	}
	e := a.candidate.Entry
	known := a.t.g.opts.Directory.View().Server(e.ID)
	restarted := known != nil && known.Started != e.Started
	if restarted || a.t.g.refusesConnections(e, a.connectionLimit()) {
		return a.sentFailure(caller, "answer_cut", errors.Wrap(io.ErrUnexpectedEOF, errRunEnded))
	}
	if a.service.Engine != nil && a.runEnded(caller) {
		return a.sentFailure(caller, "answer_cut", errors.Wrap(io.ErrUnexpectedEOF, errRunEnded))
	}
	return nil
}

// runEnded asks an engine that accepts connections for its run. One that is back at once after a crash
// reports another run than the one that responded. Without a report, it counts as the same.
func (a *attempt) runEnded(caller context.Context) bool {
	e, g := a.candidate.Entry, a.t.g
	check := g.checkRun(e, g.opts.Now())
	select {
	case <-check.done:
	case <-caller.Done():
		return true // The caller has left, or its time is over.
	}
	if check.err != nil {
		g.opts.Log.Info("run_not_reported", zap.String("request_id", a.t.call.ID), zap.String("server", string(e.ID)),
			zap.Int64("server_started", e.Started), logging.Error(check.err))
		return false
	}
	return check.started != e.Started
}
