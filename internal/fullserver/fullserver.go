// Package fullserver decides for how long a server that has rejected a request as full gets no
// further one from a VM.
package fullserver

import "time"

const (
	// minHold is the first hold: within it, a server with a few slots completes a response. In the
	// trial of TestFullServersAreLeftAlone, 100 ms left more capacity unused than 50 ms.
	// maxHold bounds later ones: a VM without requests at the server has no other sign of room.
	minHold = 50 * time.Millisecond
	maxHold = 800 * time.Millisecond
	// holdSpread is the share by which a hold is made longer or shorter, so that VMs don't return
	// at the same time.
	holdSpread = 0.25
	// sameReport is the difference of two reported ends up to which they are those of one hold: the
	// age of a report is known to some milliseconds.
	sameReport = 25 * time.Millisecond
)

// Hold is what a VM knows of one server's rejections. The zero value is a server without any.
type Hold struct {
	// rejections is the number of rejections in a row, where those of requests that were sent before
	// the last rejection count once.
	rejections int
	// rejectedAt is the time of the last counted rejection, and until the end of the VM's own hold.
	rejectedAt, until time.Time
	// acceptedSent is when the last accepted request was sent.
	acceptedSent time.Time
	// reported is the end of the hold that other VMs report; one that ends at ignored or before
	// doesn't apply.
	reported, ignored time.Time
}

// Reject records that the server has rejected a request as full that was sent at the time sent. Draw
// is a random number in [0, 1). It reports whether this is the first rejection in a row.
func (h *Hold) Reject(now, sent time.Time, draw float64) (first bool) {
	if sent.Before(h.acceptedSent) || h.rejections > 0 && !sent.After(h.rejectedAt) {
		return false
	}
	h.rejections++
	hold := min(maxHold, minHold<<min(h.rejections-1, 8))
	h.rejectedAt, h.until = now, now.Add(time.Duration((1-holdSpread+2*holdSpread*draw)*float64(hold)))
	return h.rejections == 1
}

// Accept records that the server runs a request that was sent at the time sent.
func (h *Hold) Accept(sent time.Time) {
	if h.rejections > 0 && sent.After(h.rejectedAt) {
		h.rejections, h.until, h.acceptedSent = 0, time.Time{}, sent
		h.ignored = h.reported
	}
}

// Room records that a response of the server has ended, so that it has room for another request.
func (h *Hold) Room() { h.until, h.ignored = time.Time{}, h.reported }

// Send records that a request is sent. After a rejection, the server gets one request at a time until
// it has accepted one, or until minHold has passed.
func (h *Hold) Send(now time.Time) {
	if end := now.Add(minHold); h.rejections > 0 && end.After(h.until) {
		h.until = end
	}
}

// Report sets the end of the hold that other VMs report; zero if they report none.
func (h *Hold) Report(until time.Time) { h.reported = until }

// OwnLeft returns the time until the end of the VM's own hold, which it reports to other VMs.
func (h *Hold) OwnLeft(now time.Time) time.Duration {
	if h.until.IsZero() {
		return 0
	}
	return max(0, h.until.Sub(now))
}

// Left returns the time for which the server gets no request. room is set if the known requests at the
// server leave it a slot: the holds that others report don't count then. Together they would cover the
// whole time if many VMs send to few servers, and leave a third of their capacity unused.
func (h *Hold) Left(now time.Time, room bool) time.Duration {
	left := h.OwnLeft(now)
	if !room && h.reported.After(h.ignored.Add(sameReport)) {
		left = max(left, min(maxHold, h.reported.Sub(now)))
	}
	return left
}
