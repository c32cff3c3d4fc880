package fleet

import (
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/platform"
)

// State is the serving state that a server announces.
type State string

const (
	// Ready servers take requests.
	Ready State = "ready"
	// Draining servers get no new requests.
	Draining State = "draining"
)

// Entry is the announcement of a backend server. It must not be modified.
type Entry struct {
	ID      backend.ID `json:"id"`
	Service string     `json:"service"`
	// Address is host:port.
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Slots         int    `json:"slots"`
	State         State  `json:"state"`
	// Software is the version of the server's software; empty if it isn't known.
	Software string `json:"software,omitempty"`
	// Started is when the server's process started, in Unix milliseconds by its
	// own clock. It distinguishes the runs of one ID.
	Started int64 `json:"started"`
	// Warmup is the rest of the slow period after the server's start, as of the
	// announcement.
	Warmup time.Duration `json:"warmup,omitempty"`
	// Weights maps each model that an engine holds to its version.
	Weights map[string]uint64 `json:"weights,omitempty"`
	// Revision is the revision of the store's row.
	Revision platform.Revision `json:"revision"`
	// Row is the revision of the run's own newest row if it isn't Revision, as where the row is
	// one of another run.
	Row platform.Revision `json:"row,omitzero"`
	// Gone is set once the server has been removed.
	Gone bool `json:"gone,omitempty"`
	// Hold is set if the row is gone, possibly because of a store outage: a known server
	// counts as present for this grace period, unless it announces itself again.
	Hold time.Duration `json:"hold,omitempty"`
	// Wait is set if the run is known to have ended but has a row again since the store
	// was restored from an older copy. The run is not used for this time, within which
	// the row expires unless the server still renews it.
	Wait time.Duration `json:"wait,omitempty"`
	// DoubtedEra and Ended are the era and the end of the doubt for which Wait is set, as in
	// UnusableRun.
	DoubtedEra platform.Era      `json:"doubted_era,omitempty"`
	Ended      platform.Revision `json:"ended,omitzero"`
	// DrainOverwritten is set if the run is draining although its row says Ready again.
	DrainOverwritten bool `json:"undone,omitempty"`
}

const (
	// maxNameBytes bounds the names in an entry, as the store bounds its keys.
	maxNameBytes = 200
	// maxSlots and maxModels exceed what any server has.
	maxSlots  = 1 << 20
	maxModels = 100
)

// Check reports what keeps an entry from naming a server. Another writer may have written it.
func (e *Entry) Check() error {
	address, err := netip.ParseAddrPort(e.Address)
	switch {
	case err != nil:
		return errors.Wrap(err, "server entry")
	case address.Port() == 0:
		return errors.Errorf("server entry has the address %q without a port", e.Address)
	case e.Slots < 1 || e.Slots > maxSlots:
		return errors.Errorf("server entry has %d slots", e.Slots)
	case e.Started < 0:
		return errors.Errorf("server entry has the start time %d", e.Started)
	case len(e.Weights) > maxModels:
		return errors.Errorf("server entry has %d models", len(e.Weights))
	}
	for _, name := range append(slices.Collect(maps.Keys(e.Weights)), e.Service, e.FailureDomain, e.Software) {
		if len(name) > maxNameBytes {
			return errors.Errorf("server entry has a name of %d bytes", len(name))
		}
	}
	return nil
}

// Update is the state of the servers as known to the store or to another VM.
type Update struct {
	// The update is complete for the revisions above After, up to and including UpTo.
	After platform.Revision `json:"after"`
	UpTo  platform.Revision `json:"up_to"`
	// Whole is set if Entries lists all servers that existed at UpTo.
	Whole   bool    `json:"whole,omitempty"`
	Entries []Entry `json:"entries"`
	// Hold is the grace period for which servers that a whole update doesn't list count
	// as present, unless they announce themselves again.
	Hold time.Duration `json:"-"`
}

// WeightsText formats the weights for logs as "model=version" pairs, sorted and joined by
// commas.
func (e *Entry) WeightsText() string {
	parts := make([]string, 0, len(e.Weights))
	for _, model := range slices.Sorted(maps.Keys(e.Weights)) {
		parts = append(parts, model+"="+strconv.FormatUint(e.Weights[model], 10))
	}
	return strings.Join(parts, ",")
}

// rowRevision returns the revision of the run's own newest row.
func (e *Entry) rowRevision() platform.Revision {
	if e.Row.IsZero() {
		return e.Revision
	}
	return e.Row
}

// doubt returns the doubt of a run for which Wait is set.
func (e *Entry) doubt() UnusableRun {
	era := e.DoubtedEra
	if era == 0 {
		era = e.Revision.Era // Earlier builds don't state it.
	}
	return UnusableRun{ID: e.ID, Started: e.Started, Wait: e.Wait, Era: era, Ended: e.Ended}
}

// Usable reports whether the server may get new requests.
func (e *Entry) Usable() bool { return !e.Gone && e.State == Ready }

// RunID identifies a run of a server.
type RunID struct {
	ID      backend.ID
	Started int64
}

// Run returns the entry's run.
func (e *Entry) Run() RunID { return RunID{ID: e.ID, Started: e.Started} }

// Same reports whether two entries belong to the same run of a server.
func (e *Entry) Same(o *Entry) bool { return e.ID == o.ID && e.Started == o.Started }
