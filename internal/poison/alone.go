package poison

import (
	"context"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/vm"
)

var errAlone = errors.New("there is no other VM")

// Alone implements Peers for a deployment of one VM.
type Alone vm.ID

// Roster implements Peers.
func (a Alone) Roster() Roster { return Roster{Version: 1, Members: []vm.ID{vm.ID(a)}} }

// Acquire implements Peers.
func (Alone) Acquire(context.Context, vm.ID, AcquireRequest) (Decision, error) {
	return Decision{}, errAlone
}

// Finish implements Peers.
func (Alone) Finish(context.Context, vm.ID, Finish) error { return errAlone }

// Announce implements Peers.
func (Alone) Announce(context.Context, vm.ID, Announcement) (Ack, error) { return Ack{}, errAlone }

// Reserve implements Peers.
func (Alone) Reserve(context.Context, vm.ID, backend.ID, Content) (bool, error) {
	return false, errAlone
}

// Suspects implements Peers.
func (Alone) Suspects(context.Context, vm.ID) ([]Announcement, error) { return nil, errAlone }

// Refresh implements Peers.
func (Alone) Refresh(context.Context) {}
