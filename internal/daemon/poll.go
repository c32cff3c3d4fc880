package daemon

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/ticket"
	"papayaspan.dev/papayaspan/internal/vm"
)

const (
	pollInterval = 500 * time.Millisecond
	// stalenessBound is the greatest age of the evidence that the
	// configuration is current.
	stalenessBound = 4 * time.Second
)

// poller reads the configuration and the membership list from the platform.
type poller struct {
	store   *ticket.Store
	members platform.Membership
	log     *zap.Logger
	publish func(*config.Snapshot)

	mu      sync.Mutex
	current *config.Snapshot
	readAt  time.Time
	vms     []vm.VM
}

func newPoller(store *ticket.Store, members platform.Membership, log *zap.Logger) *poller {
	return &poller{store: store, members: members, log: log}
}

func (p *poller) run(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		p.poll(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (p *poller) poll(ctx context.Context) {
	begin := time.Now()
	if list, err := p.members.Members(ctx); err == nil {
		p.setMembers(list)
	}
	snap, err := p.store.Load(ctx, p.current)
	if err != nil {
		p.log.Warn("configuration_unread", zap.Error(err))
		return
	}
	p.publish(snap)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current, p.readAt = snap, begin
}

func (p *poller) setMembers(list []platform.Member) {
	var vms []vm.VM
	for _, m := range list {
		if m.Leaving {
			continue
		}
		vms = append(vms, vm.VM{ID: vm.ID(m.ID), FailureDomain: m.FailureDomain, CallerAddress: m.CallerAddress, PeerAddress: m.PeerAddress})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = vms
}

// Fresh implements router.Evidence.
func (p *poller) Fresh(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.readAt) < stalenessBound
}

// VMs implements router.AddressBook.
func (p *poller) VMs(account.ID) []vm.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]vm.VM(nil), p.vms...)
}
