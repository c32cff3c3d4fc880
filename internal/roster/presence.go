package roster

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/vm"
)

// presencePrefix is the prefix of the presence rows' keys.
const presencePrefix = "vm/"

// PresenceKey returns the key of a VM's presence row.
func PresenceKey(id vm.ID) string { return presencePrefix + string(id) }

// Presence is the row that a VM renews while it runs.
type Presence struct {
	VM vm.VM `json:"vm"`
	// Head is what the VM has in force: its acknowledgement.
	Head head.Head `json:"head"`
	// Left is set by a VM that has stopped serving for good.
	Left bool `json:"left,omitempty"`
	// RenewedAt is the wall-clock time at the VM.
	RenewedAt time.Time `json:"renewed_at"`
}

// DecodePresence parses a presence row.
func DecodePresence(row platform.Row) (Presence, error) {
	var p Presence
	err := json.Unmarshal(row.Value, &p)
	return p, errors.Wrapf(err, "decode %s", row.Key)
}

const (
	// renewals is the rate of presence renewals over all VMs together, a
	// second.
	renewals = 140
	// minRenewInterval is the renewal interval of a small fleet.
	minRenewInterval = 1 * time.Second
)

// RenewInterval returns how often a VM renews its presence row.
func RenewInterval(members int) time.Duration {
	return max(minRenewInterval, time.Duration(members)*time.Second/renewals)
}

const (
	// minExpiry is how old a presence may be in a small fleet.
	minExpiry = 5 * time.Second
	// missedRenewals is how many renewals may be missed in a large fleet.
	missedRenewals = 3
	// minSettled is how long a row must have been watched unchanged in a small
	// fleet, so that one VM's wrong wall clock alone does not expel it.
	minSettled = 2 * time.Second
)

// Expiry returns how old a presence may be before the VM may be expelled.
func Expiry(members int) time.Duration {
	return max(minExpiry, missedRenewals*RenewInterval(members))
}

// settled returns how long a presence row must have been watched unchanged.
func settled(members int) time.Duration {
	return max(minSettled, 2*RenewInterval(members))
}

// Watch remembers when each presence row last changed. Its zero value is
// ready for use.
type Watch struct {
	seen map[vm.ID]watched
	last time.Time
}

type watched struct {
	renewedAt time.Time
	since     time.Time
	// renewed is set if the row was seen to change.
	renewed bool
}

// Observe records a scan of the presence rows. After a break, as in a store
// outage in which nobody could renew, the watch starts again.
func (w *Watch) Observe(rows []Presence, now time.Time) {
	if now.Sub(w.last) > 3*SweepInterval(len(rows)) {
		w.seen = nil
	}
	w.last = now
	next := make(map[vm.ID]watched, len(rows))
	for _, p := range rows {
		old, ok := w.seen[p.VM.ID]
		if !ok || !old.renewedAt.Equal(p.RenewedAt) {
			old = watched{renewedAt: p.RenewedAt, since: now, renewed: ok}
		}
		next[p.VM.ID] = old
	}
	w.seen = next
}

// Alive reports whether the VM renews its presence: the row is young, or was
// seen to change and is old only by the VM's wrong wall clock.
func (w *Watch) Alive(p Presence, members int, now time.Time) bool {
	s := w.seen[p.VM.ID]
	if s.renewed && now.Sub(s.since) < settled(members) {
		return true
	}
	return now.Sub(p.RenewedAt) < Expiry(members)
}

// Expired reports whether the presence of a member of a roster of this size is
// old and was watched unchanged.
func (w *Watch) Expired(p Presence, members int, now time.Time) bool {
	s, ok := w.seen[p.VM.ID]
	return ok && now.Sub(s.since) >= settled(members) && now.Sub(p.RenewedAt) >= Expiry(members)
}
