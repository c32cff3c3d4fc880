package poison

import (
	"context"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/crashcause"
	"papayaspan.dev/papayaspan/internal/vm"
)

var errSingleVM = errors.New("there is no other VM")

// SingleVM implements Peers for a deployment with a single VM.
type SingleVM vm.ID

// Roster implements Peers.
func (a SingleVM) Roster() Roster { return Roster{Version: 1, Members: []vm.ID{vm.ID(a)}} }

// Acquire implements Peers.
func (SingleVM) Acquire(context.Context, vm.ID, AcquireRequest) (Decision, error) {
	return Decision{}, errSingleVM
}

// Finish implements Peers.
func (SingleVM) Finish(context.Context, vm.ID, Finish) error { return errSingleVM }

// Announce implements Peers.
func (SingleVM) Announce(context.Context, vm.ID, Announcement) (Ack, error) {
	return Ack{}, errSingleVM
}

// Reserve implements Peers.
func (SingleVM) Reserve(context.Context, vm.ID, backend.ID, Content) (bool, error) {
	return false, errSingleVM
}

// Suspects implements Peers.
func (SingleVM) Suspects(context.Context, vm.ID) ([]Announcement, error) { return nil, errSingleVM }

// Exchange implements Peers.
func (SingleVM) Exchange(context.Context, vm.ID, vm.ID, *crashcause.Notices) (*crashcause.Notices, error) {
	return nil, errSingleVM
}

// Refresh implements Peers.
func (SingleVM) Refresh(context.Context) {}
