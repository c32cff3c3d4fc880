package poison

import (
	"context"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/vm"
)

var errSingleVM = errors.New("there is no other VM")

// Alone implements Peers for a deployment with a single VM.
type Alone vm.ID

// Roster implements Peers.
func (a Alone) Roster() Roster { return Roster{Version: 1, Members: []vm.ID{vm.ID(a)}} }

// Acquire implements Peers.
func (Alone) Acquire(context.Context, vm.ID, AcquireRequest) (Decision, error) {
	return Decision{}, errSingleVM
}

// Finish implements Peers.
func (Alone) Finish(context.Context, vm.ID, Finish) error { return errSingleVM }

// Announce implements Peers.
func (Alone) Announce(context.Context, vm.ID, Announcement) (Ack, error) { return Ack{}, errSingleVM }

// Reserve implements Peers.
func (Alone) Reserve(context.Context, vm.ID, backend.ID, Content) (bool, error) {
	return false, errSingleVM
}

// Suspects implements Peers.
func (Alone) Suspects(context.Context, vm.ID) ([]Announcement, error) { return nil, errSingleVM }

// Refresh implements Peers.
func (Alone) Refresh(context.Context) {}
