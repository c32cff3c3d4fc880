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
	// listed holds the engines that the row says may be ordered, whichever of this VM's writes were
	// applied; written are those of the last write.
	listed, written map[backend.ID]bool
	// announced holds since when engines are about to be ordered, and ordered when this VM last ordered
	// an engine.
	announced, ordered map[backend.ID]time.Time
	// earlier holds from when the engines may be ordered that earlier holders may have ordered;
	// allFrom is the same for all engines if it isn't known which ones these are.
	earlier map[backend.ID]time.Time
	allFrom time.Time
}

// announcementAge is the age up to which an announced engine stays listed. Its state is read before its
// order is sent.
const announcementAge = 2 * reportTimeout

// handoverNote is the note in the row of the order lease.
type handoverNote struct {
	// Open are the engines that the holder may order until its term ends or it writes the row again.
	// It is never null: notes in other formats don't have it.
	Open []backend.ID `json:"open"`
	// Ordered holds, in milliseconds, how long before the write the other engines may have been ordered
	// last, if that was within the last lease.
	Ordered map[backend.ID]int64 `json:"ordered,omitempty"`
	// All is set if it isn't known which engines were ordered.
	All bool `json:"all,omitempty"`
}

func newHandover(duration time.Duration) *handover {
	return &handover{
		lease: duration, listed: map[backend.ID]bool{},
		announced: map[backend.ID]time.Time{}, ordered: map[backend.ID]time.Time{}, earlier: map[backend.ID]time.Time{},
	}
}

// orderSpacing is the least time from an order of one holder to an order of the next one. An order
// may arrive some time after it was recorded.
func (h *handover) orderSpacing() time.Duration { return h.lease + order.MaxSend/2 }

// readNote returns the note of the row of another term. Rows of earlier builds have none or one in
// another format, and a row from an older copy of the store doesn't show what happened after.
func readNote(r lease.Row) handoverNote {
	if r.NeverHeld() {
		return handoverNote{}
	}
	var note handoverNote
	if !r.Current() || json.Unmarshal([]byte(r.Record.Note), &note) != nil || note.Open == nil {
		return handoverNote{All: true}
	}
	return note
}

// note returns the note for a write that replaces a row, which was written by the given time.
func (h *handover) note(replaced lease.Row, by, now time.Time) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.prune(now)
	note := handoverNote{All: !h.allFrom.IsZero(), Ordered: map[backend.ID]int64{}}
	add := func(id backend.ID, last time.Time) {
		age := now.Sub(last).Milliseconds()
		if other, ok := note.Ordered[id]; !ok || age < other {
			note.Ordered[id] = age
		}
	}
	for id, at := range h.ordered {
		add(id, at)
	}
	for id, from := range h.earlier {
		add(id, from.Add(-h.orderSpacing()))
	}
	h.written = map[backend.ID]bool{}
	for id := range h.announced {
		h.written[id] = true
	}
	// The write may take effect at any time from now on.
	maps.DeleteFunc(h.listed, func(id backend.ID, _ bool) bool { return !h.written[id] })
	open := maps.Clone(h.written)
	if !h.isOwn(replaced) {
		other := readNote(replaced)
		note.All = note.All || other.All
		for _, id := range other.Open {
			open[id] = true
		}
		for id, age := range other.Ordered {
			add(id, by.Add(-milliseconds(age)))
		}
	}
	note.Open = slices.AppendSeq([]backend.ID{}, maps.Keys(open))
	slices.Sort(note.Open)
	data, err := json.Marshal(note)
	if err != nil {
		return ""
	}
	return string(data)
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// prune drops what no longer delays an order.
func (h *handover) prune(now time.Time) {
	maps.DeleteFunc(h.announced, func(_ backend.ID, at time.Time) bool { return now.Sub(at) > announcementAge })
	maps.DeleteFunc(h.ordered, func(_ backend.ID, at time.Time) bool { return now.Sub(at) > h.orderSpacing() })
	maps.DeleteFunc(h.earlier, func(_ backend.ID, from time.Time) bool { return !now.Before(from) })
	if !now.Before(h.allFrom) {
		h.allFrom = time.Time{}
	}
}

// recordWrite records whether the last write is known to have been applied. Only then are the engines
// listed that it added.
func (h *handover) recordWrite(applied bool) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if applied && h.written != nil {
		h.listed = h.written
	}
	h.written = nil
}

// begin begins a term that has replaced a row, which was written by the given time. The engines that
// its holder could still order then may be ordered from openFrom on. It returns the engines that may
// load.
func (h *handover) begin(replaced lease.Row, fencing lease.Fencing, by, openFrom time.Time) []backend.ID {
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
	ids := note.Open
	for _, id := range note.Open {
		h.earlier[id] = laterOf(h.earlier[id], openFrom)
	}
	for id, age := range note.Ordered {
		from := by.Add(h.orderSpacing() - milliseconds(age))
		if from.After(openFrom) {
			from = openFrom
		}
		h.earlier[id] = laterOf(h.earlier[id], from)
		ids = append(ids, id)
	}
	if note.All {
		h.allFrom = laterOf(h.allFrom, openFrom)
	}
	return ids
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

// announce records that engines are about to be ordered, and reports whether the row already lists
// them all.
func (h *handover) announce(ids []backend.ID, now time.Time) bool {
	if h == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range ids {
		h.announced[id] = now
	}
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
	delete(h.announced, id)
	return true
}
