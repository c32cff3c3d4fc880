package gateway

import (
	"math/rand/v2"
	"net/http"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// codeServersRejecting is the code of a request for which all servers have just rejected others as full.
const codeServersRejecting = "servers_rejecting"

// recordFull records that the server has rejected the request as full, and tells other VMs. Servers
// that state what requests they take are left to internal/ratelimit: a brittle or limited one rejects
// what exceeds this VM's part, and one that backs off concerns this VM only.
func (a *attempt) recordFull(resp *http.Response, head Head) {
	t, e := a.t, a.candidate.Entry
	if resp.StatusCode != http.StatusServiceUnavailable || head.Backoff > 0 || head.Leaving ||
		a.candidate.Brittle || head.RateLimit.Brittle || head.RateLimit.Limited || t.place.Counted || t.rejectedForItself() {
		return
	}
	t.g.meters.rejections.Inc(1)
	if !a.inFlight.Reject(rand.Float64()) {
		return
	}
	t.g.opts.Log.Info("server_full", zap.String("request_id", t.call.ID), zap.String("server", string(e.ID)),
		zap.Int64("server_started", e.Started), zap.Int("slots", e.Slots), zap.Int("running", a.candidate.KnownRunning),
		zap.Int("own_running", a.candidate.OwnRunning))
	t.g.opts.NotifyPeers()
}

// rejectedForItself reports whether a server may have rejected the call for its own sake, which says
// nothing about other calls: its deadline passed in the queue, or it exceeds the memory of an engine.
func (t *task) rejectedForItself() bool {
	return t.timeLeft() < minAttemptTime ||
		t.prompt != nil && t.prompt.EngineTokens > 0 && t.call.PromptTokens+t.call.MaxTokens > t.prompt.EngineTokens
}

// rejectingError refuses a request because all servers have just rejected others as full. A stream that
// has begun waits instead, see awaitRoom.
func (t *task) rejectingError(rejecting []selector.Candidate) *verdict.Error {
	t.backoffLeft = rejecting[0].FullFor
	for _, c := range rejecting {
		t.backoffLeft = min(t.backoffLeft, c.FullFor)
	}
	return verdict.RefuseUntil(http.StatusServiceUnavailable, codeServersRejecting, "the backend servers are full", retryDelay(t.backoffLeft, rand.Float64()))
}
