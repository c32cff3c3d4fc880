package roster

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/vm"
)

// presencePrefix is the prefix of the keys of presence rows.
const presencePrefix = "vm/"

// PresenceKey returns the key of a VM's presence row.
func PresenceKey(id vm.ID) string { return presencePrefix + string(id) }

// Presence is the row that a VM renews while it runs.
type Presence struct {
	VM vm.VM `json:"vm"`
	// Head is the head that the VM has in force. It acknowledges all tickets
	// up to its number.
	Head head.Head `json:"head"`
	// Left is set once the VM has permanently stopped serving.
	Left bool `json:"left,omitempty"`
	// RenewedAt is the wall-clock time at the VM when it wrote the row.
	RenewedAt time.Time `json:"renewed_at"`
}

// DecodePresence parses a presence row.
func DecodePresence(row platform.Row) (Presence, error) {
	var p Presence
	err := json.Unmarshal(row.Value, &p)
	return p, errors.Wrapf(err, "decode %s", row.Key)
}

const (
	// renewalsPerSecond bounds the rate of presence renewals of all VMs together.
	renewalsPerSecond = 140
	// minRenewInterval is the renewal interval of a small fleet.
	minRenewInterval = 1 * time.Second
)

// RenewInterval returns how often a VM renews its presence row.
func RenewInterval(members int) time.Duration {
	return max(minRenewInterval, time.Duration(members)*time.Second/renewalsPerSecond)
}

const (
	// minExpiry is the age at which a presence expires in a small fleet.
	minExpiry = 5 * time.Second
	// maxMissedRenewals is the number of renewal intervals after which a
	// presence expires in a large fleet.
	maxMissedRenewals = 3
	// minObservation is how long a row must have been observed unchanged in a
	// small fleet. Without it, a wrong wall clock alone would expel a VM.
	minObservation = 2 * time.Second
)

// Expiry returns the age of a presence from which the VM may be expelled.
func Expiry(members int) time.Duration {
	return max(minExpiry, maxMissedRenewals*RenewInterval(members))
}

// observationPeriod returns how long a presence row must have been observed
// unchanged before the VM may be expelled.
func observationPeriod(members int) time.Duration {
	return max(minObservation, 2*RenewInterval(members))
}

// Watch records when each presence row last changed. Its zero value is ready for
// use.
type Watch struct {
	seen map[vm.ID]observation
	last time.Time
}

type observation struct {
	renewedAt      time.Time
	unchangedSince time.Time
	// renewed is set if the row has changed between two scans.
	renewed bool
}

// Observe records a scan of the presence rows. After a gap between scans, as in
// a store outage in which no VM could renew, it discards earlier observations.
func (w *Watch) Observe(rows []Presence, now time.Time) {
	if now.Sub(w.last) > 3*SweepInterval(len(rows)) {
		w.seen = nil
	}
	w.last = now
	next := make(map[vm.ID]observation, len(rows))
	for _, p := range rows {
		old, ok := w.seen[p.VM.ID]
		if !ok || !old.renewedAt.Equal(p.RenewedAt) {
			old = observation{renewedAt: p.RenewedAt, unchangedSince: now, renewed: ok}
		}
		next[p.VM.ID] = old
	}
	w.seen = next
}

// Alive reports whether the VM renews its presence: the row is recent, or it has
// changed between scans and only looks old because the VM's wall clock is wrong.
func (w *Watch) Alive(p Presence, members int, now time.Time) bool {
	s := w.seen[p.VM.ID]
	if s.renewed && now.Sub(s.unchangedSince) < observationPeriod(members) {
		return true
	}
	return now.Sub(p.RenewedAt) < Expiry(members)
}

// Expired reports whether the presence of a member of a roster of this size has
// reached its expiry and has been observed unchanged for the required period.
func (w *Watch) Expired(p Presence, members int, now time.Time) bool {
	s, ok := w.seen[p.VM.ID]
	return ok && now.Sub(s.unchangedSince) >= observationPeriod(members) && now.Sub(p.RenewedAt) >= Expiry(members)
}
