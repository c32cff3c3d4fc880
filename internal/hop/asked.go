package hop

import (
	"fmt"
	"time"
)

// Asked is what a server asks of the VM that opened the connection to it.
type Asked struct {
	// Backoff is the time for which it wants no requests; 0 if it doesn't ask for that.
	Backoff time.Duration
	// Leaves is set if it leaves.
	Leaves bool
}

// passedOn is a connection that another VM has opened and passes on.
type passedOn interface {
	// Tell tells that VM what the server asks of it.
	Tell(Asked)
	// Withdrawn reports whether that VM wants no further request on the connection. It must not be
	// called during a read.
	Withdrawn() bool
}

// Tell tells the VM that opened the connection what the server asks of it. It does nothing if that is
// this one.
func (c *Conn) Tell(asked Asked) {
	if p, ok := c.NetConn().(passedOn); ok {
		p.Tell(asked)
	}
}

// Withdrawn reports whether the VM that opened the connection wants no further request on it. The
// server goes on.
func (c *Conn) Withdrawn() bool {
	p, ok := c.NetConn().(passedOn)
	return ok && p.Withdrawn()
}

// WithheldError means that the other VMs may send a server no requests for now. It doesn't tell whether
// the server accepts connections.
type WithheldError struct {
	// Left is the time until the first of them may; 0 if it isn't known.
	Left time.Duration
}

// Error implements error.
func (e *WithheldError) Error() string {
	return fmt.Sprintf("other VMs may send the server no requests now; time left %v", e.Left)
}
