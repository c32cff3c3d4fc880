package local

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/daemon"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/platform/rest"
	"papayaspan.dev/papayaspan/internal/settings"
)

// Settings returns the settings of VM i (from 1) on loopback. An empty listen
// address means a free port.
func (s *Standins) Settings(i int) *settings.Settings {
	const free = "127.0.0.1:0"
	out := settings.Default()
	out.VM = settings.VM{ID: fmt.Sprintf("vm-%d", i), FailureDomain: fmt.Sprintf("qc-centre-%c", 'a'+(i-1)%3)}
	out.Listen = settings.Listen{Caller: free, Peer: free, Admin: free}
	out.Routing.PieceTokens = EngineOptions().BlockTokens
	out.Platform.URL = s.PlatformURL
	out.Operators = []settings.Operator{{Name: OperatorName, KeyHash: account.HashSecret(OperatorKey)}}
	return &out
}

// StartRouter starts a router in this process and puts it on the membership
// list.
func (s *Standins) StartRouter(set *settings.Settings, log *zap.Logger) (*daemon.Daemon, error) {
	client := rest.NewClient(s.PlatformURL)
	d, err := daemon.New(set, log, daemon.Platform{Table: client, Objects: client.Objects(), Membership: client, Weights: client})
	if err != nil {
		return nil, err
	}
	self := d.Self()
	s.Platform.SetMember(platform.Member{
		ID:            string(self.ID),
		FailureDomain: self.FailureDomain,
		CallerAddress: self.CallerAddress,
		PeerAddress:   self.PeerAddress,
	})
	d.Start(context.Background())
	return d, nil
}
