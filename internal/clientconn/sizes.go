package clientconn

import "papayaspan.dev/papayaspan/internal/membudget"

const (
	// memoryDivisor gives the share of the process's memory for heads and bodies. The Go heap may
	// use 0.7 of it, and the process itself uses 20 to 60 MB.
	memoryDivisor = 4
	// responseDivisor gives the share for responses that clients have not read yet.
	responseDivisor = 10
	// smallBytes is the size of the largest honest bodies with a margin for the buffer before the
	// last. smallDivisor gives the part of the budget that is kept for such requests.
	smallBytes   = 160 << 10
	smallDivisor = 4
	// connBytes is what an idle connection takes: a goroutine's stack and two buffers. All
	// connections of a listener may take a seventh of the memory.
	connBytes   = 16 << 10
	connDivisor = 7
)

// NewBudget returns the budget for heads and bodies of a process with the given memory.
func NewBudget(memoryBytes int64) *membudget.Budget {
	return NewBodyBudget(memoryBytes / memoryDivisor)
}

// NewBodyBudget returns a budget for heads and bodies of the given size.
func NewBodyBudget(total int64) *membudget.Budget {
	return membudget.New(membudget.Options{Total: total, Small: smallBytes, KeptForSmall: total / smallDivisor})
}

// NewResponseBudget returns the budget for responses of a process with the given memory.
func NewResponseBudget(memoryBytes int64) *membudget.Budget {
	total := memoryBytes / responseDivisor
	return membudget.New(membudget.Options{Total: total, Small: total})
}

// The shares of a process's descriptors for its listeners. A call may take a descriptor for its
// server too, so callers get less than half.
const (
	CallerShare    = 0.4
	PeerShare      = 0.2
	DirectoryShare = 0.1
	ReadyShare     = 0.05
)

// minConns is the least number of connections of a listener.
const minConns = 8

// MaxConns returns how many connections a listener may have open.
func MaxConns(memoryBytes int64, descriptors int, share float64) int {
	n := memoryBytes / connDivisor / connBytes
	if descriptors > 0 {
		n = min(n, int64(float64(descriptors)*share))
	}
	return int(max(minConns, n))
}
