package node

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/lease"
	"papayaspan.dev/papayaspan/internal/order"
)

// handover keeps the orders of two holders of the order lease to the same engine a lease apart,
// where engines don't check fencing tokens. A holder orders only engines that its row in the store
// lists, so the next holder knows which ones these are even if the holder was killed, and orders the
// others at once. A nil handover permits all orders.
type handover struct {
	lease time.Duration

	mu sync.Mutex
	// fencing is the fencing token of this VM's last term.
	fencing lease.Fencing
	// listed holds the engines that the row lists, whichever of this VM's writes were applied;
	// written is what the last write lists.
	listed, written map[backend.ID]bool
	// reserved are the engines that are ordered next, and ordered holds when this VM last
	// ordered an engine.
	reserved []backend.ID
	ordered  map[backend.ID]time.Time
	// earlier holds from when the engines may be ordered that earlier holders may have ordered;
	// allFrom is the same for all engines if it isn't known which ones these are.
	earlier map[backend.ID]time.Time
	allFrom time.Time
}

// handoverNote is the note in the row of the order lease. It lists the engines that may have been
// ordered within the last lease.
type handoverNote struct {
	Engines []backend.ID `json:"engines"`
	// All is set if it isn't known which engines these are.
	All bool `json:"all,omitempty"`
}

func newHandover(duration time.Duration) *handover {
	return &handover{lease: duration, listed: map[backend.ID]bool{}, ordered: map[backend.ID]time.Time{}, earlier: map[backend.ID]time.Time{}}
}

// orderSpacing is the least time from an order of one holder to an order of the next one. An order
// may arrive some time after it was recorded.
func (h *handover) orderSpacing() time.Duration { return h.lease + order.MaxSend/2 }

// readNote returns the note of the row of another term. Rows of earlier builds have none, and a row
// from an older copy of the store doesn't show what happened after.
func readNote(r lease.Row) handoverNote {
	if r.NeverHeld() {
		return handoverNote{}
	}
	var note handoverNote
	if !r.Current() || json.Unmarshal([]byte(r.Record.Note), &note) != nil {
		return handoverNote{All: true}
	}
	return note
}

// note returns the note for a write that replaces a row.
func (h *handover) note(replaced lease.Row, now time.Time) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.prune(now)
	note := handoverNote{All: !h.allFrom.IsZero()}
	h.written = map[backend.ID]bool{}
	for _, id := range h.reserved {
		h.written[id] = true
	}
	for id := range h.ordered {
		h.written[id] = true
	}
	for id := range h.earlier {
		h.written[id] = true
	}
	if !h.isOwn(replaced) {
		other := readNote(replaced)
		note.All = note.All || other.All
		for _, id := range other.Engines {
			h.written[id] = true
		}
	}
	note.Engines = slices.Sorted(maps.Keys(h.written))
	data, err := json.Marshal(note)
	if err != nil {
		return ""
	}
	return string(data)
}

// prune drops what no longer delays an order.
func (h *handover) prune(now time.Time) {
	maps.DeleteFunc(h.ordered, func(_ backend.ID, at time.Time) bool { return now.Sub(at) > h.orderSpacing() })
	maps.DeleteFunc(h.earlier, func(_ backend.ID, from time.Time) bool { return !now.Before(from) })
	if !now.Before(h.allFrom) {
		h.allFrom = time.Time{}
	}
}

// recordWrite records whether the last write is known to have been applied.
func (h *handover) recordWrite(applied bool) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.written == nil:
	case applied:
		h.listed = h.written
	default:
		maps.DeleteFunc(h.listed, func(id backend.ID, _ bool) bool { return !h.written[id] })
	}
	h.written = nil
}

// begin begins a term that has replaced the given row. The engines that earlier holders may have
// ordered may be ordered from the given time on. It returns these engines.
func (h *handover) begin(replaced lease.Row, fencing lease.Fencing, from time.Time) []backend.ID {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	own := h.isOwn(replaced)
	h.fencing = fencing
	if own {
		return nil
	}
	note := readNote(replaced)
	for _, id := range note.Engines {
		h.earlier[id] = laterOf(h.earlier[id], from)
	}
	if note.All {
		h.allFrom = laterOf(h.allFrom, from)
	}
	return note.Engines
}

// isOwn reports whether a row shows that nobody has held the lease since this VM's last term.
func (h *handover) isOwn(r lease.Row) bool {
	return h.fencing != 0 && r.Record.Fencing == h.fencing && r.Current()
}

// extend continues the term under a greater fencing token.
func (h *handover) extend(fencing lease.Fencing) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fencing = fencing
}

// reserve sets the engines that are ordered next, and reports whether the row lists them all.
func (h *handover) reserve(ids []backend.ID) bool {
	if h == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reserved = ids
	return !slices.ContainsFunc(ids, func(id backend.ID) bool { return !h.listed[id] })
}

// lists reports whether the row lists an engine.
func (h *handover) lists(id backend.ID) bool {
	if h == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.listed[id]
}

// blocked reports whether an engine must not be ordered yet because an earlier holder may have
// ordered it.
func (h *handover) blocked(id backend.ID, now time.Time) bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Before(h.earlier[id]) || now.Before(h.allFrom)
}

// admit reports whether an engine may be ordered now, and records the order.
func (h *handover) admit(id backend.ID, now time.Time) bool {
	if h == nil {
		return true
	}
	if h.blocked(id, now) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.listed[id] {
		return false
	}
	h.ordered[id] = now
	return true
}
